//! liftrelay: the proxy.

fn main() {
    println!("liftrelay {}", env!("CARGO_PKG_VERSION"));
}
