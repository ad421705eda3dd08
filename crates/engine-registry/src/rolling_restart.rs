//! Taking engines out one after another: drain, wait until nothing runs, hand over, wait until it is warm, next.
//!
//! Decisions only: the host says what it sees, [`RollingRestart::step`] says what to do. Never two engines at once, so never
//! two of one building; not while the rest could not carry the load; it stops by itself when service falls, and goes
//! on after a restart of the program from what was written down.

use crate::Micros;

/// After a drain work may still run for this long before the roll says that it waits for it.
const SLOW_DRAIN: Micros = 60_000_000;
/// An engine that has been handed back counts as warm after this long at the latest.
const WARM_AFTER: Micros = 15_000_000;
/// Service that falls by this much under what it was at the beginning stops the roll.
const FALL: f64 = 0.10;
/// The rest must have this much more room than the load uses.
const SPARE: f64 = 1.25;

/// Where a roll stands with its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The next engine may be taken out as soon as the others can carry the load.
    Next,
    /// Drained: what runs there ends.
    Draining,
    /// Nothing runs there: the operator has it, until it comes back.
    Handed,
    /// It is back, and gets warm.
    Warming,
    /// Stopped; an operator may let it go on.
    Stopped,
    /// All are through.
    Done,
}

const STAGES: [(Stage, &str); 6] = [
    (Stage::Next, "next"),
    (Stage::Draining, "draining"),
    (Stage::Handed, "handed"),
    (Stage::Warming, "warming"),
    (Stage::Stopped, "stopped"),
    (Stage::Done, "done"),
];

impl Stage {
    /// In a word.
    pub fn name(self) -> &'static str {
        STAGES.iter().find(|s| s.0 == self).map_or("", |s| s.1)
    }
}

/// A roll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollingRestart {
    /// The engines that are to go, the next one first.
    pub remaining: Vec<String>,
    /// Those that are through.
    pub completed: Vec<String>,
    /// Where it stands with the first of `remaining`.
    pub stage: Stage,
    /// Since when, as Unix microseconds.
    pub since: Micros,
    /// The engine's start as it was when it was drained: another one means that it is a new process.
    pub started_at: Option<Micros>,
    /// Service at the beginning, in thousandths.
    pub service_level: u32,
    /// Why it stopped, or what it waits for.
    pub status: String,
}

/// What the host sees of the engines, for one step.
#[derive(Clone, Debug, Default)]
pub struct ObservedState {
    /// The engines of the roll and all others that take work.
    pub engines: Vec<EngineSnapshot>,
    /// Share of the worth asked for that was served lately, if anything was asked.
    pub service_level: Option<f64>,
    /// Share of all engines' capacity that the load uses lately.
    pub load: f64,
}

/// One engine, for one step.
#[derive(Clone, Debug)]
pub struct EngineSnapshot {
    /// Its name.
    pub name: String,
    /// It takes work.
    pub is_ready: bool,
    /// An operator's drain stands.
    pub is_drained: bool,
    /// Attempts out there.
    pub running_queries: usize,
    /// Loads among them, which are never sent again.
    pub running_imports: usize,
    /// When it last started.
    pub started_at: Option<Micros>,
    /// It answers.
    pub is_reachable: bool,
    /// Its building, and its cores.
    pub zone: u16,
    /// Its part of all capacity.
    pub capacity_share: f64,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RollingRestartAction {
    /// Drain this engine.
    Drain(String),
    /// Lift the drain.
    Resume(String),
    /// Write the roll down.
    Persist,
    /// Tell the operators.
    Announce(String),
}

impl RollingRestart {
    /// A roll over these engines, beginning with service as it is.
    pub fn new(now: Micros, engines: Vec<String>, service_level: Option<f64>) -> RollingRestart {
        RollingRestart {
            remaining: engines,
            completed: Vec::new(),
            stage: Stage::Next,
            since: now,
            started_at: None,
            service_level: (service_level.unwrap_or(1.0) * 1000.0) as u32,
            status: String::new(),
        }
    }

