//! Works on a client's connection: writes, takes requests and reads, as far as all three go.

use crate::net::ReadOutcome;
use crate::node::{ConnectionId, EventSource, Node};
use driftfront_core::Micros;
use driftfront_http::HttpError;
use std::net::Shutdown;

/// Steps on one connection before the others have their turn.
const MAX_STEPS_PER_TURN: usize = 16;
/// Bytes of one read.
pub(super) const MAX_READ_BYTES: usize = 64 * 1024;

impl Node {
    /// Handles a readiness event of a connection: something may be read, or written, on it.
    pub(in crate::node) fn on_client_ready(&mut self, now: Micros, id: ConnectionId) {
        if let Some(client) = self.clients.connections.get_mut(&id) {
            client.has_more = true;
        }
        self.drive_client(now, id);
        let open = self
            .clients
            .connections
            .get(&id)
            .and_then(|c| c.open.as_ref());
        if let Some(engine) = open.and_then(|open| self.engines.upload_connection(open.id)) {
            self.write_to_engine(now, engine);
        }
        self.resume_engines(now);
    }

    /// Works on a connection, unless that is going on further up the stack: a response given at once must not begin the next
    /// pipelined request inside the one before, each some frames deeper.
    pub(in crate::node) fn drive_client(&mut self, now: Micros, id: ConnectionId) {
        let Some(client) = self.clients.connections.get_mut(&id).filter(|c| !c.is_busy) else {
            return;
        };
        client.is_busy = true;
        self.take_client_steps(now, id);
        if let Some(client) = self.clients.connections.get_mut(&id) {
            client.is_busy = false;
        }
    }

    /// After a panic nothing is being worked on.
    pub(in crate::node) fn clear_busy_clients(&mut self) {
        self.clients
            .connections
            .values_mut()
            .for_each(|c| c.is_busy = false);
    }

    fn take_client_steps(&mut self, now: Micros, id: ConnectionId) {
        for _ in 0..MAX_STEPS_PER_TURN {
            if !self.take_client_step(now, id) {
                return;
            }
        }
        if self.clients.connections.contains_key(&id) {
            self.deferred.push(EventSource::Client(id));
        }
    }

    /// Writes, takes a request, or reads; true if there may be more to do at once.
    fn take_client_step(&mut self, now: Micros, id: ConnectionId) -> bool {
        self.flush_client(now, id)
            && (self.next_request(now, id, false)
                || self.has_outgrown_limits(now, id)
                || self.read_from_client(now, id))
    }

    /// Writes what waits, and shuts our side where a close is due; true if requests may be taken. Who does not read its responses
    /// is asked for no more requests.
    fn flush_client(&mut self, now: Micros, id: ConnectionId) -> bool {
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return false;
        };
        let Ok(is_flushed) = client.stream.flush() else {
            self.drop_client(now, id);
            return false;
        };
        if is_flushed && client.must_close && client.open.is_none() && !client.is_shut {
            client.is_shut = true;
            client.last_used = now;
            let _ = client.stream.socket().shutdown(Shutdown::Write);
        }
        is_flushed || client.open.is_some()
    }

    /// Checks the size of a request that is being read against what its body may hold now; true if its limits have changed so that
    /// it should be tried again.
    fn has_outgrown_limits(&mut self, now: Micros, id: ConnectionId) -> bool {
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return false;
        };
        if client.open.is_some() || client.must_close || now < client.paused_until {
            return false;
        }
        let size = client.reader.partial_request_bytes();
        let Some(reservation) = self.frontend.reserve_body(client.reserved_bytes, size) else {
            return false;
        };
        client.reserved_bytes = reservation.reserved_bytes;
        client.reader.set_max_body_bytes(reservation.max_body_bytes);
        if size <= reservation.max_body_bytes {
            return false;
        }
        if !client.reader.has_head() {
            // A head can't be forwarded in parts.
            self.client_fault(now, id, HttpError::HeadTooLarge);
        }
        true
    }

    /// Reads once; true if there may be more to do at once.
    fn read_from_client(&mut self, now: Micros, id: ConnectionId) -> bool {
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return false;
        };
        if !client.has_more || client.is_shut {
            return false;
        }
        if client.is_full(now) {
            if client.open.is_some() && self.frontend.is_sequential() {
                self.discard_pipelined(now, id);
            } else {
                self.drop_if_ended(now, id);
            }
            return false;
        }
        let mut bytes = Vec::new();
        let Ok(outcome) = client.stream.read(&mut bytes, MAX_READ_BYTES) else {
            self.drop_client(now, id);
            return false;
        };
        client.has_more = outcome == ReadOutcome::LimitReached;
        client.push(now, &bytes);
        if client.open.is_some() && client.reader.holds_stray_bytes() {
            // The length in its head was too small: what is in flight runs half a statement, and must not be served.
            self.abandon_client_request(now, id);
            self.client_fault(now, id, HttpError::Malformed);
            return true;
        }
        if outcome == ReadOutcome::Closed {
            self.on_client_ended(now, id);
            return false;
        }
        true
    }
}
