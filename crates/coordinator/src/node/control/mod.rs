//! The control interface for operators: its connections, their orders, and the state shown to them.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `open` | opening the state folder, control socket and control port at startup |
//! | `listener` | the listeners that operators connect to |
//! | `connection` | one operator's connection, independent of the node |
//! | `connections` | accepting, reading, writing and closing connections |
//! | `requests` | parsing, executing and answering requests |
//! | `refusal` | why a request is refused |
//! | `orders` | orders about engines, and persisting them |
//! | `rolling_restart`, `observed_state` | the rolling restart of engines, and its view of them |
//! | `events` | the most recent events |
//! | `snapshot` | the state shown to operators |
//! | `service` | service statistics by class and engine |
//!
//! An operator that does not read is disconnected; no operator blocks the event loop.

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

/// The state of the control interface; present if the configuration has a control socket, a control port or a state folder.
pub(super) struct Control {
    /// Removes the control socket on drop.
    _socket_path: Option<ControlSocketPath>,
    listeners: Vec<OperatorListener>,
    /// The key with which operators on the control port authenticate.
    port_key: Vec<u8>,
    connections: BTreeMap<ConnectionId, OperatorConnection>,
    events: EventLog,
    service: ServiceRecords,
    /// The last snapshot, until an event invalidates it.
    snapshot: Option<CachedSnapshot>,
    state_folder: Option<StateFolder>,
    /// Orders whose records are being written, by the id of the write.
    pending_orders: BTreeMap<u64, PendingOrder>,
    rolling_restart: RollingRestartRunner,
    started: Micros,
    /// Operators that were disconnected because they did not read.
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

    /// Counters, one per line.
    pub(super) fn counters(&self) -> String {
        format!(
            "operators {}\noperators_cut_off {}\n",
            self.connections.len(),
            self.operators_cut_off
        )
    }
}

impl Node {
    /// Logs an event and sends it to subscribed operators; does nothing without [`Control`].
    pub(super) fn record_event(&mut self, now: Micros, message: String) {
        let at = self.wall_time(now);
        let Some(control) = &mut self.control else {
            return;
        };
        tracing::info!("{message}");
        // The cached snapshot is out of date.
        control.snapshot = None;
        control.events.add(at, message.clone());
        let reply = Reply::Event(at, message);
        for follower in control.event_followers() {
            self.send_reply(follower, &reply);
        }
    }

    /// Periodic work: steps the rolling restart, accepts connections and sends snapshots to subscribers.
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
