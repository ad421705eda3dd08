//! One connection to an engine: its queue, the work in flight, and the time since which it has been silent.
//!
//! [`EngineConnection`] owns the socket and the protocol session, and is independent of other connections. Data from the engine
//! is returned to the caller as [`EngineEvent`](crate::backends::EngineEvent)s.

mod transfer;

use super::liveness::{LIVENESS_PROBE_INTERVAL, LIVENESS_PROBE_TAG};
use crate::backends::EngineSession;
use crate::net::silence::{is_overdue, PROBE_OVERDUE_AFTER};
use crate::net::BufferedStream;
use calloop::RegistrationToken;
use driftfront_core::{AttemptKey, EngineId, Micros};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};

pub(super) use transfer::StopOutcome;

/// Maximum number of probes and attempts queued on one connection.
const MAX_QUEUED_WRITES: usize = 256;
/// Fraction of the engine's idle timeout after which a connection is not reused: if a request crossed the engine's close, it
/// would be unknown whether it ran.
const REUSABLE_IDLE_FRACTION: f64 = 0.9;

/// Work that waits to be written.
pub(super) enum QueuedWrite {
    /// An attempt.
    Attempt {
        /// The attempt.
        key: AttemptKey,
        /// How often its connection failed before a byte of it was written.
        requeues: u8,
    },
    /// A probe with this tag; [`LIVENESS_PROBE_TAG`] marks a probe that the core did not start.
    Probe {
        /// Echoed by the response.
        tag: u64,
    },
}

impl QueuedWrite {
    /// A probe that only checks whether the engine is alive.
    pub(super) const LIVENESS_PROBE: QueuedWrite = QueuedWrite::Probe {
        tag: LIVENESS_PROBE_TAG,
    };
}

/// The position of an attempt in the output stream.
struct AttemptSpan {
    key: AttemptKey,
    begin: u64,
    /// The attempt may run once more than this is written.
    without_effect: u64,
    /// `u64::MAX` until the end of a streamed body is known.
    end: u64,
}

pub(in crate::node) struct EngineConnection {
    engine: EngineId,
    zone: Option<u16>,
    stream: BufferedStream,
    registration: Option<RegistrationToken>,
    session: Box<dyn EngineSession>,
    is_connected: bool,
    connect_deadline: Micros,
    queue: VecDeque<QueuedWrite>,
    /// Attempts that are not completely written, in stream order.
    spans: VecDeque<AttemptSpan>,
    /// When bytes were last received, or the connection last went from idle to busy. Further work on a busy connection does not
    /// update it, since that would make a silent connection look alive.
    silent_since: Micros,
    /// When bytes were last received; 0 if never.
    last_received: Micros,
    last_used: Micros,
    /// Whether reading is paused until a slow client has read its response.
    is_paused: bool,
    /// The attempt whose body is being streamed.
    upload: Option<AttemptKey>,
    /// Whether it takes no new work, as it leads to an earlier process or address of the engine.
    is_retired: bool,
    /// Whether the attempt last queued on it is non-idempotent, so that no other attempt may share the connection.
    is_exclusive: bool,
}

impl EngineConnection {
    /// Wraps a connection that must be established by `connect_deadline`.
    pub(super) fn connecting(
        now: Micros,
        engine: EngineId,
        zone: Option<u16>,
        stream: BufferedStream,
        registration: RegistrationToken,
        session: Box<dyn EngineSession>,
        connect_deadline: Micros,
    ) -> EngineConnection {
        EngineConnection {
            engine,
            zone,
            stream,
            registration: Some(registration),
            session,
            is_connected: false,
            connect_deadline,
            queue: VecDeque::new(),
            spans: VecDeque::new(),
            silent_since: now,
            last_received: 0,
            last_used: now,
            is_paused: false,
            upload: None,
            is_retired: false,
            is_exclusive: false,
        }
    }

    pub(super) fn engine(&self) -> EngineId {
        self.engine
    }

    /// The engine's zone, if known.
    pub(super) fn zone(&self) -> Option<u16> {
        self.zone
    }

    /// Whether the connection is established.
    pub(super) fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Whether the connect deadline has passed.
    pub(super) fn is_connect_overdue(&self, now: Micros) -> bool {
        !self.is_connected && now > self.connect_deadline
    }

    /// Whether reading is paused until a slow client has read its response.
    pub(super) fn is_paused(&self) -> bool {
        self.is_paused
    }

    pub(super) fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Excludes it from new work.
    pub(super) fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Whether the attempt last queued on it is non-idempotent.
    pub(super) fn is_exclusive(&self) -> bool {
        self.is_exclusive
    }

