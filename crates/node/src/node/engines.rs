//! Engines' connections: the pool, connects, and attempts on their way.

use super::clients::Body;
use super::{ConnId, Node, Source};
use crate::backs::{Seen, Session, Start};
use crate::config::Wire;
use crate::net::{connect, out_of_descriptors, Link, ReadEnd};
use calloop::RegistrationToken;
use driftfront_core::{AttemptKey, Cause, EngineId, Micros, Outcome, Phase, Progress};
use fernlink::interface::Effect;
use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;

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
/// Where notes come with work out, a connection that is this much late with them counts as silent: new work
/// goes by another one, whose connect shows at once whether the engine can be reached.
const NOTE_LATE: Micros = 600_000;
/// So many attempts that an engine says nothing of are more than chance; of fewer, while others of its zone are heard,
/// notes may be this many times as late: an engine short of memory says nothing of what waits there, and a whole
/// fleet that took its few attempts back would have it do all its work twice.
const SILENT_MANY: usize = 3;
const LONE_TIMES: Micros = 3;
/// Where no notes come, only a probe that nothing answers for this long shows that.
const PROBE_LATE: Micros = 1_600_000;
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
pub(super) struct EngineConn {
    engine: EngineId,
    zone: Option<u16>,
    link: Link,
    token: Option<RegistrationToken>,
    session: Box<dyn Session>,
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

impl EngineConn {
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

/// Whether a word is overdue from an engine that was last heard then, on any connection: one that is only full
/// tells nothing of what waits on this, but goes on answering on others.
fn is_overdue(now: Micros, notes: Option<Micros>, heard: Micros, only_probes: bool) -> bool {
    match notes {
        Some(every) => now > heard + every + NOTE_LATE,
        None => only_probes && now > heard + PROBE_LATE,
    }
}

/// How often word is due where so many attempts are out on an engine and others of its zone are heard, or not.
fn note_patience(every: Micros, out: usize, zone_heard: bool) -> Micros {
    every * if out < SILENT_MANY && zone_heard { LONE_TIMES } else { 1 }
}

impl Node {
    /// A connection with room, the least loaded one; else a new one. What must not run twice goes alone, so
    /// that no answer to another can spoil it.
    fn engine_conn(
        &mut self,
        now: Micros,
        engine: EngineId,
        call: Option<&str>,
        alone: bool,
    ) -> Result<ConnId, Cause> {
        let (idle, notes) = (self.config.idle, self.notes_due(now, engine));
        let heard = self.heard_of(engine);
        let fits = |c: &EngineConn| {
            c.engine == engine
                && !c.retired
                && !c.session.is_spent()
                && !c.is_silent(now, notes, heard)
                && !c.is_stale(now, idle)
                && c.load() < c.session.most()
                && call.is_none_or(|call| c.session.takes(call))
        };
        let each = self.engines.iter().filter(|(_, c)| fits(c)).map(|(&id, c)| {
            let apart = c.load() == 0 || !c.alone && !alone && c.load() < SHARE;
            (!apart, !c.up, c.load(), id)
        });
        let best = each.min();
        if let Some((false, .., id)) = best {
            return Ok(id);
        }
        let addr = self.addr(engine).ok_or(Cause::Connection("no address known".into()))?;
        let session = self.session(addr);
        let most = (PER_ENGINE / session.most()).clamp(CONNS.0, CONNS.1);
        if self.engines.values().filter(|c| c.engine == engine && !c.retired).count() >= most
            || self.engines.len() >= self.sockets() / PART_OF_SOCKETS
        {
            // Rather than wait without bound for a place, the attempt goes elsewhere; the engine is well.
            return best.map(|b| b.3).ok_or(Cause::TurnedAway);
        }
        let stream = match connect(addr) {
            // Out of descriptors: an idle client's is worth less.
            Err(e) if out_of_descriptors(&e) && self.evict(now) => connect(addr),
            other => other,
        };
        let stream = stream.map_err(|e| {
            let ours = out_of_descriptors(&e);
            // Our own want says nothing of the engine.
            if ours {
                Cause::TurnedAway
            } else {
                Cause::Connection(e.to_string())
            }
        })?;
        let id = self.conn_id();
        let token = self.register(stream.clone(), Source::Engine(id)).map_err(|_| Cause::TurnedAway)?;
        let conn = EngineConn {
            engine,
            zone: self.roster.zone(engine),
            link: Link::new(stream),
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
        self.engines.insert(id, conn);
        Ok(id)
    }

    /// When anything last came from an engine, on whatever connection.
    fn heard_of(&self, engine: EngineId) -> Micros {
        self.engines.values().filter(|c| c.engine == engine).map(|c| c.read).max().unwrap_or(0)
    }

    /// How often word is due of what is out on an engine, where notes come.
    fn notes_due(&self, now: Micros, engine: EngineId) -> Option<Micros> {
        let every = self.config.settings.notes_every?;
        let conns = || self.engines.values().filter(|c| c.engine == engine);
        let zone = conns().find_map(|c| c.zone);
        let heard =
            self.engines.values().filter(|c| c.zone == zone && c.engine != engine).map(|c| c.read).max();
        let zone_heard = heard.is_some_and(|at| now < at + every + NOTE_LATE);
        Some(note_patience(every, conns().map(EngineConn::load).sum(), zone_heard))
    }

    pub(super) fn send(&mut self, now: Micros, key: AttemptKey, engine: EngineId, moves: u8) {
        let Some(ask) = self.core.taken(key.request).map(|t| t.ask) else { return };
        let call = ask.call.clone();
        let alone = self.runs_once(ask.class);
        match self.engine_conn(now, engine, Some(&call), alone) {
            Ok(id) => {
                self.engines.entry(id).and_modify(|c| c.alone = alone);
                self.queue_work(now, id, Work::Attempt(key, moves));
            }
            Err(cause) => self.attempt_failed(now, key, cause),
        }
    }

    pub(super) fn probe(&mut self, now: Micros, engine: EngineId, tag: u64) {
        match self.engine_conn(now, engine, None, false) {
            Ok(id) => self.queue_work(now, id, Work::Probe(tag)),
            Err(Cause::TurnedAway) => self.core.probed(now, tag, Outcome::Moot, &[]),
            Err(_) => self.core.probed(now, tag, Outcome::Unreachable, &[]),
        }
    }

    fn queue_work(&mut self, now: Micros, id: ConnId, work: Work) {
        let Some(conn) = self.engines.get_mut(&id) else { return };
        if conn.waiting.len() < WAITING_MOST {
            conn.waiting.push_back(work);
            return self.engine_write(now, id);
        }
        match work {
            Work::Attempt(key, _) => self.attempt_failed(now, key, Cause::TurnedAway),
            Work::Probe(CHECK_TAG) => {}
            Work::Probe(tag) => self.core.probed(now, tag, Outcome::Moot, &[]),
        }
    }

    fn attempt_failed(&mut self, now: Micros, key: AttemptKey, cause: Cause) {
        let engine = self.core.sent(key).and_then(|s| self.roster.name(s.0)).map(String::from);
        if let Some(error) = self.core.attempt_failed(now, key, cause) {
            tracing::debug!(request = key.request.0, attempt = key.number, engine, "{error}");
        }
    }

    /// Stops waiting for an attempt, wherever it is.
    pub(super) fn abandon(&mut self, now: Micros, key: AttemptKey, engine: EngineId) {
        let ids: Vec<ConnId> =
            self.engines.iter().filter(|(_, c)| c.engine == engine).map(|(&id, _)| id).collect();
        for id in ids {
            let Some(conn) = self.engines.get_mut(&id) else { continue };
            conn.waiting.retain(|w| !matches!(w, Work::Attempt(k, _) if *k == key));
            if !conn.session.has(key) {
                continue;
            }
            let mut out = Vec::new();
            let stopped = conn.session.stop(key, &mut out);
            conn.link.push(&out);
            if stopped {
                self.engine_write(now, id);
            } else {
                self.drop_engine(now, id, "an attempt was given up");
            }
        }
    }

    /// Writes what may go now. An attempt is put into the buffer only when that is empty, and looked at
    /// again right then: its engine may have begun to drain while it waited.
    pub(super) fn engine_write(&mut self, now: Micros, id: ConnId) {
        for turn in 0.. {
            if turn >= TURN * 4 {
                return self.later.push(Source::Engine(id));
            }
            let Some(conn) = self.engines.get_mut(&id) else { return };
            if !conn.up {
                return;
            }
            let flushed = conn.link.flush();
            let written = conn.link.written();
            while let Some(&(begin, end, key)) = conn.marks.front() {
                if written >= end {
                    self.core.reached(key, Progress::WrittenWhole);
                    conn.marks.pop_front();
                } else {
                    if written > begin {
                        self.core.reached(key, Progress::PartWritten);
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
            let Some(conn) = self.engines.get_mut(&id) else { return };
            if let Some(key) = conn.feeding {
                if self.feed_engine(now, id, key) {
                    continue;
                }
                return;
            }
            let Some(work) = conn.waiting.pop_front() else { return };
            let mut out = Vec::new();
            // A probe that still waits says nothing of when what is written now should be heard of.
            let was_idle = match work {
                Work::Probe(_) => conn.session.is_idle(),
                Work::Attempt(..) => conn.session.load() == 0,
            };
            match work {
                // The engine was taken out while the connection came up: nothing new, not even a question.
                Work::Probe(tag)
                    if tag != CHECK_TAG && self.core.phase(conn.engine) != Some(Phase::Ready) =>
                {
                    self.core.probed(now, tag, Outcome::Moot, &[]);
                    continue;
                }
                Work::Probe(tag) => conn.session.probe(tag, &mut out),
                Work::Attempt(key, _) => {
                    let engine = self.roster.name(conn.engine);
                    tracing::debug!(request = key.request.0, attempt = key.number, engine, "sent");
                    self.core.reached(key, Progress::Connected);
                    let Some(patience) = self.core.may_write(now, key) else { continue };
                    let Some(taken) = self.core.taken(key.request) else { continue };
                    if !conn.session.takes(&taken.ask.call) {
                        // A second request of the same name came in while the connection came up.
                        self.attempt_failed(now, key, Cause::TurnedAway);
                        continue;
                    }
                    let place = usize::from(taken.ask.class);
                    let class = self.config.classes.names.get(place).map_or("", String::as_str);
                    let effect = self.config.settings.classes.get(place).map(|c| c.effect);
                    let notes_every =
                        self.config.settings.notes_every.filter(|_| effect == Some(Effect::Safe));
                    let other = (self.config.wire == Wire::ClickHouse).then(|| self.core.name_on_engine(key));
                    let name = other.as_ref().map_or(&*taken.ask.call, |o| o);
                    let grant_mb = self.core.grant_mb(key);
                    let start = Start { key, ask: taken.ask, class, name, patience, grant_mb, notes_every };
                    conn.session.start(&start, &mut out);
                    let begin = conn.link.queued();
                    let mut end = begin + out.len() as u64;
                    if taken.ask.once {
                        // Its end is not known before the last of its body has come.
                        (conn.feeding, end) = (Some(key), u64::MAX);
                        self.feeds.insert(key.request, id);
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
    fn feed_engine(&mut self, now: Micros, id: ConnId, key: AttemptKey) -> bool {
        let Some(conn) = self.engines.get_mut(&id) else { return false };
        if !conn.session.has(key) {
            // Answered, or ended, before its body was over: the rest has no meaning on this connection.
            self.drop_engine(now, id, "answered before the body was over");
            return false;
        }
        let (bytes, last) = match self.more_body(now, key.request) {
            Body::Dry => return false,
            Body::Broken => {
                self.body_broken(now, key.request);
                return false;
            }
            Body::More(bytes) => (bytes, false),
            Body::Last(bytes) => (bytes, true),
        };
        self.core.drawn(key.request);
        let within = self.core.taken(key.request).and_then(|t| self.front.after_body(t.ask));
        let Some(conn) = self.engines.get_mut(&id) else { return false };
        let mut out = Vec::with_capacity(bytes.len() + 16);
        conn.session.more(&bytes, &mut out);
        if last {
            conn.session.no_more(&mut out);
            conn.feeding = None;
            self.feeds.remove(&key.request);
        }
        conn.link.push(&out);
        conn.used = now;
        if last {
            if let Some(mark) = conn.marks.iter_mut().find(|m| m.2 == key) {
                mark.1 = conn.link.queued();
            }
            conn.heard = now;
            if let Some(within) = within {
                self.core.shorten(now, key.request, within);
            }
        }
        true
    }

    pub(super) fn engine_ready(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.engines.get_mut(&id) else { return };
        if !conn.up {
            match conn.link.came_up() {
                Ok(true) => (conn.up, conn.heard, conn.used) = (true, now, now),
                Ok(false) => return,
                Err(e) => {
                    // Reset, not refused: it had come up, so there is somebody.
                    conn.up = e.kind() == ErrorKind::ConnectionReset;
                    return self.lose_engine(now, id, &e.to_string());
                }
            }
        }
        if self.engines.get(&id).is_some_and(|c| c.feeding.is_some()) {
            // An engine that answers before the body is over may close behind that: its words come first.
            self.engine_read(now, id);
        }
        self.engine_write(now, id);
        self.engine_read(now, id);
    }

    pub(super) fn engine_read(&mut self, now: Micros, id: ConnId) {
        for turn in 0.. {
            if turn >= TURN {
                return self.later.push(Source::Engine(id));
            }
            let paused = self.is_ahead(id);
            let Some(conn) = self.engines.get_mut(&id) else { return };
            match (conn.paused, paused) {
                (false, true) => self.paused += 1,
                (true, false) => {
                    self.paused -= 1;
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
            let most = if self.streams > STREAMS_MANY { READ_AT_ONCE / 4 } else { READ_AT_ONCE };
            let end = match conn.link.read(&mut bytes, most) {
                Ok(end) => end,
                Err(e) => {
                    let (engine, idle) = (conn.engine, conn.is_idle());
                    self.lose_engine(now, id, &e.to_string());
                    if idle && !self.engines.values().any(|c| c.is_up_on(engine)) {
                        // Nothing was out to be lost, so only this tells that its process may have ended.
                        self.core.doubted(now, engine);
                        self.carry_out();
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
            if end == ReadEnd::Closed {
                conn.session.ended(&mut seen);
            }
            self.take_seen(now, seen);
            let answered = self.engines.get(&id).and_then(|c| c.feeding.filter(|&k| !c.session.has(k)));
            if answered.is_some() {
                return self.drop_engine(now, id, "answered before the body was over");
            }
            match (fed, end) {
                (Err(e), _) => return self.drop_engine(now, id, &e),
                (_, ReadEnd::Closed) => return self.lose_engine(now, id, "closed by the engine"),
                (_, ReadEnd::Dry) => return self.engine_write(now, id),
                (_, ReadEnd::Enough) => {}
            }
        }
    }

    /// Takes what has come on a connection that nothing can be written to any more.
    fn read_to_the_end(&mut self, now: Micros, id: ConnId) {
        for _ in 0..TURN {
            let Some(conn) = self.engines.get_mut(&id).filter(|c| !c.paused) else { return };
            let (mut bytes, mut seen) = (Vec::new(), Vec::new());
            let end = conn.link.read(&mut bytes, READ_AT_ONCE);
            let fed = conn.session.feed(now, &bytes, &mut Vec::new(), &mut seen);
            self.take_seen(now, seen);
            if fed.is_err() || !matches!(end, Ok(ReadEnd::Enough)) {
                return;
            }
        }
    }

    fn tend_engine(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.engines.get_mut(&id) else { return };
        let (mut out, mut seen) = (Vec::new(), Vec::new());
        let tended = conn.session.tend(now, &mut out, &mut seen);
        conn.link.push(&out);
        self.take_seen(now, seen);
        match tended {
            Err(why) => self.drop_engine(now, id, &why),
            Ok(()) if !out.is_empty() => self.engine_write(now, id),
            Ok(()) => {}
        }
    }

    /// Whether the client of what streams here is far behind: nothing more is read for it then, so that a
    /// slow client does not fill the memory.
    fn is_ahead(&self, id: ConnId) -> bool {
        let Some(conn) = self.engines.get(&id).filter(|c| c.session.is_streaming()) else { return false };
        // Few slow clients may leave much, many only little each: their part of the memory is one.
        let share = self.config.unread / self.streams.max(self.paused + 1);
        let most = share.clamp(BACKLOG_LEAST, BACKLOG_MOST);
        conn.session.open().iter().any(|key| self.client_backlog(key.request) > most)
    }

    /// Reads on where a client has caught up.
    pub(super) fn resume_engines(&mut self, now: Micros) {
        let paused = self.engines.iter().filter(|(_, c)| c.paused).map(|(&id, _)| id);
        for id in paused.collect::<Vec<_>>() {
            self.engine_read(now, id);
        }
    }

    fn take_seen(&mut self, now: Micros, seen: Vec<Seen>) {
        for each in seen {
            match each {
                Seen::Noted(key, note) => self.core.noted(now, key, note),
                Seen::Begun(key) => self.core.reached(key, Progress::AnswerBegun),
                Seen::Piece(key, piece) => self.core.relay(key, piece),
                Seen::Told(key, told) => self.core.told(key, told),
                Seen::Served(key) => {
                    if let Some((engine, sent)) = self.core.sent(key).filter(|_| self.control.is_some()) {
                        self.engine_served(now, engine, now.saturating_sub(sent));
                    }
                    self.core.served(now, key);
                }
                Seen::Failed(key, cause) => self.attempt_failed(now, key, cause),
                Seen::Probed(CHECK_TAG, ..) => {}
                Seen::Probed(tag, outcome, report) => self.core.probed(now, tag, outcome, &report),
            }
        }
        self.carry_out();
    }

    /// We close a connection; each attempt on it ends as far as it had come, once the engine can know.
    pub(super) fn drop_engine(&mut self, now: Micros, id: ConnId, why: &str) {
        self.end_engine(now, id, Cause::Closed(why.into()));
    }

    /// A connection has ended; each attempt on it with it.
    fn lose_engine(&mut self, now: Micros, id: ConnId, why: &str) {
        self.end_engine(now, id, Cause::Connection(why.into()));
    }

    fn end_engine(&mut self, now: Micros, id: ConnId, cause: Cause) {
        let Some(mut conn) = self.engines.remove(&id) else { return };
        self.unwatch(conn.token.take());
        self.paused -= usize::from(conn.paused);
        if let Some(key) = conn.feeding {
            self.feeds.remove(&key.request);
        }
        if !conn.is_idle() {
            tracing::debug!(engine = conn.engine.0, ?cause, "connection lost");
        }
        for key in conn.session.open() {
            self.attempt_failed(now, key, cause.clone());
        }
        for tag in conn.session.probes().into_iter().filter(|&t| t != CHECK_TAG) {
            self.core.probed(now, tag, Outcome::Reset, &[]);
        }
        // Came up and broke before it carried this: that says nothing of the engine, another may do.
        let moves_on = |moves: u8| conn.up && moves < MOVES_MOST;
        for work in conn.waiting {
            match work {
                Work::Attempt(key, moves) if moves_on(moves) => self.send(now, key, conn.engine, moves + 1),
                Work::Attempt(key, _) => self.attempt_failed(now, key, cause.clone()),
                Work::Probe(CHECK_TAG) => {}
                Work::Probe(tag) => self.core.probed(now, tag, Outcome::Unreachable, &[]),
            }
        }
        self.carry_out();
    }

    /// Old connections of an engine lead to an earlier process, or elsewhere.
    pub(super) fn retire(&mut self, engine: EngineId) {
        for conn in self.engines.values_mut().filter(|c| c.engine == engine) {
            conn.retired = true;
        }
    }

    /// The engine is gone from the list: what is out on it may still end.
    pub(super) fn forget(&mut self, now: Micros, engine: EngineId) {
        self.retire(engine);
        self.roster.forget(engine);
        self.forget_service(engine);
        self.checks.remove(&engine);
        self.sweep_engines(now);
    }

    /// Probes engines that have said nothing for a while and tell nothing by themselves: one that answers lives,
    /// however long its queries take; one that does not is silent, and its reads are lost.
    fn check_engines(&mut self, now: Micros) {
        let mut quiet: BTreeMap<EngineId, Micros> = BTreeMap::new();
        for conn in self.engines.values() {
            if conn.up && !conn.paused && conn.session.wants_checks() {
                let heard = quiet.entry(conn.engine).or_insert(conn.heard);
                *heard = (*heard).min(conn.heard);
            }
        }
        for (engine, since) in quiet {
            let heard = self.heard_of(engine).max(since);
            let last = self.checks.get(&engine).copied().unwrap_or(0);
            if now < heard + CHECK_AFTER || now < last + CHECK_AFTER {
                continue;
            }
            self.checks.insert(engine, now);
            if let Ok(id) = self.engine_conn(now, engine, None, false) {
                self.queue_work(now, id, Work::Probe(CHECK_TAG));
            }
        }
    }

    pub(super) fn sweep_engines(&mut self, now: Micros) {
        let (idle, stall) = (self.config.idle, self.config.stall);
        // What hands over has little more to send: idle connections are the successor's share of the descriptors.
        let idle = if self.life.is_succeeded() { idle.min(HANDED_OVER_IDLE) } else { idle };
        self.check_engines(now);
        self.streams = self.engines.values().filter(|c| c.session.is_streaming()).count();
        let over = |c: &EngineConn| {
            if !c.up {
                return (now > c.connect_by).then_some("connect timed out");
            }
            // A probe that no answer comes to must not hold its connection for ever. Where notes come, what is
            // out on a silent connection is lost: it ends, to be tried elsewhere, but for what must not run
            // twice, which may still be answered once the engine can be reached again.
            // Idle ones, nearly all in a large fleet, owe no word: who else is heard is not looked up for them.
            let silent = !c.session.is_idle()
                && c.is_silent(now, self.notes_due(now, c.engine), self.heard_of(c.engine));
            if silent && (c.session.load() == 0 && c.waiting.is_empty() || !c.alone) {
                return Some("silent");
            }
            if c.session.is_streaming() && !c.paused && now > c.heard + stall {
                return Some("its result stands still");
            }
            let unused = c.is_idle() && (c.retired || c.session.is_spent() || c.is_stale(now, idle));
            unused.then_some("no longer used")
        };
        let ends: Vec<_> = self.engines.iter().filter_map(|(&id, c)| Some((id, over(c)?))).collect();
        for (id, why) in ends {
            self.drop_engine(now, id, why);
        }
        for id in self.engines.keys().copied().collect::<Vec<_>>() {
            self.tend_engine(now, id);
        }
        self.resume_engines(now);
    }
}

#[cfg(test)]
mod tests {
    use super::{is_overdue, note_patience};

    #[test]
    fn one_query_without_word_is_not_taken_back_from_an_engine_whose_zone_is_heard() {
        let overdue = |out, zone| is_overdue(2_000_000, Some(note_patience(1_000_000, out, zone)), 0, false);
        assert!(!overdue(1, true) && !overdue(2, true));
        // Many of them, or a zone of which nothing is heard, mean what they did.
        assert!(overdue(3, true) && overdue(1, false));
    }

    #[test]
    fn silence_is_an_engine_s_not_one_connection_s() {
        let notes = Some(1_000_000);
        assert!(is_overdue(10_000_000, notes, 8_000_000, false));
        assert!(!is_overdue(10_000_000, notes, 9_900_000, false));
        // Where no notes come a query may run for as long as it likes.
        assert!(!is_overdue(90_000_000, None, 0, false) && is_overdue(90_000_000, None, 0, true));
    }
}
