//! Bodies that are streamed to an engine as their client sends them: chunks come from the client's connection, and go to the engine's.

use super::connection::EngineConnection;
use crate::node::clients::BodyUpdate;
use crate::node::{ConnectionId, Node};
use driftfront_core::{AttemptKey, Micros};

impl Node {
    /// Forwards what has come of a body; true if there may be more at once.
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

    /// Drops a connection whose streamed attempt ended before its body was over: the engine would read the rest of the body as the
    /// next request. True if it was dropped.
    pub(super) fn close_if_answered_early(&mut self, now: Micros, id: ConnectionId) -> bool {
        let conn = self.engines.get(id);
        let is_answered = conn.is_some_and(EngineConnection::has_answered_early);
        if is_answered {
            self.close_engine_connection(now, id, "answered before the body was over");
        }
        is_answered
    }

    /// Puts bytes of a body into the output; false if the connection is gone.
    fn push_upload(&mut self, now: Micros, id: ConnectionId, bytes: &[u8]) -> bool {
        let Some(conn) = self.engines.get_mut(id) else {
            return false;
        };
        conn.write_body_chunk(now, bytes);
        true
    }

    /// Ends a body; from here on the engine has its time to answer. False if the connection is gone.
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
