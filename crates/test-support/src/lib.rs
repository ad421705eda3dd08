//! Helpers shared by the tests of several crates.
//!
//! Golden files and transcripts are always available. Modules that depend on other crates of the workspace are enabled by features,
//! so that the tests of a small crate don't build the whole workspace.
#![allow(
    clippy::missing_panics_doc,
    reason = "test helpers panic when the test fails"
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

/// The example configuration of a site with one coordinator, in the platform's format.
pub const EXAMPLE_CONFIGURATION: &str = include_str!("../site.json");
