# What people do here. `.ci/run` calls `make test` and adds the checks of a clean checkout.

.PHONY: build test lint run check sites fleet-cost overload soak

build: ## the two programs, into target/release
	cargo build --release --locked

test: ## all tests but those of KNOWN-RED.txt, if there is one; they need nothing but this checkout and loopback
	@skips=$$(.ci/known-red) && cargo test --locked -p liftrelay -p liftrelay-soak -- --exact $$skips

lint: ## format, lints and documentation, as CI checks them
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

fleet-cost: ## what a proxy needs with 200 and with 3,200 members, beside the limits; half a minute
	cargo bench --locked --bench fleet_cost

overload: ## useful answers and attempts at a primary at and over its capacity; four minutes
	cargo bench --locked --bench overload

SEEDS ?= 1..50
JOBS ?= 4
soak: build ## faults on real processes, the rules checked: SEEDS=1..50, JOBS side by side; docs/soak.md
	cargo build --release --locked -p liftrelay-soak
	target/release/liftrelay-soak --seeds $(SEEDS) --jobs $(JOBS) --program target/release/liftrelay

run: build ## the proxy, as GW_CONFIG says
	target/release/liftrelay serve

check: build ## whether GW_CONFIG and the files under deploy/ can be used
	target/release/liftrelay check-config --postgres deploy/postgres.toml --store deploy/store.toml \
	  --syslog deploy/syslog.toml

sites: ## links what the benches want beside the deployments of deploy/sites, from the kit
	for f in wire.json real.json unlock.txt; do ln -sfn ../../../given/kit/sites/$$f deploy/sites/$$f; done
