//! Request bodies that are streamed to an engine: forwarding chunks from the client's connection to the engine's.

use super::connection::EngineConnection;
use crate::node::clients::BodyUpdate;
use crate::node::{ConnectionId, Node};
use driftfront_core::{AttemptKey, Micros};

impl Node {
    /// Forwards the next part of a body; true if more may be available.
    pub(super) fn write_upload_chunk(
        &mut self,
        now: Micros,
        id: ConnectionId,
        key: AttemptKey,
    ) -> bool {
        if self.close_if_answered_early(now, id) {
            return false;
        }
        match self.read_body(now, key.request) {
            BodyUpdate::WouldBlock => false,
            BodyUpdate::Broken => {
                self.abandon_broken_upload(now, key.request);
                false
            }
            BodyUpdate::Chunk(bytes) => {
                self.core.mark_body_forwarded(key.request);
                self.push_upload(now, id, &bytes)
            }
            BodyUpdate::LastChunk(bytes) => {
                self.core.mark_body_forwarded(key.request);
                self.push_upload(now, id, &bytes) && self.finish_upload(now, id, key)
            }
        }
    }

    /// Closes a connection whose streamed attempt ended before its body: the engine would read the rest of the body as the next
    /// request. Returns whether the connection was closed.
    pub(super) fn close_if_answered_early(&mut self, now: Micros, id: ConnectionId) -> bool {
        let conn = self.engines.get(id);
        let is_answered = conn.is_some_and(EngineConnection::has_answered_early);
        if is_answered {
            self.close_engine_connection(now, id, "response before the end of the request body");
        }
        is_answered
    }

    /// Adds part of a body to the output; false if the connection has ended.
    fn push_upload(&mut self, now: Micros, id: ConnectionId, bytes: &[u8]) -> bool {
        let Some(conn) = self.engines.get_mut(id) else {
            return false;
        };
        conn.write_body_chunk(now, bytes);
        true
    }

    /// Ends a body and starts the timeout of the engine's response. False if the connection has ended.
    fn finish_upload(&mut self, now: Micros, id: ConnectionId, key: AttemptKey) -> bool {
        if !self.engines.finish_body(now, id, key) {
            return false;
        }
        let request = self.core.accepted(key.request).map(|a| a.request);
        if let Some(timeout) = request.and_then(|r| self.frontend.timeout_after_body(r)) {
            self.core.shorten_timeout(now, key.request, timeout);
        }
        true
    }
}
