//! Operators' orders about engines: carried out at once, and done once their records are on the disk.

use super::connection::ReplyTo;
use crate::file_writer::WriteCompleted;
use crate::node::Node;
use driftfront_control::Reply;
use driftfront_core::Micros;
use driftfront_engine_registry::record::StateRecord;
use driftfront_engine_registry::Command as Order;

/// An order whose records are on their way to the disk.
pub(super) struct PendingOrder {
    reply_to: ReplyTo,
    /// What the operator is told once they are there.
    message: String,
}

/// Whether records will outlive a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::node) enum Persistence {
    /// They are on their way; the end of the write is reported under this number.
    Pending(u64),
    /// There is no state folder.
    NoFolder,
    /// Too many writes wait for the disk.
    Overloaded,
}

impl Node {
    /// Carries out an operator's order; `message` says what it has done. The reply is sent once the order is on the disk.
    pub(super) fn order(&mut self, now: Micros, to: ReplyTo, order: Order, message: String) {
        let (change, records) = match self.registry.execute_command(now, "operator", order) {
            Ok(done) => done,
            Err(refusal) => return self.send_reply(to, &Reply::Refused(refusal.to_string())),
        };
        self.apply_registry_change(now, &change);
        self.publish_handover();
        self.event(now, format!("{message}, by an operator"));
        let warning = match self.persist(now, &records) {
            Persistence::Pending(write) => {
                let pending = PendingOrder {
                    reply_to: to,
                    message,
                };
                if let Some(control) = &mut self.control {
                    control.pending_orders.insert(write, pending);
                }
                return;
            }
            Persistence::NoFolder => {
                "; there is no state folder, so a restart of the program forgets it"
            }
            Persistence::Overloaded => {
                ", but the disk is too slow to write it down: a restart forgets it"
            }
        };
        self.send_reply(to, &Reply::Done(message + warning));
    }

    /// Queues records for the state folder's disk.
    pub(in crate::node) fn persist(&mut self, now: Micros, records: &[StateRecord]) -> Persistence {
        let Some(control) = &mut self.control else {
            return Persistence::NoFolder;
        };
        let Some(state) = &mut control.state else {
            return Persistence::NoFolder;
        };
        let write = state.append(records);
        // What a successor writes must not be left in a file that is no longer the folder's.
        if state.needs_compaction() && !self.lifecycle.has_successor() {
            let mut records = self.registry.compacted_records();
            records.push(StateRecord::RollingRestart {
                roll: control.roll.clone(),
            });
            state.compact(&records);
        }
        match write {
            Some(write) => Persistence::Pending(write),
            None => {
                let message = "The state folder's disk is too slow: an order was not written down";
                self.event(now, message.into());
                Persistence::Overloaded
            }
        }
    }

    /// An order's records are on the disk, or could not be written.
    pub(super) fn handle_order_written(&mut self, completed: WriteCompleted) {
        let now = self.clock();
        let pending_orders = self
            .control
            .as_mut()
            .map(|control| &mut control.pending_orders);
        let pending = pending_orders.and_then(|orders| orders.remove(&completed.id));
        if let Err(error) = &completed.result {
            self.event(now, format!("The state folder can't be written: {error}"));
        }
        if let Some(PendingOrder { reply_to, message }) = pending {
            let message = match completed.result {
                Ok(()) => message,
                Err(error) => format!(
                    "{message}, but it could not be written down ({error}): a restart forgets it"
                ),
            };
            self.send_reply(reply_to, &Reply::Done(message));
        }
        self.execute_commands();
    }
}
