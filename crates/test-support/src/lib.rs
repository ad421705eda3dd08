//! Helpers that the tests of several crates share.
#![warn(missing_docs)]

pub mod golden;
pub mod message_transcript;
pub mod transcript;
