//! Reads the processor time and memory of a process from `/proc`.

/// Clock ticks per second in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of `utime` among the fields of `/proc/PID/stat` after the process name in parentheses. `stime` follows it.
const USER_TIME_FIELD: usize = 11;

/// Returns the processor time used by a process, in seconds.
pub(super) fn processor_seconds(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("reading /proc");
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |field: usize| fields[field].parse::<f64>().expect("a number of ticks");
    (ticks(USER_TIME_FIELD) + ticks(USER_TIME_FIELD + 1)) / TICKS_PER_SECOND
}

/// Returns a value in kilobytes of `/proc/PID/status`, such as `VmHWM`, or `None` if there is no such line.
pub(super) fn status_kilobytes(process: u32, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("reading /proc");
    let line = status.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
