//! One connection to an engine: what is queued for it, what is in flight on it, and since when it has been silent.

use super::liveness::{LIVENESS_PROBE_INTERVAL, LIVENESS_PROBE_TAG};
use crate::backends::EngineSession;
use crate::net::silence::{is_overdue, PROBE_OVERDUE_AFTER};
use crate::net::BufferedStream;
use crate::node::ConnectionId;
use calloop::RegistrationToken;
use driftfront_core::{AttemptKey, Core, EngineId, Micros, Progress, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Work that waits for one connection.
const MAX_QUEUED_WRITES: usize = 256;
/// Share of the engines' idle timeout after which a connection is not used again: a request that crosses the engine's close
/// would be lost without proof that it never ran.
const REUSABLE_SHARE_OF_IDLE_TIMEOUT: f64 = 0.9;

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
pub(super) struct AttemptSpan {
    key: AttemptKey,
    begin: u64,
    /// `u64::MAX` until the end of a streamed body is known.
    end: u64,
}

/// A connection to an engine.
pub(in crate::node) struct EngineConnection {
    pub(super) engine: EngineId,
    pub(super) zone: Option<u16>,
    pub(super) stream: BufferedStream,
    pub(super) registration: Option<RegistrationToken>,
    pub(super) session: Box<dyn EngineSession>,
    pub(super) is_up: bool,
    pub(super) connect_deadline: Micros,
    pub(super) queue: VecDeque<QueuedWrite>,
    /// Attempts that are not written whole, in the order of the stream.
    pub(super) spans: VecDeque<AttemptSpan>,
    /// When something was last received, or it last went from idle to busy: new work put on a connection must not make one that
    /// is silent look alive.
    pub(super) silent_since: Micros,
    /// When something was last received.
    pub(super) last_read: Micros,
    pub(super) last_used: Micros,
    /// Reading waits until a slow client has taken what it was sent.
    pub(super) is_paused: bool,
    /// The attempt whose body is streamed as it comes.
    pub(super) upload: Option<AttemptKey>,
    /// Takes no new work: silent, or leads to an earlier process.
    pub(super) is_retired: bool,
    /// What was last put on it must not run twice: nothing joins that.
    pub(super) is_exclusive: bool,
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
            is_up: false,
            connect_deadline,
            queue: VecDeque::new(),
            spans: VecDeque::new(),
            silent_since: now,
            last_read: 0,
            last_used: now,
            is_paused: false,
            upload: None,
            is_retired: false,
            is_exclusive: false,
        }
    }

    /// Whether it is up, to this engine.
    pub(in crate::node) fn is_up_on(&self, engine: EngineId) -> bool {
        self.is_up && self.engine == engine
    }

    /// Its engine, and when that last said anything here.
    pub(in crate::node) fn last_heard(&self) -> (EngineId, Micros) {
        (self.engine, self.last_read)
    }

    /// Whether nothing is queued, in flight or half written.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.session.is_idle() && self.stream.backlog() == 0
    }

    /// Attempts in flight and everything queued.
    pub(super) fn load(&self) -> usize {
        self.queue.len() + self.session.attempt_count()
    }

    /// Whether word from its engine is overdue. `report_interval`: how often progress reports are due; `engine_heard`: when the
    /// engine was last heard on any connection.
    pub(super) fn is_silent(
        &self,
        now: Micros,
        report_interval: Option<Micros>,
        engine_heard: Micros,
    ) -> bool {
        if !self.is_up || self.session.is_idle() || self.is_paused {
            return false;
        }
        let heard = self.silent_since.max(engine_heard);
        if self.session.needs_liveness_probes() {
            return now > heard + LIVENESS_PROBE_INTERVAL + PROBE_OVERDUE_AFTER;
        }
        let report_interval = report_interval.filter(|_| self.session.reports_progress());
        is_overdue(
            now,
            report_interval,
            heard,
            self.session.attempt_count() == 0,
        )
    }

    /// Whether it was idle for so long that the engine may be about to close it.
    pub(super) fn is_stale(&self, now: Micros, idle_timeout: Micros) -> bool {
        let reusable = idle_timeout as f64 * REUSABLE_SHARE_OF_IDLE_TIMEOUT;
        self.is_up && self.is_idle() && now as f64 > self.last_used as f64 + reusable
    }

    /// Queues work; gives it back where the queue is full.
    pub(super) fn enqueue(&mut self, work: QueuedWrite) -> Result<(), QueuedWrite> {
        if self.queue.len() >= MAX_QUEUED_WRITES {
            return Err(work);
        }
        self.queue.push_back(work);
        Ok(())
    }

    /// Puts bytes of new work into the output. `was_idle`: nothing was awaited before, so that silence is counted from now.
    pub(super) fn write_work(&mut self, now: Micros, bytes: &[u8], was_idle: bool) {
        self.stream.push(bytes);
        if was_idle {
            self.silent_since = now;
        }
        self.last_used = now;
    }

    /// Notes where an attempt of `length` bytes will stand that is about to be put into the output. A streamed one is open-ended
    /// until [`EngineConnection::end_upload`].
    pub(super) fn begin_span(&mut self, key: AttemptKey, length: usize, is_streamed: bool) {
        let begin = self.stream.queued();
        let mut end = begin + length as u64;
        if is_streamed {
            (self.upload, end) = (Some(key), u64::MAX);
        }
        self.spans.push_back(AttemptSpan { key, begin, end });
    }

    /// The last of a streamed body is in the output: from now on the engine's answer is awaited.
    pub(super) fn end_upload(&mut self, now: Micros, key: AttemptKey) {
        if let Some(span) = self.spans.iter_mut().find(|span| span.key == key) {
            span.end = self.stream.queued();
        }
        self.silent_since = now;
    }

    /// Tells the core how far attempts have been handed to the system.
    pub(super) fn report_written(&mut self, core: &mut Core) {
        let written = self.stream.written();
        while let Some(span) = self.spans.front() {
            if written < span.end {
                if written > span.begin {
                    core.record_progress(span.key, Progress::PartWritten);
                }
                return;
            }
            core.record_progress(span.key, Progress::WrittenWhole);
            self.spans.pop_front();
        }
    }
}

/// All connections to engines, and what is known of them together.
#[derive(Default)]
pub(in crate::node) struct Engines {
    pub(in crate::node) connections: BTreeMap<ConnectionId, EngineConnection>,
    /// The connection that receives the rest of each request body which is forwarded as it arrives.
    pub(in crate::node) uploads: BTreeMap<RequestId, ConnectionId>,
    /// When silent engines were last probed for liveness, while that probe is not answered.
    pub(in crate::node) checks: BTreeMap<EngineId, Micros>,
    /// Connections whose reading waits for a slow client.
    pub(in crate::node) paused: usize,
    /// Results that are streamed to clients, at the last periodic check.
    pub(in crate::node) streaming: usize,
}
