//! Operators: the control socket and its connections, what they order, and what they see.
//!
//! | module | its job |
//! | --- | --- |
//! | `listener` | the sockets that operators connect to |
//! | `connection` | one operator's connection, without the program |
//! | `connections` | accepting, reading, writing and cutting off connections |
//! | `requests` | from a request's line to the reply |
//! | `orders` | orders about engines, and their records on the disk |
//! | `rolling_restart` | the rolling restart over many engines |
//! | `snapshot` | what operators see |
//! | `service` | how well requests and engines are served |
//!
//! An operator that does not read is cut off, and none of them holds up the event loop.

mod connection;
mod connections;
mod listener;
mod orders;
mod requests;
mod rolling_restart;
mod service;
mod snapshot;

pub(in crate::node) use connection::ReplyTo;
pub(in crate::node) use listener::OperatorListener;

use crate::file_writer::WriteCompleted;
use crate::node::{clients, ConnectionId, EventSource, Node};
use crate::service_window::ServiceWindow;
use crate::state_folder::{OpenedState, StateFolder};
use connection::OperatorConnection;
use driftfront_control::Reply;
use driftfront_core::{EngineId, Micros};
use driftfront_engine_registry::record::StateRecord;
use driftfront_engine_registry::rolling_restart::RollingRestart;
use listener::{open_control_socket, ControlSocketPath};
use orders::PendingOrder;
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::rc::Rc;

/// Events retained for operators who ask for the last ones.
const MAX_EVENTS: usize = 500;

/// Something that operators should know has happened.
struct Event {
    /// Unix time in microseconds, by the wall clock.
    at: Micros,
    message: String,
}

/// How well one class of queries was served.
struct ClassService {
    minute: ServiceWindow,
    hour: ServiceWindow,
}

/// A snapshot as JSON, and when it was made.
struct CachedSnapshot {
    made_at: Micros,
    json: String,
}

/// What is retained for operators; only where the configuration names a control socket, a control port or a state folder.
pub(super) struct Control {
    /// Held for its removal.
    _socket: Option<ControlSocketPath>,
    /// The key of the control port.
    key: Vec<u8>,
    connections: BTreeMap<ConnectionId, OperatorConnection>,
    events: VecDeque<Event>,
    /// By class.
    class_service: Vec<ClassService>,
    engine_service: BTreeMap<EngineId, ServiceWindow>,
    snapshot: Option<CachedSnapshot>,
    state: Option<StateFolder>,
    /// Orders whose records are on their way to the disk, by the write's number.
    pending_orders: BTreeMap<u64, PendingOrder>,
    roll: Option<RollingRestart>,
    next_roll_step: Micros,
    started: Micros,
    /// Operators that were cut off since they did not read.
    cut_off: u64,
}

impl Control {
    fn new(classes: usize, now: Micros) -> Control {
        let class_service = (0..classes).map(|_| ClassService {
            minute: ServiceWindow::minute(),
            hour: ServiceWindow::hour(),
        });
        Control {
            _socket: None,
            key: Vec::new(),
            connections: BTreeMap::new(),
            events: VecDeque::new(),
            class_service: class_service.collect(),
            engine_service: BTreeMap::new(),
            snapshot: None,
            state: None,
            pending_orders: BTreeMap::new(),
            roll: None,
            next_roll_step: 0,
            started: now,
            cut_off: 0,
        }
    }

    /// Counters, a line each.
    pub(super) fn counters(&self) -> String {
        format!(
            "operators {}\noperators_cut_off {}\n",
            self.connections.len(),
            self.cut_off
        )
    }

    fn add_event(&mut self, at: Micros, message: String) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event { at, message });
    }
}

