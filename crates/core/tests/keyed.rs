//! What a second deployment's settings bring: keyed classes, memory grants, attempts that may be called off, and
//! engines that tell what a query cost.

mod common;

use common::{core, listed, settings, LIMITS, LOAD, LOOKUP, S};
use driftfront_core::{
    AttemptKey, Cause, Command, Core, Limits, ListKind, ListedEngine, Outcome, ParsedRequest,
    Phase, Progress, RequestId,
};
use std::rc::Rc;

const MS: u64 = 1_000;

struct Rig {
    core: Core,
    now: u64,
    asked: u64,
}

/// The commands of one step, by kind.
#[derive(Default)]
struct AttemptReport {
    sent: Vec<AttemptKey>,
    left: Vec<AttemptKey>,
    refused: usize,
    failed: usize,
}

impl Rig {
    fn new(engines: u64) -> Rig {
        Rig::limited(engines, LIMITS)
    }

    fn limited(engines: u64, limits: Limits) -> Rig {
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
        let mut rig = Rig {
            core: core(settings, limits),
            now: 1000 * S,
            asked: 0,
        };
        let lines: Vec<ListedEngine> = (1..=engines).map(|n| listed(n, Phase::Ready)).collect();
        rig.core.update_engines(rig.now, ListKind::Full, &lines);
        rig.commands();
        rig
    }

    fn commands(&mut self) -> AttemptReport {
        let mut told = AttemptReport::default();
        while let Some(command) = self.core.next_command() {
            match command {
                Command::StartAttempt(key, _)
                    if self.core.may_write_attempt(self.now, key).is_some() =>
                {
                    self.core.record_progress(key, Progress::WrittenWhole);
                    told.sent.push(key);
                }
                Command::AbandonAttempt(key, _) => told.left.push(key),
                Command::Probe(_, tag) => self.core.record_probe(self.now, tag, Outcome::Ok, &[]),
                Command::Reject(..) => told.refused += 1,
                Command::Fail(..) => told.failed += 1,
                _ => {}
            }
        }
        told
    }

    fn ask(&mut self, class: u16, token: Option<&str>) -> (RequestId, AttemptReport) {
        self.asked += 1;
        let ask = ParsedRequest {
            call: format!("c{}", self.asked).into(),
            class,
            budget: 20 * S,
            work: Some(if class == LOAD { 8e6 } else { 100_000.0 }),
            memory_mb: Some(96.0),
            token: token.map(Rc::from),
            statement: Rc::from(*b"x"),
            ..ParsedRequest::default()
        };
        let id = self.core.accept_request(self.now, ask);
        (id, self.commands())
    }

    fn wait(&mut self, span: u64) -> AttemptReport {
        let until = self.now + span;
        let mut all = AttemptReport::default();
        while let Some(due) = self.core.next_due().filter(|&due| due <= until) {
            self.now = self.now.max(due);
            self.core.fire_timers(self.now);
            let told = self.commands();
            all.sent.extend(told.sent);
            all.left.extend(told.left);
            all.refused += told.refused;
            all.failed += told.failed;
        }
        self.now = until;
        all
    }

    fn lose(&mut self, key: AttemptKey) -> AttemptReport {
        self.core
            .attempt_failed(self.now, key, Cause::Connection("reset".into()));
        self.commands()
    }
}

#[test]
fn a_keyed_load_that_may_have_run_goes_again_with_its_token_and_never_without() {
    for (token, again) in [(Some("5c0f6e1a"), true), (None, false)] {
        let mut rig = Rig::new(2);
        let first = rig.ask(LOAD, token).1.sent[0];
        rig.wait(S);
        let told = rig.lose(first);
        assert_eq!(
            (told.sent.len(), told.failed),
            (usize::from(again), usize::from(!again)),
            "{token:?}"
        );
    }
}

#[test]
fn a_keyed_load_does_not_go_again_once_engines_no_longer_know_it() {
    let mut rig = Rig::new(2);
    let first = rig.ask(LOAD, Some("5c0f6e1a")).1.sent[0];
    rig.wait(12 * S);
    let told = rig.lose(first);
    assert!(told.sent.is_empty());
    assert_eq!(told.refused + told.failed, 1);
}

