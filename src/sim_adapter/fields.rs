//! Reads big-endian fields from a record.

use super::WireError;
use crate::EndpointId;

const ENDPOINT_ID_BYTES: usize = 6;

/// Reads the fields of a record, or the records of a body, in order.
pub(super) struct FieldReader<'a> {
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    pub(super) fn new(record: &'a [u8]) -> Self {
        FieldReader { rest: record }
    }

    /// The number of bytes that have not been read yet.
    pub(super) fn remaining(&self) -> usize {
        self.rest.len()
    }

    pub(super) fn bytes(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        let Some((field, rest)) = self.rest.split_at_checked(count) else {
            return Err(WireError::TruncatedField { field_size: count, available: self.rest.len() });
        };
        self.rest = rest;
        Ok(field)
    }

    fn unsigned(&mut self, bytes: usize) -> Result<u64, WireError> {
        let field = self.bytes(bytes)?;
        Ok(field.iter().fold(0, |value, byte| value << 8 | u64::from(*byte)))
    }

    pub(super) fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.unsigned(1)? as u8)
    }

    pub(super) fn u16(&mut self) -> Result<u16, WireError> {
        Ok(self.unsigned(2)? as u16)
    }

    pub(super) fn u32(&mut self) -> Result<u32, WireError> {
        Ok(self.unsigned(4)? as u32)
    }

    pub(super) fn u64(&mut self) -> Result<u64, WireError> {
        self.unsigned(8)
    }

    pub(super) fn f32(&mut self) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_bits(self.u32()?)))
    }

    pub(super) fn endpoint(&mut self) -> Result<EndpointId, WireError> {
        Ok(EndpointId(self.unsigned(ENDPOINT_ID_BYTES)?))
    }

    /// Reads a count of one byte, and as many floating-point numbers.
    pub(super) fn floats(&mut self) -> Result<Vec<f64>, WireError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }
}
