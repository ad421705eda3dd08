//! When an engine that says nothing counts as silent.

use driftfront::net::silence::{is_overdue, tolerated_interval};

#[test]
fn single_silent_query_is_tolerated_while_its_zone_is_heard() {
    let overdue = |out, zone| {
        is_overdue(
            2_000_000,
            Some(tolerated_interval(1_000_000, out, zone)),
            0,
            false,
        )
    };
    assert!(!overdue(1, true) && !overdue(2, true));
    // Many of them, or a zone of which nothing is heard, mean what they did.
    assert!(overdue(3, true) && overdue(1, false));
}

#[test]
fn silence_is_judged_by_engine_not_by_connection() {
    let notes = Some(1_000_000);
    assert!(is_overdue(10_000_000, notes, 8_000_000, false));
    assert!(!is_overdue(10_000_000, notes, 9_900_000, false));
    // Where no notes come a query may run for as long as it likes.
    assert!(!is_overdue(90_000_000, None, 0, false) && is_overdue(90_000_000, None, 0, true));
}
