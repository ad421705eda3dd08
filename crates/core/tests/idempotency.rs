//! Tests with optional features enabled: classes with idempotency keys, memory grants, cancellation of attempts, and engines
//! that report a query's cost.

use driftfront_core::{
    AttemptKey, Cause, Command, Core, Limits, ListKind, ListedEngine, Outcome, ParsedRequest,
    Phase, Progress, RequestId,
};
use driftfront_test_support::request_core::{core, listed, settings, LIMITS, LOAD, LOOKUP, S};
use std::rc::Rc;

const MS: u64 = 1_000;

struct CoreHarness {
    core: Core,
    now: u64,
    last_name: u64,
}

/// The commands of one step, by kind.
#[derive(Default)]
struct StepOutcome {
    sent: Vec<AttemptKey>,
    abandoned: Vec<AttemptKey>,
    rejected: usize,
    failed: usize,
}

impl CoreHarness {
    fn new(engines: u64) -> CoreHarness {
        CoreHarness::with_limits(engines, LIMITS)
    }

    fn with_limits(engines: u64, limits: Limits) -> CoreHarness {
        let settings = settings(|text| {
            text.replace(
                "\"single_shot\"",
                "\"guarded\", \"KeyScope\": \"all\", \"RepeatWindowUs\": 12000000",
            )
            .replace("\"Cancel\": false", "\"Cancel\": true")
            .replace(
                "\"SizeCores\"",
                "\"GrantsCount\": true, \"SaysCost\": true, \"SizeCores\"",
            )
        });
        let mut harness = CoreHarness {
            core: core(settings, limits),
            now: 1000 * S,
            last_name: 0,
        };
        let list: Vec<ListedEngine> = (1..=engines).map(|n| listed(n, Phase::Ready)).collect();
        harness
            .core
            .update_engines(harness.now, ListKind::Full, &list);
        harness.commands();
        harness
    }

    fn commands(&mut self) -> StepOutcome {
        let mut step = StepOutcome::default();
        while let Some(command) = self.core.next_command() {
            match command {
                Command::StartAttempt(key, _)
                    if self.core.may_write_attempt(self.now, key).is_some() =>
                {
                    self.core.record_progress(key, Progress::FullyWritten);
                    step.sent.push(key);
                }
                Command::AbandonAttempt(key, _) => step.abandoned.push(key),
                Command::Probe(_, tag) => self.core.record_probe(self.now, tag, Outcome::Ok, &[]),
                Command::Reject(..) => step.rejected += 1,
                Command::Fail(..) => step.failed += 1,
                _ => {}
            }
        }
        step
    }

    fn send_request(&mut self, class: u16, key: Option<&str>) -> (RequestId, StepOutcome) {
        self.last_name += 1;
        let parsed = ParsedRequest {
            name: format!("c{}", self.last_name).into(),
            class,
            client_timeout: 20 * S,
            work: Some(if class == LOAD { 8e6 } else { 100_000.0 }),
            memory_mb: Some(96.0),
            idempotency_key: key.map(Rc::from),
            statement: Rc::from(*b"x"),
            ..ParsedRequest::default()
        };
        let id = self.core.accept_request(self.now, parsed);
        (id, self.commands())
    }

    fn wait(&mut self, time: u64) -> StepOutcome {
        let until = self.now + time;
        let mut all = StepOutcome::default();
        while let Some(due) = self.core.next_due().filter(|&due| due <= until) {
            self.now = self.now.max(due);
            self.core.fire_timers(self.now);
            let step = self.commands();
            all.sent.extend(step.sent);
            all.abandoned.extend(step.abandoned);
            all.rejected += step.rejected;
            all.failed += step.failed;
        }
        self.now = until;
        all
    }

    fn reset_connection(&mut self, key: AttemptKey) -> StepOutcome {
        self.core
            .attempt_failed(self.now, key, Cause::Connection("reset".into()));
        self.commands()
    }
}

#[test]
fn keyed_load_is_retried_only_with_its_key() {
    for (key, is_retried) in [(Some("5c0f6e1a"), true), (None, false)] {
        let mut harness = CoreHarness::new(2);
        let first = harness.send_request(LOAD, key).1.sent[0];
        harness.wait(S);
        let step = harness.reset_connection(first);
        assert_eq!(
            (step.sent.len(), step.failed),
            (usize::from(is_retried), usize::from(!is_retried)),
            "{key:?}"
        );
    }
}

#[test]
fn keyed_load_is_not_retried_after_the_deduplication_window() {
    let mut harness = CoreHarness::new(2);
    let first = harness.send_request(LOAD, Some("5c0f6e1a")).1.sent[0];
    harness.wait(12 * S);
    let step = harness.reset_connection(first);
    assert!(step.sent.is_empty());
    assert_eq!(step.rejected + step.failed, 1);
}

