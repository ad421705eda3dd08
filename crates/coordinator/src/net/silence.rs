//! When the silence of an engine says something. Free of sockets and clocks.

use driftfront_core::Micros;

/// Where notes come with work out, a connection that is this much late with them counts as silent: new work
/// goes by another one, whose connect shows at once whether the engine can be reached.
pub const NOTE_LATE: Micros = 600_000;
/// So many attempts that an engine says nothing of are more than chance; of fewer, while others of its zone are heard,
/// notes may be this many times as late: an engine short of memory says nothing of what waits there, and a whole
/// fleet that took its few attempts back would have it do all its work twice.
const SILENT_MANY: usize = 3;
const LONE_TIMES: Micros = 3;
/// Where no notes come, only a probe that nothing answers for this long shows that.
pub const PROBE_LATE: Micros = 1_600_000;

/// Whether a word is overdue from an engine that was last heard then, on any connection: one that is only full
/// tells nothing of what waits on this, but goes on answering on others.
pub fn is_overdue(now: Micros, notes: Option<Micros>, heard: Micros, only_probes: bool) -> bool {
    match notes {
        Some(every) => now > heard + every + NOTE_LATE,
        None => only_probes && now > heard + PROBE_LATE,
    }
}

/// How often word is due where so many attempts are out on an engine and others of its zone are heard, or not.
pub fn note_patience(every: Micros, out: usize, zone_heard: bool) -> Micros {
    every
        * if out < SILENT_MANY && zone_heard {
            LONE_TIMES
        } else {
            1
        }
}
