//! Decides when an engine's silence counts as a failure. Uses neither sockets nor clocks.

use driftfront_core::Micros;

/// Tolerated delay of progress reports while work is in flight. A connection that exceeds it counts as silent: new attempts use
/// another connection, whose connect shows at once whether the engine is reachable.
pub const REPORT_OVERDUE_AFTER: Micros = 600_000;
/// Without progress reports, a connection counts as silent once a probe has gone unanswered for this long.
pub const PROBE_OVERDUE_AFTER: Micros = 1_600_000;
/// From this many silent attempts on one engine, silence is unlikely to be chance. With fewer, while other engines of the zone
/// respond, reports may be later: an engine short of memory sends no reports for the queries that wait there, and if every
/// coordinator of a cluster withdrew its few attempts, the engine would do all its work twice.
const MANY_SILENT_ATTEMPTS: usize = 3;
/// Multiple of the report interval that is tolerated with fewer attempts than [`MANY_SILENT_ATTEMPTS`].
const FEW_ATTEMPTS_FACTOR: Micros = 3;

/// Whether a report or a probe's answer is overdue from an engine that last sent something at `last_received_at`, on any
/// connection: an engine at capacity is silent about the work that waits on one connection, but still answers on others.
pub fn is_overdue(
    now: Micros,
    report_interval: Option<Micros>,
    last_received_at: Micros,
    has_only_probes: bool,
) -> bool {
    match report_interval {
        Some(interval) => now > last_received_at + interval + REPORT_OVERDUE_AFTER,
        None => has_only_probes && now > last_received_at + PROBE_OVERDUE_AFTER,
    }
}

/// The report interval to tolerate, given the number of attempts in flight on the engine and whether other engines of its zone
/// respond.
pub fn tolerated_interval(interval: Micros, attempts: usize, is_zone_responsive: bool) -> Micros {
    if attempts < MANY_SILENT_ATTEMPTS && is_zone_responsive {
        interval * FEW_ATTEMPTS_FACTOR
    } else {
        interval
    }
}
