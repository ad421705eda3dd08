//! Operators' connections: the control socket, snapshots, followers, commands. A follower that does not read is cut
//! off, and none of them holds up the loop.

use super::{ConnId, Node, Source};
use crate::service::{End, Ring};
use crate::state;
use calloop::RegistrationToken;
use driftfront_control::snapshot::{Class, Engine, Query, Roll as RollView, Snapshot};
use driftfront_control::{greeting, key, Field, Lines, Reply, Request, LINE_MOST};
use driftfront_core::lifecycle::State;
use driftfront_core::{EngineId, Micros, Phase};
use driftfront_roster::record::Record;
use driftfront_roster::roll::{Act, EngineSight, Roll, Sight};
use driftfront_roster::{phase_word, Command as Order, Fact, Order as Ordered};
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Operators' connections at once; more are closed at once.
const OPERATORS_MOST: usize = 16;
/// Bytes that wait for an operator to read them: beyond that the connection is cut.
const UNREAD_MOST: usize = 4 * 1024 * 1024;
/// One that has left something unread for this long is cut, however little it is.
const UNREAD_FOR: Micros = 3_000_000;
/// Events held for those who ask for the last ones.
const EVENTS_MOST: usize = 500;
/// Queries in a snapshot.
const QUERIES_MOST: usize = 50;
/// A snapshot serves all who ask within this time.
const SNAPSHOT_FOR: Micros = 50_000;
/// A roll looks at things this often.
const ROLL_EVERY: Micros = 500_000;
/// Reads on one connection before the others have their turn.
const READ_AT_ONCE: usize = 64 * 1024;

enum Stream {
    Unix(Rc<UnixStream>),
    Tcp(Rc<TcpStream>),
}

impl Stream {
    fn read(&self, bytes: &mut [u8]) -> std::io::Result<usize> {
        match self {
            Stream::Unix(s) => (&**s).read(bytes),
            Stream::Tcp(s) => (&**s).read(bytes),
        }
    }
    fn write(&self, bytes: &[u8]) -> std::io::Result<usize> {
        match self {
            Stream::Unix(s) => (&**s).write(bytes),
            Stream::Tcp(s) => (&**s).write(bytes),
        }
    }
}

/// An operator's connection.
struct Operator {
    stream: Stream,
    token: Option<RegistrationToken>,
    lines: Lines,
    out: Vec<u8>,
    /// Since when something waits for it.
    unread: Option<Micros>,
    /// The challenge that it has to answer first.
    challenge: Option<String>,
    /// Its request for everything again and again: the id, how often, and when it is due.
    follow: Option<(u64, Micros, Micros)>,
    /// Its request for events.
    events: Option<u64>,
}

/// What is kept for operators; only where the operator's file names a control socket.
pub(super) struct Control {
    /// The socket's path, and its number in the file system: a successor puts its own there.
    socket: Option<(PathBuf, u64)>,
    key: Vec<u8>,
    operators: BTreeMap<ConnId, Operator>,
    events: VecDeque<(Micros, String)>,
    classes: Vec<(Ring, Ring)>,
    engines: BTreeMap<EngineId, Ring>,
    /// The last snapshot, as JSON.
    snapshot: Option<(Micros, String)>,
    state: Option<state::State>,
    /// Commands whose records are on their way to the disk: who is told what then.
    waiting: BTreeMap<u64, (ConnId, u64, String)>,
    roll: Option<Roll>,
    next_roll: Micros,
    begun: Micros,
    /// Operators that were cut off since they did not read.
    cut_off: u64,
}

/// What an operator's listener is.
#[derive(Clone)]
pub(super) enum Listener {
    Unix(Rc<UnixListener>),
    Tcp(Rc<TcpListener>),
}

impl Control {
    pub(super) fn new(classes: usize, now: Micros) -> Control {
        Control {
            socket: None,
            key: Vec::new(),
            operators: BTreeMap::new(),
            events: VecDeque::new(),
            classes: vec![(Ring::minute(), Ring::hour()); classes],
            engines: BTreeMap::new(),
            snapshot: None,
            state: None,
            waiting: BTreeMap::new(),
            roll: None,
            next_roll: 0,
            begun: now,
            cut_off: 0,
        }
    }

