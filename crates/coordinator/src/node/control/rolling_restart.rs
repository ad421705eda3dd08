//! The rolling restart over many engines: its stages are `driftfront_engine_registry::roll`'s; here they are carried out.

use super::connection::ReplyTo;
use super::snapshot::EngineLoad;
use crate::node::Node;
use driftfront_control::Reply;
use driftfront_core::{EngineId, Micros, Phase};
use driftfront_engine_registry::record::StateRecord;
use driftfront_engine_registry::rolling_restart::{
    EngineSnapshot, ObservedState, RollingRestart, RollingRestartAction,
};
use driftfront_engine_registry::{Command as Order, EngineState, Order as EngineOrder};

/// How often a rolling restart looks at the engines.
const STEP_INTERVAL: Micros = 500_000;
/// Cores of an engine whose machine kind says nothing of them.
const DEFAULT_CORES: f64 = 8.0;

impl Node {
    /// Begins a rolling restart over these engines, or over all where none is named. A dry run only says its plan.
    pub(super) fn begin_roll(
        &mut self,
        now: Micros,
        to: ReplyTo,
        engines: Vec<String>,
        is_dry_run: bool,
    ) {
        let observed = self.observed_state(now);
        let all: Vec<String> = observed
            .engines
            .iter()
            .map(|engine| engine.name.clone())
            .collect();
        let unknown = engines.iter().find(|engine| !all.contains(engine));
        let refusal = if let Some(unknown) = unknown {
            Some(format!("there is no engine {unknown}"))
        } else if self.is_rolling() && !is_dry_run {
            Some("a roll is on its way: stop it first".into())
        } else {
            None
        };
        if let Some(reason) = refusal {
            return self.send_reply(to, &Reply::Refused(reason));
        }
        let engines = if engines.is_empty() { all } else { engines };
        let roll = RollingRestart::new(now, engines, observed.service_level);
        let plan = roll.plan(&observed).join("\n");
        if !is_dry_run {
            self.start_roll(now, roll);
        }
        self.send_reply(to, &Reply::Done(plan));
    }

    fn is_rolling(&self) -> bool {
        let roll = self
            .control
            .as_ref()
            .and_then(|control| control.roll.as_ref());
        roll.is_some_and(|roll| !roll.is_over())
    }

    fn start_roll(&mut self, now: Micros, roll: RollingRestart) {
        if let Some(control) = &mut self.control {
            control.roll = Some(roll.clone());
            control.next_roll_step = now;
        }
        let count = roll.remaining.len();
        self.event(now, format!("A roll over {count} engines begins"));
        let _ = self.persist(now, &[StateRecord::RollingRestart { roll: Some(roll) }]);
    }

    /// Changes the rolling restart by an operator's word; `refusal` is the reply where it has nothing to change.
    pub(super) fn change_roll(
        &mut self,
        now: Micros,
        to: ReplyTo,
        refusal: &str,
        change: impl FnOnce(&mut RollingRestart, &ObservedState) -> Vec<RollingRestartAction>,
    ) {
        let observed = self.observed_state(now);
        let roll = self
            .control
            .as_mut()
            .and_then(|control| control.roll.as_mut());
        let (acts, message) = match roll {
            Some(roll) => (change(roll, &observed), roll.status.to_string()),
            None => (Vec::new(), String::new()),
        };
        let reply = if acts.is_empty() {
            Reply::Refused(refusal.into())
        } else {
            Reply::Done(message)
        };
        self.execute_roll_acts(now, acts);
        self.send_reply(to, &reply);
    }

    /// Lets the rolling restart look at the engines, where that is due.
    pub(super) fn step_rolling_restart(&mut self, now: Micros) {
        let is_due = |control: &super::Control| now >= control.next_roll_step;
        if !self.is_rolling() || !self.control.as_ref().is_some_and(is_due) {
            return;
        }
        let observed = self.observed_state(now);
        let Some(control) = &mut self.control else {
            return;
        };
        control.next_roll_step = now + STEP_INTERVAL;
        let acts = control.roll.as_mut().map(|roll| roll.step(now, &observed));
        self.execute_roll_acts(now, acts.unwrap_or_default());
    }

