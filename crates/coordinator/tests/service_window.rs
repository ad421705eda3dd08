//! Request statistics over the last minute and the last hour.

use driftfront::service_window::{RequestOutcome, ServiceWindow};

#[test]
fn window_drops_requests_older_than_its_length_and_keeps_the_rest() {
    let mut window = ServiceWindow::minute();
    for n in 0..600 {
        // One request a second: every fourth is late, every tenth is rejected.
        let outcome = if n % 10 == 9 {
            RequestOutcome::Rejected
        } else {
            RequestOutcome::Served
        };
        let latency = if n % 4 == 0 { 900_000 } else { 20_000 };
        window.add(n * 1_000_000, outcome, latency, 500_000);
    }
    let sum = window.sum(599_000_000);
    assert_eq!((sum.asked, sum.refused), (60, 6));
    assert!(sum.in_time < sum.served && sum.p50_ms >= 19.0 && sum.p50_ms <= 21.0);
    assert!((880.0..=920.0).contains(&sum.p99_ms), "{}", sum.p99_ms);
    assert_eq!(window.sum(900_000_000).asked, 0);
    // After the clock is set back, only requests within the window that ends at the new time are counted.
    assert!(window.sum(580_000_000).asked <= 60);
}

#[test]
fn memory_of_an_hour_window_is_bounded() {
    let mut window = ServiceWindow::hour();
    for n in 0..100_000u64 {
        let latency = n * 7919 % 130_000_000;
        window.add(n * 72_000, RequestOutcome::Served, latency, 1);
    }
    assert!(window.bytes() < 60 * 8 * 1024, "{}", window.bytes());
}
