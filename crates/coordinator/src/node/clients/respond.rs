//! Responses as they go out to clients.

use crate::frontends::{ConnectionAction, ResponseWriter};
use crate::node::{ConnectionId, Node};
use driftfront_core::{Micros, RequestId};
use driftfront_http::{add_connection_close, HttpError};
use std::time::Duration;

impl Node {
    /// Bytes that wait for a request's client to read them.
    pub(in crate::node) fn client_backlog(&self, request: RequestId) -> usize {
        let client = self
            .requester(request)
            .and_then(|id| self.clients.connections.get(&id));
        client.map_or(0, |c| c.stream.backlog())
    }

    /// Answers at once, without the core.
    pub(super) fn reply(&mut self, now: Micros, id: ConnectionId, bytes: &[u8]) {
        let sends_away = self.lifecycle.closes_connections(now);
        if let Some(client) = self.clients.connections.get_mut(&id) {
            let mut bytes = bytes.to_vec();
            if sends_away {
                add_connection_close(&mut bytes);
                client.must_close = true;
            }
            client.stream.push(&bytes);
            let _ = client.stream.flush();
        }
    }

    /// Answers what can't be read with its status; then the connection closes.
    pub(super) fn client_fault(&mut self, now: Micros, id: ConnectionId, error: HttpError) {
        if let Some(client) = self.clients.connections.get_mut(&id) {
            client.must_close = true;
            client.last_used = now;
            client.stream.push(&self.frontend.error_response(error));
        }
    }

    /// Writes part of a request's response; with `is_last` the request is over. `write` says what becomes of the connection.
    pub(in crate::node) fn write_response(
        &mut self,
        now: Micros,
        request: RequestId,
        is_last: bool,
        write: impl FnOnce(&mut dyn ResponseWriter, &mut Vec<u8>) -> ConnectionAction,
    ) {
        let sends_away = self.lifecycle.closes_connections(now);
        let Some(id) = self.requester(request) else {
            return;
        };
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return;
        };
        let Some(open) = &mut client.open else {
            return;
        };
        let mut bytes = Vec::new();
        let action = write(open.writer.as_mut(), &mut bytes);
        let is_first = !bytes.is_empty() && !std::mem::replace(&mut client.is_responding, true);
        let must_close = sends_away || client.is_overrun;
        if must_close && is_first {
            add_connection_close(&mut bytes);
        }
        client.stream.push(&bytes);
        (client.last_used, client.begun_at) = (now, now);
        if is_last {
            tracing::debug!(
                request = request.0,
                conn = id,
                bytes = bytes.len(),
                "answered"
            );
            client.must_close |= must_close;
            self.end_response(now, id, request, action);
        }
        self.drive_client(now, id);
    }

    /// Ends a response whose last bytes wait to be written.
    fn end_response(
        &mut self,
        now: Micros,
        id: ConnectionId,
        request: RequestId,
        action: ConnectionAction,
    ) {
        self.clients.requesters.remove(&request);
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return;
        };
        client.open = None;
        client.is_responding = false;
        // What of a body still comes could not be told from the next request.
        client.must_close |= action != ConnectionAction::KeepOpen || client.reader.is_body_open();
        if action != ConnectionAction::KeepOpen {
            // A result that is cut must not look complete, so nothing more may follow it.
            client.has_more = false;
        }
        if action == ConnectionAction::Reset {
            let _ = client.stream.flush();
            let socket = client.stream.socket();
            let _ = socket2::SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
            self.drop_client(now, id);
        }
    }
}
