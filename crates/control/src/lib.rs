//! The control protocol for operators: one JSON object per line in each direction, over a Unix socket of mode 0600 or, if
//! configured, over loopback TCP with a key.
//!
//! The program begins with the greeting `{"driftfront":VERSION,"v":1}`, on TCP with a challenge ([`greeting()`], [`key`]). A
//! client sends [`Request`]s with an `id` of its choice. Each is answered by a [`Reply`] with the same id; `follow` and `events`
//! get any number of replies. A [`Snapshot`](snapshot::Snapshot) is the complete state of the program at one point in time.
//!
//! The crate also contains [`management`], the line protocol of the management address, and [`commands`], the descriptions of
//! the program's subcommands. Nothing in this crate does I/O.
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

/// The protocol version. Requests with another version are refused.
pub const VERSION: u64 = 1;
/// Maximum length of a request line, in bytes.
pub const MAX_REQUEST_BYTES: usize = 16 * 1024;
/// Maximum length of a reply line, in bytes: enough for a snapshot of thousands of engines.
pub const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
