//! Request bodies that are streamed to an engine: reading from the client.

use super::connection::BodyUpdate;
use crate::node::Node;
use driftfront_core::{Micros, RequestId};
use driftfront_http::HttpError;

impl Node {
    /// Reads the next part of a streamed body.
    pub(in crate::node) fn read_body(&mut self, now: Micros, request: RequestId) -> BodyUpdate {
        let is_memory_short = self.is_memory_short();
        let id = self.clients.connection_of(request);
        let client = id.and_then(|id| self.clients.get_mut(id));
        client.map_or(BodyUpdate::Broken, |client| {
            client.read_body(now, is_memory_short)
        })
    }

    /// Abandons a request whose streamed body is broken; its client, if still connected, gets an error.
    pub(in crate::node) fn abandon_broken_upload(&mut self, now: Micros, request: RequestId) {
        let Some(id) = self.clients.connection_of(request) else {
            return;
        };
        self.abandon_client_request(now, id);
        self.reject_malformed(now, id, HttpError::Malformed);
        self.drive_client(now, id);
    }
}
