//! Decodes the fields of a record in order.

use crate::WireError;
use driftfront_scheduler::EngineId;

/// The fields of one record that have not been decoded yet.
pub(crate) struct Fields<'a> {
    remaining: &'a [u8],
    /// The record's code, for error messages.
    code: u8,
}

impl<'a> Fields<'a> {
    /// Creates a decoder for the fields of a record with this code.
    pub(crate) fn new(bytes: &'a [u8], code: u8) -> Fields<'a> {
        Fields {
            remaining: bytes,
            code,
        }
    }

    /// Splits the first record off a batch's body; returns its code, its fields and the rest of the body.
    pub(crate) fn split_record(body: &'a [u8]) -> Result<(u8, Fields<'a>, &'a [u8]), WireError> {
        let code = body.first().copied().unwrap_or_default();
        let mut fields = Fields::new(body, code);
        fields.u8()?;
        let length = fields.u32()?;
        let record = fields.bytes(length as usize)?;
        Ok((code, Fields::new(record, code), fields.remaining))
    }

    /// Decodes `count` raw bytes.
    pub(crate) fn bytes(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        let split = self.remaining.split_at_checked(count);
        let (bytes, remaining) = split.ok_or(WireError::TruncatedRecord(self.code))?;
        self.remaining = remaining;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let split = self.remaining.split_first_chunk::<N>();
        let (array, remaining) = split.ok_or(WireError::TruncatedRecord(self.code))?;
        self.remaining = remaining;
        Ok(*array)
    }

    /// Decodes a `u8`.
    pub(crate) fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    /// Decodes a big-endian `u16`.
    pub(crate) fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// Decodes a big-endian `u32`.
    pub(crate) fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// Decodes a big-endian `u64`.
    pub(crate) fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// Decodes a big-endian `f32`.
    pub(crate) fn f32(&mut self) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_be_bytes(self.array()?)))
    }

    /// Decodes an estimate (`f32`); `None` unless it is positive and finite.
    pub(crate) fn estimate(&mut self) -> Result<Option<f64>, WireError> {
        self.f32().map(positive)
    }

    /// Decodes an engine. Its address (6 bytes) is used as its id.
    pub(crate) fn engine(&mut self) -> Result<EngineId, WireError> {
        let [a, b, c, d, e, f] = self.array()?;
        Ok(EngineId(u64::from_be_bytes([0, 0, a, b, c, d, e, f])))
    }

    /// Decodes a load report: the number of values (1 byte), then the values (`f32`).
    pub(crate) fn report(&mut self) -> Result<Vec<f64>, WireError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }
}

/// Returns the number if it is positive and finite.
pub(crate) fn positive(number: f64) -> Option<f64> {
    (number.is_finite() && number > 0.0).then_some(number)
}
