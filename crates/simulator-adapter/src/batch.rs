//! Reads batches from the input.

use crate::WireError;
use std::io::{ErrorKind, Read};

/// Size of the header: length (4 bytes) and clock (8 bytes).
const HEADER_BYTES: usize = 12;

/// Reads one batch and returns its clock in microseconds and its records; `None` if the input ends between batches.
///
/// # Errors
///
/// A [`WireError`] if the input ends inside a batch or cannot be read.
pub fn read_batch(input: &mut impl Read) -> Result<Option<(u64, Vec<u8>)>, WireError> {
    let Some(header) = read_header(input)? else {
        return Ok(None);
    };
    let [a, b, c, d, clock @ ..] = header;
    let length = u32::from_be_bytes([a, b, c, d]);
    let mut body = Vec::new();
    let got = input
        .take(u64::from(length))
        .read_to_end(&mut body)
        .map_err(WireError::Batch)?;
    if got != length as usize {
        return Err(WireError::TruncatedBatch { got, length });
    }
    Ok(Some((u64::from_be_bytes(clock), body)))
}

fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>, WireError> {
    let mut header = [0; HEADER_BYTES];
    let mut got = 0;
    while got < header.len() {
        match input.read(&mut header[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(WireError::TruncatedHeader),
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(WireError::Header(e)),
        }
    }
    Ok(Some(header))
}
