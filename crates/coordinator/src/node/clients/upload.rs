//! Bodies that are streamed to an engine as their client sends them.

use super::connection::BodyUpdate;
use crate::node::Node;
use driftfront_core::{Micros, RequestId};
use driftfront_http::HttpError;

impl Node {
    /// Takes what has come of a streamed body, reading on as far as is needed.
    pub(in crate::node) fn read_body(&mut self, now: Micros, request: RequestId) -> BodyUpdate {
        let id = self.clients.connection_of(request);
        let client = id.and_then(|id| self.clients.get_mut(id));
        client.map_or(BodyUpdate::Broken, |client| client.read_body(now))
    }

    /// Gives up a request whose streamed body broke: its client gets an error, if it is still there.
    pub(in crate::node) fn abandon_broken_upload(&mut self, now: Micros, request: RequestId) {
        let Some(id) = self.clients.connection_of(request) else {
            return;
        };
        self.abandon_client_request(now, id);
        self.reject_malformed(now, id, HttpError::Malformed);
        self.drive_client(now, id);
    }
}
