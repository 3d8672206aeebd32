//! Speaks the simulator's wire on standard input and output for any number of routers.

use liftrelay::wire::{Host, WireError};
use std::io::{ErrorKind, Read, Write};
use std::process::ExitCode;

fn run() -> Result<(), WireError> {
    let io = |e: std::io::Error| WireError(format!("pipe: {e}"));
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut host = Host::default();
    loop {
        let mut head = [0u8; 16];
        let mut got = 0;
        while got < head.len() {
            match input.read(&mut head[got..]) {
                Ok(0) if got == 0 => return Ok(()),
                Ok(0) => return Err(WireError(format!("truncated: {got} of 16 header bytes"))),
                Ok(n) => got += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(io(e)),
            }
        }
        let word = |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let now = u64::from(word(8)) << 32 | u64::from(word(12));
        let size = u64::from(word(0));
        let mut body = Vec::new();
        (&mut input).take(size).read_to_end(&mut body).map_err(io)?;
        if body.len() as u64 != size {
            return Err(WireError(format!("truncated: {} of {size} body bytes", body.len())));
        }
        let reply = host.batch(now, word(4), &body)?;
        for warning in host.warnings.drain(..) {
            eprintln!("liftrelay-simhost: {warning}");
        }
        output.write_all(&(reply.len() as u32).to_be_bytes()).map_err(io)?;
        output.write_all(&reply).map_err(io)?;
        output.flush().map_err(io)?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("liftrelay-simhost: {e}");
            ExitCode::FAILURE
        }
    }
}
