//! Delays before reconnecting to a discovery source.

use driftfront::discovery::backoff::{Backoff, Disconnect, BASE_DELAY, MAX_DELAY};

/// Returns the most connection attempts by 100 coordinators in any 10 ms, when each connection ends `after` microseconds.
fn max_attempts_per_10_ms(reason: Disconnect, after: u64) -> usize {
    let mut attempts = std::collections::BTreeMap::<u64, usize>::new();
    for seed in 0..100 {
        let (mut backoff, mut now) = (Backoff::new(seed), 0);
        while now < 4_000_000 {
            backoff.record_heard(now);
            now = backoff.next_attempt_at(now + after, reason);
            *attempts.entry(now / 10_000).or_default() += 1;
        }
    }
    attempts.into_values().max().unwrap()
}

#[test]
fn reconnects_are_spread_when_a_source_goes_silent_for_all_coordinators() {
    let attempts = max_attempts_per_10_ms(Disconnect::Silent, 2_000_000);
    assert!(attempts < 15, "{attempts}");
}

#[test]
fn delay_grows_while_a_source_accepts_and_closes_connections() {
    let mut backoff = Backoff::new(7);
    let mut now = 0;
    for _ in 0..12 {
        backoff.record_heard(now);
        now = backoff.next_attempt_at(now + 1_000, Disconnect::Closed);
    }
    assert!(
        now > 6 * MAX_DELAY / 2,
        "12 connection attempts within {now} µs"
    );
    // A source that has sent data for a while is reconnected after no more than the base delay.
    backoff.record_heard(now);
    backoff.record_heard(now + 2_000_000);
    let next = backoff.next_attempt_at(now + 2_000_000, Disconnect::Closed);
    assert!(next <= now + 2_000_000 + BASE_DELAY);
}
