//! Mock servers for the systems that driftfront talks to, written from public descriptions. They listen on loopback only.
//!
//! [`engine::Engine`] implements ClickHouse's HTTP interface: it computes small results, keeps sessions and tables, and injects
//! faults on request, such as stalls, truncated responses and wrong query ids. A [`request_log::RequestLog`] records the received
//! statements and checks them against the rules that are visible to an engine.
#![forbid(unsafe_code)]

pub mod engine;
pub mod request_log;
