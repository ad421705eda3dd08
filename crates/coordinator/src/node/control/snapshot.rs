//! Snapshots of the program's state, shown by the console and the operators' commands.

use super::service::ClassService;
use super::Control;
use crate::node::Node;
use crate::service_window::ServiceWindow;
use driftfront_control::snapshot::{
    Class, Engine, Query, RollingRestart as RollView, Service, Snapshot,
};
use driftfront_control::Field;
use driftfront_core::lifecycle::State;
use driftfront_core::{EngineId, Micros};
use driftfront_engine_registry::{phase_name, EngineState, Order as EngineOrder};
use std::collections::BTreeMap;

/// The maximum number of queries in a snapshot.
const MAX_QUERIES: usize = 50;
/// The maximum length of a query's name in a snapshot.
const MAX_QUERY_NAME_CHARACTERS: usize = 60;
/// A snapshot is reused for requests within this time.
const SNAPSHOT_MAX_AGE: Micros = 50_000;
/// Shown if there is no state folder.
const NO_STATE_FOLDER: &str =
    "There is no state folder: drains and other orders are lost when the program ends.";

/// A snapshot as JSON, and the time at which it was taken.
pub(super) struct CachedSnapshot {
    made_at: Micros,
    json: String,
}

/// The attempts that run on an engine.
#[derive(Clone, Copy, Default)]
pub(super) struct EngineLoad {
    /// All attempts.
    pub(super) queries: usize,
    /// Those of them that must not be executed twice.
    pub(super) single_shot: usize,
    /// When the oldest of them was sent.
    oldest_sent: Micros,
}

/// An engine's connections.
#[derive(Clone, Copy, Default)]
struct EngineConnections {
    count: u64,
    /// When data was last received on any of them.
    last_received: Micros,
}

impl Control {
    /// The JSON of the cached snapshot, unless it is too old to be reused.
    fn fresh_snapshot(&self, now: Micros) -> Option<&str> {
        let cached = self.snapshot.as_ref()?;
        (now < cached.made_at + SNAPSHOT_MAX_AGE).then_some(&cached.json)
    }

    /// The rolling restart, as shown to operators.
    fn roll_view(&self) -> Option<RollView> {
        let restart = self.rolling_restart.current()?;
        Some(RollView {
            stage: restart.stage.name().into(),
            engine: restart.current().unwrap_or_default().into(),
            left: restart.remaining.clone(),
            through: restart.completed.clone(),
            why: restart.status.to_string(),
        })
    }
}

impl Node {
    /// The reply line to a request for a snapshot.
    pub(super) fn snapshot_line(&mut self, now: Micros, request: u64) -> String {
        let control = self.control.as_ref();
        if let Some(json) = control.and_then(|control| control.fresh_snapshot(now)) {
            return snapshot_reply(request, json);
        }
        let json = self.snapshot(now).to_json().stringify().unwrap_or_default();
        let line = snapshot_reply(request, &json);
        if let Some(control) = &mut self.control {
            control.snapshot = Some(CachedSnapshot { made_at: now, json });
        }
        line
    }

    fn snapshot(&self, now: Micros) -> Snapshot {
        let control = self.control.as_ref();
        let has_state_folder = control.is_some_and(|control| control.state_folder.is_some());
        let (queries, open_by_class) = self.open_queries(now);
        let (source, source_age) = self.discovery.source_status(now);
        Snapshot {
            version: env!("CARGO_PKG_VERSION").into(),
            name: self.config.name.clone(),
            at: now,
            up_s: seconds_since(now, control.map_or(now, |control| control.started)),
            listen: self.listen_address().to_string(),
            front: format!("{:?}", self.config.protocol),
            ready: self.is_ready(),
            stopping: self.lifecycle.state() == State::ShuttingDown,
            state: self.lifecycle.state().name().into(),
            source,
            source_age_s: source_age.map(|age| age / 1_000_000),
            forgets: if has_state_folder {
                ""
            } else {
                NO_STATE_FOLDER
            }
            .into(),
            open: self.core.open_requests() as u64,
            connections: vec![
                self.clients.connection_count() as u64,
                self.engines.connection_count() as u64,
            ],
            engines: self.engine_views(now),
            classes: self.class_views(now, &open_by_class),
            queries,
            sessions: self.frontend.session_counts(),
            roll: control.and_then(Control::roll_view),
            members: self.member_views(),
            agreed: self.consensus_view(),
        }
    }

    /// The attempts in flight, by engine.
    pub(super) fn engine_load(&self) -> BTreeMap<EngineId, EngineLoad> {
        let mut all: BTreeMap<EngineId, EngineLoad> = BTreeMap::new();
        for (class, engine, sent) in self.core.attempts_in_flight() {
            let load = all.entry(engine).or_insert(EngineLoad {
                queries: 0,
                single_shot: 0,
                oldest_sent: sent,
            });
            load.queries += 1;
            load.single_shot += usize::from(self.is_non_idempotent(class));
            load.oldest_sent = load.oldest_sent.min(sent);
        }
        all
    }

