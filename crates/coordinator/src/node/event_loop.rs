//! The event loop: readiness events, timers and periodic checks. Panics in handlers are caught, so that none ends the process.

use super::{ConnectionId, EventSource, Node, StartError};
use crate::clock::ClockStep;
use crate::discovery::backoff::Disconnect;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, Mode, PostAction, RegistrationToken};
use driftfront_core::Micros;
use std::io::ErrorKind;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;

/// Interval of the periodic checks, such as connect timeouts, idle timeouts and postponed accepts.
const CHECK_INTERVAL: Micros = 25_000;
/// Longest wait for events.
const MAX_WAIT: Micros = 1_000_000;

impl Node {
    /// Runs until a signal requests the shutdown and all accepted requests are answered. Errors are logged, and the loop
    /// continues.
    pub fn run(mut self, mut events: EventLoop<'static, Node>) {
        let listen = self.listen_address();
        let management = self.management.addr().map(tracing::field::display);
        // Tests and the benchmark parse this line and its target.
        tracing::info!(target: "driftfront::node", name = %self.config.name, management, %listen, "serving");
        loop {
            self.catch_panic("timers", Node::handle_timers);
            if self.can_exit() {
                break;
            }
            let wait = self.time_until_due();
            match events.dispatch(wait, &mut self) {
                Ok(()) => {}
                Err(calloop::Error::IoError(e)) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => tracing::error!("event loop: {e}"),
            }
        }
        self.leave_cluster();
        tracing::info!("all requests are answered\n{}", self.counters());
    }

    /// How long the loop may wait for events: until the next timer or periodic check, or not at all if sources are deferred.
    fn time_until_due(&mut self) -> Duration {
        let now = self.clock();
        if !self.deferred.is_empty() {
            return Duration::ZERO;
        }
        let next_timer = self.core.next_due().unwrap_or(Micros::MAX);
        let due = next_timer.min(self.next_check);
        Duration::from_micros(due.saturating_sub(now).min(MAX_WAIT))
    }

    /// Handles a readiness event.
    fn handle_event(&mut self, source: EventSource) {
        let now = self.clock();
        self.check_management(now);
        match source {
            EventSource::Listener => self.accept_clients(now),
            EventSource::Client(id) => self.on_client_ready(now, id),
            EventSource::Engine(id) => self.on_engine_ready(now, id),
            EventSource::DiscoveryClient(id) => self.handle_discovery_ready(now, id),
            EventSource::ControlListener(listener) => self.accept_operators(listener),
            EventSource::ControlConnection(id) => self.handle_operator_ready(id),
            EventSource::ManagementListener => self.accept_callers(now),
            EventSource::ManagementConnection(id) => self.handle_caller_ready(now, id),
            EventSource::Cluster => self.read_datagrams(),
        }
        self.execute_commands();
    }

    /// Closes the connection of a source whose handler panicked; its requests or attempts end with it.
    fn close_source(&mut self, source: EventSource) {
        let now = self.clock();
        match source {
            EventSource::Listener => {}
            EventSource::Client(id) => self.drop_client(now, id),
            EventSource::Engine(id) => self.close_engine_connection(now, id, "panic"),
            EventSource::DiscoveryClient(_) => {
                self.drop_discovery_connection(now, "panic", Disconnect::Closed)
            }
            EventSource::ControlListener(_)
            | EventSource::ManagementListener
            | EventSource::Cluster => {}
            EventSource::ControlConnection(id) => self.drop_operator(id),
            EventSource::ManagementConnection(id) => self.drop_caller(id),
        }
        self.execute_commands();
    }

    /// Fires due timers, continues with deferred sources, and runs the periodic checks when due.
    fn handle_timers(&mut self) {
        let now = self.clock();
        self.core.fire_timers(now);
        for source in std::mem::take(&mut self.deferred) {
            match source {
                EventSource::Client(id) => self.drive_client(now, id),
                EventSource::Engine(id) => {
                    self.write_to_engine(now, id);
                    self.read_from_engine(now, id);
                }
                EventSource::Cluster => self.read_datagrams(),
                _ => {}
            }
        }
        self.execute_commands();
        if now >= self.next_check {
            self.next_check = now + CHECK_INTERVAL;
            self.check_periodically(now);
        }
    }

    /// Runs the checks that are due every [`CHECK_INTERVAL`].
    fn check_periodically(&mut self, now: Micros) {
        self.log_wall_clock_step();
        self.accept_clients(now);
        self.sweep_clients(now);
        self.sweep_engines(now);
        self.check_discovery(now);
        self.update_cluster();
        self.frontend.expire_sessions(now);
        self.update_operators(now);
        self.check_callers(now);
        self.poll_handover(now);
        self.relieve_memory(now);
        self.update_lifecycle(now);
        self.execute_commands();
    }

    /// Logs a step of the wall clock, which explains a jump of the log's timestamps.
    fn log_wall_clock_step(&mut self) {
        if let Some(ClockStep(step)) = self.wall.check() {
            let step_seconds = step as f64 / 1e6;
            let open_requests = self.core.open_requests();
            tracing::warn!(step_seconds, open_requests, "wall clock step detected");
        }
    }

    /// Runs `work`, catching panics, so that none ends the process. Returns whether the work completed.
    pub(super) fn catch_panic(&mut self, what: &str, work: impl FnOnce(&mut Node)) -> bool {
        let done = catch_unwind(AssertUnwindSafe(|| work(self))).is_ok();
        if !done {
            tracing::error!("panic in {what}");
            self.is_executing = false;
            self.clients.reset_turns();
        }
        done
    }

    /// Registers a socket with the event loop as this source.
    pub(super) fn register_source<S: std::os::fd::AsFd + 'static>(
        &mut self,
        socket: Rc<S>,
        source: EventSource,
    ) -> Result<RegistrationToken, calloop::Error> {
        let generic = Generic::new(socket, Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(generic, move |_readiness, _, node: &mut Node| {
                if !node.catch_panic("event handler", |node| node.handle_event(source)) {
                    node.catch_panic("close after a panic", |node| node.close_source(source));
                }
                Ok(PostAction::Continue)
            });
        token.map_err(|e| e.error)
    }

    /// Removes a socket from the event loop. The descriptor is closed when its last owner drops it.
    pub(super) fn unregister(&mut self, token: Option<RegistrationToken>) {
        if let Some(token) = token {
            self.handle.remove(token);
        }
    }

    /// An id for a new connection.
    pub(super) fn next_connection_id(&mut self) -> ConnectionId {
        self.last_connection_id += 1;
        self.last_connection_id
    }
}

/// Registers signal handlers: SIGTERM and SIGINT shut down once all accepted requests are answered; SIGHUP reloads the
/// configuration.
pub(super) fn register_signals(events: &EventLoop<'static, Node>) -> Result<(), StartError> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .map_err(StartError::Signals)?;
    let on_signal = |event: calloop::signals::Event, _: &mut (), node: &mut Node| {
        if event.signal() == Signal::SIGHUP {
            node.catch_panic("configuration reload", Node::reload);
            return;
        }
        tracing::info!(signal = ?event.signal(), "shutting down once all requests are answered");
        let now = node.clock();
        node.lifecycle.begin_shutdown(now);
    };
    events
        .handle()
        .insert_source(signals, on_signal)
        .map_err(|refused| StartError::SignalEvents(refused.error))?;
    Ok(())
}
