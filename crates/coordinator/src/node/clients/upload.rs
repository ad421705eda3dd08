//! Bodies that are streamed to an engine as their client sends them.

use super::read::MAX_READ_BYTES;
use crate::net::ReadOutcome;
use crate::node::{ConnectionId, Node};
use driftfront_core::{Micros, RequestId};
use driftfront_http::HttpError;

/// What there is of a streamed body.
pub(in crate::node) enum BodyChunk {
    /// Some more of it.
    More(Vec<u8>),
    /// Its last bytes, maybe none.
    Last(Vec<u8>),
    /// Nothing for now.
    WouldBlock,
    /// It can't be read on, or nobody sends it any more.
    Broken,
}

impl Node {
    /// Takes what has come of a streamed body, reading on as far as is needed.
    pub(in crate::node) fn read_body(&mut self, now: Micros, request: RequestId) -> BodyChunk {
        let id = self.requester(request);
        let Some(client) = id.and_then(|id| self.clients.connections.get_mut(&id)) else {
            return BodyChunk::Broken;
        };
        let mut body = Vec::new();
        for _ in 0..2 {
            match client.reader.more_body(&mut body) {
                Err(_) => return BodyChunk::Broken,
                Ok(true) => return BodyChunk::Last(body),
                Ok(false) => {}
            }
            if !client.has_more || body.len() >= MAX_READ_BYTES {
                break;
            }
            let mut bytes = Vec::new();
            match client.stream.read(&mut bytes, MAX_READ_BYTES) {
                Ok(ReadOutcome::Closed) | Err(_) => return BodyChunk::Broken,
                Ok(outcome) => client.has_more = outcome == ReadOutcome::LimitReached,
            }
            client.last_used = now;
            client.reader.push(&bytes);
        }
        if body.is_empty() {
            BodyChunk::WouldBlock
        } else {
            BodyChunk::More(body)
        }
    }

    /// Gives up a request whose streamed body broke: its client is told, if it still can be.
    pub(in crate::node) fn abandon_broken_upload(&mut self, now: Micros, request: RequestId) {
        let Some(id) = self.requester(request) else {
            return;
        };
        self.abandon_client_request(now, id);
        self.client_fault(now, id, HttpError::Malformed);
        self.drive_client(now, id);
    }

    /// The connection on which a request waits for its response.
    pub(super) fn requester(&self, request: RequestId) -> Option<ConnectionId> {
        self.clients.requesters.get(&request).map(|&(id, ..)| id)
    }
}
