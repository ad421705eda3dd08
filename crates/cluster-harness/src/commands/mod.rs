//! The commands of the harness, one per module.

pub(crate) mod arguments;
pub(crate) mod cost;
pub(crate) mod holds;
pub(crate) mod pauses;
pub(crate) mod scenarios;
pub(crate) mod soaks;

use std::process::ExitCode;
use std::time::Duration;

/// Engine address for members that need no engine. Nothing listens on it.
pub(crate) const NO_ENGINE: &str = "127.0.0.1:9";

/// Converts a duration to microseconds, the unit of [`percentile`].
///
/// [`percentile`]: driftfront_cluster_simulation::percentile
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Converts the result of a command to its exit code.
pub(crate) fn exit_code(is_success: bool) -> ExitCode {
    match is_success {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
