//! Operators' orders about engines. They take effect immediately and are acknowledged once their records are synced to disk.

use super::connection::ReplyTo;
use super::refusal::RequestRefusal;
use super::requests::Answer;
use super::Control;
use crate::file_writer::WriteCompleted;
use crate::node::Node;
use driftfront_control::Reply;
use driftfront_core::{Micros, Phase};
use driftfront_engine_registry::record::StateRecord;
use driftfront_engine_registry::{Command as Order, EngineDescription};
use std::io;

/// An order whose records are being written.
pub(super) struct PendingOrder {
    reply_to: ReplyTo,
    /// The reply once they are written.
    message: String,
}

/// Whether records will survive a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::node) enum Persistence {
    /// They are being written; the completion is reported with this id.
    Pending(u64),
    /// There is no state folder.
    NoFolder,
    /// The writer's queue is full.
    Overloaded,
}

/// Appended to the reply if there is no state folder.
const NO_FOLDER_WARNING: &str =
    "; there is no state folder, so the order is lost when the program restarts";
/// Appended to the reply if the writer's queue is full.
const OVERLOADED_WARNING: &str =
    ", but the disk is too slow to store the order: it is lost when the program restarts";

impl PendingOrder {
    /// The reply once the write has completed.
    fn into_message(self, written: io::Result<()>) -> String {
        let message = self.message;
        match written {
            Ok(()) => message,
            Err(error) => format!(
                "{message}, but the order could not be stored ({error}): it is lost when the program restarts"
            ),
        }
    }
}

impl Control {
    /// Queues records to be written to the state folder.
    fn append_records(&mut self, records: &[StateRecord]) -> Persistence {
        let Some(state) = &mut self.state_folder else {
            return Persistence::NoFolder;
        };
        match state.append(records) {
            Some(write) => Persistence::Pending(write),
            None => Persistence::Overloaded,
        }
    }

    /// Compacts a state file that has grown too large to the current records of the engines and the rolling restart.
    fn compact_state_file(&mut self, engine_records: impl FnOnce() -> Vec<StateRecord>) {
        let Some(state) = &mut self.state_folder else {
            return;
        };
        if state.needs_compaction() {
            let mut records = engine_records();
            records.push(self.rolling_restart.record());
            state.compact(&records);
        }
    }
}

impl Node {
    /// Drains an engine.
    pub(super) fn drain_engine(
        &mut self,
        now: Micros,
        to: ReplyTo,
        engine: String,
        force: bool,
    ) -> Result<Answer, RequestRefusal> {
        let message = format!("{engine} is drained: nothing new goes there");
        self.execute_order(now, to, Order::Drain { engine, force }, message)
    }

    /// Lifts an engine's drain.
    pub(super) fn resume_engine(
        &mut self,
        now: Micros,
        to: ReplyTo,
        engine: String,
    ) -> Result<Answer, RequestRefusal> {
        let message = format!("{engine} is resumed: it takes work again");
        self.execute_order(now, to, Order::Resume { engine }, message)
    }

    /// Removes an engine from the list.
    pub(super) fn remove_engine(
        &mut self,
        now: Micros,
        to: ReplyTo,
        engine: String,
        force: bool,
    ) -> Result<Answer, RequestRefusal> {
        let message = format!("{engine} is removed");
        self.execute_order(now, to, Order::Remove { engine, force }, message)
    }

    /// Adds an engine to the list.
    pub(super) fn add_engine(
        &mut self,
        now: Micros,
        to: ReplyTo,
        description: EngineDescription,
    ) -> Result<Answer, RequestRefusal> {
        let message = format!("{} is added", description.name);
        self.execute_order(now, to, Order::Add { description }, message)
    }

    /// Parses the engine that an operator adds. Zone and machine kind are given by name and default to the first configured
    /// ones.
    pub(super) fn parse_new_engine(
        &self,
        name: String,
        address: &str,
        zone: &str,
        kind: &str,
    ) -> Result<EngineDescription, RequestRefusal> {
        let zone = index_of("building", zone, &self.config.zones)?;
        let kind = index_of("machine kind", kind, &self.config.kinds)?;
        let addr = match address {
            "" => None,
            text => {
                let parsed = text.parse();
                Some(parsed.map_err(|source| RequestRefusal::InvalidAddress {
                    address: text.into(),
                    source,
                })?)
            }
        };
        Ok(EngineDescription {
            name,
            addr,
            zone,
            kind,
            cell: 0,
            started_at: None,
            phase: Phase::Ready,
        })
    }

    /// Executes an operator's order; `message` describes its effect. The reply is sent once the order is synced to disk.
    fn execute_order(
        &mut self,
        now: Micros,
        to: ReplyTo,
        order: Order,
        message: String,
    ) -> Result<Answer, RequestRefusal> {
        let (change, records) = self.registry.execute_command(now, "operator", order)?;
        self.apply_registry_change(now, &change);
        self.publish_handover();
        self.record_event(now, format!("{message}, by an operator"));
        let warning = match self.persist(now, &records) {
            Persistence::Pending(write) => {
                let pending = PendingOrder {
                    reply_to: to,
                    message,
                };
                if let Some(control) = &mut self.control {
                    control.pending_orders.insert(write, pending);
                }
                return Ok(Answer::Deferred);
            }
            Persistence::NoFolder => NO_FOLDER_WARNING,
            Persistence::Overloaded => OVERLOADED_WARNING,
        };
        Ok(Answer::Done(message + warning))
    }

    /// Queues records to be written to the state folder, if there is one.
    pub(in crate::node) fn persist(&mut self, now: Micros, records: &[StateRecord]) -> Persistence {
        let Some(control) = &mut self.control else {
            return Persistence::NoFolder;
        };
        let persistence = control.append_records(records);
        // Compaction replaces the file: records that a successor appends to the old file would be lost.
        if !self.lifecycle.has_successor() {
            control.compact_state_file(|| self.registry.compacted_records());
        }
        if persistence == Persistence::Overloaded {
            let message = "The state folder's disk is too slow: an order was not stored";
            self.record_event(now, message.into());
        }
        persistence
    }

    /// Handles the completion of writing an order's records.
    pub(super) fn handle_order_written(&mut self, completed: WriteCompleted) {
        let now = self.clock();
        let control = self.control.as_mut();
        let pending = control.and_then(|control| control.pending_orders.remove(&completed.id));
        if let Err(error) = &completed.result {
            self.record_event(now, format!("The state folder cannot be written: {error}"));
        }
        if let Some(pending) = pending {
            let reply_to = pending.reply_to;
            let message = pending.into_message(completed.result);
            self.send_reply(reply_to, &Reply::Done(message));
        }
        self.execute_commands();
    }
}

/// The index of a name among the known ones; 0 for an empty name.
fn index_of(what: &'static str, name: &str, known: &[String]) -> Result<u16, RequestRefusal> {
    if name.is_empty() {
        return Ok(0);
    }
    let index = known.iter().position(|known| known == name);
    let index = index.and_then(|index| u16::try_from(index).ok());
    index.ok_or_else(|| RequestRefusal::UnknownName {
        what,
        name: name.into(),
        known: known.to_vec(),
    })
}
