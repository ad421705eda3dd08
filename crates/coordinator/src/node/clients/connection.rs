//! One client's connection: what is being read, which request is open on it, and when its time is up.
//!
//! [`ClientConnection`] owns the socket and the request that is being read. It knows neither the core nor the frontend's decisions: its
//! methods say what has come of a step, and the caller decides what follows.

mod input;
mod output;

pub(in crate::node) use input::BodyUpdate;
pub(super) use input::{BodyLimit, ReadStep, StartedRequest};

use crate::frontends::ResponseWriter;
use crate::net::{eviction, BufferedStream, ReadOutcome};
use calloop::RegistrationToken;
use driftfront_core::lifecycle::Lifecycle;
use driftfront_core::{Micros, RequestId};
use driftfront_http::{RequestLimits, RequestReader};
use std::io;
use std::net::Shutdown;

/// A connection with no request open may idle for this long: usual clients close theirs after 4 s, and those that keep them for
/// good would take the descriptors of the others.
const IDLE_TIMEOUT: Micros = 6_000_000;
/// The first request must be complete this long after the connect, a later one this long after its first byte: a client
/// that is not served gets a rejection, an error or a close within 3 s.
const REQUEST_READ_TIMEOUT: Micros = 2_000_000;
/// After a close of ours the peer's last bytes are read for this long.
const LINGER_TIMEOUT: Micros = 1_000_000;
/// A response that the client doesn't read for this long is given up.
const WRITE_STALL_TIMEOUT: Micros = 10_000_000;
/// A body that is streamed must not stand still for longer than this.
const UPLOAD_STALL_TIMEOUT: Micros = 10_000_000;
/// Bytes that are read and dropped with each sweep after a close of ours: 60 MB at full speed must not use up the processor.
const MAX_DISCARD_BYTES: usize = 128 * 1024;

/// A request whose response is owed.
struct OpenRequest {
    id: RequestId,
    writer: Box<dyn ResponseWriter>,
}

/// A client's connection.
pub(super) struct ClientConnection {
    stream: BufferedStream,
    registration: Option<RegistrationToken>,
    reader: RequestReader,
    open: Option<OpenRequest>,
    /// It closes once all is written: the last request said so, or an error makes it due.
    must_close: bool,
    /// Something of the open request's response has been written.
    is_responding: bool,
    /// Bytes that the request which is being read holds of the budget for bodies.
    reserved_bytes: usize,
    /// Our side is shut; what still comes is dropped.
    is_write_shut: bool,
    /// More was sent behind the open request than is buffered: what comes is dropped, and the connection closes behind the response.
    is_overrun: bool,
    /// Reading stopped with more to come.
    has_more: bool,
    /// "100 Continue" was sent for the request that is being read.
    has_sent_continue: bool,
    /// Being worked on further up the stack; see [`ClientConnection::begin_turn`].
    is_in_turn: bool,
    /// No complete request has been read from it yet.
    awaits_first_request: bool,
    /// The connect, or the first byte of the request that is being read.
    read_started_at: Micros,
    /// The next request is not begun before this.
    paused_until: Micros,
    last_used: Micros,
}

/// What a connection was doing when its time was up.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Expired {
    /// Our side is shut, and the peer had its time to read and to close.
    Linger,
    /// The peer reads nothing, or sends nothing that is awaited.
    Stalled,
    /// A request began and never became complete.
    PartialRequest,
    /// Nothing was open.
    Idle,
}

/// What the periodic check finds due on a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DueStep {
    /// Nothing.
    None,
    /// It ends at once: the peer had its time.
    Drop,
    /// The request that is half read is answered with a timeout, and the connection closes.
    TimeOutRequest,
    /// It has been idle for too long and closes in order.
    CloseIdle,
    /// It closes in order since the process sends its clients away.
    CloseForDrain,
    /// This side is shut: what still comes is dropped.
    Discard,
    /// More may stand unread behind what is buffered.
    Drive,
    /// The pause after a bad request is over.
    EndPause,
}

