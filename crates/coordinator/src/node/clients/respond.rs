//! Writes responses to clients.

use crate::frontends::{ConnectionAction, ResponseWriter};
use crate::node::{ConnectionId, Node};
use driftfront_core::{Micros, RequestId};
use driftfront_http::HttpError;

impl Node {
    /// Sends an immediate reply, without the core.
    pub(super) fn reply(&mut self, now: Micros, id: ConnectionId, bytes: &[u8]) {
        let closes = self.lifecycle.closes_connections(now);
        if let Some(client) = self.clients.get_mut(id) {
            client.reply(bytes, closes);
        }
    }

    /// Replies to input that is not a valid request with the status of the error; then the connection closes.
    pub(super) fn reject_malformed(&mut self, now: Micros, id: ConnectionId, error: HttpError) {
        if let Some(client) = self.clients.get_mut(id) {
            client.reply_to_malformed(now, &self.frontend.error_response(error));
        }
    }

    /// Writes part of a request's response; with `is_last` the request ends. `write` returns what to do with the connection.
    pub(in crate::node) fn write_response(
        &mut self,
        now: Micros,
        request: RequestId,
        is_last: bool,
        write: impl FnOnce(&mut dyn ResponseWriter, &mut Vec<u8>) -> ConnectionAction,
    ) {
        let closes = self.lifecycle.closes_connections(now);
        let Some(id) = self.clients.connection_of(request) else {
            return;
        };
        let Some(client) = self.clients.get_mut(id) else {
            return;
        };
        let Some(part) = client.write_response(now, closes, write) else {
            return;
        };
        if is_last {
            let bytes = part.length;
            tracing::debug!(request = request.0, conn = id, bytes, "answered");
            client.finish_response(&part);
            self.clients.remove_requester(request);
            if part.action == ConnectionAction::Reset {
                self.drop_client(now, id);
            }
        }
        self.drive_client(now, id);
    }
}
