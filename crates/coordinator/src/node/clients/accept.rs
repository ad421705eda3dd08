//! Accepts connections while there is capacity for them.

use super::connection::ClientConnection;
use super::listener::AcceptOutcome;
use crate::net::BufferedStream;
use crate::node::{EventSource, Node};
use driftfront_core::Micros;
use std::net::TcpStream;
use std::rc::Rc;

/// Descriptors, in 100 of all, for clients; usual ones hold a third at most.
const CLIENT_DESCRIPTORS_PERCENT: usize = 60;
/// The same while another process of this coordinator runs. Usual clients hold a third with both together, and must all be accepted
/// here: one that waits in the backlog while others are read loses its place in its key's order.
const CLIENT_DESCRIPTORS_PERCENT_WHILE_SHARED: usize = 40;

impl Node {
    /// Accepts connections while there is capacity; what has to wait in the backlog is tried again with each periodic check.
    pub(in crate::node) fn accept_clients(&mut self, now: Micros) {
        let max_clients = self.max_clients();
        while self.lifecycle.accepts_connections() {
            if self.clients.connection_count() >= max_clients && !self.evict_client(now) {
                // Counted each time, whether a client waits or not.
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

    /// Clients' connections that may be open.
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
                // What came before the socket was registered brings no event of its own.
                self.on_client_ready(now, id);
            }
            Err(e) => tracing::warn!("a client's socket: {e}"),
        }
    }
}
