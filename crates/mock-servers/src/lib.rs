//! Stand-ins for the systems that driftfront meets, written from public descriptions, on loopback alone.
//!
//! [`engine::Engine`] speaks ClickHouse's HTTP interface: it computes small results, holds sessions and tables, and is
//! scripted to stall, cut, lie and err. What it was sent stands in a [`ledger::RequestLog`], on which every rule can be
//! counted that shows from an engine.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod ledger;