    /// The same in a new process, whose clock has nothing to do with the last one's: what the stage waits for is waited for anew.
    pub fn restarted(self, now: Micros) -> RollingRestart {
        RollingRestart { since: now, ..self }
    }

    /// The engine at hand.
    pub fn current(&self) -> Option<&str> {
        self.remaining.first().map(String::as_str)
    }

    /// Whether it has anything left to do.
    pub fn is_over(&self) -> bool {
        self.stage == Stage::Done
    }

    fn enter(
        &mut self,
        now: Micros,
        stage: Stage,
        status: String,
        acts: &mut Vec<RollingRestartAction>,
    ) {
        (self.stage, self.since) = (stage, now);
        acts.push(RollingRestartAction::Persist);
        if !status.is_empty() {
            acts.push(RollingRestartAction::Announce(status.clone()));
        }
        self.status = status;
    }

    /// An operator stops it; an engine that is out stays out.
    pub fn stop(&mut self, now: Micros, status: &str) -> Vec<RollingRestartAction> {
        let mut acts = Vec::new();
        self.enter(
            now,
            Stage::Stopped,
            format!("The roll was stopped: {status}"),
            &mut acts,
        );
        acts
    }

    /// An operator lets it go on.
    pub fn resume(&mut self, now: Micros, sight: &ObservedState) -> Vec<RollingRestartAction> {
        let mut acts = Vec::new();
        if self.stage != Stage::Stopped {
            return acts;
        }
        let is_drained = self
            .current()
            .and_then(|c| sight.engines.iter().find(|e| e.name == c))
            .is_some_and(|e| e.is_drained);
        self.service_level = (sight.service_level.unwrap_or(1.0) * 1000.0) as u32;
        let stage = if is_drained {
            Stage::Draining
        } else {
            Stage::Next
        };
        self.enter(now, stage, "The roll goes on".into(), &mut acts);
        acts
    }

    /// An operator has the engine back in order.
    pub fn confirm_engine_returned(&mut self, now: Micros) -> Vec<RollingRestartAction> {
        let mut acts = Vec::new();
        if let (Stage::Handed, Some(engine)) = (self.stage, self.current().map(String::from)) {
            acts.push(RollingRestartAction::Resume(engine.clone()));
            self.enter(
                now,
                Stage::Warming,
                format!("{engine} is back and gets warm"),
                &mut acts,
            );
        }
        acts
    }