impl Node {
    /// Opens what the configuration names: the state folder, then the control socket and port.
    pub(super) fn open_control(&mut self) -> Result<(), String> {
        let now = self.clock();
        let config = &self.config;
        if config.control_socket.is_none()
            && config.control_port.is_none()
            && config.state_folder.is_none()
        {
            return Ok(());
        }
        self.control = Some(Control::new(config.classes.names.len(), now));
        if let Some(folder) = self.config.state_folder.clone() {
            self.open_state_folder(now, &folder)?;
        }
        if let Some(path) = self.config.control_socket.clone() {
            let (listener, path) = open_control_socket(&path, self.lifecycle.replaces_earlier())
                .map_err(|error| error.to_string())?;
            if let Some(control) = &mut self.control {
                control._socket = Some(path);
            }
            let listener = Rc::new(listener);
            self.add_operator_listener(listener.clone(), OperatorListener::Unix(listener))?;
        }
        if let Some(port) = self.config.control_port.clone() {
            let address = port.address;
            let listener =
                clients::listen(address).map_err(|e| format!("control port {address}: {e}"))?;
            if let Some(control) = &mut self.control {
                control.key = port.key;
            }
            let listener = Rc::new(listener);
            self.add_operator_listener(listener.clone(), OperatorListener::Tcp(listener))?;
        }
        Ok(())
    }

    fn add_operator_listener<S: std::os::fd::AsFd + 'static>(
        &mut self,
        socket: Rc<S>,
        listener: OperatorListener,
    ) -> Result<(), String> {
        let index = self.operators.len();
        self.operators.push(listener);
        self.register_source(socket, EventSource::Operators(index))
            .map(|_| ())
            .map_err(|e| format!("event loop: {e}"))
    }

    /// Opens the state folder, and applies the orders and the rolling restart that it holds.
    fn open_state_folder(&mut self, now: Micros, folder: &Path) -> Result<(), String> {
        let (sender, completions) = calloop::channel::channel();
        let opened = StateFolder::open(folder, move |completed| drop(sender.send(completed)));
        let OpenedState {
            folder,
            records,
            warnings,
        } = opened.map_err(|error| error.to_string())?;
        let on_written =
            |event: calloop::channel::Event<WriteCompleted>, _: &mut (), node: &mut Node| {
                if let calloop::channel::Event::Msg(completed) = event {
                    node.guard("a write's end", |node| node.handle_order_written(completed));
                }
            };
        self.handle
            .insert_source(completions, on_written)
            .map_err(|e| format!("event loop: {e}"))?;
        if let Some(control) = &mut self.control {
            for warning in warnings {
                tracing::warn!("{warning}");
                control.add_event(now, warning);
            }
            control.roll = last_roll(&records).map(|roll| roll.restarted(now));
            control.state = Some(folder);
        }
        let change = self.registry.restore_records(records);
        self.apply_registry_change(now, &change);
        Ok(())
    }

    /// Logs something that operators should know has happened, and sends it to those who follow events.
    pub(super) fn event(&mut self, now: Micros, message: String) {
        let at = self.wall_time(now);
        let Some(control) = &mut self.control else {
            return;
        };
        tracing::info!("{message}");
        // What was shown before is out of date.
        control.snapshot = None;
        control.add_event(at, message.clone());
        let reply = Reply::Event(at, message);
        let followers: Vec<ReplyTo> = control
            .connections
            .iter()
            .filter_map(|(&connection, operator)| {
                let request = operator.events_request?;
                Some(ReplyTo {
                    connection,
                    request,
                })
            })
            .collect();
        for follower in followers {
            self.send_reply(follower, &reply);
        }
    }

    /// Periodic work: the rolling restart, connections that wait to be accepted, and followers of snapshots.
    pub(super) fn update_operators(&mut self, now: Micros) {
        if self.control.is_none() {
            return;
        }
        self.step_rolling_restart(now);
        for listener in 0..self.operators.len() {
            self.accept_operators(listener);
        }
        self.cut_off_stuck_operators(now);
        self.send_due_snapshots(now);
    }
}

/// The rolling restart as last recorded; `None` where there was none, or none any more.
fn last_roll(records: &[StateRecord]) -> Option<RollingRestart> {
    let last = records.iter().rev().find_map(|record| match record {
        StateRecord::RollingRestart { roll } => Some(roll.clone()),
        _ => None,
    });
    last.flatten()
}
