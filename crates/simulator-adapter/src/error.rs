//! Errors in the input.

use std::io;

/// The reason the input could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The input ends inside a batch's header.
    #[error("input ends inside a batch header")]
    TruncatedHeader,
    /// Reading a batch's header failed.
    #[error("cannot read a batch header: {0}")]
    Header(#[source] io::Error),
    /// The input ends inside a batch.
    #[error("input ends inside a batch: {got} of {length} bytes")]
    TruncatedBatch {
        /// Number of bytes read.
        got: usize,
        /// Length given in the header.
        length: u32,
    },
    /// Reading a batch failed.
    #[error("cannot read a batch: {0}")]
    Batch(#[source] io::Error),
    /// The record with this code is shorter than its fields.
    #[error("record of code {0} is cut short")]
    TruncatedRecord(u8),
    /// A catalog entry has an unknown phase code.
    #[error("list entry with unknown state {0}")]
    UnknownPhase(u8),
    /// An attempt or a probe has an unknown outcome code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// A topology has an unknown scope code.
    #[error("topology of unknown scope {0}")]
    UnknownScope(u8),
    /// A topology refers to a catalog that was not received.
    #[error("topology without its catalog")]
    NoCatalog,
}
