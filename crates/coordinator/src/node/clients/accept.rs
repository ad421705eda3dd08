//! Accepts client connections up to a limit derived from the descriptor limit.

use super::connection::ClientConnection;
use super::listener::AcceptOutcome;
use crate::net::BufferedStream;
use crate::node::{EventSource, Node};
use driftfront_core::Micros;
use std::net::TcpStream;
use std::rc::Rc;

/// Percentage of the descriptor limit that client connections may use. Normal load needs at most a third.
const CLIENT_DESCRIPTORS_PERCENT: usize = 60;
/// The percentage while another process of this coordinator runs. Under normal load, clients of both processes together need a
/// third, and all of them must be accepted here: a client that waits in the backlog while others are read loses its place in the
/// order of its key.
const CLIENT_DESCRIPTORS_PERCENT_WHILE_SHARED: usize = 40;

impl Node {
    /// Accepts connections while there is capacity. Connections left in the backlog are retried by the periodic check.
    pub(in crate::node) fn accept_clients(&mut self, now: Micros) {
        let max_clients = self.max_clients();
        while self.lifecycle.accepts_connections() {
            if self.clients.connection_count() >= max_clients && !self.evict_client(now) {
                // Counted even if the backlog is empty.
                self.clients.counters_mut().accepts_full += 1;
                return;
            }
            match self.listener.accept() {
                AcceptOutcome::Connection(stream) => self.add_client(now, stream),
                AcceptOutcome::OutOfDescriptors if self.evict_client(now) => {}
                AcceptOutcome::Retry => {}
                AcceptOutcome::OutOfDescriptors | AcceptOutcome::Stop => return,
            }
        }
    }

    /// The maximum number of open client connections.
    fn max_clients(&self) -> usize {
        let percent = if self.handover.has_peers() {
            CLIENT_DESCRIPTORS_PERCENT_WHILE_SHARED
        } else {
            CLIENT_DESCRIPTORS_PERCENT
        };
        self.config.max_descriptors * percent / 100
    }

    fn add_client(&mut self, now: Micros, stream: TcpStream) {
        let is_prepared = stream
            .set_nonblocking(true)
            .and_then(|()| stream.set_nodelay(true));
        if is_prepared.is_err() {
            return;
        }
        let id = self.next_connection_id();
        let stream = Rc::new(stream);
        match self.register_source(stream.clone(), EventSource::Client(id)) {
            Ok(registration) => {
                let limits = self.frontend.request_limits();
                let stream = BufferedStream::new(stream);
                let client = ClientConnection::new(now, stream, registration, limits);
                self.clients.insert(id, client);
                // The loop is edge-triggered: data that arrived before the registration causes no event.
                self.on_client_ready(now, id);
            }
            Err(e) => tracing::warn!("registering a client's socket failed: {e}"),
        }
    }
}
