//! What is written to engines and read from them, as far as each side takes it.

use super::{Work, BACKLOG_LEAST, BACKLOG_MOST, CHECK_TAG, READ_AT_ONCE, STREAMS_MANY, TURN};
use crate::backends::{AttemptRequest, EngineEvent};
use crate::config::Protocol;
use crate::net::ReadOutcome;
use crate::node::clients::Body;
use crate::node::{ConnectionId, EventSource, Node};
use driftfront_core::{AttemptKey, Cause, Micros, Outcome, Phase, Progress};
use driftfront_scheduler::interface::Idempotency;
use std::io::ErrorKind;

impl Node {
    /// Writes what may go now. An attempt is put into the buffer only when that is empty, and looked at
    /// again right then: its engine may have begun to drain while it waited.
    pub(in crate::node) fn write_to_engine(&mut self, now: Micros, id: ConnectionId) {
        for turn in 0.. {
            if turn >= TURN * 4 {
                return self.deferred.push(EventSource::Engine(id));
            }
            let Some(conn) = self.engines.connections.get_mut(&id) else {
                return;
            };
            if !conn.up {
                return;
            }
            let flushed = conn.link.flush();
            let written = conn.link.written();
            while let Some(&(begin, end, key)) = conn.marks.front() {
                if written >= end {
                    self.core.record_progress(key, Progress::WrittenWhole);
                    conn.marks.pop_front();
                } else {
                    if written > begin {
                        self.core.record_progress(key, Progress::PartWritten);
                    }
                    break;
                }
            }
            match flushed {
                // What it said before its end is here still: an answer that came must not go with the connection.
                Err(e) => {
                    self.read_to_the_end(now, id);
                    return self.lose_engine(now, id, &e.to_string());
                }
                Ok(false) => return,
                Ok(true) => {}
            }
            let Some(conn) = self.engines.connections.get_mut(&id) else {
                return;
            };
            if let Some(key) = conn.feeding {
                if self.feed_engine(now, id, key) {
                    continue;
                }
                return;
            }
            if let Some(&Work::Attempt(key, _)) = conn.waiting.front() {
                self.look_for_client(now, key.request);
            }
            let Some(conn) = self.engines.connections.get_mut(&id) else {
                return;
            };
            let Some(work) = conn.waiting.pop_front() else {
                return;
            };
            let mut out = Vec::new();
            // A probe that still waits says nothing of when what is written now should be heard of.
            let was_idle = match work {
                Work::Probe(_) => conn.session.is_idle(),
                Work::Attempt(..) => conn.session.load() == 0,
            };
            match work {
                // The engine was taken out while the connection came up: nothing new, not even a question.
                Work::Probe(tag)
                    if tag != CHECK_TAG
                        && self.core.engine_phase(conn.engine) != Some(Phase::Ready) =>
                {
                    self.core.record_probe(now, tag, Outcome::Superseded, &[]);
                    continue;
                }
                Work::Probe(tag) => conn.session.probe(tag, &mut out),
                Work::Attempt(key, _) => {
                    let engine = self.registry.name(conn.engine);
                    tracing::debug!(
                        request = key.request.0,
                        attempt = key.number,
                        engine,
                        "sent"
                    );
                    self.core.record_progress(key, Progress::Connected);
                    let Some(patience) = self.core.may_write_attempt(now, key) else {
                        continue;
                    };
                    let Some(taken) = self.core.accepted(key.request) else {
                        continue;
                    };
                    if !conn.session.takes(&taken.ask.call) {
                        // A second request of the same name came in while the connection came up.
                        self.attempt_failed(now, key, Cause::Rejected);
                        continue;
                    }
                    let place = usize::from(taken.ask.class);
                    let class = self
                        .config
                        .classes
                        .names
                        .get(place)
                        .map_or("", String::as_str);
                    let idempotency = self
                        .config
                        .settings
                        .classes
                        .get(place)
                        .map(|c| c.idempotency);
                    let progress_interval = self
                        .config
                        .settings
                        .progress_interval
                        .filter(|_| idempotency == Some(Idempotency::Idempotent));
                    let other = (self.config.protocol == Protocol::ClickHouse)
                        .then(|| self.core.name_on_engine(key));
                    let name = other.as_ref().map_or(&*taken.ask.call, |o| o);
                    let grant_mb = self.core.grant_mb(key);
                    let start = AttemptRequest {
                        key,
                        ask: taken.ask,
                        class,
                        name,
                        patience,
                        grant_mb,
                        progress_interval,
                    };
                    conn.session.start(&start, &mut out);
                    let begin = conn.link.queued();
                    let mut end = begin + out.len() as u64;
                    if taken.ask.once {
                        // Its end is not known before the last of its body has come.
                        (conn.feeding, end) = (Some(key), u64::MAX);
                        self.engines.uploads.insert(key.request, id);
                    }
                    conn.marks.push_back((begin, end, key));
                }
            }
            conn.link.push(&out);
            if was_idle {
                conn.heard = now;
            }
            conn.used = now;
        }
    }

