//! Engines' connections: the pool, connects, and attempts on their way. What goes over them stands in `traffic.rs`, how they
//! end in `closing.rs`.

mod closing;
mod traffic;

use super::{ConnectionId, EventSource, Node};
use crate::backends::EngineSession;
use crate::net::silence::{is_overdue, note_patience, NOTE_LATE, PROBE_LATE};
use crate::net::{connect, is_out_of_descriptors, BufferedStream};
use calloop::RegistrationToken;
use driftfront_core::{AttemptKey, Cause, EngineId, Micros, Outcome, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Attempts out on one engine that its connections should carry; the bounds on their number that follow
/// from how many one carries; and the part of all descriptors that engines' connections may hold.
const PER_ENGINE: usize = 512;
const CONNS: (usize, usize) = (16, 64);
/// Attempts that share a connection while others may be opened: a spoilt answer ends all on it.
const SHARE: usize = 4;
const PART_OF_SOCKETS: usize = 3;
/// Connections that may break under an attempt before a byte of it was written.
const MOVES_MOST: u8 = 2;
/// Reads on one connection before the others have their turn.
const TURN: usize = 16;
/// Attempts that wait for one connection.
const WAITING_MOST: usize = 256;
/// Part of the engines' idle limit after which a connection is not used again: a request that crosses the
/// engine's close would be lost without proof that it never ran.
const IDLE_PART: f64 = 0.9;
/// The same while a successor serves.
const HANDED_OVER_IDLE: Micros = 200_000;
/// An engine that tells nothing by itself is probed after this long without a word.
const CHECK_AFTER: Micros = 1_000_000;
/// The tag of such probes; the core's are never 0.
const CHECK_TAG: u64 = 0;
/// Bytes passed on that a client may leave unread: at most, and where many leave some.
const BACKLOG_MOST: usize = 256 * 1024;
const BACKLOG_LEAST: usize = 16 * 1024;
/// More results at once than this are many.
const STREAMS_MANY: usize = 32;
const READ_AT_ONCE: usize = 64 * 1024;

/// What waits to be written.
enum Work {
    /// The attempt, and how often its connection broke before a byte of it was written.
    Attempt(AttemptKey, u8),
    Probe(u64),
}

/// An engine's connection.
pub(super) struct EngineConnection {
    engine: EngineId,
    zone: Option<u16>,
    link: BufferedStream,
    token: Option<RegistrationToken>,
    session: Box<dyn EngineSession>,
    up: bool,
    connect_by: Micros,
    waiting: VecDeque<Work>,
    /// Where in the stream each attempt begins and ends, until it is written whole.
    marks: VecDeque<(u64, u64, AttemptKey)>,
    /// When something came last, or it last went from idle to busy: new work put on a connection must not make
    /// one that is silent look alive.
    heard: Micros,
    /// When something came last.
    read: Micros,
    used: Micros,
    /// Reading waits until a slow client has taken what it was passed.
    paused: bool,
    /// What is out is fed with the rest of its body, which is passed on as it comes.
    feeding: Option<AttemptKey>,
    /// Takes no new work: silent, or of an earlier process.
    retired: bool,
    /// What was last put on it must not run twice: nothing joins that.
    alone: bool,
}

impl EngineConnection {
    /// Whether it is up, to this engine.
    pub(super) fn is_up_on(&self, engine: EngineId) -> bool {
        self.up && self.engine == engine
    }

    /// Its engine, and when that last said anything here.
    pub(super) fn last_heard(&self) -> (EngineId, Micros) {
        (self.engine, self.read)
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.session.is_idle() && self.link.backlog() == 0
    }

    fn load(&self) -> usize {
        self.waiting.len() + self.session.load()
    }

    fn is_silent(&self, now: Micros, notes: Option<Micros>, engine_heard: Micros) -> bool {
        let heard = self.heard.max(engine_heard);
        if !self.up || self.session.is_idle() || self.paused {
            return false;
        }
        if self.session.wants_checks() {
            return now > heard + CHECK_AFTER + PROBE_LATE;
        }
        let notes = notes.filter(|_| self.session.tells_notes());
        is_overdue(now, notes, heard, self.session.load() == 0)
    }

    fn is_stale(&self, now: Micros, idle: Micros) -> bool {
        self.up && self.is_idle() && now as f64 > self.used as f64 + idle as f64 * IDLE_PART
    }
}

/// Connections to engines.
#[derive(Default)]
pub(super) struct Engines {
    pub(super) connections: BTreeMap<ConnectionId, EngineConnection>,
    /// The connection that the rest of each body goes to which is passed on as it comes.
    pub(super) uploads: BTreeMap<RequestId, ConnectionId>,
    /// When engines were last checked that say nothing, and a check has not been answered since.
    pub(super) checks: BTreeMap<EngineId, Micros>,
    /// Connections whose reading waits for a slow client.
    pub(super) paused: usize,
    /// Results that come as they are made, at the last periodic check.
    pub(super) streaming: usize,
}

impl Node {
    /// A connection with room, the least loaded one; else a new one. What must not run twice goes alone, so
    /// that no answer to another can spoil it.
    fn engine_connection(
        &mut self,
        now: Micros,
        engine: EngineId,
        call: Option<&str>,
        alone: bool,
    ) -> Result<ConnectionId, Cause> {
        let (idle, notes) = (self.config.engine_idle_timeout, self.notes_due(now, engine));
        let heard = self.heard_of(engine);
        let fits = |c: &EngineConnection| {
            c.engine == engine
                && !c.retired
                && !c.session.is_spent()
                && !c.is_silent(now, notes, heard)
                && !c.is_stale(now, idle)
                && c.load() < c.session.most()
                && call.is_none_or(|call| c.session.takes(call))
        };
        let each = self
            .engines
            .connections
            .iter()
            .filter(|(_, c)| fits(c))
            .map(|(&id, c)| {
                let apart = c.load() == 0 || !c.alone && !alone && c.load() < SHARE;
                (!apart, !c.up, c.load(), id)
            });
        let best = each.min();
        if let Some((false, .., id)) = best {
            return Ok(id);
        }
        let addr = self
            .addr(engine)
            .ok_or(Cause::Connection("no address known".into()))?;
        let session = self.session(addr);
        let most = (PER_ENGINE / session.most()).clamp(CONNS.0, CONNS.1);
        if self
            .engines
            .connections
            .values()
            .filter(|c| c.engine == engine && !c.retired)
            .count()
            >= most
            || self.engines.connections.len() >= self.sockets() / PART_OF_SOCKETS
        {
            // Rather than wait without bound for a place, the attempt goes elsewhere; the engine is well.
            return best.map(|b| b.3).ok_or(Cause::Rejected);
        }
        let stream = match connect(addr) {
            // Out of descriptors: an idle client's is worth less.
            Err(e) if is_out_of_descriptors(&e) && self.evict_client(now) => connect(addr),
            other => other,
        };
        let stream = stream.map_err(|e| {
            let ours = is_out_of_descriptors(&e);
            // Our own want says nothing of the engine.
            if ours {
                Cause::Rejected
            } else {
                Cause::Connection(e.to_string())
            }
        })?;
        let id = self.next_connection_id();
        let token = self
            .register_stream(stream.clone(), EventSource::Engine(id))
            .map_err(|_| Cause::Rejected)?;
        let conn = EngineConnection {
            engine,
            zone: self.registry.zone(engine),
            link: BufferedStream::new(stream),
            token: Some(token),
            session,
            up: false,
            connect_by: now + self.config.connect_timeout,
            waiting: VecDeque::new(),
            marks: VecDeque::new(),
            heard: now,
            read: 0,
            used: now,
            paused: false,
            feeding: None,
            retired: false,
            alone: false,
        };
        self.engines.connections.insert(id, conn);
        Ok(id)
    }

    /// When anything last came from an engine, on whatever connection.
    fn heard_of(&self, engine: EngineId) -> Micros {
        self.engines
            .connections
            .values()
            .filter(|c| c.engine == engine)
            .map(|c| c.read)
            .max()
            .unwrap_or(0)
    }

    /// How often word is due of what is out on an engine, where notes come.
    fn notes_due(&self, now: Micros, engine: EngineId) -> Option<Micros> {
        let every = self.config.settings.progress_interval?;
        let conns = || {
            self.engines
                .connections
                .values()
                .filter(|c| c.engine == engine)
        };
        let zone = conns().find_map(|c| c.zone);
        let heard = self
            .engines
            .connections
            .values()
            .filter(|c| c.zone == zone && c.engine != engine)
            .map(|c| c.read)
            .max();
        let zone_heard = heard.is_some_and(|at| now < at + every + NOTE_LATE);
        Some(note_patience(
            every,
            conns().map(EngineConnection::load).sum(),
            zone_heard,
        ))
    }

    pub(super) fn queue_attempt(
        &mut self,
        now: Micros,
        key: AttemptKey,
        engine: EngineId,
        moves: u8,
    ) {
        let Some(ask) = self.core.accepted(key.request).map(|t| t.ask) else {
            return;
        };
        let call = ask.call.clone();
        let alone = self.is_single_shot(ask.class);
        match self.engine_connection(now, engine, Some(&call), alone) {
            Ok(id) => {
                self.engines
                    .connections
                    .entry(id)
                    .and_modify(|c| c.alone = alone);
                self.queue_work(now, id, Work::Attempt(key, moves));
            }
            Err(cause) => self.attempt_failed(now, key, cause),
        }
    }

    pub(super) fn queue_probe(&mut self, now: Micros, engine: EngineId, tag: u64) {
        match self.engine_connection(now, engine, None, false) {
            Ok(id) => self.queue_work(now, id, Work::Probe(tag)),
            Err(Cause::Rejected) => self.core.record_probe(now, tag, Outcome::Superseded, &[]),
            Err(_) => self.core.record_probe(now, tag, Outcome::Unreachable, &[]),
        }
    }

    fn queue_work(&mut self, now: Micros, id: ConnectionId, work: Work) {
        let Some(conn) = self.engines.connections.get_mut(&id) else {
            return;
        };
        if conn.waiting.len() < WAITING_MOST {
            conn.waiting.push_back(work);
            return self.write_to_engine(now, id);
        }
        match work {
            Work::Attempt(key, _) => self.attempt_failed(now, key, Cause::Rejected),
            Work::Probe(CHECK_TAG) => {}
            Work::Probe(tag) => self.core.record_probe(now, tag, Outcome::Superseded, &[]),
        }
    }

    fn attempt_failed(&mut self, now: Micros, key: AttemptKey, cause: Cause) {
        let engine = self
            .core
            .attempt_engine(key)
            .and_then(|s| self.registry.name(s.0))
            .map(String::from);
        if let Some(error) = self.core.attempt_failed(now, key, cause) {
            tracing::debug!(
                request = key.request.0,
                attempt = key.number,
                engine,
                "{error}"
            );
        }
    }

    /// Stops waiting for an attempt, wherever it is.
    pub(super) fn abandon_attempt(&mut self, now: Micros, key: AttemptKey, engine: EngineId) {
        let ids: Vec<ConnectionId> = self
            .engines
            .connections
            .iter()
            .filter(|(_, c)| c.engine == engine)
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            let Some(conn) = self.engines.connections.get_mut(&id) else {
                continue;
            };
            conn.waiting
                .retain(|w| !matches!(w, Work::Attempt(k, _) if *k == key));
            if !conn.session.has(key) {
                continue;
            }
            let mut out = Vec::new();
            let stopped = conn.session.stop(key, &mut out);
            conn.link.push(&out);
            if stopped {
                self.write_to_engine(now, id);
            } else {
                self.drop_engine(now, id, "an attempt was given up");
            }
        }
    }
}
