//! The retry budget, counted at the engines on a clock that nobody sets.

use super::{ask, site, HOUR, SECOND};
use std::time::{Duration, Instant};

/// Requests whose first attempt errs until the budget is spent, then as many again behind a step.
fn retries_stay_within_the_budget_across(step: i64) {
    let (site, clock, budget) = site(2, 5.0, Duration::from_secs(10));
    let mut taken = Vec::new();
    while site.coordinator.counter("retries_denied") == 0 {
        taken.push(ask(&site, &format!("SELECT fault before {}", taken.len())));
    }
    clock.set(step);
    for n in 0..10 {
        taken.push(ask(&site, &format!("SELECT fault behind {n}")));
    }
    let breaches = site.request_log.budget_breaches(&budget, &taken);
    assert!(breaches.is_empty(), "{breaches:#?}");
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
    let (begin, mut taken) = (Instant::now(), Vec::new());
    // Several windows of requests that are served: each window's count for that window alone.
    while begin.elapsed() < 4 * budget.window {
        taken.push(ask(&site, &format!("SELECT {}", taken.len())));
        std::thread::sleep(Duration::from_millis(2));
    }
    let most = (taken.len() / 10).max(40);
    for n in 0..most {
        taken.push(ask(&site, &format!("SELECT fault {n}")));
    }
    let breaches = site.request_log.budget_breaches(&budget, &taken);
    assert!(breaches.is_empty(), "{breaches:#?}");
}
