//! Reading from a client's connection: bytes, the requests in them, and bodies that are forwarded as they arrive.

use super::ClientConnection;
use crate::frontends::Frontend;
use crate::net::ReadOutcome;
use driftfront_core::Micros;
use driftfront_http::{HttpError, Request};

/// Bytes of one read.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Bytes read ahead while a request is open.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// After a reply to what could not be accepted the connection's next request waits this long: a client that sends the same again at
/// once would use the others' share of the processor.
const PAUSE_AFTER_BAD_REQUEST: Micros = 100_000;

/// What came of one read.
pub(in crate::node::clients) enum ReadStep {
    /// Nothing can be read now.
    Nothing,
    /// As much is buffered as may be while a request is open, or the connection is paused.
    Full,
    /// Bytes may have come; a request may be complete.
    Received,
    /// Bytes came that belong to no request, behind one whose response is owed.
    StrayBytes,
    /// The peer has ended its side.
    Closed,
    /// The connection failed.
    Failed,
}

/// Whether the request that is being read may grow on.
pub(in crate::node::clients) enum BodyLimit {
    /// It is within its limit.
    Within,
    /// It has outgrown its limit, so that it may be begun with its body still coming.
    Exceeded,
    /// Its head alone has outgrown the limit, and a head can't be forwarded in parts.
    HeadTooLarge,
}

/// What is known of a request as it is started.
pub(in crate::node::clients) struct StartedRequest {
    /// Its client has ended its side: nobody awaits the response.
    pub(in crate::node::clients) client_has_disconnected: bool,
    /// More of its body is to come.
    pub(in crate::node::clients) has_more_body: bool,
    /// Bytes that it holds of the budget for bodies.
    pub(in crate::node::clients) reserved_bytes: usize,
}

/// What has come of a body that is forwarded as it arrives.
pub(in crate::node) enum BodyUpdate {
    /// Some more of it.
    Chunk(Vec<u8>),
    /// Its last bytes, maybe none.
    LastChunk(Vec<u8>),
    /// Nothing for now.
    WouldBlock,
    /// It is malformed, or its client has left.
    Broken,
}

impl ClientConnection {
    /// Whether the next request may be started.
    fn can_begin_request(&self, now: Micros) -> bool {
        self.open.is_none()
            && !self.must_close
            && self.reader.buffered_bytes() > 0
            && now >= self.paused_until
    }

    /// Whether no more may be read ahead of what is open or paused.
    fn is_full(&self, now: Micros) -> bool {
        let is_ahead = self.open.is_some() || now < self.paused_until;
        is_ahead && self.reader.buffered_bytes() > MAX_READ_AHEAD_BYTES
    }

    /// Adds bytes that were read.
    fn push(&mut self, now: Micros, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if !self.reader.is_mid_message() && !self.awaits_first_request {
            self.read_started_at = now;
        }
        self.last_used = now;
        self.reader.push(bytes);
    }

    /// The next complete request, if one may be started. One that waits to be allowed to send its body is allowed.
    ///
    /// # Errors
    ///
    /// Where what was read is no request.
    pub(in crate::node::clients) fn next_request(
        &mut self,
        now: Micros,
    ) -> Result<Option<Request>, HttpError> {
        if !self.can_begin_request(now) {
            return Ok(None);
        }
        let request = self.reader.next_request()?;
        if request.is_none() && self.reader.expects_continue() && !self.has_sent_continue {
            self.has_sent_continue = true;
            self.stream.push(b"HTTP/1.1 100 Continue\r\n\r\n");
            let _ = self.stream.flush();
        }
        Ok(request)
    }

