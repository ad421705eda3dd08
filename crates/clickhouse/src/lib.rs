//! The ClickHouse HTTP interface as a language: bytes and texts in, meanings out; no sockets, no clock.
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
