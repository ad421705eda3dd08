//! Encoding of results: formats, compression and chunks.

mod body;
mod format;

pub(super) use body::{Body, Chunks};
pub use format::FORMATS;
pub(super) use format::{content_type, Writer};
