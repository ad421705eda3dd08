//! One client connection: the request being read, the open request, and timeouts.
//!
//! [`ClientConnection`] owns the socket and the request parser. It does not use the core, and does not decide what to do with a
//! request: its methods return the result of each step to the caller.

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

/// Timeout of idle connections. Typical clients close theirs after 4 s; connections kept open indefinitely would use up the
/// descriptors.
const IDLE_TIMEOUT: Micros = 6_000_000;
/// Time to read a complete request, from the connect for the first one and from the first byte for later ones. With it, a client
/// that is not served gets a rejection, an error or a close within 3 s.
const REQUEST_READ_TIMEOUT: Micros = 2_000_000;
/// Time for which input is read and discarded after the write side was shut down.
const LINGER_TIMEOUT: Micros = 1_000_000;
/// Time after which a response that the client does not read is abandoned.
const WRITE_STALL_TIMEOUT: Micros = 10_000_000;
/// Longest pause between parts of a streamed request body.
const UPLOAD_STALL_TIMEOUT: Micros = 10_000_000;
/// Input that a connection may hold however short memory is, so that usual requests are read at any time.
const MAX_UNSHED_BYTES: usize = 4 * 1024;
/// Bytes discarded per periodic check after the write side was shut down: a client that sends 60 MB at full speed must not use up
/// the processor.
const MAX_DISCARD_BYTES: usize = 128 * 1024;

/// A request whose response is pending.
struct OpenRequest {
    id: RequestId,
    writer: Box<dyn ResponseWriter>,
}

pub(super) struct ClientConnection {
    stream: BufferedStream,
    registration: Option<RegistrationToken>,
    reader: RequestReader,
    open: Option<OpenRequest>,
    /// Whether it closes once all output is written, as the last request asked for or an error requires.
    must_close: bool,
    /// Whether part of the open request's response has been written.
    is_responding: bool,
    /// Bytes of the body budget reserved for the request being read.
    reserved_bytes: usize,
    /// Whether the write side is shut down; further input is discarded.
    is_write_shut: bool,
    /// Whether pipelined input exceeded the buffer limit or was dropped: further input is discarded, and the connection closes after
    /// the response.
    is_overrun: bool,
    /// Whether the socket may have unread input.
    has_more: bool,
    /// Whether "100 Continue" was sent for the request being read.
    has_sent_continue: bool,
    /// Whether a caller further up the stack is processing it; see [`ClientConnection::begin_turn`].
    is_in_turn: bool,
    /// Whether no complete request has been read yet.
    awaits_first_request: bool,
    /// The time of the connect, or of the first byte of the request being read.
    read_started_at: Micros,
    /// The next request does not start before this time.
    paused_until: Micros,
    last_used: Micros,
}

/// The timeout that a connection has exceeded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Expired {
    /// The linger time after shutting down the write side.
    Linger,
    /// The peer does not read its response, or does not send the awaited body.
    Stalled,
    /// A request was not completed in time.
    PartialRequest,
    /// The idle timeout, with no request open or partly read.
    Idle,
}

/// The action that the periodic check takes on a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DueStep {
    /// No action.
    None,
    /// Close at once after a timeout.
    Drop,
    /// Answer the incomplete request with a timeout, and close.
    TimeOutRequest,
    /// Close gracefully after the idle timeout.
    CloseIdle,
    /// Close gracefully since the process is draining.
    CloseForDrain,
    /// Discard input after the write side was shut down.
    Discard,
    /// Read on, as there may be input beyond the buffer limit.
    Drive,
    /// End the pause after a bad request.
    EndPause,
}

impl ClientConnection {
    /// Wraps a newly accepted connection that is registered with the event loop. `limits` bound its requests.
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

    /// Whether output is waiting to be written.
    pub(super) fn is_writing(&self) -> bool {
        self.stream.backlog() > 0
    }

    /// Whether no response is pending or being written, and no close has started.
    fn is_ready_for_request(&self) -> bool {
        !(self.open.is_some() || self.must_close || self.is_write_shut || self.is_writing())
    }

    /// Whether a graceful close would lose nothing: no request is open or partly read.
    pub(super) fn is_idle(&self) -> bool {
        self.is_ready_for_request() && !self.reader.is_mid_message()
    }

    /// Whether a request is partly read and none is open.
    pub(super) fn has_partial_request(&self) -> bool {
        self.is_ready_for_request()
            && !self.reader.has_unread_body()
            && self.reader.is_mid_message()
    }

    /// Its rank for eviction, the highest first; `None` if it must stay open.
    pub(super) fn eviction_rank(&self, now: Micros) -> Option<Micros> {
        let is_needed = self.open.is_some()
            || self.is_writing()
            || self.reader.is_mid_message() && !self.awaits_first_request;
        let idle = now.saturating_sub(self.last_used);
        (self.is_write_shut || !is_needed)
            .then(|| eviction::rank(self.is_write_shut, self.awaits_first_request, idle))
    }

    /// Its rank for shedding, the highest first: by the memory of its input and the time without any. `None` if it holds little, or
    /// if its input cannot be dropped.
    pub(super) fn shedding_rank(&self, now: Micros) -> Option<Micros> {
        let is_droppable = !self.is_write_shut && !self.reader.has_unread_body();
        let held_bytes = self.reader.held_bytes();
        if !is_droppable || held_bytes <= MAX_UNSHED_BYTES {
            return None;
        }
        let idle_ms = now.saturating_sub(self.last_used) / 1000;
        Some((held_bytes as Micros).saturating_mul(idle_ms + 1))
    }

