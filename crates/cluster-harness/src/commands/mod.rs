//! The commands of the harness, one in each module.

pub(crate) mod arguments;
pub(crate) mod cost;
pub(crate) mod holds;
pub(crate) mod pauses;
pub(crate) mod scenarios;
pub(crate) mod soaks;

use std::process::ExitCode;
use std::time::Duration;

/// The engine of members that need none: nobody listens there.
pub(crate) const NO_ENGINE: &str = "127.0.0.1:9";

/// A time in microseconds, as percentiles are computed of.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Success where no rule was broken and nothing missing.
pub(crate) fn exit_code(is_success: bool) -> ExitCode {
    match is_success {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