impl ClientConnection {
    /// A connection that was accepted just now, and registered with the event loop. `limits` bound the requests that are read.
    pub(super) fn new(
        now: Micros,
        stream: BufferedStream,
        registration: RegistrationToken,
        limits: RequestLimits,
    ) -> ClientConnection {
        ClientConnection {
            stream,
            registration: Some(registration),
            reader: RequestReader::with_limits(limits),
            open: None,
            must_close: false,
            is_responding: false,
            reserved_bytes: 0,
            is_write_shut: false,
            is_overrun: false,
            has_more: true,
            has_sent_continue: false,
            is_in_turn: false,
            awaits_first_request: true,
            read_started_at: now,
            paused_until: 0,
            last_used: now,
        }
    }

    /// Whether bytes wait for the client to read them.
    pub(super) fn is_writing(&self) -> bool {
        self.stream.backlog() > 0
    }

    /// Whether no response is owed on it or on its way, and no close has started.
    fn is_ready_for_request(&self) -> bool {
        !(self.open.is_some() || self.must_close || self.is_write_shut || self.is_writing())
    }

    /// Whether nothing is open on it, or half read, that a close in order would hurt.
    pub(super) fn is_idle(&self) -> bool {
        self.is_ready_for_request() && !self.reader.is_mid_message()
    }

    /// Whether a request has begun on it and is not complete, and nothing else is open.
    pub(super) fn has_partial_request(&self) -> bool {
        self.is_ready_for_request()
            && !self.reader.has_unread_body()
            && self.reader.is_mid_message()
    }

    /// Its place among those that are closed where descriptors are short, the highest first; `None` if it must stay.
    pub(super) fn eviction_rank(&self, now: Micros) -> Option<Micros> {
        let is_needed = self.open.is_some()
            || self.is_writing()
            || self.reader.is_mid_message() && !self.awaits_first_request;
        let idle = now.saturating_sub(self.last_used);
        (self.is_write_shut || !is_needed)
            .then(|| eviction::rank(self.is_write_shut, self.awaits_first_request, idle))
    }

    /// Why its time is up, if it is.
    fn expired(&self, now: Micros) -> Option<Expired> {
        let idle = now.saturating_sub(self.last_used);
        let is_read_late = now > self.read_started_at + REQUEST_READ_TIMEOUT;
        if self.is_write_shut {
            return (idle > LINGER_TIMEOUT).then_some(Expired::Linger);
        }
        if self.is_writing() {
            return (idle > WRITE_STALL_TIMEOUT).then_some(Expired::Stalled);
        }
        if self.reader.has_unread_body() {
            // A body that stands still while its engine waits for it.
            let is_awaited = self.reader.buffered_bytes() == 0;
            return (is_awaited && idle > UPLOAD_STALL_TIMEOUT).then_some(Expired::Stalled);
        }
        if self.open.is_some() || self.must_close {
            return None;
        }
        if self.has_partial_request() {
            return is_read_late.then_some(Expired::PartialRequest);
        }
        if self.awaits_first_request {
            return is_read_late.then_some(Expired::Idle);
        }
        (idle > IDLE_TIMEOUT).then_some(Expired::Idle)
    }

    /// What is due on it now.
    pub(super) fn due_step(&self, now: Micros, lifecycle: &Lifecycle) -> DueStep {
        let closes_last = lifecycle.is_closing_last_connections();
        match self.expired(now) {
            Some(Expired::Linger | Expired::Stalled) => DueStep::Drop,
            Some(Expired::PartialRequest) => DueStep::TimeOutRequest,
            // The process ends before its time is up: it is answered now, as its last byte may come in that moment.
            None if closes_last && self.has_partial_request() => DueStep::TimeOutRequest,
            Some(Expired::Idle) => DueStep::CloseIdle,
            None if self.should_close_for_drain(now, lifecycle) => DueStep::CloseForDrain,
            None if self.is_write_shut => DueStep::Discard,
            None if self.is_overrun && self.open.is_some() => DueStep::Drive,
            None if self.paused_until > 0 && now >= self.paused_until => DueStep::EndPause,
            None => DueStep::None,
        }
    }

