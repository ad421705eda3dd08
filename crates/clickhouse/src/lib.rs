//! The ClickHouse HTTP interface as a language: bytes and texts in, meanings out; no sockets, no clock.
//!
//! | module | job |
//! | --- | --- |
//! | `request` | what a client asks for |
//! | `params`, `credentials`, `multipart`, `sql` | parts of a request: URL parameters, credentials, forms, statements |
//! | `body_budget` | which request bodies are kept |
//! | `session` | which engine each session lives on |
//! | `exception` | error codes, and exceptions in responses |
//! | `result_checker` | finds errors behind the rows of a result |
//! | `block`, `coding`, `tail` | compressed blocks, HTTP content codings, the last bytes of a stream |
//! | `keyed_hash` | hashes that nobody can make collide |
//!
//! Streams are read in pieces of any size, and a bounded number of their bytes is held.
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
