//! When a source of engine lists is called again.

use driftfront::discovery::backoff::{Backoff, Disconnect, BASE_DELAY, MAX_DELAY};

/// Calls of a hundred coordinators in the fullest 10 ms, where each is broken off this long after it was made.
fn max_calls_at_once(reason: Disconnect, after: u64) -> usize {
    let mut calls = std::collections::BTreeMap::<u64, usize>::new();
    for seed in 0..100 {
        let (mut backoff, mut now) = (Backoff::new(seed), 0);
        while now < 4_000_000 {
            backoff.record_heard(now);
            now = backoff.next_attempt_at(now + after, reason);
            *calls.entry(now / 10_000).or_default() += 1;
        }
    }
    calls.into_values().max().unwrap()
}

#[test]
fn calls_are_spread_when_a_source_falls_silent_for_all_at_once() {
    let calls = max_calls_at_once(Disconnect::Silent, 2_000_000);
    assert!(calls < 15, "{calls}");
}

#[test]
fn delay_grows_while_a_source_accepts_and_breaks_off() {
    let mut backoff = Backoff::new(7);
    let mut now = 0;
    for _ in 0..12 {
        backoff.record_heard(now);
        now = backoff.next_attempt_at(now + 1_000, Disconnect::Closed);
    }
    assert!(now > 6 * MAX_DELAY / 2, "twelve calls within {now} µs");
    // One that has brought something for long is called at once again.
    backoff.record_heard(now);
    backoff.record_heard(now + 2_000_000);
    let next = backoff.next_attempt_at(now + 2_000_000, Disconnect::Closed);
    assert!(next <= now + 2_000_000 + BASE_DELAY);
}
