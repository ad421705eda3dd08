//! Carries out the process's lifecycle: readiness, pauses, hand-over and the end. `driftfront_core::lifecycle` owns the state and its
//! rules; these methods bring it the events, and act on the listener, the clients and the core.

use super::Node;
use driftfront_core::Micros;
use std::net::SocketAddr;

impl Node {
    /// Whether the process may end now. Before it does, the listening socket is closed.
    pub(super) fn can_exit(&mut self) -> bool {
        let writing = self.clients.has_unread_output();
        let ends = self.lifecycle.may_exit(
            self.now,
            self.core.open_requests(),
            self.clients.connection_count(),
            writing,
        );
        if ends && self.listener.is_open() && !self.lifecycle.is_listening(self.now) {
            // A client in the backlog still has a connection, and maybe a request on it: checked once more after the close.
            self.stop_listening(self.now);
            return false;
        }
        ends
    }

    /// What `/alive` and STATUS both say.
    pub(super) fn is_ready(&self) -> bool {
        self.lifecycle.is_ready() && self.core.has_engines()
    }

    /// An operator pauses this process, which sends its clients away; the state's name, for the reply.
    pub(super) fn pause(&mut self, now: Micros, by: &str) -> String {
        if self.lifecycle.pause(now) {
            self.notify_operators(
                now,
                format!("Paused by {by}: clients are sent away, what was taken is answered"),
            );
        }
        self.lifecycle.state().name().into()
    }

    /// An operator ends a pause; the state's name, for the reply.
    pub(super) fn resume_work(&mut self, now: Micros, by: &str) -> String {
        if self.lifecycle.resume() {
            self.notify_operators(now, format!("Back to work, by {by}"));
        }
        self.lifecycle.state().name().into()
    }

    /// Carries out what the lifecycle's state asks for now: readiness, the shutdown's deadline, the listener's end.
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
            self.notify_operators(now, "Drained: no client is left".into());
        }
    }

    /// The address that clients use.
    pub(super) fn listen_address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap_or(self.config.listen)
    }

    /// Closes the listening socket. What stands in its backlog is accepted first: each client gets an answer, or its close.
    pub(super) fn stop_listening(&mut self, now: Micros) {
        self.accept_clients(now);
        self.execute_commands();
        let registration = self.listener.take_registration();
        self.unregister(registration);
        self.listener.close();
    }
}
