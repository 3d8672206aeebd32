//! Serves the simulator's protocol on standard input and output for any number of routers.

use liftrelay::sim_adapter::{RouterHost, WireError, read_batch, write_reply};
use std::process::ExitCode;

fn run() -> Result<(), WireError> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut host = RouterHost::default();
    while let Some(batch) = read_batch(&mut input)? {
        let reply = host.handle_batch(batch.now, batch.records, &batch.body)?;
        for warning in host.warnings.drain(..) {
            eprintln!("liftrelay-sim-adapter: {warning}");
        }
        write_reply(&mut output, &reply)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("liftrelay-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
