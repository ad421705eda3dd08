//! The retry budget while the wall clock is set. Retries are counted at the engines by the monotonic clock.

use super::{ask, site, HOUR, SECOND};
use std::time::{Duration, Instant};

/// Sends requests whose first attempt fails until the budget is spent, and ten more after a step of the wall clock.
fn retries_stay_within_the_budget_across(step: i64) {
    let (site, clock, budget) = site(2, 5.0, Duration::from_secs(10));
    let mut sent = Vec::new();
    while site.coordinator.counter("retries_denied") == 0 {
        sent.push(ask(&site, &format!("SELECT fault before {}", sent.len())));
    }
    clock.set(step);
    for n in 0..10 {
        sent.push(ask(&site, &format!("SELECT fault after {n}")));
    }
    let violations = site.request_log.budget_breaches(&budget, &sent);
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn wall_clock_set_forward_does_not_renew_the_retry_budget() {
    retries_stay_within_the_budget_across(20 * SECOND);
    retries_stay_within_the_budget_across(HOUR);
}

#[test]
fn wall_clock_set_back_does_not_stretch_the_retry_window() {
    let (site, clock, budget) = site(2, 2.0, Duration::from_secs(1));
    clock.set(-HOUR);
    let (start, mut sent) = (Instant::now(), Vec::new());
    // Successful requests over several windows: each request raises the budget of its own window only.
    while start.elapsed() < 4 * budget.window {
        sent.push(ask(&site, &format!("SELECT {}", sent.len())));
        std::thread::sleep(Duration::from_millis(2));
    }
    let failures = (sent.len() / 10).max(40);
    for n in 0..failures {
        sent.push(ask(&site, &format!("SELECT fault {n}")));
    }
    let violations = site.request_log.budget_breaches(&budget, &sent);
    assert!(violations.is_empty(), "{violations:#?}");
}
