//! Changes of the engine registry, passed on to the request lifecycle and the frontend.

use super::Node;
use crate::discovery::read;
use driftfront_core::Micros;
use driftfront_core::{EngineId, ListKind, Phase};
use driftfront_engine_registry::RegistryChange;
use driftfront_settings::json::Json;

impl Node {
    /// Takes over what the configuration lists.
    pub(super) fn apply_configured_engines(&mut self) {
        for update in std::mem::take(&mut self.config.known_updates) {
            match read(&self.config.zones, &self.config.kinds, Json(Some(&update))) {
                Ok(told) => {
                    told.rejected_entries
                        .iter()
                        .for_each(|why| tracing::warn!("known engines: {why}"));
                    self.registry.apply_listing(told.kind, told.descriptions);
                }
                Err(e) => tracing::warn!("known engines: {e}"),
            }
        }
        let lines = self.registry.announced_lines();
        for engine in self.registry.departed_engines() {
            self.registry.forget_engine(engine);
        }
        let now = self.clock();
        self.core.update_engines(now, ListKind::Cached, &lines);
        self.update_lifecycle(now);
        self.execute_commands();
    }

    pub(super) fn apply_registry_change(&mut self, now: Micros, change: &RegistryChange) {
        for &engine in &change.restarted {
            self.engines.retire_connections(engine);
            // What was left in sessions went with the process.
            self.frontend.engine_left(engine);
        }
        for line in change.lines.iter().filter(|l| l.phase != Phase::Ready) {
            self.frontend.engine_left(line.engine);
        }
        if change.kind == ListKind::Full {
            let unlisted = |e: &EngineId| !change.lines.iter().any(|l| l.engine == *e);
            for engine in self.core.listed_engines().into_iter().filter(unlisted) {
                self.frontend.engine_left(engine);
            }
        }
        self.core.update_engines(now, change.kind, &change.lines);
        for words in &change.messages {
            self.record_event(now, words.clone());
        }
        self.update_lifecycle(now);
        self.execute_commands();
    }
}
