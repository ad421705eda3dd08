//! The platform's engine protocol: lines of words, many requests on one connection.
//!
//! To the engine, each line ending in CR LF:
//!
//! | line | meaning |
//! | --- | --- |
//! | `REQ id fields length`, then the statement and CR LF | an attempt; fields `kind`, `ms`, `token`, `workmem` |
//! | `FETCH id page` | asks for a page of a result |
//! | `END id` | all pages have come |
//! | `STOP id` | the attempt is given up |
//! | `STAT tag` | a probe |
//!
//! From the engine come messages `id word fields length`, then `length` bytes and CR LF (see `message`). A result is a first page
//! (`HIT`, with the number of pages) and the others on request (`PART`).

mod message;
mod pages;
mod session;

pub use message::LineError;
pub use session::LineSession;
