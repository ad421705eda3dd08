//! When the silence of an engine says something. Free of sockets and clocks.

use driftfront_core::Micros;

/// Where progress reports come with work in flight, a connection that is this much late with them counts as silent: new work goes by
/// another one, whose connect shows at once whether the engine can be reached.
pub const REPORT_OVERDUE_AFTER: Micros = 600_000;
/// Where no reports come, only a probe that nothing answers for this long shows that.
pub const PROBE_OVERDUE_AFTER: Micros = 1_600_000;
/// So many silent attempts on one engine are more than chance. Of fewer, while others of its zone are heard, reports may be later:
/// an engine short of memory says nothing of what waits there, and a whole cluster that took its few attempts back would have it do
/// all its work twice.
const MANY_SILENT_ATTEMPTS: usize = 3;
/// How many times later then.
const FEW_ATTEMPTS_FACTOR: Micros = 3;

/// Whether word is overdue from an engine that was last heard at `heard_at`, on any connection: one that is only full says nothing of
/// what waits on this, but goes on answering on others.
pub fn is_overdue(
    now: Micros,
    report_interval: Option<Micros>,
    heard_at: Micros,
    has_only_probes: bool,
) -> bool {
    match report_interval {
        Some(interval) => now > heard_at + interval + REPORT_OVERDUE_AFTER,
        None => has_only_probes && now > heard_at + PROBE_OVERDUE_AFTER,
    }
}

/// How often reports are due where so many attempts are in flight on an engine, and others of its zone are heard or not.
pub fn tolerated_interval(interval: Micros, attempts: usize, is_zone_heard: bool) -> Micros {
    if attempts < MANY_SILENT_ATTEMPTS && is_zone_heard {
        interval * FEW_ATTEMPTS_FACTOR
    } else {
        interval
    }
}