    fn execute_roll_acts(&mut self, now: Micros, acts: Vec<RollingRestartAction>) {
        if acts.is_empty() {
            return;
        }
        if let Some(control) = &mut self.control {
            control.snapshot = None;
        }
        for act in acts {
            match act {
                RollingRestartAction::Announce(message) => self.event(now, message),
                RollingRestartAction::Persist => self.persist_roll(now),
                RollingRestartAction::Drain(engine) => {
                    let force = false;
                    self.order_for_roll(now, Order::Drain { engine, force });
                }
                RollingRestartAction::Resume(engine) => {
                    self.order_for_roll(now, Order::Resume { engine })
                }
            }
        }
    }

    /// Records where the rolling restart stands; one that is over leaves nothing to go on with.
    fn persist_roll(&mut self, now: Micros) {
        let roll = self
            .control
            .as_ref()
            .and_then(|control| control.roll.clone());
        let roll = roll.filter(|roll| !roll.is_over());
        let _ = self.persist(now, &[StateRecord::RollingRestart { roll }]);
    }

    fn order_for_roll(&mut self, now: Micros, order: Order) {
        match self.registry.execute_command(now, "the roll", order) {
            Ok((change, records)) => {
                self.apply_registry_change(now, &change);
                self.publish_handover();
                let _ = self.persist(now, &records);
            }
            Err(refusal) => self.event(now, format!("The roll: {refusal}")),
        }
    }

    /// The engines and the service, as a rolling restart sees them.
    fn observed_state(&self, now: Micros) -> ObservedState {
        let load = self.engine_load();
        let engines = self.registry.engines();
        let present = || engines.iter().filter(|engine| engine.phase != Phase::Gone);
        let all_cores: f64 = present().map(|engine| self.cores(engine.kind)).sum();
        let all_cores = all_cores.max(1.0);
        let threads: f64 = self
            .core
            .attempts_in_flight()
            .map(|(class, ..)| self.threads(class))
            .sum();
        let observed = present().map(|engine| {
            let load = load.get(&engine.id).copied().unwrap_or_default();
            self.observed_engine(engine, load, all_cores)
        });
        ObservedState {
            engines: observed.collect(),
            service_level: self.weighted_service(now),
            load: threads / all_cores,
        }
    }

    fn observed_engine(
        &self,
        engine: &EngineState,
        load: EngineLoad,
        all_cores: f64,
    ) -> EngineSnapshot {
        let order = engine
            .active_order
            .as_ref()
            .map(|active_order| active_order.order);
        EngineSnapshot {
            name: engine.name.clone(),
            is_ready: engine.phase == Phase::Ready,
            is_drained: order == Some(EngineOrder::Drain),
            running_queries: load.queries,
            running_imports: load.single_shot,
            started_at: engine.started_at,
            is_reachable: engine.phase == Phase::Draining || self.is_connected_to(engine.id),
            zone: engine.zone,
            capacity_share: self.cores(engine.kind) / all_cores,
        }
    }

    fn is_connected_to(&self, engine: EngineId) -> bool {
        self.engines
            .connections
            .values()
            .any(|connection| connection.is_up_on(engine))
    }

    fn cores(&self, kind: u16) -> f64 {
        let kind = self.config.settings.kinds.get(usize::from(kind));
        kind.and_then(|kind| kind.cores).unwrap_or(DEFAULT_CORES)
    }

    fn threads(&self, class: u16) -> f64 {
        let class = self.config.settings.classes.get(usize::from(class));
        class.map_or(1.0, |class| class.threads)
    }

    /// The part of the last minute's requests, weighted by their classes' priority, that were served in time.
    fn weighted_service(&self, now: Micros) -> Option<f64> {
        let weight = |class: usize| {
            let class = self.config.settings.classes.get(class);
            class.map_or(1.0, |class| class.priority_weight)
        };
        let (mut asked, mut in_time) = (0.0, 0.0);
        let services = self
            .control
            .iter()
            .flat_map(|control| &control.class_service);
        for (class, service) in services.enumerate() {
            let sum = service.minute.sum(now);
            asked += weight(class) * sum.asked as f64;
            in_time += weight(class) * sum.in_time as f64;
        }
        (asked > 0.0).then(|| in_time / asked)
    }
}