    pub(super) fn counters(&self) -> String {
        format!("operators {}\noperators_cut_off {}\n", self.operators.len(), self.cut_off)
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        if let Some((path, inode)) = &self.socket {
            if std::fs::metadata(path).is_ok_and(|m| m.ino() == *inode) {
                let _ = std::fs::remove_file(path);
            }
        }
    }
}

/// Opens a control socket of mode 0600, and its number in the file system. One that a dead program has left is taken
/// over; one that answers is not, but by its successor: then operators' next connection comes here.
fn listen(path: &Path, succeeds: bool) -> Result<(UnixListener, u64), String> {
    let say = |e: std::io::Error| format!("control {}: {e}", path.display());
    if !succeeds && UnixStream::connect(path).is_ok() {
        return Err(format!("control {}: another program answers there", path.display()));
    }
    let beside = path.with_extension(format!("{}.new", std::process::id()));
    let _ = std::fs::remove_file(&beside);
    let listener = UnixListener::bind(&beside).map_err(say)?;
    std::fs::set_permissions(&beside, std::fs::Permissions::from_mode(0o600)).map_err(say)?;
    listener.set_nonblocking(true).map_err(say)?;
    std::fs::rename(&beside, path).map_err(say)?;
    let inode = std::fs::metadata(path).map_err(say)?.ino();
    Ok((listener, inode))
}

impl Node {
    /// Opens what the configuration names: the state folder, then the control socket and port.
    pub(super) fn open_control(&mut self) -> Result<(), String> {
        let now = self.clock();
        if self.config.control.is_none() && self.config.control_port.is_none() && self.config.state.is_none()
        {
            return Ok(());
        }
        let mut control = Control::new(self.config.classes.names.len(), now);
        if let Some(folder) = self.config.state.clone() {
            let (sender, written) = calloop::channel::channel();
            let (state, records, told) = state::open(&folder, move |w| drop(sender.send(w)))?;
            let on_written = |event: calloop::channel::Event<state::Written>, _: &mut (), node: &mut Node| {
                if let calloop::channel::Event::Msg((number, end)) = event {
                    node.guard("a write's end", |node| node.written(number, end));
                }
            };
            self.handle.insert_source(written, on_written).map_err(|e| format!("event loop: {e}"))?;
            for words in told {
                tracing::warn!("{words}");
                control.events.push_back((now, words));
            }
            control.roll = records
                .iter()
                .rev()
                .find_map(|r| match r {
                    Record::Roll { roll } => Some(roll.clone()),
                    _ => None,
                })
                .flatten();
            control.state = Some(state);
            let change = self.roster.restore(records);
            self.control = Some(control);
            self.take_change(now, &change);
        } else {
            self.control = Some(control);
        }
        if let Some(path) = self.config.control.clone() {
            let (listener, inode) = listen(&path, self.life.succeeds())?;
            let listener = Rc::new(listener);
            if let Some(control) = &mut self.control {
                control.socket = Some((path, inode));
            }
            self.operators = vec![Listener::Unix(listener.clone())];
            self.watch(listener, Source::Operators(0)).map_err(|e| format!("event loop: {e}"))?;
        }
        if let Some((addr, key)) = self.config.control_port.clone() {
            let listener =
                Rc::new(super::clients::listen(addr).map_err(|e| format!("control port {addr}: {e}"))?);
            if let Some(control) = &mut self.control {
                control.key = key;
            }
            self.operators.push(Listener::Tcp(listener.clone()));
            let place = self.operators.len() - 1;
            self.watch(listener, Source::Operators(place)).map_err(|e| format!("event loop: {e}"))?;
        }
        Ok(())
    }

    /// Something that operators should know has happened.
    pub(super) fn event(&mut self, now: Micros, words: String) {
        let Some(control) = &mut self.control else { return };
        tracing::info!("{words}");
        // What was told before is old now.
        control.snapshot = None;
        if control.events.len() == EVENTS_MOST {
            control.events.pop_front();
        }
        control.events.push_back((now, words.clone()));
        let told: Vec<(ConnId, u64)> =
            control.operators.iter().filter_map(|(&id, o)| Some((id, o.events?))).collect();
        for (conn, id) in told {
            self.tell_operator(conn, &Reply::Event(now, words.clone()).line(id));
        }
    }

