//! The commands of the harness, one in each module.

pub(crate) mod arguments;
pub(crate) mod cost;
pub(crate) mod holds;
pub(crate) mod pauses;
pub(crate) mod scenarios;
pub(crate) mod soaks;

/// The engine of members that need none: nobody listens there.
pub(crate) const NO_ENGINE: &str = "127.0.0.1:9";
