//! The platform's engine protocol: a line protocol that multiplexes requests on one connection.
//!
//! Lines to the engine, each terminated by CR LF:
//!
//! | line | meaning |
//! | --- | --- |
//! | `REQ id fields length`, then the statement and CR LF | starts an attempt; fields `kind`, `ms`, `token`, `workmem` |
//! | `FETCH id page` | requests a page of a result |
//! | `END id` | all pages were received |
//! | `STOP id` | stops the attempt |
//! | `STAT tag` | a probe |
//!
//! The engine sends messages `id keyword fields length`, then `length` bytes and CR LF (see `message`). A result consists of a first
//! page (`HIT`, with the number of pages) and further pages on request (`PART`).

mod message;
mod pages;
mod session;

pub use message::LineError;
pub use session::LineSession;
