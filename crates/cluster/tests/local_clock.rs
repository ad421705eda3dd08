//! A member's local time.

use driftfront_cluster::local_clock::{LocalClock, MAX_SELF_SUSPICION};

#[test]
fn local_time_is_slow_after_a_stall_and_recovers() {
    let mut time = LocalClock::default();
    let mut clock = 1_000_000_000;
    time.update(clock);
    for _ in 0..40 {
        clock += 25_000;
        time.update(clock);
    }
    assert_eq!((time.now(), time.self_suspicion()), (1_000_000, 0));
    // A stall of 8 s.
    clock += 8_000_000;
    assert_eq!(time.update(clock), 1_050_000);
    assert_eq!((time.self_suspicion(), time.stalls), (1, 1));
    clock += 25_000;
    assert_eq!(time.update(clock), 1_062_500);
    assert_eq!(time.host_clock_at(1_072_500), Some(clock + 20_000));
    assert_eq!(time.host_clock_at(9_000_000), Some(clock + 50_000));
    for _ in 0..100 {
        clock += 25_000;
        time.update(clock);
    }
    assert_eq!(time.self_suspicion(), 0);
}

#[test]
fn clock_jump_advances_local_time_by_one_step_at_most() {
    let mut time = LocalClock::default();
    time.update(5_000_000_000);
    assert_eq!(time.update(8_600_000_000), 50_000);
    let before = time.now();
    assert_eq!(time.update(1_000_000_000), before);
    assert!(time.update(1_000_025_000) > before);
    for n in 0..1000 {
        time.record_accusation();
        time.update(1_000_050_000 + n);
    }
    assert_eq!(time.self_suspicion(), MAX_SELF_SUSPICION);
}
