//! Applies the process's lifecycle: readiness, pause, hand-over and exit. `driftfront_core::lifecycle` owns the state and its
//! rules; these methods pass events to it, and act on the listener, the clients and the core.

use super::Node;
use driftfront_core::Micros;
use std::net::SocketAddr;

impl Node {
    /// Whether the process may exit now. If the listening socket must still be closed, this closes it and returns false.
    pub(super) fn can_exit(&mut self) -> bool {
        let writing = self.clients.has_unread_output();
        let ends = self.lifecycle.may_exit(
            self.now,
            self.core.open_requests(),
            self.clients.connection_count(),
            writing,
        );
        if ends && self.listener.is_open() && !self.lifecycle.is_listening(self.now) {
            // Clients in the backlog are connected, and may have sent requests. They are accepted before the close, so the check is
            // repeated after it.
            self.stop_listening(self.now);
            return false;
        }
        ends
    }

    /// The readiness reported by `/alive` and STATUS.
    pub(super) fn is_ready(&self) -> bool {
        self.lifecycle.is_ready() && self.core.has_engines()
    }

    /// Pauses the process on an operator's request, which drains its clients. Returns the state's name for the reply.
    pub(super) fn pause(&mut self, now: Micros, by: &str) -> String {
        if self.lifecycle.pause(now) {
            self.notify_operators(
                now,
                format!("Paused by {by}: draining clients, accepted requests are answered"),
            );
        }
        self.lifecycle.state().name().into()
    }

    /// Ends a pause on an operator's request. Returns the state's name for the reply.
    pub(super) fn resume_work(&mut self, now: Micros, by: &str) -> String {
        if self.lifecycle.resume() {
            self.notify_operators(now, format!("Resumed by {by}"));
        }
        self.lifecycle.state().name().into()
    }

    /// Applies the lifecycle's state: announces readiness, answers all requests at the shutdown deadline, and closes the listener.
    pub(super) fn update_lifecycle(&mut self, now: Micros) {
        if !self.lifecycle.has_been_ready()
            && self.has_current_engine_list(now)
            && self.lifecycle.record_ready()
        {
            tracing::info!(succeeds = self.lifecycle.replaces_earlier(), "ready");
            self.publish_handover();
        }
        if self
            .lifecycle
            .shutdown_deadline()
            .is_some_and(|at| now >= at)
        {
            self.core.answer_all_requests(now);
        }
        if !self.lifecycle.is_listening(now) {
            self.stop_listening(now);
        }
        if self
            .lifecycle
            .record_clients(self.clients.connection_count())
        {
            self.notify_operators(now, "Drained: no clients are connected".into());
        }
    }

    /// The address that clients connect to.
    pub(super) fn listen_address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap_or(self.config.listen)
    }

    /// Closes the listening socket. Connections in its backlog are accepted first, so that each client gets a response or a
    /// graceful close.
    pub(super) fn stop_listening(&mut self, now: Micros) {
        self.accept_clients(now);
        self.execute_commands();
        let registration = self.listener.take_registration();
        self.unregister(registration);
        self.listener.close();
    }
}
