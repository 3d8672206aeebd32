//! The format of the log file: a sequence of records, each the length of a payload, the CRC-32 of the payload
//! (both 32 bits, big-endian) and the payload, which is JSON.

use super::error::StoreError;
use super::raft::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};

/// The size of the length and the checksum before each payload, in bytes.
pub const HEADER_BYTES: usize = 8;
/// The longest payload. The longest records are snapshots of the complete state.
const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// The payload of a record. The serde names are stored; they must not change.
#[derive(Deserialize, Serialize)]
pub enum Record<C, S> {
    /// The term and the vote. Replaces those of earlier records.
    #[serde(rename = "Hard")]
    HardState(HardState),
    /// An entry. Replaces all earlier entries from its index on.
    Entry(Entry<C>),
    /// A snapshot. Replaces all entries and the snapshot of earlier records.
    Snapshot(Snapshot<S>),
}

/// The payloads in a log file.
pub struct DecodedRecords<'a> {
    /// The payload of each complete record.
    pub payloads: Vec<&'a [u8]>,
    /// The offset at which the last complete record ends.
    pub end: usize,
}

/// A record as stored in the file. Its payload may be damaged.
struct RawRecord<'a> {
    checksum: u32,
    payload: &'a [u8],
}

impl<'a> RawRecord<'a> {
    /// Reads the record at the start of `bytes`; `None` if it is incomplete.
    fn read(bytes: &'a [u8]) -> Option<Self> {
        let (length, rest) = bytes.split_first_chunk()?;
        let (checksum, rest) = rest.split_first_chunk()?;
        let length = u32::from_be_bytes(*length) as usize;
        let payload = rest.get(..length)?;
        Some(RawRecord { checksum: u32::from_be_bytes(*checksum), payload })
    }

    fn is_intact(&self) -> bool {
        let has_valid_length = !self.payload.is_empty() && self.payload.len() <= MAX_PAYLOAD_BYTES;
        has_valid_length && crc32fast::hash(self.payload) == self.checksum
    }

    fn len(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Appends a record to `output`.
pub fn encode<C: Serialize, S: Serialize>(
    record: &Record<C, S>,
    output: &mut Vec<u8>,
) -> Result<(), StoreError> {
    let payload = serde_json::to_vec(record)?;
    output.extend((payload.len() as u32).to_be_bytes());
    output.extend(crc32fast::hash(&payload).to_be_bytes());
    output.extend(payload);
    Ok(())
}

/// Returns the records of a log file, up to the first incomplete one. A damaged record is an error, unless
/// it is the last one.
pub fn decode(bytes: &[u8]) -> Result<DecodedRecords<'_>, StoreError> {
    let mut records = DecodedRecords { payloads: Vec::new(), end: 0 };
    while let Some(record) = RawRecord::read(&bytes[records.end..]) {
        if !record.is_intact() {
            let rest = &bytes[records.end..];
            // After a crash, space that was reserved but never written reads as zeros, and the last record
            // may be half written.
            if rest.iter().all(|byte| *byte == 0) || record.len() == rest.len() {
                break;
            }
            return Err(StoreError::DamagedRecord { offset: records.end });
        }
        records.payloads.push(record.payload);
        records.end += record.len();
    }
    Ok(records)
}
