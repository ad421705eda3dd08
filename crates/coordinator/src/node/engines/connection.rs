//! One connection to an engine: what is queued for it, what is in flight on it, and since when it has been silent.
//!
//! [`EngineConnection`] owns the socket and the protocol session. It knows neither the core nor other connections: what its engine
//! sends comes back as [`EngineEvent`](crate::backends::EngineEvent)s, and the caller decides what follows.

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

/// Probes and attempts that may wait for one connection.
const MAX_QUEUED_WRITES: usize = 256;
/// Share of the engines' idle timeout after which a connection is not used again: a request that crosses the engine's close
/// would be lost without proof that it never ran.
const REUSABLE_IDLE_FRACTION: f64 = 0.9;

/// What waits to be written.
pub(super) enum QueuedWrite {
    /// An attempt, and how often its connection broke before a byte of it was written.
    Attempt {
        /// Which attempt.
        key: AttemptKey,
        /// Connections lost so far.
        requeues: u8,
    },
    /// A probe of this tag; [`LIVENESS_PROBE_TAG`] marks one that the core does not know of.
    Probe {
        /// Echoed by the answer.
        tag: u64,
    },
}

impl QueuedWrite {
    /// A probe that only shows whether the engine lives.
    pub(super) const LIVENESS_PROBE: QueuedWrite = QueuedWrite::Probe {
        tag: LIVENESS_PROBE_TAG,
    };
}

/// Where an attempt stands in the stream of bytes written to an engine.
struct AttemptSpan {
    key: AttemptKey,
    begin: u64,
    /// `u64::MAX` until the end of a streamed body is known.
    end: u64,
}

/// A connection to an engine.
pub(in crate::node) struct EngineConnection {
    engine: EngineId,
    zone: Option<u16>,
    stream: BufferedStream,
    registration: Option<RegistrationToken>,
    session: Box<dyn EngineSession>,
    is_connected: bool,
    connect_deadline: Micros,
    queue: VecDeque<QueuedWrite>,
    /// Attempts that are not written completely, in the order of the stream.
    spans: VecDeque<AttemptSpan>,
    /// When bytes were last received, or it last went from idle to busy: new work queued on a silent connection must not make it
    /// look alive.
    silent_since: Micros,
    /// When bytes were last received; 0 if never.
    last_received: Micros,
    last_used: Micros,
    /// Reading waits until a slow client has read its response.
    is_paused: bool,
    /// The attempt whose body is streamed as it comes.
    upload: Option<AttemptKey>,
    /// Takes no new work: silent, or leads to an earlier process.
    is_retired: bool,
    /// The attempt last queued on it must not run twice: no other joins it.
    is_exclusive: bool,
}

impl EngineConnection {
    /// A connection whose connect has begun and must be up by `connect_deadline`.
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

    /// The engine that it leads to.
    pub(super) fn engine(&self) -> EngineId {
        self.engine
    }

    /// The engine's zone, if that is known.
    pub(super) fn zone(&self) -> Option<u16> {
        self.zone
    }

    /// Whether its connect has completed.
    pub(super) fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Whether its connect should have completed by now.
    pub(super) fn is_connect_overdue(&self, now: Micros) -> bool {
        !self.is_connected && now > self.connect_deadline
    }

    /// Whether reading waits until a slow client has read its response.
    pub(super) fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Whether it takes no new work.
    pub(super) fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Keeps new work off it.
    pub(super) fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Whether the attempt last queued on it must not run twice.
    pub(super) fn is_exclusive(&self) -> bool {
        self.is_exclusive
    }

    /// Sets whether the attempt that is queued next must not run twice.
    pub(super) fn set_exclusive(&mut self, is_exclusive: bool) {
        self.is_exclusive = is_exclusive;
    }

    /// When bytes were last received; 0 if never.
    pub(super) fn last_received(&self) -> Micros {
        self.last_received
    }

    /// When bytes were last received, or it last went from idle to busy.
    pub(super) fn silent_since(&self) -> Micros {
        self.silent_since
    }

    /// The attempt whose body is streamed as it comes.
    pub(super) fn upload(&self) -> Option<AttemptKey> {
        self.upload
    }

    /// Whether the attempt whose body is streamed has ended before the body.
    pub(super) fn has_answered_early(&self) -> bool {
        self.upload
            .is_some_and(|key| !self.session.has_attempt(key))
    }

    /// The protocol's state, to look at.
    pub(super) fn session(&self) -> &dyn EngineSession {
        self.session.as_ref()
    }

    /// Takes the registration with the event loop, to end it.
    pub(super) fn take_registration(&mut self) -> Option<RegistrationToken> {
        self.registration.take()
    }

    /// Whether the connect has completed.
    ///
    /// # Errors
    ///
    /// The connect's, if it failed.
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
                // Reset, not refused: the connect had completed, so the engine's process exists.
                self.is_connected = e.kind() == ErrorKind::ConnectionReset;
                Err(e)
            }
        }
    }

    /// Whether nothing is queued, in flight or half written.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.session.is_idle() && self.stream.backlog() == 0
    }

    /// Attempts in flight and everything queued.
    pub(super) fn load(&self) -> usize {
        self.queue.len() + self.session.attempt_count()
    }

    /// Whether its engine should have sent something by now. `report_interval`: how often progress reports are due;
    /// `engine_received_at`: when bytes last came from the engine on any connection.
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

    /// Whether a result is being received that nothing more has come of for longer than `timeout`.
    pub(super) fn has_stalled_result(&self, now: Micros, timeout: Micros) -> bool {
        let is_receiving = self.session.is_streaming() && !self.is_paused;
        is_receiving && now > self.silent_since + timeout
    }

    /// Whether it was idle for so long that the engine may be about to close it.
    pub(super) fn is_stale(&self, now: Micros, idle_timeout: Micros) -> bool {
        let reusable = idle_timeout as f64 * REUSABLE_IDLE_FRACTION;
        self.is_connected && self.is_idle() && now as f64 > self.last_used as f64 + reusable
    }

    /// Queues work; gives it back where the queue is full.
    pub(super) fn enqueue(&mut self, work: QueuedWrite) -> Result<(), QueuedWrite> {
        if self.queue.len() >= MAX_QUEUED_WRITES {
            return Err(work);
        }
        self.queue.push_back(work);
        Ok(())
    }

    /// The work that is written next.
    pub(super) fn next_queued(&self) -> Option<&QueuedWrite> {
        self.queue.front()
    }

    /// Takes the work that is written next off the queue.
    pub(super) fn pop_queued(&mut self) -> Option<QueuedWrite> {
        self.queue.pop_front()
    }

    /// How much is queued.
    pub(super) fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Takes what was queued and never written.
    pub(super) fn take_queue(&mut self) -> VecDeque<QueuedWrite> {
        std::mem::take(&mut self.queue)
    }
}