    /// One look at things; time is an argument.
    pub fn step(&mut self, now: Micros, sight: &ObservedState) -> Vec<RollingRestartAction> {
        let mut acts = Vec::new();
        if sight.engines.is_empty() {
            // No list has come yet, as after a restart: nothing can be told of any engine.
            return acts;
        }
        let spent = now.saturating_sub(self.since);
        let Some(name) = self.current().map(String::from) else {
            if !matches!(self.stage, Stage::Done | Stage::Stopped) {
                self.enter(now, Stage::Done, "The roll is done".into(), &mut acts);
            }
            return acts;
        };
        let Some(engine) = sight.engines.iter().find(|e| e.name == name) else {
            // It left the list: nothing is to be done with it.
            if self.stage != Stage::Stopped {
                let gone = self.remaining.remove(0);
                self.completed.push(gone);
                self.enter(
                    now,
                    Stage::Next,
                    format!("{name} is not listed any more: it is passed over"),
                    &mut acts,
                );
            }
            return acts;
        };
        match self.stage {
            Stage::Next => {
                if let Some(status) = self.barred(engine, sight) {
                    self.status = status;
                } else {
                    self.started_at = engine.started_at;
                    if !engine.is_drained {
                        acts.push(RollingRestartAction::Drain(name.clone()));
                    }
                    self.enter(
                        now,
                        Stage::Draining,
                        format!("{name} is drained: nothing new goes there"),
                        &mut acts,
                    );
                }
            }
            Stage::Draining if !engine.is_drained => {
                // Somebody else has lifted it: that wins.
                self.enter(
                    now,
                    Stage::Stopped,
                    format!("The roll stopped: {name} was resumed meanwhile"),
                    &mut acts,
                );
            }
            Stage::Draining if engine.running_queries == 0 => {
                let words =
                    format!("{name} is free: repair or restart it, then say that it is back");
                self.enter(now, Stage::Handed, words, &mut acts);
            }
            Stage::Draining => {
                self.status = match (engine.running_imports, spent > SLOW_DRAIN) {
                    (0, false) => {
                        format!(
                            "{name} ends what runs there: {} queries",
                            engine.running_queries
                        )
                    }
                    (0, true) => {
                        format!(
                            "{name} still runs {} queries; their clients' time ends them",
                            engine.running_queries
                        )
                    }
                    (running_imports, _) => {
                        format!("{name} still runs {running_imports} imports: they are not sent again, so it waits")
                    }
                };
            }
            Stage::Handed => {
                let restarted = engine.started_at.is_some() && engine.started_at != self.started_at;
                if restarted && engine.is_reachable {
                    acts.push(RollingRestartAction::Resume(name.clone()));
                    self.enter(
                        now,
                        Stage::Warming,
                        format!("{name} has restarted and gets warm"),
                        &mut acts,
                    );
                } else if !engine.is_drained {
                    self.enter(
                        now,
                        Stage::Warming,
                        format!("{name} was resumed and gets warm"),
                        &mut acts,
                    );
                }
            }
            Stage::Warming if !engine.is_ready => {
                self.status = format!("{name} is not ready yet");
            }
            Stage::Warming if spent >= WARM_AFTER => {
                let done = self.remaining.remove(0);
                self.completed.push(done);
                if self.remaining.is_empty() {
                    self.enter(now, Stage::Done, "The roll is done".into(), &mut acts);
                } else {
                    self.enter(now, Stage::Next, format!("{name} is warm"), &mut acts);
                }
            }
            Stage::Warming => {
                let remaining = (WARM_AFTER - spent).div_ceil(1_000_000);
                self.status = format!("{name} gets warm: {remaining} s");
            }
            Stage::Stopped | Stage::Done => {}
        }
        let fell = sight
            .service_level
            .is_some_and(|s| s < f64::from(self.service_level) / 1000.0 - FALL);
        if fell && !matches!(self.stage, Stage::Stopped | Stage::Done) {
            let service_level = sight.service_level.unwrap_or(0.0) * 100.0;
            let was = f64::from(self.service_level) / 10.0;
            let words = format!(
                "The roll stopped: service is {service_level:.0} in 100, it was {was:.0} when it began"
            );
            self.enter(now, Stage::Stopped, words, &mut acts);
        }
        acts
    }

    /// Why an engine can't be taken out now, if it can't.
    fn barred(&self, engine: &EngineSnapshot, sight: &ObservedState) -> Option<String> {
        let others = || sight.engines.iter().filter(|e| e.name != engine.name);
        // One that is out already, by whomever, is waited for: never two at once.
        if let Some(out) = others().find(|e| e.is_drained || !e.is_ready) {
            let same = if out.zone == engine.zone {
                ", in the same building"
            } else {
                ""
            };
            return Some(format!("waits: {} is out too{same}", out.name));
        }
        let rest: f64 = others()
            .filter(|e| e.is_ready)
            .map(|e| e.capacity_share)
            .sum();
        if rest <= 0.0 {
            return Some(format!(
                "waits: {} is the last engine that takes work",
                engine.name
            ));
        }
        if sight.load * SPARE > rest {
            let (load, rest) = (sight.load * 100.0, rest * 100.0);
            return Some(format!(
                "waits: the load uses {load:.0} in 100 of all engines, the others have {rest:.0}"
            ));
        }
        None
    }

