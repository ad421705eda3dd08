//! The bytes of a result: formats, and the layers below them.

mod body;
mod format;

pub(super) use body::{Body, Chunks};
pub use format::FORMATS;
pub(super) use format::{content_type, Writer};
