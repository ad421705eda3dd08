//! Propagates changes of the engine registry, which owns the names, addresses and phases of engines, to the core, the frontend
//! and the connections to engines.

use super::Node;
use crate::discovery::read;
use driftfront_core::{EngineId, ListKind, Micros, Phase};
use driftfront_engine_registry::RegistryChange;
use driftfront_settings::json::Json;

impl Node {
    /// Applies the engine list of the configuration at startup.
    pub(super) fn apply_configured_engines(&mut self) {
        for update in std::mem::take(&mut self.config.known_updates) {
            match read(&self.config.zones, &self.config.kinds, Json(Some(&update))) {
                Ok(list) => {
                    for error in &list.rejected_entries {
                        tracing::warn!("known engines: {error}");
                    }
                    self.registry.apply_listing(list.kind, list.descriptions);
                }
                Err(e) => tracing::warn!("known engines: {e}"),
            }
        }
        let lines = self.registry.announced_engines();
        for engine in self.registry.departed_engines() {
            self.registry.forget_engine(engine);
        }
        let now = self.clock();
        self.core.update_engines(now, ListKind::Cached, &lines);
        self.update_lifecycle(now);
        self.execute_commands();
    }

    /// Propagates a change: ends sessions bound to departed or restarted engines, then updates the core, then reports events.
    pub(super) fn apply_registry_change(&mut self, now: Micros, change: &RegistryChange) {
        for &engine in &change.restarted {
            self.engines.retire_connections(engine);
            // The sessions were lost with the engine's process.
            self.frontend.remove_engine(engine);
        }
        for line in change.engines.iter().filter(|l| l.phase != Phase::Ready) {
            self.frontend.remove_engine(line.engine);
        }
        if change.kind == ListKind::Full {
            let unlisted = |e: &EngineId| !change.engines.iter().any(|l| l.engine == *e);
            for engine in self.core.listed_engines().into_iter().filter(unlisted) {
                self.frontend.remove_engine(engine);
            }
        }
        self.core.update_engines(now, change.kind, &change.engines);
        for message in &change.messages {
            self.record_event(now, message.clone());
        }
        self.update_lifecycle(now);
        self.execute_commands();
    }
}