    fn engine_connections(&self) -> BTreeMap<EngineId, EngineConnections> {
        let mut all: BTreeMap<EngineId, EngineConnections> = BTreeMap::new();
        for (engine, last_received) in self.engines.receive_times() {
            let connections = all.entry(engine).or_default();
            connections.count += 1;
            connections.last_received = connections.last_received.max(last_received);
        }
        all
    }

    fn engine_views(&self, now: Micros) -> Vec<Engine> {
        let load = self.engine_load();
        let connections = self.engine_connections();
        let engines = self.registry.engines().into_iter().map(|engine| {
            let load = load.get(&engine.id).copied().unwrap_or_default();
            let connections = connections.get(&engine.id).copied().unwrap_or_default();
            self.engine_view(now, engine, load, connections)
        });
        engines.collect()
    }

    fn engine_view(
        &self,
        now: Micros,
        engine: EngineState,
        load: EngineLoad,
        connections: EngineConnections,
    ) -> Engine {
        // An idle engine sends nothing, so its silence is measured from its oldest running attempt at the earliest.
        let silent_since = connections.last_received.max(load.oldest_sent);
        let control = self.control.as_ref();
        let service = control.and_then(|control| control.service.engine(engine.id));
        let order = engine.active_order.as_ref();
        Engine {
            addr: engine.addr.to_string(),
            zone: name_at(&self.config.zones, engine.zone),
            kind: name_at(&self.config.kinds, engine.kind),
            phase: phase_name(engine.phase).into(),
            listed: engine.listed.map(|phase| phase_name(phase).into()),
            added: engine.added,
            order: order.map_or("", |order| order_name(order.order)).into(),
            order_by: order.map_or(String::new(), |order| order.by.clone()),
            order_age_s: order.map_or(0, |order| seconds_since(now, order.since)),
            running: load.queries as u64,
            imports: load.single_shot as u64,
            heard_ms: (silent_since > 0).then(|| now.saturating_sub(silent_since) / 1000),
            connections: connections.count,
            warm_in_s: self.warm_in_seconds(now, engine.started_at),
            minute: service_totals(service, now),
            name: engine.name,
        }
    }

    /// Seconds until an engine that started at this time has warmed up.
    fn warm_in_seconds(&self, now: Micros, started: Option<Micros>) -> u64 {
        let warm_up = self
            .config
            .settings
            .slow_start
            .map_or(0, |slow_start| slow_start.warm_up_time);
        let remaining = started.map(|started| (started + warm_up).saturating_sub(now));
        remaining.map_or(0, |remaining| remaining.div_ceil(1_000_000))
    }

    /// The open queries, limited to [`MAX_QUERIES`] and sorted with those that must not be executed twice first, then by age;
    /// and the number of open queries of each class.
    fn open_queries(&self, now: Micros) -> (Vec<Query>, Vec<u64>) {
        let mut open_by_class = vec![0; self.config.classes.names.len()];
        let mut queries = Vec::new();
        for (call, class, engine, since) in self.core.requests_in_progress() {
            if let Some(count) = open_by_class.get_mut(usize::from(class)) {
                *count += 1;
            }
            let engine = engine.and_then(|engine| self.registry.name(engine));
            queries.push(Query {
                call: call.chars().take(MAX_QUERY_NAME_CHARACTERS).collect(),
                class: name_at(&self.config.classes.names, class),
                engine: engine.unwrap_or_default().into(),
                age_ms: now.saturating_sub(since) / 1000,
                import: self.is_non_idempotent(class),
            });
        }
        queries.sort_by_key(|query| (!query.import, std::cmp::Reverse(query.age_ms)));
        queries.truncate(MAX_QUERIES);
        (queries, open_by_class)
    }

    fn class_views(&self, now: Micros, open_by_class: &[u64]) -> Vec<Class> {
        let control = self.control.as_ref();
        let names = self.config.classes.names.iter().zip(0u16..);
        let classes = names.map(|(name, class)| {
            let index = usize::from(class);
            let settings = self.config.settings.classes.get(index);
            let service = control.and_then(|control| control.service.class(index));
            Class {
                name: name.clone(),
                wanted_ms: settings.map_or(0, |settings| settings.latency_objective / 1000),
                once: self.is_non_idempotent(class),
                open: open_by_class[index],
                minute: service_totals(service.map(|service: &ClassService| &service.minute), now),
                hour: service_totals(service.map(|service| &service.hour), now),
            }
        });
        classes.collect()
    }
}

/// The reply line with a snapshot's JSON.
fn snapshot_reply(request: u64, json: &str) -> String {
    format!("{{\"id\":{request},\"snapshot\":{json}}}\n")
}

fn name_at(names: &[String], index: u16) -> String {
    names.get(usize::from(index)).cloned().unwrap_or_default()
}

fn seconds_since(now: Micros, since: Micros) -> u64 {
    now.saturating_sub(since) / 1_000_000
}

fn order_name(order: EngineOrder) -> &'static str {
    match order {
        EngineOrder::Drain => "drain",
        EngineOrder::Remove => "remove",
    }
}

fn service_totals(service: Option<&ServiceWindow>, now: Micros) -> Service {
    service.map(|service| service.sum(now)).unwrap_or_default()
}
