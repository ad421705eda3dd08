//! What outlives a process: records of the state file, and what two processes of one coordinator exchange.

use super::entry::Origin;
use super::EngineRegistry;
use crate::handover::HandoverState;
use crate::record::StateRecord;
use crate::{EngineDescription, Order, RegistryChange, RegistryUpdate};
use driftfront_scheduler::ListKind;

impl EngineRegistry {
    /// Restores what an earlier process wrote down, before any source has listed engines.
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
        // Engines that were added and removed again leave no trace but their order.
        self.remove_entries(|entry| entry.description().is_none());
        self.announce(&mut change);
        change
    }

    fn restore_added(&mut self, description: EngineDescription, change: &mut RegistryChange) {
        if let Err(refusal) = self.record_description(description, Origin::Operator, change) {
            change.messages.push(refusal.to_string());
        }
    }

    /// The fewest records that say the same, for a compacted file.
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

    /// What another process of this coordinator has to know of orders.
    pub fn handover_state(&self, is_ready: bool) -> HandoverState {
        HandoverState {
            ready: is_ready,
            orders: self.orders.active().clone(),
            lifted: self.orders.lifted().clone(),
            names: self.known_names.iter().cloned().collect(),
        }
    }

    /// Merges the orders of another process of this coordinator: the later one about an engine holds, and of two at the same
    /// time the one that takes the engine out.
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
