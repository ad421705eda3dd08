//! fernlink decides, for one gateway, when and on which engine each query runs.
//!
//! Feed a [`Controller`] what the gateway sees as [`Event`]s; it answers with [`Action`]s.
//! It has no clock, no threads and does no I/O, so the same events give the same actions.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

mod choice;
pub mod interface;
mod retry_budget;
mod slow_start;
mod state;

pub use choice::Controller;
pub use interface::{Action, Event, Settings};
pub use retry_budget::RetryBudgetUsage;

#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct ReadmeExample;
