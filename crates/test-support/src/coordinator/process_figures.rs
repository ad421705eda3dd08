//! Processor time and memory of a running process, as the kernel reports them.

/// Ticks a second in which `/proc` counts processor time (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// Place of `utime` among the fields of `/proc/PID/stat` behind the name in brackets; `stime` follows it.
const USER_TIME_FIELD: usize = 11;

/// The processor time that a process has used, in seconds.
pub(super) fn processor_seconds(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("its figures");
    let behind_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = behind_name.split(' ').collect();
    let ticks = |field: usize| fields[field].parse::<f64>().expect("a count of ticks");
    (ticks(USER_TIME_FIELD) + ticks(USER_TIME_FIELD + 1)) / TICKS_PER_SECOND
}

/// A line of `/proc/PID/status` that holds kilobytes, such as `VmHWM`; `None` where there is none of this name.
pub(super) fn status_kilobytes(process: u32, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("its figures");
    let line = status.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
