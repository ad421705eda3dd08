//! Tests of lost attempts, whose responses do not arrive while their engine responds to others.

use driftfront_core::{
    AttemptKey, Command, Core, Limits, ListKind, ParsedRequest, Phase, Progress, ProgressReport,
};
use driftfront_test_support::request_core::{core, listed, LIMITS, LOAD, LOOKUP, S};
use std::rc::Rc;

struct CoreHarness {
    core: Core,
    now: u64,
    last_name: u64,
}

impl CoreHarness {
    fn new(engines_report_attempts: bool) -> CoreHarness {
        let mut settings = driftfront_test_support::request_core::settings(str::to_string);
        settings.progress_interval = Some(S);
        let limits = Limits {
            engines_report_attempts,
            ..LIMITS
        };
        let mut harness = CoreHarness {
            core: core(settings, limits),
            now: 1000 * S,
            last_name: 0,
        };
        let engine = listed(1, Phase::Ready);
        harness
            .core
            .update_engines(harness.now, ListKind::Full, &[engine]);
        harness.commands();
        harness
    }

    /// Executes the core's commands; returns the attempts that were sent and those that were abandoned.
    fn commands(&mut self) -> (Vec<AttemptKey>, Vec<AttemptKey>) {
        let (mut sent, mut abandoned) = (Vec::new(), Vec::new());
        while let Some(command) = self.core.next_command() {
            match command {
                Command::StartAttempt(key, _) => {
                    assert!(self.core.may_write_attempt(self.now, key).is_some());
                    self.core.record_progress(key, Progress::FullyWritten);
                    sent.push(key);
                }
                Command::AbandonAttempt(key, _) => abandoned.push(key),
                _ => {}
            }
        }
        (sent, abandoned)
    }

    fn send_request(&mut self, class: u16) -> AttemptKey {
        self.last_name += 1;
        let name = format!("c{}", self.last_name);
        let parsed = ParsedRequest {
            name: name.as_str().into(),
            class,
            client_timeout: 20 * S,
            statement: Rc::from(*b"x"),
            ..ParsedRequest::default()
        };
        self.core.accept_request(self.now, parsed);
        self.commands().0[0]
    }

    fn wait(&mut self, until: u64) -> (Vec<AttemptKey>, Vec<AttemptKey>) {
        let mut all = (Vec::new(), Vec::new());
        while self.now < until {
            self.now += 25_000;
            self.core.fire_timers(self.now);
            let (sent, abandoned) = self.commands();
            all.0.extend(sent);
            all.1.extend(abandoned);
        }
        all
    }
}

#[test]
fn lost_attempt_is_retried_once_a_later_one_is_reported() {
    let mut harness = CoreHarness::new(true);
    let begin = harness.now;
    let first = harness.send_request(LOOKUP);
    harness.wait(begin + 100_000);
    let second = harness.send_request(LOOKUP);
    harness.wait(begin + S);
    harness
        .core
        .record_progress_report(harness.now, second, ProgressReport::Progress(0.1));
    assert!(harness.wait(begin + 17 * S / 10).1.is_empty());
    let (retries, abandoned) = harness.wait(begin + 19 * S / 10);
    assert_eq!((abandoned, retries.len()), (vec![first], 1));
    assert_eq!((retries[0].request, retries[0].number), (first.request, 1));
    assert_eq!(harness.core.counters().attempts_lost, 1);
    // The second attempt was reported on meanwhile, so it is not overdue yet.
    assert!(harness.wait(begin + 27 * S / 10).1.is_empty());
}

#[test]
fn queued_or_non_idempotent_attempt_is_not_abandoned() {
    // No later attempt was reported on, so this one may be queued for memory, which engines do not report.
    let mut harness = CoreHarness::new(true);
    let begin = harness.now;
    let first = harness.send_request(LOOKUP);
    harness
        .core
        .record_progress_report(harness.now, first, ProgressReport::Progress(0.1));
    assert!(harness.wait(begin + 4 * S).1.is_empty());
    // Neither a class that may not be retried nor engines that do not report on each attempt allow the detection.
    for (class, engines_report_attempts) in [(LOAD, true), (LOOKUP, false)] {
        let mut harness = CoreHarness::new(engines_report_attempts);
        let begin = harness.now;
        harness.send_request(class);
        harness.wait(begin + 100_000);
        let second = harness.send_request(LOOKUP);
        harness
            .core
            .record_progress_report(harness.now, second, ProgressReport::Progress(0.1));
        harness.core.complete_attempt(harness.now, second);
        assert!(harness.wait(begin + 4 * S).1.is_empty());
    }
}
