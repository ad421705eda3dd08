//! Formatting of numbers and durations.

use driftfront_control::snapshot::Service;

const MINUTE_S: u64 = 60;
const HOUR_S: u64 = 60 * MINUTE_S;
const DAY_S: u64 = 24 * HOUR_S;

/// Formats a duration in the largest unit of which it has at least two.
pub fn format_seconds(seconds: u64) -> String {
    match seconds {
        s if s < 2 * MINUTE_S => format!("{s} s"),
        s if s < 2 * HOUR_S => format!("{} min", s / MINUTE_S),
        s if s < 2 * DAY_S => format!("{} h", s / HOUR_S),
        s => format!("{} days", s / DAY_S),
    }
}

/// Formats a duration in milliseconds or seconds, depending on its size.
pub fn format_millis(ms: f64) -> String {
    match ms {
        ms if ms >= 10_000.0 => format!("{:.0} s", ms / 1000.0),
        ms if ms >= 1000.0 => format!("{:.1} s", ms / 1000.0),
        ms if ms >= 10.0 => format!("{ms:.0} ms"),
        ms => format!("{ms:.1} ms"),
    }
}

/// Formats the share of requests that were served in time.
pub(super) fn format_in_time_share(service: &Service) -> String {
    if service.asked == 0 {
        return "-".into();
    }
    format!("{:.0}%", service.in_time_share() * 100.0)
}

/// Formats a count with its noun; small numbers are spelled out.
pub(super) fn counted(n: u64, one: &str, many: &str) -> String {
    match n {
        1 => format!("one {one}"),
        2 => format!("two {many}"),
        3 => format!("three {many}"),
        n => format!("{n} {many}"),
    }
}

/// The text with its first letter in upper case.
pub(super) fn capitalized(text: &str) -> String {
    let mut chars = text.chars();
    chars.next().map_or(String::new(), |first| {
        first.to_uppercase().collect::<String>() + chars.as_str()
    })
}