    /// Sets whether the attempt that is queued next is non-idempotent.
    pub(super) fn set_exclusive(&mut self, is_exclusive: bool) {
        self.is_exclusive = is_exclusive;
    }

    /// When bytes were last received; 0 if never.
    pub(super) fn last_received(&self) -> Micros {
        self.last_received
    }

    /// When bytes were last received, or the connection last went from idle to busy.
    pub(super) fn silent_since(&self) -> Micros {
        self.silent_since
    }

    /// The attempt whose body is being streamed.
    pub(super) fn upload(&self) -> Option<AttemptKey> {
        self.upload
    }

    /// Whether the engine ended the streamed attempt before its body was complete.
    pub(super) fn has_answered_early(&self) -> bool {
        self.upload
            .is_some_and(|key| !self.session.has_attempt(key))
    }

    /// The protocol session.
    pub(super) fn session(&self) -> &dyn EngineSession {
        self.session.as_ref()
    }

    /// Takes the event loop registration, for the caller to remove.
    pub(super) fn take_registration(&mut self) -> Option<RegistrationToken> {
        self.registration.take()
    }

    /// Checks whether the connect has completed.
    ///
    /// # Errors
    ///
    /// The connect failed.
    pub(super) fn poll_connected(&mut self, now: Micros) -> io::Result<bool> {
        if self.is_connected {
            return Ok(true);
        }
        match self.stream.poll_connected() {
            Ok(true) => {
                (self.is_connected, self.silent_since, self.last_used) = (true, now, now);
                Ok(true)
            }
            Ok(false) => Ok(false),
            Err(e) => {
                // A reset, unlike a refusal, means that the connect had completed, so the engine's process exists.
                self.is_connected = e.kind() == ErrorKind::ConnectionReset;
                Err(e)
            }
        }
    }

    /// Whether nothing is queued, in flight or partly written.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.session.is_idle() && self.stream.backlog() == 0
    }

    /// Number of attempts in flight and of queued probes and attempts.
    pub(super) fn load(&self) -> usize {
        self.queue.len() + self.session.attempt_count()
    }

    /// Whether a message from the engine is overdue. `report_interval`: the interval of progress reports; `engine_received_at`: when
    /// bytes were last received from the engine on any connection.
    pub(super) fn is_silent(
        &self,
        now: Micros,
        report_interval: Option<Micros>,
        engine_received_at: Micros,
    ) -> bool {
        if !self.is_connected || self.session.is_idle() || self.is_paused {
            return false;
        }
        let received_at = self.silent_since.max(engine_received_at);
        if self.session.needs_liveness_probes() {
            return now > received_at + LIVENESS_PROBE_INTERVAL + PROBE_OVERDUE_AFTER;
        }
        let report_interval = report_interval.filter(|_| self.session.reports_progress());
        let has_only_probes = self.session.attempt_count() == 0;
        is_overdue(now, report_interval, received_at, has_only_probes)
    }

    /// Whether a result is being received, but nothing of it has arrived for longer than `timeout`.
    pub(super) fn has_stalled_result(&self, now: Micros, timeout: Micros) -> bool {
        let is_receiving = self.session.is_streaming() && !self.is_paused;
        is_receiving && now > self.silent_since + timeout
    }

    /// Whether it has been idle for so long that the engine may be about to close it.
    pub(super) fn is_stale(&self, now: Micros, idle_timeout: Micros) -> bool {
        let reusable = idle_timeout as f64 * REUSABLE_IDLE_FRACTION;
        self.is_connected && self.is_idle() && now as f64 > self.last_used as f64 + reusable
    }

    /// Queues work, or returns it if the queue is full.
    pub(super) fn enqueue(&mut self, work: QueuedWrite) -> Result<(), QueuedWrite> {
        if self.queue.len() >= MAX_QUEUED_WRITES {
            return Err(work);
        }
        self.queue.push_back(work);
        Ok(())
    }

    /// The first entry of the queue.
    pub(super) fn next_queued(&self) -> Option<&QueuedWrite> {
        self.queue.front()
    }

    /// Removes the first entry of the queue.
    pub(super) fn pop_queued(&mut self) -> Option<QueuedWrite> {
        self.queue.pop_front()
    }

    /// Number of queued probes and attempts.
    pub(super) fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Takes the whole queue.
    pub(super) fn take_queue(&mut self) -> VecDeque<QueuedWrite> {
        std::mem::take(&mut self.queue)
    }
}
