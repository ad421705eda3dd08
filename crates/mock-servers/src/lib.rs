//! Mock servers: the systems that driftfront meets, written from public descriptions, on loopback alone.
//!
//! [`engine::Engine`] speaks ClickHouse's HTTP interface: it computes small results, holds sessions and tables, and is scripted
//! to stall, cut, lie and fail. What it was sent stands in a [`request_log::RequestLog`], on which every rule can be counted that
//! shows from an engine.
#![forbid(unsafe_code)]

pub mod engine;
pub mod request_log;