#[test]
fn what_is_called_off_is_made_again_only_once_its_engine_can_know() {
    let mut rig = Rig::new(2);
    // The class's usual run is learnt first, so that one that overruns can be told.
    for _ in 0..8 {
        let key = rig.ask(LOOKUP, None).1.sent[0];
        rig.wait(20 * MS);
        rig.core.complete_attempt(rig.now, key);
        rig.commands();
    }
    let first = rig.ask(LOOKUP, None).1.sent[0];
    let mut left = Vec::new();
    for _ in 0..200 {
        let told = rig.wait(10 * MS);
        left.extend(told.left);
        if !left.is_empty() {
            assert!(
                told.sent.is_empty(),
                "sent in the same moment as the word that ends the one before"
            );
            break;
        }
    }
    assert_eq!(left, [first]);
    assert!(rig.core.is_in_flight(first));
    assert!(rig.wait(25 * MS).sent.is_empty());
    let again = rig.wait(50 * MS).sent;
    assert_eq!((again.len(), again[0].request), (1, first.request));
    assert!(!rig.core.is_in_flight(first));
    assert_eq!(rig.core.counters().attempts_cancelled, 1);
}

#[test]
fn what_was_lost_with_a_connection_that_we_closed_waits_as_long() {
    let mut rig = Rig::new(2);
    let first = rig.ask(LOOKUP, None).1.sent[0];
    rig.core
        .attempt_failed(rig.now, first, Cause::Closed("nonsense".into()));
    assert!(rig.commands().sent.is_empty() && rig.wait(30 * MS).sent.is_empty());
    assert_eq!(rig.wait(20 * MS).sent.len(), 1);
    // What the engine's side ended needs no such wait.
    let second = rig.ask(LOOKUP, None).1.sent[0];
    assert_eq!(rig.lose(second).sent.len(), 1);
}

#[test]
fn the_module_s_grant_goes_with_the_attempt() {
    let mut rig = Rig::new(2);
    let first = rig.ask(LOOKUP, None).1.sent[0];
    let granted = rig.core.grant_mb(first);
    assert!((96.0..1000.0).contains(&granted), "{granted}");
}

#[test]
fn no_word_is_dropped_for_want_of_room_while_its_client_may_come_again() {
    let mut rig = Rig::limited(
        1,
        Limits {
            tokens: 2,
            ..LIMITS
        },
    );
    for word in ["a", "b"] {
        let (_, told) = rig.ask(LOAD, Some(word));
        rig.core.complete_attempt(rig.now, told.sent[0]);
        rig.commands();
    }
    // Dropping the oldest would let its client's late retry run again: who comes beyond the room is refused instead.
    let (_, third) = rig.ask(LOAD, Some("c"));
    assert_eq!(
        (
            third.sent.len(),
            third.refused,
            rig.core.counters().idempotency_keys_refused
        ),
        (0, 1, 1)
    );
    // The words that are known need no room, and what is not keyed neither.
    rig.wait(5 * S);
    assert_eq!(rig.ask(LOAD, Some("a")).1.sent.len(), 1);
    assert_eq!(rig.ask(LOOKUP, None).1.sent.len(), 1);
    rig.wait(8 * S);
    let (_, late) = rig.ask(LOAD, Some("b"));
    assert_eq!(
        (
            late.sent.len(),
            late.failed,
            rig.core.counters().idempotency_keys_expired
        ),
        (0, 1, 1)
    );
    // Once no try of theirs can come they make room.
    rig.wait(60 * S);
    assert_eq!(rig.ask(LOAD, Some("c")).1.sent.len(), 1);
}

#[test]
fn a_word_is_fresh_again_once_its_first_writing_proves_never_to_have_run() {
    let mut rig = Rig::new(1);
    let (_, told) = rig.ask(LOAD, Some("w"));
    // The engine drains and turns away what is out; nothing goes again under the word before its client leaves.
    rig.core
        .update_engines(rig.now, ListKind::Changes, &[listed(1, Phase::Draining)]);
    rig.core
        .attempt_failed(rig.now, told.sent[0], Cause::Rejected);
    assert!(rig.commands().sent.is_empty());
    rig.core.client_left(rig.now, told.sent[0].request);
    rig.core
        .update_engines(rig.now, ListKind::Changes, &[listed(1, Phase::Ready)]);
    // Behind the engines' window of what never ran.
    rig.wait(13 * S);
    let (_, again) = rig.ask(LOAD, Some("w"));
    assert_eq!(
        (again.failed, rig.core.counters().idempotency_keys_expired),
        (0, 0)
    );
}
