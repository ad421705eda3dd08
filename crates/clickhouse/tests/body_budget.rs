//! The budget for buffered bodies.

use driftfront_clickhouse::body_budget::{
    BodyBudget, Reservation, MAX_BUFFERED_BYTES, UNBUDGETED_BYTES,
};

fn reservation(reserved_bytes: usize, max_body_bytes: usize) -> Reservation {
    Reservation {
        reserved_bytes,
        max_body_bytes,
    }
}

#[test]
fn small_bodies_are_always_buffered_and_large_ones_share_the_budget() {
    let mut budget = BodyBudget::new(3 * MAX_BUFFERED_BYTES);
    let mut reserved = Vec::new();
    // Each body grows by 64 KB until it has to be streamed.
    let mut last = reservation(0, MAX_BUFFERED_BYTES);
    for _ in 0..10 {
        let mut size = 0;
        last.reserved_bytes = 0;
        while size < MAX_BUFFERED_BYTES {
            size += 64 * 1024;
            last = budget.reserve(last.reserved_bytes, size);
            if size > last.max_body_bytes {
                break;
            }
        }
        reserved.push(last.reserved_bytes);
    }
    assert!(
        budget.total_reserved_bytes() <= 3 * MAX_BUFFERED_BYTES
            && budget.total_reserved_bytes() > 2 * MAX_BUFFERED_BYTES
    );
    assert!(last.max_body_bytes < MAX_BUFFERED_BYTES);
    assert_eq!(
        budget.reserve(0, UNBUDGETED_BYTES),
        reservation(0, MAX_BUFFERED_BYTES)
    );
    assert!(budget.counters().over_budget > 0);
    reserved.into_iter().for_each(|r| budget.release(r));
    assert_eq!(budget.total_reserved_bytes(), 0);
}

#[test]
fn body_over_the_size_limit_keeps_its_reservation_and_is_streamed() {
    let mut budget = BodyBudget::new(64 * MAX_BUFFERED_BYTES);
    let full = reservation(MAX_BUFFERED_BYTES - UNBUDGETED_BYTES, MAX_BUFFERED_BYTES);
    assert_eq!(budget.reserve(0, MAX_BUFFERED_BYTES), full);
    assert_eq!(
        budget.reserve(full.reserved_bytes, MAX_BUFFERED_BYTES + 1),
        full
    );
    assert_eq!(budget.counters().too_large, 1);
}