    /// Whether it closes in order since the process sends its clients away. A client that has just connected has a request to
    /// write, which it may hold back while its key's last one has only just gone out: it has its usual time, unless requests
    /// are not accepted any more.
    fn should_close_for_drain(&self, now: Micros, lifecycle: &Lifecycle) -> bool {
        let idle = now.saturating_sub(self.last_used);
        self.is_idle()
            && (!self.awaits_first_request || !lifecycle.accepts_requests(now))
            && !lifecycle.may_keep_alive(now, idle)
    }

    /// Whether the request that is half read should be ended now.
    pub(super) fn is_request_timed_out(&self, now: Micros, closes_last: bool) -> bool {
        self.has_partial_request()
            && (closes_last || self.expired(now) == Some(Expired::PartialRequest))
    }

    /// Begins a turn of work; false if one is going on further up the stack.
    pub(super) fn begin_turn(&mut self) -> bool {
        !std::mem::replace(&mut self.is_in_turn, true)
    }

    /// Ends a turn of work.
    pub(super) fn end_turn(&mut self) {
        self.is_in_turn = false;
    }

    /// The event loop reports that something may be read.
    pub(super) fn mark_readable(&mut self) {
        self.has_more = true;
    }

    /// Whether this side is shut.
    pub(super) fn is_write_shut(&self) -> bool {
        self.is_write_shut
    }

    /// The request whose response is owed.
    pub(super) fn open_request(&self) -> Option<RequestId> {
        self.open.as_ref().map(|open| open.id)
    }

    /// Forgets the request whose response is owed.
    pub(super) fn take_open_request(&mut self) -> Option<RequestId> {
        self.open.take().map(|open| open.id)
    }

    /// Takes the registration with the event loop, to end it.
    pub(super) fn take_registration(&mut self) -> Option<RegistrationToken> {
        self.registration.take()
    }

    /// Bytes that the request which is being read holds of the budget for bodies.
    pub(super) fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// Bytes that wait for the client to read them.
    pub(super) fn backlog(&self) -> usize {
        self.stream.backlog()
    }

    /// Whether the peer has ended its side, by a system call: behind bytes that are not read yet there is no event for it.
    pub(super) fn peer_has_closed(&self) -> bool {
        self.stream.peer_has_closed()
    }

    /// Writes what waits, and shuts this side where a close is due; true if requests may be started. A client that does not read its
    /// responses is not served further ones.
    ///
    /// # Errors
    ///
    /// The connection's.
    pub(super) fn flush(&mut self, now: Micros) -> io::Result<bool> {
        let is_flushed = self.stream.flush()?;
        if is_flushed && self.must_close && self.open.is_none() && !self.is_write_shut {
            self.is_write_shut = true;
            self.last_used = now;
            let _ = self.stream.socket().shutdown(Shutdown::Write);
        }
        Ok(is_flushed || self.open.is_some())
    }

    /// Writes what the system takes before the connection goes.
    pub(super) fn flush_last(&mut self) {
        let _ = self.stream.flush();
    }

    /// Closes in order once all is written.
    pub(super) fn begin_close(&mut self, now: Micros) {
        (self.must_close, self.last_used) = (true, now);
    }

    /// The open request was withdrawn: no response is owed, and the connection closes, as the response to a later request would be
    /// read as that of the withdrawn one.
    pub(super) fn close_after_withdrawal(&mut self) {
        (self.must_close, self.is_responding) = (true, false);
    }

    /// Marks that more was sent ahead than is buffered; true the first time.
    pub(super) fn mark_overrun(&mut self) -> bool {
        !std::mem::replace(&mut self.is_overrun, true)
    }

    /// Reads once and drops what was read; false once the connection has ended.
    pub(super) fn discard_input(&mut self) -> bool {
        match self.stream.read(&mut Vec::new(), MAX_DISCARD_BYTES) {
            Ok(ReadOutcome::LimitReached) => true,
            Ok(ReadOutcome::WouldBlock) => {
                self.has_more = false;
                true
            }
            Ok(ReadOutcome::Closed) | Err(_) => false,
        }
    }
}
