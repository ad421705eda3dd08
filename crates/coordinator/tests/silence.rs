//! Detection of engines that have stopped sending.

use driftfront::net::silence::{is_overdue, tolerated_interval};

#[test]
fn few_silent_attempts_are_tolerated_while_their_zone_responds() {
    let overdue = |attempts, is_zone_responsive| {
        is_overdue(
            2_000_000,
            Some(tolerated_interval(1_000_000, attempts, is_zone_responsive)),
            0,
            false,
        )
    };
    assert!(!overdue(1, true) && !overdue(2, true));
    // With more silent attempts, or when no other engine of the zone responds, the plain interval applies.
    assert!(overdue(3, true) && overdue(1, false));
}

#[test]
fn silence_is_measured_per_engine_not_per_connection() {
    let report_interval = Some(1_000_000);
    assert!(is_overdue(10_000_000, report_interval, 8_000_000, false));
    assert!(!is_overdue(10_000_000, report_interval, 9_900_000, false));
    // Without progress reports, a query may run for any length of time.
    assert!(!is_overdue(90_000_000, None, 0, false) && is_overdue(90_000_000, None, 0, true));
}
