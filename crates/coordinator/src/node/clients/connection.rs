//! The state of one client's connection, and when its time is up.

use crate::frontends::ResponseWriter;
use crate::net::{eviction, BufferedStream};
use calloop::RegistrationToken;
use driftfront_core::{Micros, RequestId};
use driftfront_http::{RequestLimits, RequestReader};

/// A connection with no request open may idle for this long: usual clients close theirs after 4 s, and those that keep them for
/// good would take the descriptors of the others.
const IDLE_TIMEOUT: Micros = 6_000_000;
/// The first request must be complete this long after the connect, a later one this long after its first byte: whoever is not
/// served is owed a refusal, an error or a close within 3 s.
const REQUEST_READ_TIMEOUT: Micros = 2_000_000;
/// After a close of ours the peer's last bytes are read for this long.
const LINGER_TIMEOUT: Micros = 1_000_000;
/// A response that the client doesn't read for this long is given up.
const WRITE_STALL_TIMEOUT: Micros = 10_000_000;
/// A body that is streamed must not stand still for longer than this.
const UPLOAD_STALL_TIMEOUT: Micros = 10_000_000;
/// Bytes read ahead while a request is open.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// A request whose response is owed.
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    pub(super) writer: Box<dyn ResponseWriter>,
}

/// A client's connection.
pub(in crate::node) struct Client {
    pub(super) stream: BufferedStream,
    pub(super) registration: Option<RegistrationToken>,
    pub(super) reader: RequestReader,
    pub(super) open: Option<OpenRequest>,
    /// The last request asked for a close, or an error makes one due.
    pub(super) must_close: bool,
    /// Something of the open request's response has been written.
    pub(super) is_responding: bool,
    /// What the request that is being read holds of the budget for bodies, bytes.
    pub(super) reserved_bytes: usize,
    /// Our side is shut; what still comes is dropped.
    pub(super) is_shut: bool,
    /// More was sent behind the open request than is held: what comes is dropped, and the connection closes behind the response.
    pub(super) is_overrun: bool,
    /// Reading stopped with more to come.
    pub(super) has_more: bool,
    /// "100 Continue" was sent for the request that is being read.
    pub(super) has_sent_continue: bool,
    /// Being worked on further up the stack.
    pub(super) is_busy: bool,
    /// No request has been taken off it yet.
    pub(super) is_fresh: bool,
    /// The connect, or the first byte of the request that is being read.
    pub(super) begun_at: Micros,
    /// No request is taken off it before this.
    pub(super) paused_until: Micros,
    pub(super) last_used: Micros,
}

/// What a connection was doing when its time was up.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Expired {
    /// Our side is shut, and the peer had its time to read and to close.
    Lingered,
    /// The peer takes no bytes, or brings none that are waited for.
    Stuck,
    /// A request began and never became complete.
    HalfRead,
    /// Nothing was open.
    AtRest,
}

impl Client {
    pub(super) fn new(
        now: Micros,
        stream: BufferedStream,
        registration: RegistrationToken,
        limits: RequestLimits,
    ) -> Client {
        Client {
            stream,
            registration: Some(registration),
            reader: RequestReader::with_limits(limits),
            open: None,
            must_close: false,
            is_responding: false,
            reserved_bytes: 0,
            is_shut: false,
            is_overrun: false,
            has_more: true,
            has_sent_continue: false,
            is_busy: false,
            is_fresh: true,
            begun_at: now,
            paused_until: 0,
            last_used: now,
        }
    }

    /// Whether bytes wait for the client to read them.
    pub(in crate::node) fn is_writing(&self) -> bool {
        self.stream.backlog() > 0
    }

    /// Whether no response is owed on it or on its way, and no close has begun.
    fn is_free(&self) -> bool {
        !(self.open.is_some() || self.must_close || self.is_shut || self.is_writing())
    }

    /// Whether nothing is open on it, or half read, that a close in order would hurt.
    pub(super) fn is_at_rest(&self) -> bool {
        self.is_free() && !self.reader.is_mid_message()
    }

    /// Whether a request has begun on it and is not complete, and nothing else is open.
    pub(super) fn is_half_read(&self) -> bool {
        self.is_free() && !self.reader.is_body_open() && self.reader.is_mid_message()
    }

    /// Whether the next request may be taken off it.
    pub(super) fn can_take_request(&self, now: Micros) -> bool {
        self.open.is_none()
            && !self.must_close
            && self.reader.held() > 0
            && now >= self.paused_until
    }

    /// Whether no more may be read ahead of what is open or paused.
    pub(super) fn is_full(&self, now: Micros) -> bool {
        let is_ahead = self.open.is_some() || now < self.paused_until;
        is_ahead && self.reader.held() > MAX_READ_AHEAD_BYTES
    }

    /// Adds bytes that were read.
    pub(super) fn push(&mut self, now: Micros, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if !self.reader.is_mid_message() && !self.is_fresh {
            self.begun_at = now;
        }
        self.last_used = now;
        self.reader.push(bytes);
    }

    /// Its place among those that are closed where descriptors are short, the highest first; `None` if it must stay.
    pub(super) fn eviction_rank(&self, now: Micros) -> Option<Micros> {
        let is_needed = self.open.is_some()
            || self.is_writing()
            || self.reader.is_mid_message() && !self.is_fresh;
        let idle = now.saturating_sub(self.last_used);
        (self.is_shut || !is_needed).then(|| eviction::rank(self.is_shut, self.is_fresh, idle))
    }

    /// Why its time is up, if it is.
    pub(super) fn expired(&self, now: Micros) -> Option<Expired> {
        let idle = now.saturating_sub(self.last_used);
        let is_read_late = now > self.begun_at + REQUEST_READ_TIMEOUT;
        if self.is_shut {
            return (idle > LINGER_TIMEOUT).then_some(Expired::Lingered);
        }
        if self.is_writing() {
            return (idle > WRITE_STALL_TIMEOUT).then_some(Expired::Stuck);
        }
        if self.reader.is_body_open() {
            // A body that stands still while its engine waits for it.
            let is_awaited = self.reader.held() == 0;
            return (is_awaited && idle > UPLOAD_STALL_TIMEOUT).then_some(Expired::Stuck);
        }
        if self.open.is_some() || self.must_close {
            return None;
        }
        if self.is_half_read() {
            return is_read_late.then_some(Expired::HalfRead);
        }
        if self.is_fresh {
            return is_read_late.then_some(Expired::AtRest);
        }
        (idle > IDLE_TIMEOUT).then_some(Expired::AtRest)
    }
}
