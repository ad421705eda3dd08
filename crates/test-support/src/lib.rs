//! Helpers that the tests of several crates share.
//!
//! Golden files and transcripts are always there; what needs other crates of the workspace stands behind a feature of its name,
//! so that the tests of a small crate build nothing else.
#![allow(
    clippy::missing_panics_doc,
    reason = "a helper of tests panics where the test has failed"
)]

#[cfg(feature = "coordinator")]
pub mod coordinator;
pub mod golden;
pub mod message_transcript;
#[cfg(feature = "core")]
pub mod request_core;
#[cfg(feature = "scheduler")]
pub mod scheduler;
pub mod transcript;

/// The configuration of a site of one coordinator, in the platform's form.
pub const EXAMPLE_CONFIGURATION: &str = include_str!("../site.json");
