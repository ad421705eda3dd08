//! Bodies that are streamed to an engine as their client sends them.

use crate::node::clients::BodyChunk;
use crate::node::{ConnectionId, Node};
use driftfront_core::{AttemptKey, Micros};

/// Room for the framing of a chunk.
const CHUNK_FRAMING_BYTES: usize = 16;

impl Node {
    /// Forwards what has come of a body; true if there may be more at once.
    pub(super) fn write_upload_chunk(
        &mut self,
        now: Micros,
        id: ConnectionId,
        key: AttemptKey,
    ) -> bool {
        if self.ends_with_answered_upload(now, id) {
            return false;
        }
        match self.read_body(now, key.request) {
            BodyChunk::WouldBlock => false,
            BodyChunk::Broken => {
                self.abandon_broken_upload(now, key.request);
                false
            }
            BodyChunk::More(bytes) => {
                self.core.mark_body_forwarded(key.request);
                self.push_upload(now, id, &bytes)
            }
            BodyChunk::Last(bytes) => {
                self.core.mark_body_forwarded(key.request);
                self.push_upload(now, id, &bytes) && self.finish_upload(now, id, key)
            }
        }
    }

    /// Drops a connection whose streamed attempt was answered, or ended, before its body was over: the rest of that has no
    /// meaning on it. True if it was dropped.
    pub(super) fn ends_with_answered_upload(&mut self, now: Micros, id: ConnectionId) -> bool {
        let is_answered = self
            .engines
            .connections
            .get(&id)
            .is_some_and(|c| c.upload.is_some_and(|key| !c.session.has_attempt(key)));
        if is_answered {
            self.drop_engine(now, id, "answered before the body was over");
        }
        is_answered
    }

    /// Puts bytes of a body into the output; false if the connection is gone.
    fn push_upload(&mut self, now: Micros, id: ConnectionId, bytes: &[u8]) -> bool {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return false;
        };
        let mut out = Vec::with_capacity(bytes.len() + CHUNK_FRAMING_BYTES);
        conn.session.write_body_chunk(bytes, &mut out);
        conn.stream.push(&out);
        conn.last_used = now;
        true
    }

    /// Ends a body; from here on the engine has its time to answer. False if the connection is gone.
    fn finish_upload(&mut self, now: Micros, id: ConnectionId, key: AttemptKey) -> bool {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return false;
        };
        let mut out = Vec::new();
        conn.session.finish_body(&mut out);
        conn.stream.push(&out);
        conn.upload = None;
        conn.end_upload(now, key);
        self.engines.uploads.remove(&key.request);
        let request = self.core.accepted(key.request).map(|a| a.request);
        if let Some(timeout) = request.and_then(|r| self.frontend.timeout_after_body(r)) {
            self.core.shorten_timeout(now, key.request, timeout);
        }
        true
    }
}
