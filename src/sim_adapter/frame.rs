//! Reads batches from a stream, and writes replies to it.

use super::WireError;
use crate::Micros;
use std::io::{ErrorKind, Read, Write};

const HEADER_BYTES: usize = 16;

/// One batch of records from the simulator.
pub struct Batch {
    /// The time on the simulator's clock, in microseconds.
    pub now: Micros,
    /// The number of records in the body.
    pub records: u32,
    /// The encoded records, without gaps between them.
    pub body: Vec<u8>,
}

/// Reads one batch; `None` if the input ends before its first byte.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let Some(header) = read_header(input)? else { return Ok(None) };
    let word = |at: usize| u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let size = u64::from(word(0));
    let records = word(4);
    let now = u64::from(word(8)) << 32 | u64::from(word(12));
    let mut body = Vec::new();
    input.take(size).read_to_end(&mut body)?;
    if body.len() as u64 != size {
        return Err(WireError::TruncatedBody { received: body.len(), expected: size });
    }
    Ok(Some(Batch { now, records, body }))
}

fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>, WireError> {
    let mut header = [0; HEADER_BYTES];
    let mut received = 0;
    while received < header.len() {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(WireError::TruncatedHeader { received, expected: HEADER_BYTES }),
            Ok(count) => received += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Some(header))
}

/// Writes the reply to one batch.
pub fn write_reply(output: &mut impl Write, reply: &[u8]) -> Result<(), WireError> {
    output.write_all(&(reply.len() as u32).to_be_bytes())?;
    output.write_all(reply)?;
    output.flush()?;
    Ok(())
}
