//! Answers that are lost while their engine goes on answering others.

mod common;

use common::{core, listed, LIMITS, LOAD, LOOKUP, S};
use driftfront_core::{
    AttemptKey, Command, Core, Limits, ListKind, ParsedRequest, Phase, Progress, ProgressReport,
};
use std::rc::Rc;

struct Rig {
    core: Core,
    now: u64,
    asked: u64,
}

impl Rig {
    fn new(tells_each: bool) -> Rig {
        let mut settings = common::settings(str::to_string);
        settings.progress_interval = Some(S);
        let limits = Limits {
            tells_each,
            ..LIMITS
        };
        let mut rig = Rig {
            core: core(settings, limits),
            now: 1000 * S,
            asked: 0,
        };
        let line = listed(1, Phase::Ready);
        rig.core.update_engines(rig.now, ListKind::Full, &[line]);
        rig.commands();
        rig
    }

    /// Sends and what was given up.
    fn commands(&mut self) -> (Vec<AttemptKey>, Vec<AttemptKey>) {
        let (mut sent, mut left) = (Vec::new(), Vec::new());
        while let Some(command) = self.core.next_command() {
            match command {
                Command::StartAttempt(key, _) => {
                    assert!(self.core.may_write_attempt(self.now, key).is_some());
                    self.core.record_progress(key, Progress::WrittenWhole);
                    sent.push(key);
                }
                Command::AbandonAttempt(key, _) => left.push(key),
                _ => {}
            }
        }
        (sent, left)
    }

    fn ask(&mut self, class: u16) -> AttemptKey {
        self.asked += 1;
        let call = format!("c{}", self.asked);
        let ask = ParsedRequest {
            call: call.as_str().into(),
            class,
            budget: 20 * S,
            statement: Rc::from(*b"x"),
            ..ParsedRequest::default()
        };
        self.core.accept_request(self.now, ask);
        self.commands().0[0]
    }

    fn wait(&mut self, until: u64) -> (Vec<AttemptKey>, Vec<AttemptKey>) {
        let mut all = (Vec::new(), Vec::new());
        while self.now < until {
            self.now += 25_000;
            self.core.fire_timers(self.now);
            let (sent, left) = self.commands();
            all.0.extend(sent);
            all.1.extend(left);
        }
        all
    }
}

#[test]
fn an_attempt_without_word_is_given_up_and_made_again_once_a_later_one_was_heard_of() {
    let mut rig = Rig::new(true);
    let begin = rig.now;
    let first = rig.ask(LOOKUP);
    rig.wait(begin + 100_000);
    let second = rig.ask(LOOKUP);
    rig.wait(begin + S);
    rig.core
        .record_progress_report(rig.now, second, ProgressReport::Progress(0.1));
    assert!(rig.wait(begin + 17 * S / 10).1.is_empty());
    let (again, left) = rig.wait(begin + 19 * S / 10);
    assert_eq!((left, again.len()), (vec![first], 1));
    assert_eq!((again[0].request, again[0].number), (first.request, 1));
    assert_eq!(rig.core.counters().attempts_lost, 1);
    // The second was heard of since, and is let be for as long again.
    assert!(rig.wait(begin + 27 * S / 10).1.is_empty());
}

#[test]
fn what_may_wait_its_turn_must_not_run_twice_or_is_told_nothing_of_is_let_be() {
    // Nothing was heard of a later one: it may wait for memory, of which engines say nothing.
    let mut rig = Rig::new(true);
    let begin = rig.now;
    let first = rig.ask(LOOKUP);
    rig.core
        .record_progress_report(rig.now, first, ProgressReport::Progress(0.1));
    assert!(rig.wait(begin + 4 * S).1.is_empty());
    for (class, tells) in [(LOAD, true), (LOOKUP, false)] {
        let mut rig = Rig::new(tells);
        let begin = rig.now;
        rig.ask(class);
        rig.wait(begin + 100_000);
        let second = rig.ask(LOOKUP);
        rig.core
            .record_progress_report(rig.now, second, ProgressReport::Progress(0.1));
        rig.core.complete_attempt(rig.now, second);
        assert!(rig.wait(begin + 4 * S).1.is_empty());
    }
}
