//! Reading from a client connection: requests, and request bodies that are forwarded as they arrive.

use super::ClientConnection;
use crate::frontends::Frontend;
use crate::net::ReadOutcome;
use driftfront_core::Micros;
use driftfront_http::{HttpError, Request};

/// Maximum bytes per read.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Maximum bytes per read while memory is short.
const MAX_READ_BYTES_WHEN_SHORT: usize = 4 * 1024;
/// Maximum bytes buffered ahead while a request is open.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Delay of a connection's next request after a bad one: a client that resends it at once would take processor time from the
/// others.
const PAUSE_AFTER_BAD_REQUEST: Micros = 100_000;

/// The result of one read.
pub(in crate::node::clients) enum ReadStep {
    /// Nothing can be read now.
    Nothing,
    /// The buffer limit for an open request or a paused connection is reached.
    Full,
    /// Input may have been read, and may complete a request.
    Received,
    /// Input after the open request does not begin a request.
    StrayBytes,
    /// The peer has closed its side.
    Closed,
    /// The connection failed.
    Failed,
}

/// How the size of the request being read compares with its limit.
pub(in crate::node::clients) enum BodyLimit {
    /// It is within its limit.
    Within,
    /// It exceeds its limit, so it may start before its body is complete.
    Exceeded,
    /// Its head alone exceeds the limit, and a head cannot be streamed.
    HeadTooLarge,
}

/// State of a request when it starts.
pub(in crate::node::clients) struct StartedRequest {
    /// The client has closed its side and does not await the response.
    pub(in crate::node::clients) client_has_disconnected: bool,
    /// Whether part of its body has not arrived yet.
    pub(in crate::node::clients) has_more_body: bool,
    /// Bytes of the body budget reserved for it.
    pub(in crate::node::clients) reserved_bytes: usize,
}

/// New data of a body that is forwarded as it arrives.
pub(in crate::node) enum BodyUpdate {
    /// The next part.
    Chunk(Vec<u8>),
    /// The last part, possibly empty.
    LastChunk(Vec<u8>),
    /// Nothing available now.
    WouldBlock,
    /// The body is malformed, or the client has disconnected.
    Broken,
}

/// The maximum bytes per read.
fn max_read_bytes(is_memory_short: bool) -> usize {
    if is_memory_short {
        MAX_READ_BYTES_WHEN_SHORT
    } else {
        MAX_READ_BYTES
    }
}

impl ClientConnection {
    /// Whether the next request may start.
    fn can_begin_request(&self, now: Micros) -> bool {
        self.open.is_none()
            && !self.must_close
            && self.reader.buffered_bytes() > 0
            && now >= self.paused_until
    }

    /// Whether the buffer limit for an open request or a paused connection is reached.
    fn is_full(&self, now: Micros) -> bool {
        let is_ahead = self.open.is_some() || now < self.paused_until;
        let is_overrun = self.is_overrun && self.open.is_some();
        is_overrun || is_ahead && self.reader.buffered_bytes() > MAX_READ_AHEAD_BYTES
    }

    /// Passes input to the parser.
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

    /// The next complete request, if one may start. Sends "100 Continue" to a client that waits for it.
    ///
    /// # Errors
    ///
    /// The input is not a valid request.
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

    /// Starts a request that was read. `peer_has_closed`: its client has closed its side.
    pub(in crate::node::clients) fn start_request(
        &mut self,
        now: Micros,
        request: &Request,
        peer_has_closed: bool,
    ) -> StartedRequest {
        // A close after unread input would be noticed only once the request was served.
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

    /// Closes the connection after a request that is not accepted if part of its body is still to come, which would be read as the
    /// next request.
    pub(in crate::node::clients) fn close_if_body_remains(&mut self, started: &StartedRequest) {
        self.must_close |= started.has_more_body;
    }

    /// Delays the next request after a bad one.
    pub(in crate::node::clients) fn pause_after_bad_request(&mut self, now: Micros) {
        self.paused_until = now + PAUSE_AFTER_BAD_REQUEST;
    }

    /// Ends the pause after a bad request.
    pub(in crate::node::clients) fn end_pause(&mut self) {
        self.paused_until = 0;
    }

    /// Reserves body memory for the request being read, and compares its size with the limit that results.
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

    /// Reads once; less if memory is short.
    pub(in crate::node::clients) fn read(
        &mut self,
        now: Micros,
        is_memory_short: bool,
    ) -> ReadStep {
        if !self.has_more || self.is_write_shut {
            return ReadStep::Nothing;
        }
        if self.is_full(now) {
            return ReadStep::Full;
        }
        let mut bytes = Vec::new();
        let Ok(outcome) = self
            .stream
            .read(&mut bytes, max_read_bytes(is_memory_short))
        else {
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

    /// Reads from the body of the open request until there is something to forward; less if memory is short.
    pub(in crate::node::clients) fn read_body(
        &mut self,
        now: Micros,
        is_memory_short: bool,
    ) -> BodyUpdate {
        let max_bytes = max_read_bytes(is_memory_short);
        let mut body = Vec::new();
        // First the buffered input, then at most one read.
        for _ in 0..2 {
            match self.reader.read_body(&mut body) {
                Err(_) => return BodyUpdate::Broken,
                Ok(true) => return BodyUpdate::LastChunk(body),
                Ok(false) => {}
            }
            if !self.has_more || body.len() >= max_bytes {
                break;
            }
            let mut bytes = Vec::new();
            match self.stream.read(&mut bytes, max_bytes) {
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
