//! What operators, and a roll, see of the program.

use super::{QUERIES_MOST, SNAPSHOT_FOR};
use crate::node::Node;
use crate::service::{RequestOutcome, ServiceWindow};
use driftfront_control::snapshot::{Class, Engine, Query, Roll as RollView, Snapshot};
use driftfront_control::Field;
use driftfront_core::lifecycle::State;
use driftfront_core::{EngineId, Micros, Phase};
use driftfront_engine_registry::rolling_restart::{EngineSnapshot, ObservedState};
use driftfront_engine_registry::{phase_name, Order as Ordered};
use std::collections::BTreeMap;

impl Node {
    pub(super) fn snapshot_line(&mut self, now: Micros, id: u64) -> String {
        let fresh = self
            .control
            .as_ref()
            .and_then(|c| c.snapshot.as_ref())
            .is_some_and(|s| now < s.0 + SNAPSHOT_FOR);
        if !fresh {
            let text = self.snapshot(now).to_json().stringify().unwrap_or_default();
            if let Some(control) = &mut self.control {
                control.snapshot = Some((now, text));
            }
        }
        let text = self
            .control
            .as_ref()
            .and_then(|c| c.snapshot.as_ref())
            .map_or("{}", |s| &s.1);
        format!("{{\"id\":{id},\"snapshot\":{text}}}\n")
    }

    /// What runs, by engine: how much, and how much of it must not run twice.
    fn running(&self) -> BTreeMap<EngineId, Running> {
        let mut running: BTreeMap<EngineId, Running> = BTreeMap::new();
        for (class, engine, sent) in self.core.attempts_in_flight() {
            let entry = running.entry(engine).or_insert(Running {
                out: 0,
                once: 0,
                since: sent,
            });
            entry.out += 1;
            entry.once += u64::from(self.is_single_shot(class));
            entry.since = entry.since.min(sent);
        }
        running
    }

    pub(super) fn sight(&self, now: Micros) -> ObservedState {
        let running = self.running();
        let cores = |kind: u16| {
            let kind = self.config.settings.kinds.get(usize::from(kind));
            kind.and_then(|k| k.cores).unwrap_or(8.0)
        };
        let seen = self.registry.engines();
        let whole: f64 = seen
            .iter()
            .filter(|e| e.phase != Phase::Gone)
            .map(|e| cores(e.kind))
            .sum();
        let mut busy = 0.0;
        for (class, ..) in self.core.attempts_in_flight() {
            busy += self
                .config
                .settings
                .classes
                .get(usize::from(class))
                .map_or(1.0, |c| c.threads);
        }
        let engines = seen.iter().filter(|e| e.phase != Phase::Gone).map(|e| {
            let there = running.get(&e.id).copied().unwrap_or_default();
            let up = self.engines.connections.values().any(|c| c.is_up_on(e.id));
            EngineSnapshot {
                name: e.name.clone(),
                is_ready: e.phase == Phase::Ready,
                is_drained: e
                    .active_order
                    .as_ref()
                    .is_some_and(|s| s.order == Ordered::Drain),
                running_queries: there.out as usize,
                running_imports: there.once as usize,
                started_at: e.started_at,
                is_reachable: up || e.phase == Phase::Draining,
                zone: e.zone,
                capacity_share: cores(e.kind) / whole.max(1.0),
            }
        });
        let engines = engines.collect();
        let classes = self.control.iter().flat_map(|c| c.classes.iter());
        let priority_weight = |n: usize| {
            self.config
                .settings
                .classes
                .get(n)
                .map_or(1.0, |c| c.priority_weight)
        };
        let (mut asked, mut got) = (0.0, 0.0);
        for (n, (minute, _)) in classes.enumerate() {
            let sum = minute.sum(now);
            asked += priority_weight(n) * sum.asked as f64;
            got += priority_weight(n) * sum.in_time as f64;
        }
        ObservedState {
            engines,
            service_level: (asked > 0.0).then(|| got / asked),
            load: busy / whole.max(1.0),
        }
    }

    /// A request has ended: for the rings.
    pub(in crate::node) fn ended(
        &mut self,
        now: Micros,
        class: u16,
        began: Micros,
        end: RequestOutcome,
    ) {
        let wanted = self
            .config
            .settings
            .classes
            .get(usize::from(class))
            .map_or(0, |c| c.latency_objective);
        if let Some((minute, hour)) = self
            .control
            .as_mut()
            .and_then(|c| c.classes.get_mut(usize::from(class)))
        {
            let took = now.saturating_sub(began);
            minute.add(now, end, took, wanted);
            hour.add(now, end, took, wanted);
        }
    }

    /// An engine has served something.
    pub(in crate::node) fn record_engine_success(
        &mut self,
        now: Micros,
        engine: EngineId,
        took: Micros,
    ) {
        if let Some(control) = &mut self.control {
            control
                .engines
                .entry(engine)
                .or_insert_with(ServiceWindow::minute)
                .add(now, RequestOutcome::Served, took, Micros::MAX);
        }
    }

    /// An engine is gone for good.
    pub(in crate::node) fn forget_engine_window(&mut self, engine: EngineId) {
        if let Some(control) = &mut self.control {
            control.engines.remove(&engine);
        }
    }