    pub(super) fn accept_operators(&mut self, place: usize) {
        let Some(listener) = self.operators.get(place).cloned() else { return };
        loop {
            let stream = match &listener {
                Listener::Unix(l) => l.accept().map(|(s, _)| Stream::Unix(Rc::new(s))),
                Listener::Tcp(l) => l.accept().map(|(s, _)| Stream::Tcp(Rc::new(s))),
            };
            // Out of descriptors included: the connection waits for the next sweep.
            let Ok(stream) = stream else { return };
            if self.control.as_ref().is_none_or(|c| c.operators.len() >= OPERATORS_MOST) {
                continue;
            }
            let id = self.conn_id();
            let registered = match &stream {
                Stream::Unix(s) => {
                    s.set_nonblocking(true).map(|()| self.watch(s.clone(), Source::Operator(id)))
                }
                Stream::Tcp(s) => {
                    let set = s.set_nonblocking(true).and_then(|()| s.set_nodelay(true));
                    set.map(|()| self.watch(s.clone(), Source::Operator(id)))
                }
            };
            let Ok(Ok(token)) = registered else { continue };
            let challenge = matches!(stream, Stream::Tcp(_)).then(|| {
                let mut random = [0; 16];
                let seeded = std::fs::File::open("/dev/urandom").and_then(|mut f| f.read_exact(&mut random));
                seeded
                    .map(|()| random.iter().map(|b| format!("{b:02x}")).collect::<String>())
                    .unwrap_or_default()
            });
            let operator = Operator {
                stream,
                token: Some(token),
                lines: Lines::default(),
                out: greeting(env!("CARGO_PKG_VERSION"), challenge.as_deref()).into_bytes(),
                unread: None,
                challenge,
                follow: None,
                events: None,
            };
            if let Some(control) = &mut self.control {
                control.operators.insert(id, operator);
            }
            self.operator_ready(id);
        }
    }

    pub(super) fn drop_operator(&mut self, id: ConnId) {
        let operator = self.control.as_mut().and_then(|c| c.operators.remove(&id));
        if let Some(mut operator) = operator {
            self.unwatch(operator.token.take());
        }
    }

    pub(super) fn tell_operator(&mut self, id: ConnId, line: &str) {
        let Some(control) = &mut self.control else { return };
        let Some(operator) = control.operators.get_mut(&id) else { return };
        operator.out.extend(line.bytes());
        operator.unread.get_or_insert(self.now);
        if operator.out.len() > UNREAD_MOST {
            control.cut_off += 1;
            tracing::info!("an operator's connection is cut: it does not read");
            return self.drop_operator(id);
        }
        self.write_operator(id);
    }

