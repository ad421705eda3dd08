//! Drives a client connection: writes output, starts requests and reads input until none of these makes progress.

use super::connection::{BodyLimit, ClientConnection, ReadStep};
use crate::node::{ConnectionId, EventSource, Node};
use driftfront_core::Micros;
use driftfront_http::HttpError;

/// Steps on one connection per turn, so that the others are served too.
const MAX_STEPS_PER_TURN: usize = 16;

impl Node {
    /// Handles a readiness event of a connection.
    pub(in crate::node) fn on_client_ready(&mut self, now: Micros, id: ConnectionId) {
        if let Some(client) = self.clients.get_mut(id) {
            client.mark_readable();
        }
        self.drive_client(now, id);
        let client = self.clients.get(id);
        let open = client.and_then(ClientConnection::open_request);
        if let Some(engine) = open.and_then(|request| self.engines.upload_connection(request)) {
            self.write_to_engine(now, engine);
        }
        self.resume_engines(now);
    }

    /// Drives a connection, unless a caller further up the stack is doing so: an immediate reply must not start the next pipelined
    /// request recursively, as the stack would grow with each.
    pub(in crate::node) fn drive_client(&mut self, now: Micros, id: ConnectionId) {
        let client = self.clients.get_mut(id);
        if !client.is_some_and(ClientConnection::begin_turn) {
            return;
        }
        self.run_client_steps(now, id);
        if let Some(client) = self.clients.get_mut(id) {
            client.end_turn();
        }
    }

    fn run_client_steps(&mut self, now: Micros, id: ConnectionId) {
        for _ in 0..MAX_STEPS_PER_TURN {
            if !self.run_client_step(now, id) {
                return;
            }
        }
        if self.clients.get(id).is_some() {
            self.deferred.push(EventSource::Client(id));
        }
    }

    /// Writes output, then starts a request or reads input; true if another step may make progress.
    fn run_client_step(&mut self, now: Micros, id: ConnectionId) -> bool {
        self.flush_client(now, id)
            && (self.start_next_request(now, id, false)
                || self.update_request_limits(now, id)
                || self.read_from_client(now, id))
    }

    /// Writes pending output; true if requests may be started.
    fn flush_client(&mut self, now: Micros, id: ConnectionId) -> bool {
        let Some(client) = self.clients.get_mut(id) else {
            return false;
        };
        client.flush(now).unwrap_or_else(|_| {
            self.drop_client(now, id);
            false
        })
    }

    /// Checks the size of the request being read; true if parsing should be tried again with new limits.
    fn update_request_limits(&mut self, now: Micros, id: ConnectionId) -> bool {
        let Some(client) = self.clients.get_mut(id) else {
            return false;
        };
        match client.check_body_limit(now, self.frontend.as_mut()) {
            BodyLimit::Within => false,
            BodyLimit::Exceeded => true,
            BodyLimit::HeadTooLarge => {
                self.reject_malformed(now, id, HttpError::HeadTooLarge);
                true
            }
        }
    }

    /// Reads once; true if another step may make progress.
    fn read_from_client(&mut self, now: Micros, id: ConnectionId) -> bool {
        let is_memory_short = self.relieve_memory(now);
        let Some(client) = self.clients.get_mut(id) else {
            return false;
        };
        match client.read(now, is_memory_short) {
            ReadStep::Received => return true,
            ReadStep::Nothing => {}
            ReadStep::Full => {
                if client.discards_input(self.frontend.is_sequential()) {
                    self.discard_pipelined(now, id);
                } else {
                    self.drop_if_peer_closed(now, id);
                }
            }
            ReadStep::StrayBytes => {
                // The declared content length was too small: the engine runs a truncated statement, whose result must not be served.
                self.abandon_client_request(now, id);
                self.reject_malformed(now, id, HttpError::Malformed);
                return true;
            }
            ReadStep::Closed => self.on_client_closed(now, id),
            ReadStep::Failed => self.drop_client(now, id),
        }
        false
    }
}