#[test]
fn cancelled_attempt_is_retried_after_its_engine_is_notified() {
    let mut harness = CoreHarness::new(2);
    // The scheduler learns the class's usual run time first, so that it can detect an attempt that exceeds it.
    for _ in 0..8 {
        let key = harness.send_request(LOOKUP, None).1.sent[0];
        harness.wait(20 * MS);
        harness.core.complete_attempt(harness.now, key);
        harness.commands();
    }
    let first = harness.send_request(LOOKUP, None).1.sent[0];
    let mut abandoned = Vec::new();
    for _ in 0..200 {
        let step = harness.wait(10 * MS);
        abandoned.extend(step.abandoned);
        if !abandoned.is_empty() {
            assert!(
                step.sent.is_empty(),
                "retried at the same time as the previous attempt is cancelled"
            );
            break;
        }
    }
    assert_eq!(abandoned, [first]);
    assert!(harness.core.is_in_flight(first));
    assert!(harness.wait(25 * MS).sent.is_empty());
    let retries = harness.wait(50 * MS).sent;
    assert_eq!((retries.len(), retries[0].request), (1, first.request));
    assert!(!harness.core.is_in_flight(first));
    assert_eq!(harness.core.counters().attempts_cancelled, 1);
}

#[test]
fn attempt_on_a_locally_closed_connection_is_retried_after_the_same_delay() {
    let mut harness = CoreHarness::new(2);
    let first = harness.send_request(LOOKUP, None).1.sent[0];
    harness
        .core
        .attempt_failed(harness.now, first, Cause::Closed("nonsense".into()));
    assert!(harness.commands().sent.is_empty() && harness.wait(30 * MS).sent.is_empty());
    assert_eq!(harness.wait(20 * MS).sent.len(), 1);
    // An attempt whose connection the engine closed is retried at once.
    let second = harness.send_request(LOOKUP, None).1.sent[0];
    assert_eq!(harness.reset_connection(second).sent.len(), 1);
}

#[test]
fn memory_grant_goes_with_the_attempt() {
    let mut harness = CoreHarness::new(2);
    let first = harness.send_request(LOOKUP, None).1.sent[0];
    let granted = harness.core.grant_mb(first);
    assert!((96.0..1000.0).contains(&granted), "{granted}");
}

#[test]
fn key_is_retained_while_its_client_may_retry() {
    let mut harness = CoreHarness::with_limits(
        1,
        Limits {
            max_idempotency_keys: 2,
            ..LIMITS
        },
    );
    for key in ["a", "b"] {
        let (_, step) = harness.send_request(LOAD, Some(key));
        harness.core.complete_attempt(harness.now, step.sent[0]);
        harness.commands();
    }
    // Evicting the oldest key would let a late retry by its client run twice, so a request with a further key is rejected.
    let (_, third) = harness.send_request(LOAD, Some("c"));
    assert_eq!(
        (
            third.sent.len(),
            third.rejected,
            harness.core.counters().idempotency_keys_refused
        ),
        (0, 1, 1)
    );
    // Known keys and requests without a key need no room.
    harness.wait(5 * S);
    assert_eq!(harness.send_request(LOAD, Some("a")).1.sent.len(), 1);
    assert_eq!(harness.send_request(LOOKUP, None).1.sent.len(), 1);
    harness.wait(8 * S);
    let (_, late) = harness.send_request(LOAD, Some("b"));
    assert_eq!(
        (
            late.sent.len(),
            late.failed,
            harness.core.counters().idempotency_keys_expired
        ),
        (0, 1, 1)
    );
    // Keys make room once no retry with them can arrive.
    harness.wait(60 * S);
    assert_eq!(harness.send_request(LOAD, Some("c")).1.sent.len(), 1);
}

#[test]
fn key_is_new_again_once_its_first_write_never_ran() {
    let mut harness = CoreHarness::new(1);
    let (_, step) = harness.send_request(LOAD, Some("w"));
    // The engine drains and rejects the attempt; no other attempt is written with the key before the client disconnects.
    harness.core.update_engines(
        harness.now,
        ListKind::Changes,
        &[listed(1, Phase::Draining)],
    );
    harness
        .core
        .attempt_failed(harness.now, step.sent[0], Cause::Rejected);
    assert!(harness.commands().sent.is_empty());
    harness.core.client_left(harness.now, step.sent[0].request);
    harness
        .core
        .update_engines(harness.now, ListKind::Changes, &[listed(1, Phase::Ready)]);
    // The deduplication window of the attempt that never ran has passed.
    harness.wait(13 * S);
    let (_, again) = harness.send_request(LOAD, Some("w"));
    assert_eq!(
        (
            again.failed,
            harness.core.counters().idempotency_keys_expired
        ),
        (0, 0)
    );
}
