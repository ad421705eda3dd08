//! Responses on a client connection: streamed responses of open requests, and immediate replies.

use super::{ClientConnection, OpenRequest};
use crate::frontends::{ConnectionAction, ResponseWriter};
use driftfront_core::{Micros, RequestId};
use driftfront_http::{add_connection_close, response};
use std::time::Duration;

/// A part of a response, added to the output.
pub(in crate::node::clients) struct ResponsePart {
    /// What to do with the connection after the response.
    pub(in crate::node::clients) action: ConnectionAction,
    /// Bytes of this part.
    pub(in crate::node::clients) length: usize,
    /// Whether the connection closes after the response, whatever `action` says.
    closes: bool,
}

impl ClientConnection {
    /// Opens a request, whose response is now pending.
    pub(in crate::node::clients) fn open(
        &mut self,
        request: RequestId,
        writer: Box<dyn ResponseWriter>,
    ) {
        self.open = Some(OpenRequest {
            id: request,
            writer,
        });
    }

    /// Sends an immediate reply. With `closes`, the reply says that the connection closes after it.
    pub(in crate::node::clients) fn reply(&mut self, bytes: &[u8], closes: bool) {
        let mut bytes = bytes.to_vec();
        if closes {
            add_connection_close(&mut bytes);
            self.must_close = true;
        }
        self.stream.push(&bytes);
        let _ = self.stream.flush();
    }

    /// Replies to input that is not a valid request, and closes the connection after that.
    pub(in crate::node::clients) fn reply_to_malformed(&mut self, now: Micros, bytes: &[u8]) {
        self.must_close = true;
        self.last_used = now;
        self.stream.push(bytes);
    }

    /// Replies 408 to a request that was not completed in time; the caller closes the connection.
    pub(in crate::node::clients) fn reply_request_timeout(&mut self) {
        if !self.is_write_shut && self.reader.is_mid_message() && self.open.is_none() {
            self.stream.push(&response(408, &[], b"", true));
        }
    }

    /// Replies 400 to a request that was incomplete when the client closed its side, as the client may still read.
    pub(in crate::node::clients) fn reply_to_truncated_request(&mut self) {
        let has_partial_request = self.open.is_none() && self.reader.is_mid_message();
        if has_partial_request && !self.is_write_shut && !self.must_close {
            self.stream.push(&response(400, &[], b"", true));
        }
    }

    /// Adds a part of the open request's response to the output; `None` if no request is open. `closes`: the process closes
    /// client connections.
    pub(in crate::node::clients) fn write_response(
        &mut self,
        now: Micros,
        closes: bool,
        write: impl FnOnce(&mut dyn ResponseWriter, &mut Vec<u8>) -> ConnectionAction,
    ) -> Option<ResponsePart> {
        let open = self.open.as_mut()?;
        let mut bytes = Vec::new();
        let action = write(open.writer.as_mut(), &mut bytes);
        let is_first = !bytes.is_empty() && !std::mem::replace(&mut self.is_responding, true);
        let closes = closes || self.is_overrun;
        if closes && is_first {
            add_connection_close(&mut bytes);
        }
        self.stream.push(&bytes);
        (self.last_used, self.read_started_at) = (now, now);
        Some(ResponsePart {
            action,
            length: bytes.len(),
            closes,
        })
    }

    /// Ends the response with its last part. After [`ConnectionAction::Reset`] the caller drops the connection.
    pub(in crate::node::clients) fn finish_response(&mut self, last: &ResponsePart) {
        let keeps_open = last.action == ConnectionAction::KeepOpen;
        self.open = None;
        self.is_responding = false;
        // The rest of an unfinished body could not be told from the next request.
        self.must_close |= last.closes || !keeps_open || self.reader.has_unread_body();
        if !keeps_open {
            // A truncated result must not look complete, so no further response may follow it.
            self.has_more = false;
        }
        if last.action == ConnectionAction::Reset {
            let _ = self.stream.flush();
            let socket = self.stream.socket();
            let _ = socket2::SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
        }
    }
}