    fn write_operator(&mut self, id: ConnId) {
        let Some(operator) = self.control.as_mut().and_then(|c| c.operators.get_mut(&id)) else { return };
        while !operator.out.is_empty() {
            match operator.stream.write(&operator.out) {
                Ok(n) if n > 0 => drop(operator.out.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return self.drop_operator(id),
            }
        }
        operator.unread = None;
        operator.out.shrink_to(64 * 1024);
    }

    pub(super) fn operator_ready(&mut self, id: ConnId) {
        self.write_operator(id);
        let mut bytes = vec![0; 8 * 1024];
        let mut taken = 0;
        loop {
            let Some(operator) = self.control.as_mut().and_then(|c| c.operators.get_mut(&id)) else { return };
            match operator.stream.read(&mut bytes) {
                Ok(0) => return self.drop_operator(id),
                Ok(n) => {
                    taken += n;
                    operator.lines.push(&bytes[..n]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return self.drop_operator(id),
            }
            while let Some(operator) = self.control.as_mut().and_then(|c| c.operators.get_mut(&id)) {
                match operator.lines.next_line(LINE_MOST) {
                    Ok(Some(line)) => self.operator_line(id, &line),
                    Ok(None) => break,
                    Err(_) => return self.drop_operator(id),
                }
            }
            if taken > READ_AT_ONCE * 16 {
                // Nobody types this much.
                return self.drop_operator(id);
            }
        }
    }

    fn operator_line(&mut self, conn: ConnId, line: &str) {
        let now = self.clock();
        let (id, request) = Request::read(line);
        let request = match request {
            Ok(request) => request,
            Err(bad) => return self.tell_operator(conn, &Reply::Refused(bad.to_string()).line(id)),
        };
        let Some(control) = &mut self.control else { return };
        let Some(operator) = control.operators.get_mut(&conn) else { return };
        if let Some(challenge) = operator.challenge.clone() {
            let right = matches!(&request, Request::Auth(a) if !challenge.is_empty() && key::is_right(&control.key, &challenge, a));
            if !right {
                tracing::warn!("an operator's key was not right");
                return self.drop_operator(conn);
            }
            operator.challenge = None;
            return self.tell_operator(conn, &Reply::Done("welcome".into()).line(id));
        }
        match request {
            Request::Auth(_) => {
                self.tell_operator(conn, &Reply::Done("no key is needed here".into()).line(id))
            }
            Request::Snapshot => {
                let line = self.snapshot_line(now, id);
                self.tell_operator(conn, &line);
            }
            Request::Follow(ms) => {
                operator.follow = Some((id, ms * 1000, now));
                self.follow_operators(now);
            }
            Request::Events(follow) => {
                if follow {
                    operator.events = Some(id);
                }
                let lines: String =
                    control.events.iter().map(|(at, w)| Reply::Event(*at, w.clone()).line(id)).collect();
                self.tell_operator(conn, &lines);
                if !follow {
                    self.tell_operator(conn, &Reply::Done(String::new()).line(id));
                }
            }
            Request::Drain { engine, force } => {
                let words = format!("{engine} is drained: nothing new goes there");
                self.order(now, conn, id, Order::Drain { engine, force }, words);
            }
            Request::Resume(engine) => {
                let words = format!("{engine} is resumed: it takes work again");
                self.order(now, conn, id, Order::Resume { engine }, words);
            }
            Request::Pause => {
                let words = self.pause(now, "an operator");
                self.tell_operator(conn, &Reply::Done(words).line(id));
            }
            Request::Unpause => {
                let words = self.back_to_work(now, "an operator");
                self.tell_operator(conn, &Reply::Done(words).line(id));
            }
            Request::Remove { engine, force } => {
                let words = format!("{engine} is removed");
                self.order(now, conn, id, Order::Remove { engine, force }, words);
            }
            Request::Add { engine, addr, zone, kind } => self.add(now, conn, id, engine, &addr, &zone, &kind),
            Request::Hold { name, for_s, stays, note } => self.hold((conn, id), name, for_s, stays, note),
            Request::Unhold(name) => self.unhold((conn, id), &name),
            Request::Roll(engines, dry) => self.begin_roll(now, conn, id, engines, dry),
            Request::Back => {
                self.with_roll(now, conn, id, "no engine is handed over", |r, _| r.handed_back(now))
            }
            Request::RollStop => {
                self.with_roll(now, conn, id, "there is no roll to stop", |r, _| {
                    r.stop(now, "by an operator")
                });
            }
            Request::RollGoOn => self.with_roll(now, conn, id, "no roll is stopped", |r, s| r.go_on(now, s)),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn add(
        &mut self,
        now: Micros,
        conn: ConnId,
        id: u64,
        engine: String,
        addr: &str,
        zone: &str,
        kind: &str,
    ) {
        let place = |names: &[String], name: &str| match name {
            "" => Some(0),
            name => names.iter().position(|n| n == name).map(|n| n as u16),
        };
        let (zones, kinds) = (self.config.zones.clone(), self.config.kinds.clone());
        let refuse = |what: &str, name: &str, known: &[String]| {
            Reply::Refused(format!("there is no {what} {name}; there are {}", known.join(", "))).line(id)
        };
        let Some(zone) = place(&zones, zone) else {
            return self.tell_operator(conn, &refuse("building", zone, &zones));
        };
        let Some(kind) = place(&kinds, kind) else {
            return self.tell_operator(conn, &refuse("machine kind", kind, &kinds));
        };
        let addr = match addr {
            "" => None,
            text => match text.parse() {
                Ok(addr) => Some(addr),
                Err(_) => {
                    let words = format!("{text} is no address; write it as 127.0.0.1:18123");
                    return self.tell_operator(conn, &Reply::Refused(words).line(id));
                }
            },
        };
        let words = format!("{engine} is added");
        let fact = Fact { name: engine, addr, zone, kind, cell: 0, born: None, phase: Phase::Ready };
        self.order(now, conn, id, Order::Add { fact }, words);
    }

    /// Carries out an operator's command: at once for the engines, and done once it is on the disk.
    fn order(&mut self, now: Micros, conn: ConnId, id: u64, command: Order, words: String) {
        let (change, records) = match self.roster.command(now, "operator", command) {
            Ok(done) => done,
            Err(refusal) => return self.tell_operator(conn, &Reply::Refused(refusal.to_string()).line(id)),
        };
        self.take_change(now, &change);
        self.tell_post();
        self.event(now, format!("{words}, by an operator"));
        let kept = self.write_down(now, records);
        match kept {
            Kept::Coming(number) => {
                if let Some(control) = &mut self.control {
                    control.waiting.insert(number, (conn, id, words));
                }
            }
            Kept::NoFolder => {
                let words =
                    format!("{words}; there is no state folder, so a restart of the program forgets it");
                self.tell_operator(conn, &Reply::Done(words).line(id));
            }
            Kept::Full => {
                let words =
                    format!("{words}, but the disk is too slow to write it down: a restart forgets it");
                self.tell_operator(conn, &Reply::Done(words).line(id));
            }
        }
    }

    pub(super) fn write_down(&mut self, now: Micros, records: Vec<Record>) -> Kept {
        let Some(control) = &mut self.control else { return Kept::NoFolder };
        let Some(state) = &mut control.state else { return Kept::NoFolder };
        let number = state.append(records);
        // What a successor writes must not be left in a file that is no longer the folder's.
        if state.wants_compaction() && !self.life.is_succeeded() {
            let mut records = self.roster.records();
            records.push(Record::Roll { roll: control.roll.clone() });
            state.compact(records);
        }
        match number {
            Some(number) => Kept::Coming(number),
            None => {
                self.event(now, "The state folder's disk is too slow: an order was not written down".into());
                Kept::Full
            }
        }
    }

    /// Records are on the disk, or could not be written.
    fn written(&mut self, number: u64, end: Result<(), String>) {
        let now = self.clock();
        let waiting = self.control.as_mut().and_then(|c| c.waiting.remove(&number));
        if let Err(why) = &end {
            self.event(now, format!("The state folder can't be written: {why}"));
        }
        if let Some((conn, id, words)) = waiting {
            let words = match end {
                Ok(()) => words,
                Err(why) => {
                    format!("{words}, but it could not be written down ({why}): a restart forgets it")
                }
            };
            self.tell_operator(conn, &Reply::Done(words).line(id));
        }
        self.carry_out();
    }

    fn begin_roll(&mut self, now: Micros, conn: ConnId, id: u64, engines: Vec<String>, dry: bool) {
        let running = self.control.as_ref().and_then(|c| c.roll.as_ref()).is_some_and(|r| !r.is_over());
        let sight = self.sight(now);
        let all: Vec<String> = sight.engines.iter().map(|e| e.name.clone()).collect();
        let reply = if let Some(unknown) = engines.iter().find(|e| !all.contains(e)) {
            Reply::Refused(format!("there is no engine {unknown}"))
        } else if running && !dry {
            Reply::Refused("a roll is on its way: stop it first".into())
        } else {
            let roll = Roll::new(now, if engines.is_empty() { all } else { engines }, sight.service);
            let plan = roll.plan(&sight).join("\n");
            if !dry {
                if let Some(control) = &mut self.control {
                    (control.roll, control.next_roll) = (Some(roll.clone()), now);
                }
                self.event(now, format!("A roll over {} engines begins", roll.left.len()));
                let _ = self.write_down(now, vec![Record::Roll { roll: Some(roll) }]);
            }
            Reply::Done(plan)
        };
        self.tell_operator(conn, &reply.line(id));
    }

    fn with_roll(
        &mut self,
        now: Micros,
        conn: ConnId,
        id: u64,
        none: &str,
        how: impl FnOnce(&mut Roll, &Sight) -> Vec<Act>,
    ) {
        let sight = self.sight(now);
        let acts =
            self.control.as_mut().and_then(|c| c.roll.as_mut()).map(|r| how(r, &sight)).unwrap_or_default();
        let reply = match acts.is_empty() {
            true => Reply::Refused(none.into()),
            false => Reply::Done(
                self.control.as_ref().and_then(|c| c.roll.as_ref()).map_or(String::new(), |r| r.why.clone()),
            ),
        };
        self.carry_out_roll(now, acts);
        self.tell_operator(conn, &reply.line(id));
    }

    fn carry_out_roll(&mut self, now: Micros, acts: Vec<Act>) {
        if let Some(control) = self.control.as_mut().filter(|_| !acts.is_empty()) {
            control.snapshot = None;
        }
        for act in acts {
            match act {
                Act::Say(words) => self.event(now, words),
                Act::Write => {
                    let roll = self.control.as_ref().and_then(|c| c.roll.clone()).filter(|r| !r.is_over());
                    let _ = self.write_down(now, vec![Record::Roll { roll }]);
                }
                Act::Drain(engine) => self.order_of_roll(now, Order::Drain { engine, force: false }),
                Act::Resume(engine) => self.order_of_roll(now, Order::Resume { engine }),
            }
        }
    }

    fn order_of_roll(&mut self, now: Micros, command: Order) {
        match self.roster.command(now, "the roll", command) {
            Ok((change, records)) => {
                self.take_change(now, &change);
                self.tell_post();
                let _ = self.write_down(now, records);
            }
            Err(refusal) => self.event(now, format!("The roll: {refusal}")),
        }
    }

    /// Looks at the roll and at followers; called with each sweep.
    pub(super) fn tend_control(&mut self, now: Micros) {
        let Some(control) = &mut self.control else { return };
        if control.roll.as_ref().is_some_and(|r| !r.is_over()) && now >= control.next_roll {
            control.next_roll = now + ROLL_EVERY;
            let sight = self.sight(now);
            let acts = self.control.as_mut().and_then(|c| c.roll.as_mut()).map(|r| r.step(now, &sight));
            self.carry_out_roll(now, acts.unwrap_or_default());
        }
        for place in 0..self.operators.len() {
            self.accept_operators(place);
        }
        self.follow_operators(now);
    }

    fn follow_operators(&mut self, now: Micros) {
        let Some(control) = &mut self.control else { return };
        let stuck = |o: &Operator| o.unread.is_some_and(|since| now > since + UNREAD_FOR);
        let cut: Vec<ConnId> = control.operators.iter().filter(|o| stuck(o.1)).map(|o| *o.0).collect();
        control.cut_off += cut.len() as u64;
        for id in cut {
            tracing::info!("an operator's connection is cut: it does not read");
            self.drop_operator(id);
        }
        let Some(control) = &mut self.control else { return };
        let mut due = Vec::new();
        for (&conn, operator) in &mut control.operators {
            if let Some((id, every, at)) = &mut operator.follow {
                // Who has not read the last one yet is not told more: a slow line gets fewer, not older ones.
                if now >= *at && operator.out.is_empty() {
                    *at = now + *every;
                    due.push((conn, *id));
                }
            }
        }
        for (conn, id) in due {
            let line = self.snapshot_line(now, id);
            self.tell_operator(conn, &line);
        }
    }

    fn snapshot_line(&mut self, now: Micros, id: u64) -> String {
        let fresh =
            self.control.as_ref().and_then(|c| c.snapshot.as_ref()).is_some_and(|s| now < s.0 + SNAPSHOT_FOR);
        if !fresh {
            let text = self.snapshot(now).to_json().stringify().unwrap_or_default();
            if let Some(control) = &mut self.control {
                control.snapshot = Some((now, text));
            }
        }
        let text = self.control.as_ref().and_then(|c| c.snapshot.as_ref()).map_or("{}", |s| &s.1);
        format!("{{\"id\":{id},\"snapshot\":{text}}}\n")
    }

    /// What runs, by engine: how much, and how much of it must not run twice.
    fn running(&self) -> BTreeMap<EngineId, Running> {
        let mut running: BTreeMap<EngineId, Running> = BTreeMap::new();
        for (class, engine, sent) in self.core.attempts_out() {
            let entry = running.entry(engine).or_insert(Running { out: 0, once: 0, since: sent });
            entry.out += 1;
            entry.once += u64::from(self.runs_once(class));
            entry.since = entry.since.min(sent);
        }
        running
    }

    fn sight(&self, now: Micros) -> Sight {
        let running = self.running();
        let cores = |kind: u16| {
            let kind = self.config.settings.kinds.get(usize::from(kind));
            kind.and_then(|k| k.cores).unwrap_or(8.0)
        };
        let seen = self.roster.engines();
        let whole: f64 = seen.iter().filter(|e| e.phase != Phase::Gone).map(|e| cores(e.place.1)).sum();
        let mut busy = 0.0;
        for (class, ..) in self.core.attempts_out() {
            busy += self.config.settings.classes.get(usize::from(class)).map_or(1.0, |c| c.threads);
        }
        let engines = seen.iter().filter(|e| e.phase != Phase::Gone).map(|e| {
            let there = running.get(&e.id).copied().unwrap_or_default();
            let up = self.engines.values().any(|c| c.is_up_on(e.id));
            EngineSight {
                name: e.name.clone(),
                ready: e.phase == Phase::Ready,
                drained: e.standing.as_ref().is_some_and(|s| s.order == Ordered::Drain),
                running: there.out as usize,
                loads: there.once as usize,
                born: e.born,
                reachable: up || e.phase == Phase::Draining,
                zone: e.place.0,
                part: cores(e.place.1) / whole.max(1.0),
            }
        });
        let engines = engines.collect();
        let classes = self.control.iter().flat_map(|c| c.classes.iter());
        let worth = |n: usize| self.config.settings.classes.get(n).map_or(1.0, |c| c.worth);
        let (mut asked, mut got) = (0.0, 0.0);
        for (n, (minute, _)) in classes.enumerate() {
            let sum = minute.sum(now);
            asked += worth(n) * sum.asked as f64;
            got += worth(n) * sum.in_time as f64;
        }
        Sight { engines, service: (asked > 0.0).then(|| got / asked), load: busy / whole.max(1.0) }
    }

    /// A request has ended: for the rings.
    pub(super) fn ended(&mut self, now: Micros, class: u16, began: Micros, end: End) {
        let wanted = self.config.settings.classes.get(usize::from(class)).map_or(0, |c| c.aim);
        if let Some((minute, hour)) =
            self.control.as_mut().and_then(|c| c.classes.get_mut(usize::from(class)))
        {
            let took = now.saturating_sub(began);
            minute.add(now, end, took, wanted);
            hour.add(now, end, took, wanted);
        }
    }

    /// An engine has served something.
    pub(super) fn engine_served(&mut self, now: Micros, engine: EngineId, took: Micros) {
        if let Some(control) = &mut self.control {
            control.engines.entry(engine).or_insert_with(Ring::minute).add(
                now,
                End::Served,
                took,
                Micros::MAX,
            );
        }
    }

    /// An engine is gone for good.
    pub(super) fn forget_service(&mut self, engine: EngineId) {
        if let Some(control) = &mut self.control {
            control.engines.remove(&engine);
        }
    }

    fn snapshot(&mut self, now: Micros) -> Snapshot {
        let name = |names: &[String], n: u16| names.get(usize::from(n)).cloned().unwrap_or_default();
        let running = self.running();
        let mut connections: BTreeMap<EngineId, u64> = BTreeMap::new();
        let mut heard: BTreeMap<EngineId, Micros> = BTreeMap::new();
        for (engine, read) in self.engines.values().map(|c| c.last_heard()) {
            *connections.entry(engine).or_default() += 1;
            let last = heard.entry(engine).or_default();
            *last = (*last).max(read);
        }
        let seconds = |since: Micros| now.saturating_sub(since) / 1_000_000;
        let warm_after = self.config.settings.cold.map_or(0, |c| c.warm_after);
        let engines = self.roster.engines().into_iter().map(|e| {
            let there = running.get(&e.id).copied().unwrap_or_default();
            // Silence begins with the work that it should say something of.
            let heard = heard.get(&e.id).copied().unwrap_or(0).max(there.since);
            let ring = self.control.as_ref().and_then(|c| c.engines.get(&e.id));
            Engine {
                name: e.name,
                addr: e.addr.to_string(),
                zone: name(&self.config.zones, e.place.0),
                kind: name(&self.config.kinds, e.place.1),
                phase: phase_word(e.phase).into(),
                listed: e.listed.map(|p| phase_word(p).into()),
                added: e.added,
                order: e
                    .standing
                    .as_ref()
                    .map_or("", |s| if s.order == Ordered::Drain { "drain" } else { "remove" })
                    .into(),
                order_by: e.standing.as_ref().map_or(String::new(), |s| s.by.clone()),
                order_age_s: e.standing.as_ref().map_or(0, |s| seconds(s.since)),
                running: there.out,
                imports: there.once,
                heard_ms: (heard > 0).then(|| now.saturating_sub(heard) / 1000),
                connections: connections.get(&e.id).copied().unwrap_or(0),
                warm_in_s: e.born.map_or(0, |b| (b + warm_after).saturating_sub(now).div_ceil(1_000_000)),
                minute: ring.map(|r| r.sum(now)).unwrap_or_default(),
            }
        });
        let engines = engines.collect();
        let mut open_by_class = vec![0u64; self.config.classes.names.len()];
        let mut queries = Vec::new();
        for (call, class, engine, since) in self.core.requests_open() {
            if let Some(count) = open_by_class.get_mut(usize::from(class)) {
                *count += 1;
            }
            queries.push(Query {
                call: call.chars().take(60).collect(),
                class: name(&self.config.classes.names, class),
                engine: engine.and_then(|e| self.roster.name(e)).unwrap_or_default().into(),
                age_ms: now.saturating_sub(since) / 1000,
                import: self.runs_once(class),
            });
        }
        queries.sort_by_key(|q| (!q.import, std::cmp::Reverse(q.age_ms)));
        queries.truncate(QUERIES_MOST);
        let rings = self.control.as_ref().map(|c| &c.classes[..]).unwrap_or(&[]);
        let classes = self.config.classes.names.iter().enumerate().map(|(n, class)| Class {
            name: class.clone(),
            wanted_ms: self.config.settings.classes.get(n).map_or(0, |c| c.aim / 1000),
            once: self.runs_once(n as u16),
            open: open_by_class[n],
            minute: rings.get(n).map(|r| r.0.sum(now)).unwrap_or_default(),
            hour: rings.get(n).map(|r| r.1.sum(now)).unwrap_or_default(),
        });
        let classes = classes.collect();
        let control = self.control.as_ref();
        let roll = control.and_then(|c| c.roll.as_ref()).map(|r| RollView {
            stage: r.stage.word().into(),
            engine: r.current().unwrap_or_default().into(),
            left: r.left.clone(),
            through: r.through.clone(),
            why: r.why.clone(),
        });
        let kept = control.is_some_and(|c| c.state.is_some());
        let (source, age) = self.feed.about(now);
        Snapshot {
            version: env!("CARGO_PKG_VERSION").into(),
            name: self.config.name.clone(),
            at: now,
            up_s: seconds(control.map_or(now, |c| c.begun)),
            listen: self.listening_at().to_string(),
            front: format!("{:?}", self.config.wire),
            ready: self.is_ready(),
            stopping: self.life.state() == State::Ending,
            state: self.life.state().word().into(),
            source,
            source_age_s: age.map(|a| a / 1_000_000),
            forgets: if kept {
                ""
            } else {
                "There is no state folder: drains and other orders are forgotten when the program ends."
            }
            .into(),
            open: self.core.open() as u64,
            connections: vec![self.clients.len() as u64, self.engines.len() as u64],
            engines,
            classes,
            queries,
            sessions: self.front.sessions(),
            roll,
            members: self.fleet_members(),
            agreed: self.fleet_agreed(),
        }
    }
}

/// What runs on an engine.
#[derive(Clone, Copy, Default)]
struct Running {
    out: u64,
    /// Of these, what must not run twice.
    once: u64,
    /// When the first of it was sent.
    since: Micros,
}

pub(super) enum Kept {
    /// Its end is told under this number.
    Coming(u64),
    NoFolder,
    Full,
}
