//! The ClickHouse HTTP interface: parsing of requests, checks of results and session tracking, without I/O or clock.
//!
//! | module | purpose |
//! | --- | --- |
//! | `request` | parses client requests |
//! | `params`, `credentials`, `multipart`, `sql` | parts of a request: URL parameters, credentials, forms, statements |
//! | `body_budget` | the memory budget for buffered request bodies |
//! | `session` | session affinity: the engine that each session is bound to |
//! | `exception` | error codes and exceptions in responses |
//! | `result_checker` | detects errors that follow the rows of a result |
//! | `block`, `coding`, `tail` | compressed blocks, HTTP content codings, the last bytes of a stream |
//! | `keyed_hash` | hashes that resist chosen collisions |
//!
//! Streams may be split at any byte, and a bounded amount of them is buffered.
#![forbid(unsafe_code)]

pub mod block;
pub mod body_budget;
pub mod coding;
pub mod credentials;
pub mod exception;
pub mod keyed_hash;
pub mod multipart;
pub mod params;
pub mod request;
pub mod result_checker;
pub mod session;
pub mod sql;
pub mod tail;