    /// Frees the memory of its input. An incomplete request is answered with `refusal`, and the connection closes; input behind an
    /// open request is dropped, and the connection closes after the response. Returns the bytes of the body budget to release.
    pub(super) fn shed(&mut self, now: Micros, refusal: &[u8]) -> usize {
        if self.open.is_some() {
            self.is_overrun = true;
            self.reader.discard_read_ahead();
            return 0;
        }
        self.reader.clear();
        if !self.must_close {
            self.stream.push(refusal);
            self.begin_close(now);
        }
        std::mem::take(&mut self.reserved_bytes)
    }

    /// The timeout that it has exceeded, if any.
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
            // The engine waits for the body only if nothing of it is buffered here.
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

    /// The action that is due now.
    pub(super) fn due_step(&self, now: Micros, lifecycle: &Lifecycle) -> DueStep {
        let closes_last = lifecycle.is_closing_last_connections();
        match self.expired(now) {
            Some(Expired::Linger | Expired::Stalled) => DueStep::Drop,
            Some(Expired::PartialRequest) => DueStep::TimeOutRequest,
            // The process exits before the request's timeout. It is answered now, as its last byte may arrive during the exit.
            None if closes_last && self.has_partial_request() => DueStep::TimeOutRequest,
            Some(Expired::Idle) => DueStep::CloseIdle,
            None if self.should_close_for_drain(now, lifecycle) => DueStep::CloseForDrain,
            None if self.is_write_shut => DueStep::Discard,
            None if self.is_overrun && self.open.is_some() => DueStep::Drive,
            None if self.paused_until > 0 && now >= self.paused_until => DueStep::EndPause,
            None => DueStep::None,
        }
    }

    /// Whether to close it gracefully since the process is draining. A client that has just connected is about to send a request,
    /// possibly delayed by the previous one of its ordering key, so it gets the usual time unless requests are no longer accepted.
    fn should_close_for_drain(&self, now: Micros, lifecycle: &Lifecycle) -> bool {
        let idle = now.saturating_sub(self.last_used);
        self.is_idle()
            && (!self.awaits_first_request || !lifecycle.accepts_requests(now))
            && !lifecycle.may_keep_alive(now, idle)
    }

    /// Whether the incomplete request has timed out, or the process closes its last connections.
    pub(super) fn is_request_timed_out(&self, now: Micros, closes_last: bool) -> bool {
        self.has_partial_request()
            && (closes_last || self.expired(now) == Some(Expired::PartialRequest))
    }

    /// Marks it as being processed; false if a caller further up the stack is already processing it.
    pub(super) fn begin_turn(&mut self) -> bool {
        !std::mem::replace(&mut self.is_in_turn, true)
    }

    /// Marks it as no longer being processed.
    pub(super) fn end_turn(&mut self) {
        self.is_in_turn = false;
    }

    /// Records a readiness event: there may be input.
    pub(super) fn mark_readable(&mut self) {
        self.has_more = true;
    }

    /// Whether the write side is shut down.
    pub(super) fn is_write_shut(&self) -> bool {
        self.is_write_shut
    }

    /// The request whose response is pending.
    pub(super) fn open_request(&self) -> Option<RequestId> {
        self.open.as_ref().map(|open| open.id)
    }

    /// Removes the request whose response is pending.
    pub(super) fn take_open_request(&mut self) -> Option<RequestId> {
        self.open.take().map(|open| open.id)
    }

    /// Takes the event loop registration, for the caller to remove.
    pub(super) fn take_registration(&mut self) -> Option<RegistrationToken> {
        self.registration.take()
    }

    /// Bytes of the body budget reserved for the request being read.
    pub(super) fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// Bytes of output waiting to be written.
    pub(super) fn backlog(&self) -> usize {
        self.stream.backlog()
    }

    /// Whether the peer has closed its side. Asks the system, as a close after unread input causes no event.
    pub(super) fn peer_has_closed(&self) -> bool {
        self.stream.peer_has_closed()
    }

    /// Writes pending output, and shuts down the write side if a close is due. Returns whether requests may be started: while a
    /// client does not read its responses, no further request is started.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub(super) fn flush(&mut self, now: Micros) -> io::Result<bool> {
        let is_flushed = self.stream.flush()?;
        if is_flushed && self.must_close && self.open.is_none() && !self.is_write_shut {
            self.is_write_shut = true;
            self.last_used = now;
            // No further request starts, so buffered input is of no use.
            self.reader.clear();
            let _ = self.stream.socket().shutdown(Shutdown::Write);
        }
        Ok(is_flushed || self.open.is_some())
    }

    /// Writes as much output as possible before the connection closes.
    pub(super) fn flush_last(&mut self) {
        let _ = self.stream.flush();
    }

    /// Starts a graceful close, which follows once all output is written.
    pub(super) fn begin_close(&mut self, now: Micros) {
        (self.must_close, self.last_used) = (true, now);
    }

    /// Closes the connection after its open request was withdrawn: without a response to that, the client would take the response to
    /// a later request for it.
    pub(super) fn close_after_withdrawal(&mut self) {
        (self.must_close, self.is_responding) = (true, false);
    }

    /// Whether input beyond the buffer limit is discarded. `is_sequential`: clients send one request at a time.
    pub(super) fn discards_input(&self, is_sequential: bool) -> bool {
        self.open.is_some() && (is_sequential || self.is_overrun)
    }

    /// Records that pipelined input exceeded the buffer limit; true the first time.
    pub(super) fn mark_overrun(&mut self) -> bool {
        !std::mem::replace(&mut self.is_overrun, true)
    }

    /// Reads once and discards the input; false once the peer has closed or the connection failed.
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
