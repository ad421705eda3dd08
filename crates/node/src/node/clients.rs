//! Clients' connections: reading requests, writing answers, and ends of every kind.

use super::{ConnId, Node, Source};
use crate::fronts::{After, AnswerWriter, Intake, KillAsk};
use crate::net::{out_of_descriptors, Link, ReadEnd};
use calloop::RegistrationToken;
use driftfront_core::{Micros, Phase, RequestId};
use driftfront_http::{response, tell_close, Fault, RequestReader};
use fernlink::interface::Effect;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// A connection with no request open may idle for this long: usual clients close theirs after 4 s, and
/// those that keep them for good would take the descriptors of the others.
const IDLE_MOST: Micros = 6_000_000;
/// The first request must be whole this long after the connect, a later one this long after its first byte:
/// whoever is not served is owed a refusal, an error or a close within 3 s.
const READ_MOST: Micros = 2_000_000;
/// After a reply to what could not be taken the connection's next request waits this long: who sends the
/// same again at once would take the others' share of the processor.
const BAD_PAUSE: Micros = 100_000;
/// Descriptors, in 100 of all, for clients; usual ones hold a third at most.
const PART_OF_SOCKETS: usize = 60;
/// The same while another process of this coordinator runs. Usual clients hold a third with both together, and must all
/// find room here: one that waits in the backlog while others are read loses its place in its key's order.
const PART_WHILE_SHARED: usize = 40;
/// A connection that never brought a whole request counts as idle for this many times as long.
const FRESH_WEIGHT: Micros = 8;
/// Steps on one connection before the others have their turn.
const TURN: usize = 16;
/// After a close of ours the peer's last bytes are read for this long: unread ones would reset the
/// connection and take our answer with them.
const LINGER: Micros = 1_000_000;
/// Bytes that are read and dropped with each sweep then: 60 MB at full speed must not take the processor.
const LINGER_READ: usize = 128 * 1024;
/// An answer that the client doesn't read for this long is given up.
const WRITE_MOST: Micros = 10_000_000;
/// Bytes read ahead while a request is open.
const AHEAD_MOST: usize = 64 * 1024;
const READ_AT_ONCE: usize = 64 * 1024;
/// A body that is passed on as it comes must not stand still for longer than this.
const UPLOAD_STALL: Micros = 10_000_000;

/// What there is of a body that is passed on as it comes.
pub(super) enum Body {
    /// Some more of it.
    More(Vec<u8>),
    /// Its last bytes, maybe none.
    Last(Vec<u8>),
    /// Nothing for now.
    Dry,
    /// It can't be read on, or nobody sends it any more.
    Broken,
}

/// A client's connection.
pub(super) struct Client {
    link: Link,
    token: Option<RegistrationToken>,
    reader: RequestReader,
    /// The request whose answer is owed, and its writer.
    current: Option<(RequestId, Box<dyn AnswerWriter>)>,
    /// The last request asked for a close, or a fault makes one due.
    close: bool,
    /// Something of the open request's answer has been written.
    answering: bool,
    /// What the request that is being read holds of the budget for bodies.
    kept: usize,
    /// Our side is shut; what still comes is dropped.
    shut: bool,
    /// Reading stopped with more to come.
    more: bool,
    continued: bool,
    /// Being worked on further up the stack.
    busy: bool,
    /// No request has been taken off it yet.
    fresh: bool,
    /// The connect, or the first byte of the request that is being read.
    begun: Micros,
    /// No request is taken off it before this.
    pause_until: Micros,
    used: Micros,
}

impl Client {
    pub(super) fn is_writing(&self) -> bool {
        self.link.backlog() > 0
    }

    /// Nothing is open on it, or on its way, that a close in order would hurt. Whoever has just connected has a request
    /// to write, and holds it back where its key's last one went out lately: that one has its usual time.
    fn may_close(&self) -> bool {
        let open = self.current.is_some() || self.close || self.shut || self.is_writing();
        !open && !self.fresh && !self.reader.is_within()
    }

