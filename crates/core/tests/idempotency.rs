//! What a second deployment's settings bring: keyed classes, memory grants, attempts that may be called off, and
//! engines that tell what a query cost.

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
    left: Vec<AttemptKey>,
    refused: usize,
    failed: usize,
}

impl CoreHarness {
    fn new(engines: u64) -> CoreHarness {
        CoreHarness::limited(engines, LIMITS)
    }

    fn limited(engines: u64, limits: Limits) -> CoreHarness {
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
        let lines: Vec<ListedEngine> = (1..=engines).map(|n| listed(n, Phase::Ready)).collect();
        harness
            .core
            .update_engines(harness.now, ListKind::Full, &lines);
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
                Command::AbandonAttempt(key, _) => step.left.push(key),
                Command::Probe(_, tag) => self.core.record_probe(self.now, tag, Outcome::Ok, &[]),
                Command::Reject(..) => step.refused += 1,
                Command::Fail(..) => step.failed += 1,
                _ => {}
            }
        }
        step
    }

    fn send_request(&mut self, class: u16, token: Option<&str>) -> (RequestId, StepOutcome) {
        self.last_name += 1;
        let parsed = ParsedRequest {
            name: format!("c{}", self.last_name).into(),
            class,
            client_timeout: 20 * S,
            work: Some(if class == LOAD { 8e6 } else { 100_000.0 }),
            memory_mb: Some(96.0),
            idempotency_key: token.map(Rc::from),
            statement: Rc::from(*b"x"),
            ..ParsedRequest::default()
        };
        let id = self.core.accept_request(self.now, parsed);
        (id, self.commands())
    }

    fn wait(&mut self, span: u64) -> StepOutcome {
        let until = self.now + span;
        let mut all = StepOutcome::default();
        while let Some(due) = self.core.next_due().filter(|&due| due <= until) {
            self.now = self.now.max(due);
            self.core.fire_timers(self.now);
            let step = self.commands();
            all.sent.extend(step.sent);
            all.left.extend(step.left);
            all.refused += step.refused;
            all.failed += step.failed;
        }
        self.now = until;
        all
    }

    fn lose(&mut self, key: AttemptKey) -> StepOutcome {
        self.core
            .attempt_failed(self.now, key, Cause::Connection("reset".into()));
        self.commands()
    }
}

#[test]
fn keyed_load_is_retried_only_with_its_key() {
    for (token, again) in [(Some("5c0f6e1a"), true), (None, false)] {
        let mut harness = CoreHarness::new(2);
        let first = harness.send_request(LOAD, token).1.sent[0];
        harness.wait(S);
        let step = harness.lose(first);
        assert_eq!(
            (step.sent.len(), step.failed),
            (usize::from(again), usize::from(!again)),
            "{token:?}"
        );
    }
}

#[test]
fn keyed_load_is_not_retried_after_the_deduplication_window() {
    let mut harness = CoreHarness::new(2);
    let first = harness.send_request(LOAD, Some("5c0f6e1a")).1.sent[0];
    harness.wait(12 * S);
    let step = harness.lose(first);
    assert!(step.sent.is_empty());
    assert_eq!(step.refused + step.failed, 1);
}

#[test]
fn cancelled_attempt_is_retried_once_its_engine_can_know() {
    let mut harness = CoreHarness::new(2);
    // The class's usual run is learnt first, so that one that overruns can be told.
    for _ in 0..8 {
        let key = harness.send_request(LOOKUP, None).1.sent[0];
        harness.wait(20 * MS);
        harness.core.complete_attempt(harness.now, key);
        harness.commands();
    }
    let first = harness.send_request(LOOKUP, None).1.sent[0];
    let mut left = Vec::new();
    for _ in 0..200 {
        let step = harness.wait(10 * MS);
        left.extend(step.left);
        if !left.is_empty() {
            assert!(
                step.sent.is_empty(),
                "sent in the same moment as the notice that ends the one before"
            );
            break;
        }
    }
    assert_eq!(left, [first]);
    assert!(harness.core.is_in_flight(first));
    assert!(harness.wait(25 * MS).sent.is_empty());
    let again = harness.wait(50 * MS).sent;
    assert_eq!((again.len(), again[0].request), (1, first.request));
    assert!(!harness.core.is_in_flight(first));
    assert_eq!(harness.core.counters().attempts_cancelled, 1);
}

#[test]
fn attempt_on_a_connection_we_closed_is_retried_as_late() {
    let mut harness = CoreHarness::new(2);
    let first = harness.send_request(LOOKUP, None).1.sent[0];
    harness
        .core
        .attempt_failed(harness.now, first, Cause::Closed("nonsense".into()));
    assert!(harness.commands().sent.is_empty() && harness.wait(30 * MS).sent.is_empty());
    assert_eq!(harness.wait(20 * MS).sent.len(), 1);
    // What the engine's side ended needs no such wait.
    let second = harness.send_request(LOOKUP, None).1.sent[0];
    assert_eq!(harness.lose(second).sent.len(), 1);
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
    let mut harness = CoreHarness::limited(
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
    // Dropping the oldest would let its client's late retry run again: who comes beyond the room is refused instead.
    let (_, third) = harness.send_request(LOAD, Some("c"));
    assert_eq!(
        (
            third.sent.len(),
            third.refused,
            harness.core.counters().idempotency_keys_refused
        ),
        (0, 1, 1)
    );
    // Keys that are known need no room, and what is not keyed neither.
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
    // Once no try of theirs can come they make room.
    harness.wait(60 * S);
    assert_eq!(harness.send_request(LOAD, Some("c")).1.sent.len(), 1);
}

#[test]
fn key_is_new_again_once_its_first_write_never_ran() {
    let mut harness = CoreHarness::new(1);
    let (_, step) = harness.send_request(LOAD, Some("w"));
    // The engine drains and turns away what is out; nothing goes again under the key before its client leaves.
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
    // Behind the engines' window of what never ran.
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