    /// Passes on what has come of the body of what is out; true if there may be more at once.
    fn feed_engine(&mut self, now: Micros, id: ConnectionId, key: AttemptKey) -> bool {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return false;
        };
        if !conn.session.has(key) {
            // Answered, or ended, before its body was over: the rest has no meaning on this connection.
            self.drop_engine(now, id, "answered before the body was over");
            return false;
        }
        let (bytes, last) = match self.more_body(now, key.request) {
            Body::WouldBlock => return false,
            Body::Broken => {
                self.body_broken(now, key.request);
                return false;
            }
            Body::More(bytes) => (bytes, false),
            Body::Last(bytes) => (bytes, true),
        };
        self.core.mark_body_forwarded(key.request);
        let within = self
            .core
            .accepted(key.request)
            .and_then(|t| self.frontend.timeout_after_body(t.ask));
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return false;
        };
        let mut out = Vec::with_capacity(bytes.len() + 16);
        conn.session.more(&bytes, &mut out);
        if last {
            conn.session.no_more(&mut out);
            conn.feeding = None;
            self.engines.uploads.remove(&key.request);
        }
        conn.link.push(&out);
        conn.used = now;
        if last {
            if let Some(mark) = conn.marks.iter_mut().find(|m| m.2 == key) {
                mark.1 = conn.link.queued();
            }
            conn.heard = now;
            if let Some(within) = within {
                self.core.shorten_timeout(now, key.request, within);
            }
        }
        true
    }

    pub(in crate::node) fn on_engine_ready(&mut self, now: Micros, id: ConnectionId) {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return;
        };
        if !conn.up {
            match conn.link.poll_connected() {
                Ok(true) => (conn.up, conn.heard, conn.used) = (true, now, now),
                Ok(false) => return,
                Err(e) => {
                    // Reset, not refused: it had come up, so there is somebody.
                    conn.up = e.kind() == ErrorKind::ConnectionReset;
                    return self.lose_engine(now, id, &e.to_string());
                }
            }
        }
        if self
            .engines
            .connections
            .get(&id)
            .is_some_and(|c| c.feeding.is_some())
        {
            // An engine that answers before the body is over may close behind that: its words come first.
            self.read_from_engine(now, id);
        }
        self.write_to_engine(now, id);
        self.read_from_engine(now, id);
    }

    pub(in crate::node) fn read_from_engine(&mut self, now: Micros, id: ConnectionId) {
        for turn in 0.. {
            if turn >= TURN {
                return self.deferred.push(EventSource::Engine(id));
            }
            let paused = self.is_ahead(id);
            let Some(conn) = self.engines.connections.get_mut(&id) else {
                return;
            };
            match (conn.paused, paused) {
                (false, true) => self.engines.paused += 1,
                (true, false) => {
                    self.engines.paused -= 1;
                    // Its silence was our own.
                    conn.heard = now;
                }
                _ => {}
            }
            conn.paused = paused;
            if paused {
                return;
            }
            let mut bytes = Vec::new();
            // With many results under way each comes in smaller pieces: what was read has to be held.
            let most = if self.engines.streaming > STREAMS_MANY {
                READ_AT_ONCE / 4
            } else {
                READ_AT_ONCE
            };
            let end = match conn.link.read(&mut bytes, most) {
                Ok(end) => end,
                Err(e) => {
                    let (engine, idle) = (conn.engine, conn.is_idle());
                    self.lose_engine(now, id, &e.to_string());
                    if idle
                        && !self
                            .engines
                            .connections
                            .values()
                            .any(|c| c.is_up_on(engine))
                    {
                        // Nothing was out to be lost, so only this tells that its process may have ended.
                        self.core.suspect_engine(now, engine);
                        self.execute_commands();
                    }
                    return;
                }
            };
            let (mut out, mut seen) = (Vec::new(), Vec::new());
            let mut fed = Ok(());
            if !bytes.is_empty() {
                (conn.heard, conn.read, conn.used) = (now, now, now);
                fed = conn.session.feed(now, &bytes, &mut out, &mut seen);
                conn.link.push(&out);
            }
            if end == ReadOutcome::Closed {
                conn.session.ended(&mut seen);
            }
            self.take_seen(now, seen);
            let answered = self
                .engines
                .connections
                .get(&id)
                .and_then(|c| c.feeding.filter(|&k| !c.session.has(k)));
            if answered.is_some() {
                return self.drop_engine(now, id, "answered before the body was over");
            }
            match (fed, end) {
                (Err(e), _) => return self.drop_engine(now, id, &e),
                (_, ReadOutcome::Closed) => {
                    return self.lose_engine(now, id, "closed by the engine")
                }
                (_, ReadOutcome::WouldBlock) => return self.write_to_engine(now, id),
                (_, ReadOutcome::LimitReached) => {}
            }
        }
    }

    /// Takes what has come on a connection that nothing can be written to any more.
    fn read_to_the_end(&mut self, now: Micros, id: ConnectionId) {
        for _ in 0..TURN {
            let Some(conn) = self.engines.connections.get_mut(&id).filter(|c| !c.paused) else {
                return;
            };
            let (mut bytes, mut seen) = (Vec::new(), Vec::new());
            let end = conn.link.read(&mut bytes, READ_AT_ONCE);
            let fed = conn.session.feed(now, &bytes, &mut Vec::new(), &mut seen);
            self.take_seen(now, seen);
            if fed.is_err() || !matches!(end, Ok(ReadOutcome::LimitReached)) {
                return;
            }
        }
    }

    pub(super) fn tend_engine(&mut self, now: Micros, id: ConnectionId) {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return;
        };
        let (mut out, mut seen) = (Vec::new(), Vec::new());
        let tended = conn.session.tend(now, &mut out, &mut seen);
        conn.link.push(&out);
        self.take_seen(now, seen);
        match tended {
            Err(why) => self.drop_engine(now, id, &why),
            Ok(()) if !out.is_empty() => self.write_to_engine(now, id),
            Ok(()) => {}
        }
    }

    /// Whether the client of what streams here is far behind: nothing more is read for it then, so that a
    /// slow client does not fill the memory.
    fn is_ahead(&self, id: ConnectionId) -> bool {
        let Some(conn) = self
            .engines
            .connections
            .get(&id)
            .filter(|c| c.session.is_streaming())
        else {
            return false;
        };
        // Few slow clients may leave much, many only little each: their part of the memory is one.
        let share =
            self.config.max_unread_bytes / self.engines.streaming.max(self.engines.paused + 1);
        let most = share.clamp(BACKLOG_LEAST, BACKLOG_MOST);
        conn.session
            .open()
            .iter()
            .any(|key| self.client_backlog(key.request) > most)
    }

    /// Reads on where a client has caught up.
    pub(in crate::node) fn resume_engines(&mut self, now: Micros) {
        let paused = self
            .engines
            .connections
            .iter()
            .filter(|(_, c)| c.paused)
            .map(|(&id, _)| id);
        for id in paused.collect::<Vec<_>>() {
            self.read_from_engine(now, id);
        }
    }

    fn take_seen(&mut self, now: Micros, seen: Vec<EngineEvent>) {
        for each in seen {
            match each {
                EngineEvent::ProgressReported(key, note) => {
                    self.core.record_progress_report(now, key, note)
                }
                EngineEvent::Begun(key) => self.core.record_progress(key, Progress::AnswerBegun),
                EngineEvent::ResponseChunk(key, piece) => self.core.forward_chunk(key, piece),
                EngineEvent::AttemptReport(key, told) => self.core.record_attempt_report(key, told),
                EngineEvent::Served(key) => {
                    if let Some((engine, sent)) = self
                        .core
                        .attempt_engine(key)
                        .filter(|_| self.control.is_some())
                    {
                        self.record_engine_success(now, engine, now.saturating_sub(sent));
                    }
                    self.core.complete_attempt(now, key);
                }
                EngineEvent::Failed(key, cause) => self.attempt_failed(now, key, cause),
                EngineEvent::ProbeEnded(CHECK_TAG, ..) => {}
                EngineEvent::ProbeEnded(tag, outcome, report) => {
                    self.core.record_probe(now, tag, outcome, &report)
                }
            }
        }
        self.execute_commands();
    }
}
