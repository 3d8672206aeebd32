# What people do here. `.ci/run` calls `make test` and adds the checks of a clean checkout.

.PHONY: build test lint run check

build: ## the two programs, into target/release
	cargo build --release --locked

test: ## all tests; they need nothing but this checkout and loopback
	cargo test --locked

lint: ## format, lints and documentation, as CI checks them
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps

run: build ## the proxy, as GW_CONFIG says
	target/release/liftrelay serve

check: build ## whether GW_CONFIG and the files under deploy/ can be used
	target/release/liftrelay check-config --postgres deploy/postgres.toml --store deploy/store.toml \
	  --syslog deploy/syslog.toml
