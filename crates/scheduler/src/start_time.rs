//! Start times: decides when an engine is considered to have started.
//!
//! Input: the listed start in Unix time by the list source's clock, and the kind of list. Output:
//! the start on the host's monotonic clock. Bound: with a clock that is off by an hour, an engine
//! listed as new still gets its slow start, and no engine stays in slow start for longer than its
//! warm-up time.

use crate::events::ListKind;
use crate::types::Micros;

/// Changes to the list arrive within this time of the event that they describe. The rules assume 7
/// s.
const MAX_LIST_DELAY: Micros = 10_000_000;

/// The start time to use. `is_new_start` says that this start was not known before.
pub(crate) fn effective_start(
    now: Micros,
    kind: ListKind,
    listed: Micros,
    is_new_start: bool,
) -> Micros {
    // A start in the future means that this clock is behind; the engine has started by now.
    let past_start = listed.min(now);
    // A new start long ago, in a list of changes, means that this clock is ahead or that the list
    // was delayed. The engine may have started just now.
    let is_implausible =
        kind == ListKind::Changes && is_new_start && past_start + MAX_LIST_DELAY < now;
    if is_implausible {
        now
    } else {
        past_start
    }
}
