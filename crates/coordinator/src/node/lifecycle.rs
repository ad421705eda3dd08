//! The process's lifecycle: when it is ready, pauses, hands over and ends. The states and their rules are
//! `driftfront_core::lifecycle`'s; here they are carried out.

use super::Node;
use driftfront_core::Micros;
use std::net::SocketAddr;

impl Node {
    pub(super) fn can_end(&mut self) -> bool {
        let writing = self.clients.connections.values().any(|c| c.is_writing());
        let ends = self.lifecycle.may_exit(
            self.now,
            self.core.open_requests(),
            self.clients.connections.len(),
            writing,
        );
        if ends && self.listener.socket.is_some() && !self.lifecycle.is_listening(self.now) {
            // Who is in the backlog still has a connection, and maybe a request on it: looked at once more behind that.
            self.stop_listening(self.now);
            return false;
        }
        ends
    }

    /// What `/alive` and STATUS both say.
    pub(super) fn is_ready(&self) -> bool {
        self.lifecycle.is_ready() && self.core.has_engines()
    }

    /// An operator sends the clients away; what to tell of it.
    pub(super) fn pause(&mut self, now: Micros, by: &str) -> String {
        if self.lifecycle.pause(now) {
            self.notify_operators(
                now,
                format!("Paused by {by}: clients are sent away, what was taken is answered"),
            );
        }
        self.lifecycle.state().name().into()
    }

    /// An operator calls it back to work; what to tell of it.
    pub(super) fn resume_work(&mut self, now: Micros, by: &str) -> String {
        if self.lifecycle.resume() {
            self.notify_operators(now, format!("Back to work, by {by}"));
        }
        self.lifecycle.state().name().into()
    }

    pub(super) fn update_lifecycle(&mut self, now: Micros) {
        if !self.lifecycle.has_been_ready()
            && self.knows_engines(now)
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
            .record_clients(self.clients.connections.len())
        {
            self.notify_operators(now, "Drained: no client is left".into());
        }
    }

    /// The address that clients use.
    pub(super) fn listening_at(&self) -> SocketAddr {
        self.listener
            .socket
            .as_ref()
            .and_then(|l| l.local_addr().ok())
            .unwrap_or(self.config.listen)
    }

    /// Closes the listening socket. What the system has accepted already is taken first: each gets an answer, or its close.
    pub(super) fn stop_listening(&mut self, now: Micros) {
        self.accept_clients(now);
        self.execute_commands();
        let token = self.listener.token.take();
        self.unregister(token);
        self.listener.socket = None;
    }
}
