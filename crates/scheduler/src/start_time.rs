//! Start times: since when an engine counts as started.
//!
//! Input: the start that a list tells, in the Unix time of whoever tells it, and how it was told. Output: the start to reckon
//! with, on the host's monotonic clock. Bound: a clock that is off by an hour makes no engine warm that is told as new, and keeps
//! none cold for longer than its warm-up.

use crate::events::ListKind;
use crate::types::Micros;

/// Changes of the list are told within this time of what they tell; the rules count them as told after 7 s.
const MAX_LIST_DELAY: Micros = 10_000_000;

/// The start to reckon with. `is_news`: this start was not known before.
pub(crate) fn believed_start(now: Micros, kind: ListKind, listed: Micros, is_news: bool) -> Micros {
    // A start in the future: this clock is behind. It has started by now.
    let by_now = listed.min(now);
    // A start long ago that is news, told as a change: this clock is ahead, or the list came late. It may have started just now.
    let is_odd = kind == ListKind::Changes && is_news && by_now + MAX_LIST_DELAY < now;
    if is_odd {
        now
    } else {
        by_now
    }
}
