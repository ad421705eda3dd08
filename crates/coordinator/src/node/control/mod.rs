//! Operators: the control socket and its connections, what they order, and what they see.
//!
//! | module | its job |
//! | --- | --- |
//! | `open` | opening state folder, control socket and control port at the start |
//! | `listener` | the sockets that operators connect to |
//! | `connection` | one operator's connection, without the program |
//! | `connections` | accepting, reading, writing and cutting off connections |
//! | `requests` | from a request's line to the reply |
//! | `refusal` | why a request is refused |
//! | `orders` | orders about engines, and their records on the disk |
//! | `rolling_restart`, `observed_state` | the rolling restart over many engines, and what it sees of them |
//! | `events` | the last events |
//! | `snapshot` | what operators see |
//! | `service` | how well requests and engines are served |
//!
//! An operator that does not read is cut off, and none of them holds up the event loop.

mod connection;
mod connections;
mod events;
mod listener;
mod observed_state;
mod open;
mod orders;
mod refusal;
mod requests;
mod rolling_restart;
mod service;
mod snapshot;

pub(in crate::node) use connection::ReplyTo;
pub use listener::ControlSocketError;
pub(in crate::node) use refusal::RequestRefusal;
pub(in crate::node) use requests::{reply_to_request, Answer};

use crate::node::{ConnectionId, Node};
use crate::state_folder::StateFolder;
use connection::OperatorConnection;
use driftfront_control::Reply;
use driftfront_core::Micros;
use events::EventLog;
use listener::{ControlSocketPath, OperatorListener};
use orders::PendingOrder;
use rolling_restart::RollingRestartRunner;
use service::ServiceRecords;
use snapshot::CachedSnapshot;
use std::collections::BTreeMap;

/// What is retained for operators; only where the configuration names a control socket, a control port or a state folder.
pub(super) struct Control {
    /// Removes the control socket's path when it is dropped.
    _socket_path: Option<ControlSocketPath>,
    listeners: Vec<OperatorListener>,
    /// The key that operators on the control port must have.
    port_key: Vec<u8>,
    connections: BTreeMap<ConnectionId, OperatorConnection>,
    events: EventLog,
    service: ServiceRecords,
    /// The last snapshot, until an event outdates it.
    snapshot: Option<CachedSnapshot>,
    state_folder: Option<StateFolder>,
    /// Orders whose records are on their way to the disk, by the write's number.
    pending_orders: BTreeMap<u64, PendingOrder>,
    rolling_restart: RollingRestartRunner,
    started: Micros,
    /// Operators that were cut off since they did not read.
    operators_cut_off: u64,
}

impl Control {
    fn new(classes: usize, now: Micros) -> Control {
        Control {
            _socket_path: None,
            listeners: Vec::new(),
            port_key: Vec::new(),
            connections: BTreeMap::new(),
            events: EventLog::default(),
            service: ServiceRecords::new(classes),
            snapshot: None,
            state_folder: None,
            pending_orders: BTreeMap::new(),
            rolling_restart: RollingRestartRunner::default(),
            started: now,
            operators_cut_off: 0,
        }
    }

    /// Counters, a line each.
    pub(super) fn counters(&self) -> String {
        format!(
            "operators {}\noperators_cut_off {}\n",
            self.connections.len(),
            self.operators_cut_off
        )
    }
}

impl Node {
    /// Logs an event, and sends it to the operators who follow events; does nothing without [`Control`].
    pub(super) fn record_event(&mut self, now: Micros, message: String) {
        let at = self.wall_time(now);
        let Some(control) = &mut self.control else {
            return;
        };
        tracing::info!("{message}");
        // What was shown before is out of date.
        control.snapshot = None;
        control.events.add(at, message.clone());
        let reply = Reply::Event(at, message);
        for follower in control.event_followers() {
            self.send_reply(follower, &reply);
        }
    }

    /// Periodic work: the rolling restart, connections that wait to be accepted, and followers of snapshots.
    pub(super) fn update_operators(&mut self, now: Micros) {
        let Some(control) = &self.control else {
            return;
        };
        let listeners = control.listeners.len();
        self.step_rolling_restart(now);
        for listener in 0..listeners {
            self.accept_operators(listener);
        }
        self.close_stalled_operators(now);
        self.send_due_snapshots(now);
    }
}