    /// What it would do, a line each.
    pub fn plan(&self, sight: &ObservedState) -> Vec<String> {
        let mut lines = Vec::new();
        for (n, name) in self.remaining.iter().enumerate() {
            let Some(engine) = sight.engines.iter().find(|e| e.name == *name) else {
                lines.push(format!("{}. {name} is not listed: passed over", n + 1));
                continue;
            };
            let barred = self
                .barred(engine, sight)
                .map(|w| format!(" ({w})"))
                .unwrap_or_default();
            lines.push(format!(
                "{}. drain {name}{barred}, wait for {} queries, hand it over, wait until it is warm",
                n + 1,
                engine.running_queries
            ));
        }
        lines
    }

    /// As one line, for a record.
    pub fn text(&self) -> String {
        let started_at = self.started_at.map_or("-".into(), |b| b.to_string());
        let list = |names: &[String]| {
            if names.is_empty() {
                "-".to_string()
            } else {
                names.join("\u{1f}")
            }
        };
        format!(
            "{}\t{}\t{started_at}\t{}\t{}\t{}\t{}",
            self.stage.name(),
            self.since,
            self.service_level,
            list(&self.remaining),
            list(&self.completed),
            self.status.replace(['\t', '\n'], " ")
        )
    }

    /// Reads [`RollingRestart::text`].
    pub fn of_text(text: &str) -> Option<RollingRestart> {
        let mut words = text.split('\t');
        let stage = words.next()?;
        let stage = STAGES.iter().find(|s| s.1 == stage)?.0;
        let since = words.next()?.parse().ok()?;
        let started_at = words.next()?;
        let started_at = if started_at == "-" {
            None
        } else {
            Some(started_at.parse().ok()?)
        };
        let service_level = words.next()?.parse().ok()?;
        let mut list = || -> Option<Vec<String>> {
            let text = words.next()?;
            Some(if text == "-" {
                Vec::new()
            } else {
                text.split('\u{1f}').map(String::from).collect()
            })
        };
        let (remaining, completed) = (list()?, list()?);
        let status = words.next().unwrap_or_default().to_string();
        Some(RollingRestart {
            remaining,
            completed,
            stage,
            since,
            started_at,
            service_level,
            status,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn engine(name: &str, zone: u16) -> EngineSnapshot {
        EngineSnapshot {
            name: name.into(),
            is_ready: true,
            is_drained: false,
            running_queries: 0,
            running_imports: 0,
            started_at: Some(1),
            is_reachable: true,
            zone,
            capacity_share: 0.25,
        }
    }

    fn sight() -> ObservedState {
        let engines = vec![
            engine("a", 0),
            engine("b", 0),
            engine("c", 1),
            engine("d", 1),
        ];
        ObservedState {
            engines,
            service_level: Some(0.95),
            load: 0.4,
        }
    }

    fn apply(sight: &mut ObservedState, acts: &[RollingRestartAction]) {
        for act in acts {
            let (RollingRestartAction::Drain(name) | RollingRestartAction::Resume(name)) = act
            else {
                continue;
            };
            let engine = sight
                .engines
                .iter_mut()
                .find(|e| e.name == *name)
                .expect("known");
            let is_drained = matches!(act, RollingRestartAction::Drain(_));
            (engine.is_drained, engine.is_ready) = (is_drained, !is_drained);
        }
    }

    fn set(sight: &mut ObservedState, name: &str, how: impl FnOnce(&mut EngineSnapshot)) {
        how(sight
            .engines
            .iter_mut()
            .find(|e| e.name == name)
            .expect("known"));
    }

    #[test]
    fn engines_go_one_after_another_and_each_is_waited_for() {
        let mut sight = sight();
        let mut roll = RollingRestart::new(0, vec!["a".into(), "b".into()], sight.service_level);
        set(&mut sight, "a", |e| {
            (e.running_queries, e.running_imports) = (3, 1)
        });
        let acts = roll.step(S, &sight);
        assert!(acts.contains(&RollingRestartAction::Drain("a".into())));
        apply(&mut sight, &acts);
        roll.step(2 * S, &sight);
        assert!(roll.stage == Stage::Draining && roll.status.contains("1 imports"));
        set(&mut sight, "a", |e| {
            (e.running_queries, e.running_imports) = (0, 0)
        });
        roll.step(3 * S, &sight);
        assert_eq!(roll.stage, Stage::Handed);
        // The operator restarts it; the next one waits until it is warm.
        set(&mut sight, "a", |e| e.started_at = Some(9));
        let acts = roll.step(9 * S, &sight);
        assert!(acts.contains(&RollingRestartAction::Resume("a".into())));
        apply(&mut sight, &acts);
        assert!(roll.step(20 * S, &sight).is_empty());
        roll.step(25 * S, &sight);
        assert_eq!((roll.current(), roll.stage), (Some("b"), Stage::Next));
        let acts = roll.step(26 * S, &sight);
        apply(&mut sight, &acts);
        roll.step(27 * S, &sight);
        let acts = roll.confirm_engine_returned(28 * S);
        apply(&mut sight, &acts);
        roll.step(60 * S, &sight);
        assert!(roll.is_over() && roll.completed == ["a", "b"]);
    }

    #[test]
    fn it_waits_while_another_is_out_or_the_rest_could_not_carry_the_load() {
        let mut roll = RollingRestart::new(0, vec!["a".into()], Some(0.95));
        let mut busy = sight();
        busy.load = 0.7;
        assert!(roll.step(S, &busy).is_empty() && roll.status.contains("the others have 75"));
        let mut out = sight();
        set(&mut out, "b", |e| e.is_drained = true);
        assert!(roll.step(2 * S, &out).is_empty() && roll.status.contains("same building"));
        let alone = ObservedState {
            engines: vec![engine("a", 0)],
            ..sight()
        };
        assert!(roll.step(3 * S, &alone).is_empty() && roll.status.contains("last engine"));
        assert!(roll.plan(&alone)[0].contains("last engine"));
        assert_eq!(roll.step(4 * S, &sight()).len(), 3);
    }

    #[test]
    fn it_stops_when_service_falls_or_somebody_resumes_its_engine_and_goes_on_when_told() {
        let mut sight = sight();
        let mut roll = RollingRestart::new(0, vec!["a".into()], sight.service_level);
        let acts = roll.step(S, &sight);
        apply(&mut sight, &acts);
        sight.service_level = Some(0.8);
        roll.step(2 * S, &sight);
        assert!(roll.stage == Stage::Stopped && roll.status.contains("80 in 100"));
        assert!(roll.step(9 * S, &sight).is_empty());
        roll.resume(10 * S, &sight);
        assert_eq!(roll.stage, Stage::Draining);
        set(&mut sight, "a", |e| {
            (e.is_drained, e.is_ready) = (false, true)
        });
        roll.step(11 * S, &sight);
        assert!(roll.stage == Stage::Stopped && roll.status.contains("resumed"));
    }

    #[test]
    fn a_clock_that_is_set_back_only_makes_it_wait() {
        let mut sight = sight();
        let mut roll = RollingRestart::new(100 * S, vec!["a".into()], sight.service_level);
        let acts = roll.step(101 * S, &sight);
        apply(&mut sight, &acts);
        roll.step(S, &sight);
        let acts = roll.confirm_engine_returned(2 * S);
        apply(&mut sight, &acts);
        assert!(roll.step(S, &sight).is_empty() && roll.stage == Stage::Warming);
        roll.step(30 * S, &sight);
        assert!(roll.is_over());
    }

    #[test]
    fn a_roll_is_read_back_as_it_was_written_at_every_stage() {
        for (stage, _) in STAGES {
            let roll = RollingRestart {
                stage,
                started_at: Some(3),
                status: "w\tx".into(),
                ..RollingRestart::new(7, vec!["a".into()], None)
            };
            let back = RollingRestart::of_text(&roll.text()).expect("well formed");
            assert_eq!(
                (back.stage, back.remaining.clone(), back.started_at),
                (stage, roll.remaining.clone(), Some(3))
            );
        }
        assert_eq!(RollingRestart::of_text("nonsense"), None);
    }
}
