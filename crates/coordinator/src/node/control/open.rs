//! Opens the configured state folder, control socket and control port at startup.

use super::listener::{open_control_socket, OperatorListener};
use super::Control;
use crate::config::ControlPort;
use crate::file_writer::WriteCompleted;
use crate::node::start_error::StartError;
use crate::node::{clients, EventSource, Node};
use crate::state_folder::{OpenedState, StateFolder};
use calloop::channel::{channel, Event};
use driftfront_core::Micros;
use driftfront_engine_registry::record::StateRecord;
use driftfront_engine_registry::rolling_restart::RollingRestart;
use std::os::fd::AsFd;
use std::path::Path;
use std::rc::Rc;

impl Node {
    /// Opens the state folder, then the control socket and control port, as configured.
    pub(in crate::node) fn open_control(&mut self) -> Result<(), StartError> {
        let now = self.clock();
        let config = &self.config;
        let state_folder = config.state_folder.clone();
        let control_socket = config.control_socket.clone();
        let control_port = config.control_port.clone();
        if state_folder.is_none() && control_socket.is_none() && control_port.is_none() {
            return Ok(());
        }
        self.control = Some(Control::new(config.classes.names.len(), now));
        if let Some(folder) = state_folder {
            self.open_state_folder(now, &folder)?;
        }
        if let Some(path) = control_socket {
            self.listen_on_control_socket(&path)?;
        }
        if let Some(port) = control_port {
            self.listen_on_control_port(port)?;
        }
        Ok(())
    }

    fn listen_on_control_socket(&mut self, path: &Path) -> Result<(), StartError> {
        let (listener, path) = open_control_socket(path, self.lifecycle.replaces_earlier())?;
        if let Some(control) = &mut self.control {
            control._socket_path = Some(path);
        }
        let listener = Rc::new(listener);
        self.add_operator_listener(listener.clone(), OperatorListener::Unix(listener))
    }

    fn listen_on_control_port(&mut self, port: ControlPort) -> Result<(), StartError> {
        let address = port.address;
        let listener = clients::listen(address)
            .map_err(|source| StartError::ControlPort { address, source })?;
        if let Some(control) = &mut self.control {
            control.port_key = port.key;
        }
        let listener = Rc::new(listener);
        self.add_operator_listener(listener.clone(), OperatorListener::Tcp(listener))
    }

    fn add_operator_listener<S: AsFd + 'static>(
        &mut self,
        socket: Rc<S>,
        listener: OperatorListener,
    ) -> Result<(), StartError> {
        let Some(control) = &mut self.control else {
            return Ok(());
        };
        let index = control.listeners.len();
        control.listeners.push(listener);
        self.register_source(socket, EventSource::ControlListener(index))
            .map_err(StartError::RegisterSocket)?;
        Ok(())
    }

    /// Opens the state folder, and restores the orders and the rolling restart recorded in it.
    fn open_state_folder(&mut self, now: Micros, folder: &Path) -> Result<(), StartError> {
        let (sender, completions) = channel();
        let opened = StateFolder::open(folder, move |completed| drop(sender.send(completed)))?;
        let on_written = |event: Event<WriteCompleted>, _: &mut (), node: &mut Node| {
            if let Event::Msg(completed) = event {
                node.catch_panic("a write completion", |node| {
                    node.handle_order_written(completed)
                });
            }
        };
        self.handle
            .insert_source(completions, on_written)
            .map_err(|refused| StartError::WriteEvents(refused.error))?;
        let OpenedState {
            folder,
            records,
            warnings,
        } = opened;
        if let Some(control) = &mut self.control {
            for warning in warnings {
                tracing::warn!("{warning}");
                control.events.add(now, warning);
            }
            let restart = last_rolling_restart(&records);
            control
                .rolling_restart
                .load(restart.map(|restart| restart.restart_stage_timer(now)));
            control.state_folder = Some(folder);
        }
        let change = self.registry.restore_records(records);
        self.apply_registry_change(now, &change);
        Ok(())
    }
}

/// The last recorded rolling restart; `None` if none was recorded or the last one has ended.
fn last_rolling_restart(records: &[StateRecord]) -> Option<RollingRestart> {
    let last = records.iter().rev().find_map(|record| match record {
        StateRecord::RollingRestart { roll } => Some(roll.clone()),
        _ => None,
    });
    last.flatten()
}
