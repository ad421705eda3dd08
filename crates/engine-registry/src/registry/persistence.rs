//! State that outlives a process: the records of the state file, and the exchange between two processes of one coordinator.

use super::entry::Origin;
use super::EngineRegistry;
use crate::handover::HandoverState;
use crate::record::StateRecord;
use crate::{EngineDescription, Order, RegistryChange, RegistryUpdate};
use driftfront_scheduler::ListKind;

impl EngineRegistry {
    /// Replays the records of an earlier process. To be called before any source lists engines.
    pub fn restore_records(
        &mut self,
        records: impl IntoIterator<Item = StateRecord>,
    ) -> RegistryChange {
        let mut change = RegistryChange::new(ListKind::Changes);
        for record in records {
            match record {
                StateRecord::Ordered {
                    engine,
                    active_order,
                } => {
                    if active_order.order == Order::Remove {
                        if let Some(entry) = self.entries.get_mut(&engine) {
                            entry.added = None;
                        }
                    }
                    self.orders.restore(engine, active_order);
                }
                StateRecord::Lifted { engine } => self.orders.restore_lift(&engine),
                StateRecord::Added { description } => {
                    self.restore_added(description, &mut change);
                }
                StateRecord::RollingRestart { .. } => {}
            }
        }
        // Engines that were added and later removed keep their order, but no entry.
        self.remove_entries(|entry| entry.description().is_none());
        self.announce(&mut change);
        change
    }

    fn restore_added(&mut self, description: EngineDescription, change: &mut RegistryChange) {
        if let Err(refusal) = self.record_description(description, Origin::Operator, change) {
            change.messages.push(refusal.to_string());
        }
    }

    /// The minimal records that reproduce the current state, for compaction.
    pub fn compacted_records(&self) -> Vec<StateRecord> {
        let added = self.entries.values().filter_map(|entry| {
            Some(StateRecord::Added {
                description: entry.added.clone()?,
            })
        });
        let orders = self.orders.active().iter();
        let orders = orders.map(|(engine, active_order)| StateRecord::Ordered {
            engine: engine.clone(),
            active_order: active_order.clone(),
        });
        added.chain(orders).collect()
    }

    /// The state to share with the other processes of this coordinator.
    pub fn handover_state(&self, is_ready: bool) -> HandoverState {
        HandoverState {
            ready: is_ready,
            orders: self.orders.active().clone(),
            lifted: self.orders.lifted().clone(),
            names: self.known_names.iter().cloned().collect(),
        }
    }

    /// Merges the orders of another process of this coordinator: the latest one for an engine wins, and an order wins over a
    /// lift with the same timestamp.
    pub fn merge_handover(&mut self, other: &HandoverState) -> RegistryUpdate {
        let mut change = RegistryChange::new(ListKind::Changes);
        for name in &other.names {
            self.known_names.insert(name);
        }
        let records = self.orders.merge(other);
        self.announce(&mut change);
        (change, records)
    }
}
