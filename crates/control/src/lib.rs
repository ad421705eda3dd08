//! The operators' protocol: one JSON object a line, both ways, over a Unix socket of mode 0600 (or, where the operator's file
//! says so, loopback TCP with a key).
//!
//! The program greets with `{"driftfront":VERSION,"v":1}`, and on TCP with a challenge ([`greeting()`], [`key`]). A client sends
//! [`Request`]s with an `id` of its own; each is answered by a [`Reply`] under that id, `follow` and `events` again and again.
//! A [`Snapshot`](snapshot::Snapshot) is all that an operator may want to see, at one moment.
//!
//! Two smaller interfaces stand here as well: [`management`], the line language of the second address, and [`commands`], the
//! description of the program's sub-commands. Nothing in this crate does I/O.
#![forbid(unsafe_code)]

pub mod commands;
mod greeting;
mod json;
pub mod key;
mod line_reader;
pub mod management;
mod reply;
mod request;
pub mod snapshot;

pub use greeting::{challenge_in, greeting};
pub use json::Field;
pub use line_reader::{LineReader, LineTooLong};
pub use reply::Reply;
pub use request::{Request, RequestError};

/// The protocol's version: a client of another one is refused.
pub const VERSION: u64 = 1;
/// Longest line that the program reads.
pub const MAX_REQUEST_BYTES: usize = 16 * 1024;
/// Longest line that a client reads: a snapshot of thousands of engines.
pub const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