    /// Begins a request that was read. `peer_has_closed`: its client has ended its side.
    pub(in crate::node::clients) fn start_request(
        &mut self,
        now: Micros,
        request: &Request,
        peer_has_closed: bool,
    ) -> StartedRequest {
        // Behind unread bytes the client's end would be noticed only once the request is served.
        let client_has_disconnected = peer_has_closed || self.has_more && self.peer_has_closed();
        self.has_sent_continue = false;
        self.must_close = request.close;
        (
            self.last_used,
            self.read_started_at,
            self.awaits_first_request,
        ) = (now, now, false);
        StartedRequest {
            client_has_disconnected,
            has_more_body: request.has_more_body,
            reserved_bytes: std::mem::take(&mut self.reserved_bytes),
        }
    }

    /// The request that was begun is not accepted: the rest of its body, where more is to come, would be read as the next request.
    pub(in crate::node::clients) fn close_if_body_remains(&mut self, started: &StartedRequest) {
        self.must_close |= started.has_more_body;
    }

    /// Lets the next request wait since this one was bad.
    pub(in crate::node::clients) fn pause_after_bad_request(&mut self, now: Micros) {
        self.paused_until = now + PAUSE_AFTER_BAD_REQUEST;
    }

    /// Ends the pause after a bad request.
    pub(in crate::node::clients) fn end_pause(&mut self) {
        self.paused_until = 0;
    }

    /// Checks the size of the request that is being read against what its body may hold now.
    pub(in crate::node::clients) fn check_body_limit(
        &mut self,
        now: Micros,
        frontend: &mut dyn Frontend,
    ) -> BodyLimit {
        if self.open.is_some() || self.must_close || now < self.paused_until {
            return BodyLimit::Within;
        }
        let size = self.reader.partial_request_bytes();
        let Some(reservation) = frontend.reserve_body(self.reserved_bytes, size) else {
            return BodyLimit::Within;
        };
        self.reserved_bytes = reservation.reserved_bytes;
        self.reader.set_max_body_bytes(reservation.max_body_bytes);
        if size <= reservation.max_body_bytes {
            BodyLimit::Within
        } else if self.reader.has_head() {
            BodyLimit::Exceeded
        } else {
            BodyLimit::HeadTooLarge
        }
    }

    /// Reads once.
    pub(in crate::node::clients) fn read(&mut self, now: Micros) -> ReadStep {
        if !self.has_more || self.is_write_shut {
            return ReadStep::Nothing;
        }
        if self.is_full(now) {
            return ReadStep::Full;
        }
        let mut bytes = Vec::new();
        let Ok(outcome) = self.stream.read(&mut bytes, MAX_READ_BYTES) else {
            return ReadStep::Failed;
        };
        self.has_more = outcome == ReadOutcome::LimitReached;
        self.push(now, &bytes);
        if self.open.is_some() && self.reader.has_invalid_trailing_bytes() {
            return ReadStep::StrayBytes;
        }
        if outcome == ReadOutcome::Closed {
            return ReadStep::Closed;
        }
        ReadStep::Received
    }

    /// Reads on in the body of the open request, as far as is needed to have something to forward.
    pub(in crate::node::clients) fn read_body(&mut self, now: Micros) -> BodyUpdate {
        let mut body = Vec::new();
        // What is buffered, then what one read brings.
        for _ in 0..2 {
            match self.reader.read_body(&mut body) {
                Err(_) => return BodyUpdate::Broken,
                Ok(true) => return BodyUpdate::LastChunk(body),
                Ok(false) => {}
            }
            if !self.has_more || body.len() >= MAX_READ_BYTES {
                break;
            }
            let mut bytes = Vec::new();
            match self.stream.read(&mut bytes, MAX_READ_BYTES) {
                Ok(ReadOutcome::Closed) | Err(_) => return BodyUpdate::Broken,
                Ok(outcome) => self.has_more = outcome == ReadOutcome::LimitReached,
            }
            self.last_used = now;
            self.reader.push(&bytes);
        }
        if body.is_empty() {
            BodyUpdate::WouldBlock
        } else {
            BodyUpdate::Chunk(body)
        }
    }
}
