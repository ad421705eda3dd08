//! Service statistics by class and engine, for operators and rolling restarts.

use crate::node::Node;
use crate::service_window::{RequestOutcome, ServiceWindow};
use driftfront_core::{EngineId, Micros};
use std::collections::BTreeMap;

/// The service statistics of one class.
pub(super) struct ClassService {
    pub(super) minute: ServiceWindow,
    pub(super) hour: ServiceWindow,
}

/// The service statistics of all classes and engines.
pub(super) struct ServiceRecords {
    /// By the class's index.
    classes: Vec<ClassService>,
    /// The last minute of each engine that has served an attempt.
    engines: BTreeMap<EngineId, ServiceWindow>,
}

impl ServiceRecords {
    pub(super) fn new(classes: usize) -> ServiceRecords {
        let classes = (0..classes).map(|_| ClassService {
            minute: ServiceWindow::minute(),
            hour: ServiceWindow::hour(),
        });
        ServiceRecords {
            classes: classes.collect(),
            engines: BTreeMap::new(),
        }
    }

    /// The statistics of a class.
    pub(super) fn class(&self, class: usize) -> Option<&ClassService> {
        self.classes.get(class)
    }

    /// The statistics of an engine, if it has served an attempt.
    pub(super) fn engine(&self, engine: EngineId) -> Option<&ServiceWindow> {
        self.engines.get(&engine)
    }

    /// Records a completed request of a class.
    fn record_request(
        &mut self,
        now: Micros,
        class: usize,
        outcome: RequestOutcome,
        latency: Micros,
        latency_objective: Micros,
    ) {
        if let Some(service) = self.classes.get_mut(class) {
            service.minute.add(now, outcome, latency, latency_objective);
            service.hour.add(now, outcome, latency, latency_objective);
        }
    }

    /// Records an attempt served by an engine.
    fn record_engine_success(&mut self, now: Micros, engine: EngineId, latency: Micros) {
        self.engines
            .entry(engine)
            .or_insert_with(ServiceWindow::minute)
            .add(now, RequestOutcome::Served, latency, Micros::MAX);
    }

    /// The fraction of the last minute's requests that were served in time, weighted by class; `None` if there were none.
    pub(super) fn weighted_service_level(
        &self,
        now: Micros,
        class_weight: impl Fn(usize) -> f64,
    ) -> Option<f64> {
        let mut requests = 0.0;
        let mut served_in_time = 0.0;
        for (class, service) in self.classes.iter().enumerate() {
            let minute = service.minute.sum(now);
            requests += class_weight(class) * minute.asked as f64;
            served_in_time += class_weight(class) * minute.in_time as f64;
        }
        (requests > 0.0).then(|| served_in_time / requests)
    }
}

impl Node {
    /// Records a completed request of a class that arrived at `started`.
    pub(in crate::node) fn record_class_service(
        &mut self,
        now: Micros,
        class: u16,
        started: Micros,
        outcome: RequestOutcome,
    ) {
        let class = usize::from(class);
        let settings = self.config.settings.classes.get(class);
        let objective = settings.map_or(0, |settings| settings.latency_objective);
        if let Some(control) = &mut self.control {
            let latency = now.saturating_sub(started);
            let service = &mut control.service;
            service.record_request(now, class, outcome, latency, objective);
        }
    }

    /// Records an attempt served by an engine.
    pub(in crate::node) fn record_engine_success(
        &mut self,
        now: Micros,
        engine: EngineId,
        latency: Micros,
    ) {
        if let Some(control) = &mut self.control {
            control.service.record_engine_success(now, engine, latency);
        }
    }

    /// Removes the statistics of an engine that was removed.
    pub(in crate::node) fn forget_engine_window(&mut self, engine: EngineId) {
        if let Some(control) = &mut self.control {
            control.service.engines.remove(&engine);
        }
    }
}