    fn snapshot(&mut self, now: Micros) -> Snapshot {
        let name =
            |names: &[String], n: u16| names.get(usize::from(n)).cloned().unwrap_or_default();
        let running = self.running();
        let mut connections: BTreeMap<EngineId, u64> = BTreeMap::new();
        let mut heard: BTreeMap<EngineId, Micros> = BTreeMap::new();
        for (engine, read) in self.engines.connections.values().map(|c| c.last_heard()) {
            *connections.entry(engine).or_default() += 1;
            let last = heard.entry(engine).or_default();
            *last = (*last).max(read);
        }
        let seconds = |since: Micros| now.saturating_sub(since) / 1_000_000;
        let warm_up_time = self
            .config
            .settings
            .slow_start
            .map_or(0, |c| c.warm_up_time);
        let engines = self.registry.engines().into_iter().map(|e| {
            let there = running.get(&e.id).copied().unwrap_or_default();
            // Silence begins with the work that it should say something of.
            let heard = heard.get(&e.id).copied().unwrap_or(0).max(there.since);
            let ring = self.control.as_ref().and_then(|c| c.engines.get(&e.id));
            Engine {
                name: e.name,
                addr: e.addr.to_string(),
                zone: name(&self.config.zones, e.zone),
                kind: name(&self.config.kinds, e.kind),
                phase: phase_name(e.phase).into(),
                listed: e.listed.map(|p| phase_name(p).into()),
                added: e.added,
                order: e
                    .active_order
                    .as_ref()
                    .map_or("", |s| {
                        if s.order == Ordered::Drain {
                            "drain"
                        } else {
                            "remove"
                        }
                    })
                    .into(),
                order_by: e
                    .active_order
                    .as_ref()
                    .map_or(String::new(), |s| s.by.clone()),
                order_age_s: e.active_order.as_ref().map_or(0, |s| seconds(s.since)),
                running: there.out,
                imports: there.once,
                heard_ms: (heard > 0).then(|| now.saturating_sub(heard) / 1000),
                connections: connections.get(&e.id).copied().unwrap_or(0),
                warm_in_s: e.started_at.map_or(0, |b| {
                    (b + warm_up_time).saturating_sub(now).div_ceil(1_000_000)
                }),
                minute: ring.map(|r| r.sum(now)).unwrap_or_default(),
            }
        });
        let engines = engines.collect();
        let mut open_by_class = vec![0u64; self.config.classes.names.len()];
        let mut queries = Vec::new();
        for (call, class, engine, since) in self.core.requests_in_progress() {
            if let Some(count) = open_by_class.get_mut(usize::from(class)) {
                *count += 1;
            }
            queries.push(Query {
                call: call.chars().take(60).collect(),
                class: name(&self.config.classes.names, class),
                engine: engine
                    .and_then(|e| self.registry.name(e))
                    .unwrap_or_default()
                    .into(),
                age_ms: now.saturating_sub(since) / 1000,
                import: self.is_single_shot(class),
            });
        }
        queries.sort_by_key(|q| (!q.import, std::cmp::Reverse(q.age_ms)));
        queries.truncate(QUERIES_MOST);
        let rings = self.control.as_ref().map(|c| &c.classes[..]).unwrap_or(&[]);
        let classes = self
            .config
            .classes
            .names
            .iter()
            .enumerate()
            .map(|(n, class)| Class {
                name: class.clone(),
                wanted_ms: self
                    .config
                    .settings
                    .classes
                    .get(n)
                    .map_or(0, |c| c.latency_objective / 1000),
                once: self.is_single_shot(n as u16),
                open: open_by_class[n],
                minute: rings.get(n).map(|r| r.0.sum(now)).unwrap_or_default(),
                hour: rings.get(n).map(|r| r.1.sum(now)).unwrap_or_default(),
            });
        let classes = classes.collect();
        let control = self.control.as_ref();
        let roll = control.and_then(|c| c.roll.as_ref()).map(|r| RollView {
            stage: r.stage.name().into(),
            engine: r.current().unwrap_or_default().into(),
            left: r.remaining.clone(),
            through: r.completed.clone(),
            why: r.status.to_string(),
        });
        let kept = control.is_some_and(|c| c.state.is_some());
        let (source, age) = self.discovery.about(now);
        Snapshot {
            version: env!("CARGO_PKG_VERSION").into(),
            name: self.config.name.clone(),
            at: now,
            up_s: seconds(control.map_or(now, |c| c.begun)),
            listen: self.listening_at().to_string(),
            front: format!("{:?}", self.config.protocol),
            ready: self.is_ready(),
            stopping: self.lifecycle.state() == State::Ending,
            state: self.lifecycle.state().word().into(),
            source,
            source_age_s: age.map(|a| a / 1_000_000),
            forgets: if kept {
                ""
            } else {
                "There is no state folder: drains and other orders are forgotten when the program ends."
            }
            .into(),
            open: self.core.open_requests() as u64,
            connections: vec![self.clients.connections.len() as u64, self.engines.connections.len() as u64],
            engines,
            classes,
            queries,
            sessions: self.frontend.session_counts(),
            roll,
            members: self.fleet_members(),
            agreed: self.fleet_agreed(),
        }
    }
}

/// What runs on an engine.
#[derive(Clone, Copy, Default)]
struct Running {
    out: u64,
    /// Of these, what must not run twice.
    once: u64,
    /// When the first of it was sent.
    since: Micros,
}
