//! Fields of a record, taken from its front.

use crate::WireError;
use driftfront_scheduler::EngineId;

/// The fields of one record that have not been read yet.
pub(crate) struct Fields<'a> {
    remaining: &'a [u8],
    /// The record's code, for errors.
    code: u8,
}

impl<'a> Fields<'a> {
    /// The fields of a record with this code.
    pub(crate) fn new(bytes: &'a [u8], code: u8) -> Fields<'a> {
        Fields {
            remaining: bytes,
            code,
        }
    }

    /// Splits the record at the front of a batch's body off: its code, its fields, and the body behind it.
    pub(crate) fn split_record(body: &'a [u8]) -> Result<(u8, Fields<'a>, &'a [u8]), WireError> {
        let code = body.first().copied().unwrap_or_default();
        let mut fields = Fields::new(body, code);
        fields.u8()?;
        let length = fields.u32()?;
        let record = fields.bytes(length as usize)?;
        Ok((code, Fields::new(record, code), fields.remaining))
    }

    /// Bytes as they are.
    pub(crate) fn bytes(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        let split = self.remaining.split_at_checked(count);
        let (bytes, remaining) = split.ok_or(WireError::RecordCut(self.code))?;
        self.remaining = remaining;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let split = self.remaining.split_first_chunk::<N>();
        let (array, remaining) = split.ok_or(WireError::RecordCut(self.code))?;
        self.remaining = remaining;
        Ok(*array)
    }

    /// A number of 1 byte.
    pub(crate) fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    /// A number of 2 bytes.
    pub(crate) fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// A number of 4 bytes.
    pub(crate) fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// A number of 8 bytes.
    pub(crate) fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// A floating point number of 4 bytes.
    pub(crate) fn f32(&mut self) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_be_bytes(self.array()?)))
    }

    /// An estimate, which counts only if it is a positive, finite number.
    pub(crate) fn estimate(&mut self) -> Result<Option<f64>, WireError> {
        self.f32().map(positive)
    }

    /// An engine: its address of 6 bytes serves as its number.
    pub(crate) fn engine(&mut self) -> Result<EngineId, WireError> {
        let [a, b, c, d, e, f] = self.array()?;
        Ok(EngineId(u64::from_be_bytes([0, 0, a, b, c, d, e, f])))
    }

    /// A load report: the number of its values (1 byte), and the values.
    pub(crate) fn report(&mut self) -> Result<Vec<f64>, WireError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }
}

/// A number if it is positive and finite.
pub(crate) fn positive(number: f64) -> Option<f64> {
    (number.is_finite() && number > 0.0).then_some(number)
}
