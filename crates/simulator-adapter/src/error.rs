//! What is wrong with the input.

use std::io;

/// Why the input can't be read on.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The input ends after a part of a batch's header.
    #[error("input ends inside a batch header")]
    HeaderCut,
    /// Reading a batch's header failed.
    #[error("cannot read a batch header: {0}")]
    Header(#[source] io::Error),
    /// The input ends inside a batch.
    #[error("input ends inside a batch: {got} of {length} bytes")]
    BatchCut {
        /// The bytes that came.
        got: usize,
        /// The batch's length.
        length: u32,
    },
    /// Reading a batch failed.
    #[error("cannot read a batch: {0}")]
    Batch(#[source] io::Error),
    /// A record is shorter than its fields.
    #[error("record of code {0} is cut short")]
    RecordCut(u8),
    /// An engine's state on a list is unknown.
    #[error("list entry with unknown state {0}")]
    UnknownPhase(u8),
    /// The outcome of an attempt or a probe is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// It is unknown how a list relates to the earlier ones.
    #[error("topology of unknown scope {0}")]
    UnknownScope(u8),
    /// A list was announced whose engines never came.
    #[error("topology without its catalog")]
    NoCatalog,
}
