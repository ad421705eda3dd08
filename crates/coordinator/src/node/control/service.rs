//! Records how well requests and engines are served, for operators.

use crate::node::Node;
use crate::service_window::{RequestOutcome, ServiceWindow};
use driftfront_core::{EngineId, Micros};

impl Node {
    /// A request of this class has ended that came in at `started`.
    pub(in crate::node) fn ended(
        &mut self,
        now: Micros,
        class: u16,
        started: Micros,
        outcome: RequestOutcome,
    ) {
        let class = usize::from(class);
        let settings = self.config.settings.classes.get(class);
        let objective = settings.map_or(0, |settings| settings.latency_objective);
        let services = self
            .control
            .as_mut()
            .map(|control| &mut control.class_service);
        if let Some(service) = services.and_then(|services| services.get_mut(class)) {
            let latency = now.saturating_sub(started);
            service.minute.add(now, outcome, latency, objective);
            service.hour.add(now, outcome, latency, objective);
        }
    }

    /// An engine has served an attempt.
    pub(in crate::node) fn record_engine_success(
        &mut self,
        now: Micros,
        engine: EngineId,
        latency: Micros,
    ) {
        if let Some(control) = &mut self.control {
            control
                .engine_service
                .entry(engine)
                .or_insert_with(ServiceWindow::minute)
                .add(now, RequestOutcome::Served, latency, Micros::MAX);
        }
    }

    /// An engine is gone for good.
    pub(in crate::node) fn forget_engine_window(&mut self, engine: EngineId) {
        if let Some(control) = &mut self.control {
            control.engine_service.remove(&engine);
        }
    }
}