    /// How ripe a connection is for an end where descriptors are short; `None` if it must stay.
    fn ripe(&self, now: Micros) -> Option<Micros> {
        let open = self.current.is_some() || self.is_writing() || self.reader.is_within() && !self.fresh;
        (self.shut || !open).then(|| ripeness(self.shut, self.fresh, now.saturating_sub(self.used)))
    }
}

/// Those that are closing go first, then the longest idle. One that never brought a whole request counts as
/// idle for longer, but is not always first: else those that asked once and stay would fill all places,
/// and each newcomer would be shut out by the next before it has said a word.
fn ripeness(shut: bool, fresh: bool, idle: Micros) -> Micros {
    match (shut, fresh) {
        (true, _) => Micros::MAX,
        (false, true) => idle.saturating_mul(FRESH_WEIGHT),
        (false, false) => idle,
    }
}

/// Listens with room for a burst of connects.
pub(super) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

impl Node {
    /// Takes connections in while there is room; what has to wait is looked at again with each sweep.
    pub(super) fn accept(&mut self, now: Micros) {
        let most = self.most_clients();
        while self.life.accepts() {
            if self.clients.len() >= most && !self.drop_ripest(now) {
                // Counted with each look, whether somebody waits or not.
                self.accepts_full += 1;
                return;
            }
            if self.passed && !self.unblock_listener() {
                return;
            }
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The connection stays in the backlog until there is room.
                Err(e) if out_of_descriptors(&e) => {
                    tracing::warn!("out of descriptors");
                    if self.drop_ripest(now) {
                        continue;
                    }
                    return;
                }
                Err(e) => {
                    tracing::debug!("accept: {e}");
                    continue;
                }
            };
            if stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true)).is_err() {
                continue;
            }
            let id = self.conn_id();
            let stream = Rc::new(stream);
            match self.register(stream.clone(), Source::Client(id)) {
                Ok(token) => {
                    let client = Client {
                        link: Link::new(stream),
                        token: Some(token),
                        reader: RequestReader::taking(self.front.takes()),
                        current: None,
                        kept: 0,
                        close: false,
                        answering: false,
                        shut: false,
                        more: true,
                        continued: false,
                        busy: false,
                        fresh: true,
                        begun: now,
                        pause_until: 0,
                        used: now,
                    };
                    self.clients.insert(id, client);
                    // What came before the socket was registered brings no event of its own.
                    self.client_ready(now, id);
                }
                Err(e) => tracing::warn!("a client's socket: {e}"),
            }
        }
    }

    /// Whoever else holds a passed socket may have let it block again, and the loop would stand still in `accept`. That
    /// is shared by all holders, so it is looked at before each call.
    fn unblock_listener(&mut self) -> bool {
        if socket2::SockRef::from(&*self.listener).nonblocking().is_ok_and(|n| n) {
            return true;
        }
        self.unblocked += 1;
        self.listener.set_nonblocking(true).is_ok()
    }

    /// Clients' connections that may be open.
    fn most_clients(&self) -> usize {
        self.config.sockets * if self.shares { PART_WHILE_SHARED } else { PART_OF_SOCKETS } / 100
    }

    /// Bytes that wait for a request's client to read them.
    pub(super) fn client_backlog(&self, request: RequestId) -> usize {
        let client = self.asking.get(&request).and_then(|a| self.clients.get(&a.0));
        client.map_or(0, |c| c.link.backlog())
    }

    /// Makes room for a connection: the ripest one goes.
    pub(super) fn drop_ripest(&mut self, now: Micros) -> bool {
        let each = self.clients.iter().filter_map(|(&id, c)| Some((c.ripe(now)?, id)));
        let ripest = each.max().map(|(_, id)| id);
        if let Some(id) = ripest {
            self.dropped += 1;
            self.tell_late(id);
            self.drop_client(now, id);
        }
        ripest.is_some()
    }

    /// What a client whose request never became whole may still read before the close.
    fn tell_late(&mut self, id: ConnId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !client.shut && client.reader.is_within() && client.current.is_none() {
            client.link.push(&response(408, &[], b"", true));
            let _ = client.link.flush();
        }
    }

    pub(super) fn drop_client(&mut self, now: Micros, id: ConnId) {
        let Some(mut client) = self.clients.remove(&id) else { return };
        self.unwatch(client.token.take());
        self.front.release(client.kept);
        if let Some((request, _)) = client.current.take() {
            self.left(now, id, request);
        }
    }

    /// The connection's open request is not wanted any more, or can't be.
    fn leave(&mut self, now: Micros, id: ConnId) {
        if let Some((request, _)) = self.clients.get_mut(&id).and_then(|c| c.current.take()) {
            self.left(now, id, request);
        }
    }

    fn left(&mut self, now: Micros, id: ConnId, request: RequestId) {
        tracing::debug!(request = request.0, conn = id, "client left");
        self.count_end(now, request, crate::service::End::Left);
        self.asking.remove(&request);
        let effect = self.core.taken(request).and_then(|t| self.effect(t.ask.class));
        let fed = self.feeds.contains_key(&request);
        self.core.left(now, request);
        // A read is let go on its engine, and so is what waits there for a body that never comes.
        if self.front.frees_reads() && effect == Some(Effect::Safe) || fed {
            self.core.release(now, request);
        }
    }

    pub(super) fn client_ready(&mut self, now: Micros, id: ConnId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.more = true;
        }
        self.client_work(now, id);
        let request = self.clients.get(&id).and_then(|c| c.current.as_ref()).map(|c| c.0);
        if let Some(&conn) = request.and_then(|r| self.feeds.get(&r)) {
            self.engine_write(now, conn);
        }
        self.resume_engines(now);
    }

    /// Takes what has come of a body that is passed on as it comes, reading on as far as is needed.
    pub(super) fn more_body(&mut self, now: Micros, request: RequestId) -> Body {
        let client = self.asking.get(&request).and_then(|a| self.clients.get_mut(&a.0));
        let Some(client) = client else { return Body::Broken };
        let mut body = Vec::new();
        for _ in 0..2 {
            match client.reader.more_body(&mut body) {
                Err(_) => return Body::Broken,
                Ok(true) => return Body::Last(body),
                Ok(false) => {}
            }
            if !client.more || body.len() >= READ_AT_ONCE {
                break;
            }
            let mut bytes = Vec::new();
            match client.link.read(&mut bytes, READ_AT_ONCE) {
                Ok(ReadEnd::Closed) | Err(_) => return Body::Broken,
                Ok(end) => client.more = end == ReadEnd::Enough,
            }
            client.used = now;
            client.reader.push(&bytes);
        }
        if body.is_empty() {
            Body::Dry
        } else {
            Body::More(body)
        }
    }

    /// A body that was passed on as it came can't be: its client is told, if it still can be.
    pub(super) fn body_broken(&mut self, now: Micros, request: RequestId) {
        let Some(&(id, ..)) = self.asking.get(&request) else { return };
        self.leave(now, id);
        self.client_fault(now, id, Fault::Malformed);
        self.client_work(now, id);
    }

    /// Works on a connection, unless that is going on further up the stack: an answer given at once must not
    /// begin the next pipelined request inside the one before, each some frames deeper.
    pub(super) fn client_work(&mut self, now: Micros, id: ConnId) {
        let Some(client) = self.clients.get_mut(&id).filter(|c| !c.busy) else { return };
        client.busy = true;
        self.client_loop(now, id);
        if let Some(client) = self.clients.get_mut(&id) {
            client.busy = false;
        }
    }

    /// After a panic nothing is being worked on.
    pub(super) fn no_client_is_busy(&mut self) {
        self.clients.values_mut().for_each(|c| c.busy = false);
    }

    /// Writes, takes requests and reads, as far as all three go.
    fn client_loop(&mut self, now: Micros, id: ConnId) {
        for turn in 0.. {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if turn >= TURN {
                return self.later.push(Source::Client(id));
            }
            let flushed = match client.link.flush() {
                Ok(flushed) => flushed,
                Err(_) => return self.drop_client(now, id),
            };
            if flushed && client.close && client.current.is_none() && !client.shut {
                client.shut = true;
                client.used = now;
                let _ = client.link.socket().shutdown(Shutdown::Write);
            }
            // Who does not read its answers is asked for no more requests.
            if !flushed && client.current.is_none() {
                return;
            }
            if self.next_request(now, id) || self.has_outgrown(now, id) {
                continue;
            }
            let Some(client) = self.clients.get_mut(&id) else { return };
            let ahead = client.current.is_some() || now < client.pause_until;
            if !client.more || client.shut || ahead && client.reader.held() > AHEAD_MOST {
                return;
            }
            let mut bytes = Vec::new();
            let end = match client.link.read(&mut bytes, READ_AT_ONCE) {
                Ok(end) => end,
                Err(_) => return self.drop_client(now, id),
            };
            client.more = end == ReadEnd::Enough;
            if !bytes.is_empty() {
                if !client.reader.is_within() && !client.fresh {
                    client.begun = now;
                }
                client.used = now;
                client.reader.push(&bytes);
            }
            if client.current.is_some() && client.reader.holds_stray_bytes() {
                // The length told was too small: what is out runs half a statement, and must not be served.
                self.leave(now, id);
                self.client_fault(now, id, Fault::Malformed);
                continue;
            }
            if end == ReadEnd::Closed {
                // What came whole before that is not wanted any more, but what is malformed is told.
                while self.next_request(now, id) {}
                return self.client_ended(now, id);
            }
        }
    }

    /// A request that is being read has grown: what its body may hold is looked at anew. True if its bounds have
    /// changed so that it should be tried again.
    fn has_outgrown(&mut self, now: Micros, id: ConnId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        if client.current.is_some() || client.close || now < client.pause_until {
            return false;
        }
        let size = client.reader.growing();
        let Some((kept, most)) = self.front.grow(client.kept, size) else { return false };
        client.kept = kept;
        client.reader.hold_at_most(most);
        if size <= most {
            return false;
        }
        if !client.reader.has_head() {
            // A head can't be passed on in parts.
            self.client_fault(now, id, Fault::HeadTooLarge);
        }
        true
    }

    /// The client has ended its side: what it asked is not wanted any more.
    fn client_ended(&mut self, now: Micros, id: ConnId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.current.is_none() && !client.shut && client.reader.is_within() {
            // It may still read why its half request is not answered.
            client.link.push(&response(400, &[], b"", true));
            let _ = client.link.flush();
        }
        self.drop_client(now, id);
    }

    /// Takes the next request off the reader, if none is open; true if one was there.
    fn next_request(&mut self, now: Micros, id: ConnId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let idle = client.reader.held() == 0 || now < client.pause_until;
        if client.current.is_some() || client.close || idle {
            return false;
        }
        let request = match client.reader.next_request() {
            Ok(Some(request)) => request,
            Ok(None) => {
                if client.reader.expects_continue() && !client.continued {
                    client.continued = true;
                    client.link.push(b"HTTP/1.1 100 Continue\r\n\r\n");
                    let _ = client.link.flush();
                }
                return false;
            }
            Err(fault) => {
                self.client_fault(now, id, fault);
                return true;
            }
        };
        client.continued = false;
        client.close = request.close;
        (client.used, client.begun, client.fresh) = (now, now, false);
        let (kept, goes_on) = (std::mem::take(&mut client.kept), request.goes_on);
        let intake = self.front.intake(request, now, kept);
        // Where it is not taken the rest of its body would be read as the next request.
        client.close |= goes_on && !matches!(intake, Intake::Take(..));
        match intake {
            Intake::Reply(bytes) => self.reply(id, &bytes),
            Intake::Bad(bytes) => {
                client.pause_until = now + BAD_PAUSE;
                self.reply(id, &bytes);
            }
            Intake::Ready(yes, no) => {
                let ready = self.is_ready();
                self.reply(id, if ready { &yes } else { &no });
            }
            Intake::Kill(kill) => self.kill(now, id, *kill),
            Intake::Counters => {
                let text = self.counters();
                let head = [("Content-Type", "text/plain; charset=utf-8")];
                self.reply(id, &response(200, &head, text.as_bytes(), false));
            }
            Intake::Take(ask, writer) => {
                let twin = if self.core.is_open(&ask.call) { self.front.twin(now, &ask) } else { None };
                if let Some(bytes) = twin {
                    if let Some(client) = self.clients.get_mut(&id) {
                        client.close |= goes_on;
                    }
                    self.reply(id, &bytes);
                    return true;
                }
                let (call, class, budget) = (ask.call.clone(), ask.class, ask.budget);
                let request = self.core.take(now, ask);
                tracing::debug!(request = request.0, conn = id, %call, class, budget, "taken");
                self.asking.insert(request, (id, class, now));
                if let Some(client) = self.clients.get_mut(&id) {
                    client.current = Some((request, writer));
                }
                self.carry_out();
            }
        }
        true
    }

    /// Ends queries by their names: none gets a further attempt, and each engine that runs one, or may, is told.
    fn kill(&mut self, now: Micros, id: ConnId, kill: KillAsk) {
        let mut runs = Vec::new();
        let mut known = false;
        for name in &kill.names {
            runs.extend(self.core.runs(now, name));
            known |= self.core.is_open(name);
        }
        // The one whose answer is awaited speaks for the others.
        runs.sort_by_key(|run| !run.awaited);
        let mut sent = Vec::new();
        for run in &runs {
            if self.core.phase(run.engine) != Some(Phase::Ready) {
                continue;
            }
            let request = self.core.take(now, (kill.for_engine)(run.engine, &run.name));
            tracing::debug!(request = request.0, conn = id, engine = run.engine.0, "a kill, taken");
            sent.push(request);
        }
        if !kill.test {
            for name in &kill.names {
                self.core.call_off(now, name, &kill.words);
            }
        }
        tracing::info!(names = kill.names.len(), known, engines = sent.len(), "queries are to be ended");
        match sent.first() {
            None => self.reply(id, &kill.none),
            Some(&first) => {
                self.asking.insert(first, (id, self.core.taken(first).map_or(0, |t| t.ask.class), now));
                if let Some(client) = self.clients.get_mut(&id) {
                    client.current = Some((first, kill.writer));
                }
            }
        }
        self.carry_out();
    }

    fn reply(&mut self, id: ConnId, bytes: &[u8]) {
        let away = self.life.sends_away();
        if let Some(client) = self.clients.get_mut(&id) {
            let mut bytes = bytes.to_vec();
            if away {
                tell_close(&mut bytes);
                client.close = true;
            }
            client.link.push(&bytes);
            let _ = client.link.flush();
        }
    }

    /// What can't be read is answered with its status, then the connection closes.
    fn client_fault(&mut self, now: Micros, id: ConnId, fault: Fault) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.close = true;
            client.used = now;
            client.link.push(&self.front.fault(fault));
        }
    }

    /// Writes part of a request's answer; with `last` the request is over. The closure says whether the
    /// connection may stay open.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        request: RequestId,
        last: bool,
        write: impl FnOnce(&mut dyn AnswerWriter, &mut Vec<u8>) -> After,
    ) {
        let Some(&(id, ..)) = self.asking.get(&request) else { return };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some((_, writer)) = &mut client.current else { return };
        let mut bytes = Vec::new();
        let after = write(writer.as_mut(), &mut bytes);
        let first = !bytes.is_empty() && !std::mem::replace(&mut client.answering, true);
        if self.life.sends_away() && first {
            tell_close(&mut bytes);
        }
        client.link.push(&bytes);
        (client.used, client.begun) = (now, now);
        if last {
            tracing::debug!(request = request.0, conn = id, bytes = bytes.len(), "answered");
            client.current = None;
            client.answering = false;
            client.close |= self.life.sends_away();
            self.asking.remove(&request);
            // What of a body still comes could not be told from the next request.
            client.close |= after != After::Open || client.reader.body_goes_on();
            if after != After::Open {
                // A body that is cut must not look whole, so nothing more may follow it.
                client.more = false;
            }
            if after == After::Reset {
                let _ = client.link.flush();
                let _ = socket2::SockRef::from(&*client.link.socket()).set_linger(Some(Duration::ZERO));
                return self.drop_client(now, id);
            }
        }
        self.client_work(now, id);
    }

    pub(super) fn sweep_clients(&mut self, now: Micros) {
        let late = |c: &Client| {
            let idle = now.saturating_sub(c.used);
            match () {
                () if c.shut => idle > LINGER,
                () if c.is_writing() => idle > WRITE_MOST,
                // A body that stands still while its engine waits for it.
                () if c.reader.body_goes_on() => c.reader.held() == 0 && idle > UPLOAD_STALL,
                () if c.current.is_some() => false,
                () if c.fresh || c.reader.is_within() => now > c.begun + READ_MOST,
                () => idle > IDLE_MOST,
            }
        };
        for id in self.clients.keys().copied().collect::<Vec<_>>() {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            if late(client) {
                self.tell_late(id);
                self.drop_client(now, id);
            } else if client.may_close() && !self.life.keeps(now, now.saturating_sub(client.used)) {
                self.send_away(now, id);
            } else if client.shut {
                let end = client.link.read(&mut Vec::new(), LINGER_READ);
                if !matches!(end, Ok(ReadEnd::Dry | ReadEnd::Enough)) {
                    self.drop_client(now, id);
                }
            } else if client.pause_until > 0 && now >= client.pause_until {
                client.pause_until = 0;
                self.client_work(now, id);
            }
        }
    }

    /// Closes an idle connection in order: a request that crosses that is sent once more, elsewhere. What has come
    /// already is taken first.
    fn send_away(&mut self, now: Micros, id: ConnId) {
        self.client_ready(now, id);
        let Some(client) = self.clients.get_mut(&id).filter(|c| c.may_close()) else { return };
        client.close = true;
        self.sent_away += 1;
        self.client_work(now, id);
    }

    pub(super) fn counters(&self) -> String {
        let connections = format!(
            "connections_clients {}\nconnections_engines {}\n",
            self.clients.len(),
            self.engines.len()
        );
        let bodies = format!("bodies_passing {}\nresults_paused {}\n", self.feeds.len(), self.paused);
        let (core, front) = (self.core.counters(), self.front.counters());
        let control = self.control.as_ref().map(|c| c.counters()).unwrap_or_default();
        let bans = self.roster.orders().len();
        let state = self.life.state().word().replace(' ', "_");
        let life = format!("state{{is=\"{state}\"}} 1\nengines_out_by_order {bans}\n");
        let away = format!(
            "connections_sent_away {}\naccepts_full {}\nclients_dropped {}\n",
            self.sent_away, self.accepts_full, self.dropped
        );
        let management = self.management.counters();
        let succeeds = u8::from(self.life.succeeds());
        let upgrade = format!("upgrade_succeeds {succeeds}\nupgrade_orders_merged {}\n", self.merged);
        let upgrade = format!("{upgrade}listener_unblocked {}\n", self.unblocked);
        let open = self.core.open();
        let fleet = self.fleet_counters();
        format!("{core}{connections}requests_open {open}\n{bodies}{front}{control}{life}{away}{management}{upgrade}{fleet}")
    }
}

#[cfg(test)]
mod tests {
    use super::ripeness;

    #[test]
    fn a_newcomer_has_time_to_speak_while_others_idle() {
        let (shut, asked, fresh) = (
            |idle| ripeness(true, false, idle),
            |idle| ripeness(false, false, idle),
            |idle| ripeness(false, true, idle),
        );
        assert!(shut(0) > fresh(9_000_000) && fresh(500_000) > asked(3_000_000));
        assert!(asked(2_000_000) > fresh(100_000));
    }
}
