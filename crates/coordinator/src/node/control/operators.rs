//! Operators' connections: what comes and goes on them, and who follows.

use super::{Listener, Operator, Stream, OPERATORS_MOST, READ_AT_ONCE, UNREAD_FOR, UNREAD_MOST};
use crate::node::{ConnectionId, EventSource, Node};
use driftfront_control::{greeting, key, LineReader, Reply, Request, MAX_REQUEST_BYTES};
use driftfront_core::{Micros, Phase};
use driftfront_engine_registry::{Command as Order, EngineDescription};
use std::io::{ErrorKind, Read};
use std::rc::Rc;

impl Node {
    pub(in crate::node) fn accept_operators(&mut self, place: usize) {
        let Some(listener) = self.operators.get(place).cloned() else {
            return;
        };
        loop {
            let stream = match &listener {
                Listener::Unix(l) => l.accept().map(|(s, _)| Stream::Unix(Rc::new(s))),
                Listener::Tcp(l) => l.accept().map(|(s, _)| Stream::Tcp(Rc::new(s))),
            };
            // Out of descriptors included: the connection waits for the next sweep.
            let Ok(stream) = stream else { return };
            if self
                .control
                .as_ref()
                .is_none_or(|c| c.operators.len() >= OPERATORS_MOST)
            {
                continue;
            }
            let id = self.next_connection_id();
            let registered = match &stream {
                Stream::Unix(s) => s
                    .set_nonblocking(true)
                    .map(|()| self.watch(s.clone(), EventSource::Operator(id))),
                Stream::Tcp(s) => {
                    let set = s.set_nonblocking(true).and_then(|()| s.set_nodelay(true));
                    set.map(|()| self.watch(s.clone(), EventSource::Operator(id)))
                }
            };
            let Ok(Ok(token)) = registered else { continue };
            let challenge = matches!(stream, Stream::Tcp(_)).then(|| {
                let mut random = [0; 16];
                let seeded =
                    std::fs::File::open("/dev/urandom").and_then(|mut f| f.read_exact(&mut random));
                seeded
                    .map(|()| {
                        random
                            .iter()
                            .map(|b| format!("{b:02x}"))
                            .collect::<String>()
                    })
                    .unwrap_or_default()
            });
            let operator = Operator {
                stream,
                token: Some(token),
                lines: LineReader::default(),
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

    pub(in crate::node) fn drop_operator(&mut self, id: ConnectionId) {
        let operator = self.control.as_mut().and_then(|c| c.operators.remove(&id));
        if let Some(mut operator) = operator {
            self.unregister(operator.token.take());
        }
    }

    pub(in crate::node) fn tell_operator(&mut self, id: ConnectionId, line: &str) {
        let Some(control) = &mut self.control else {
            return;
        };
        let Some(operator) = control.operators.get_mut(&id) else {
            return;
        };
        operator.out.extend(line.bytes());
        operator.unread.get_or_insert(self.now);
        if operator.out.len() > UNREAD_MOST {
            control.cut_off += 1;
            tracing::info!("an operator's connection is cut: it does not read");
            return self.drop_operator(id);
        }
        self.write_operator(id);
    }

    fn write_operator(&mut self, id: ConnectionId) {
        let Some(operator) = self.control.as_mut().and_then(|c| c.operators.get_mut(&id)) else {
            return;
        };
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

    pub(in crate::node) fn operator_ready(&mut self, id: ConnectionId) {
        self.write_operator(id);
        let mut bytes = vec![0; 8 * 1024];
        let mut taken = 0;
        loop {
            let Some(operator) = self.control.as_mut().and_then(|c| c.operators.get_mut(&id))
            else {
                return;
            };
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
            while let Some(operator) = self.control.as_mut().and_then(|c| c.operators.get_mut(&id))
            {
                match operator.lines.next_line(MAX_REQUEST_BYTES) {
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

    fn operator_line(&mut self, conn: ConnectionId, line: &str) {
        let now = self.clock();
        let (id, request) = Request::read(line);
        let request = match request {
            Ok(request) => request,
            Err(bad) => return self.tell_operator(conn, &Reply::Refused(bad.to_string()).line(id)),
        };
        let Some(control) = &mut self.control else {
            return;
        };
        let Some(operator) = control.operators.get_mut(&conn) else {
            return;
        };
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
                let lines: String = control
                    .events
                    .iter()
                    .map(|(at, w)| Reply::Event(*at, w.clone()).line(id))
                    .collect();
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
            Request::Add {
                engine,
                addr,
                zone,
                kind,
            } => self.add(now, conn, id, engine, &addr, &zone, &kind),
            Request::Hold {
                name,
                for_s,
                stays,
                note,
            } => self.hold((conn, id), name, for_s, stays, note),
            Request::Unhold(name) => self.unhold((conn, id), &name),
            Request::Roll(engines, dry) => self.begin_roll(now, conn, id, engines, dry),
            Request::Back => self.with_roll(now, conn, id, "no engine is handed over", |r, _| {
                r.confirm_engine_returned(now)
            }),
            Request::RollStop => {
                self.with_roll(now, conn, id, "there is no roll to stop", |r, _| {
                    r.stop(now, "by an operator")
                });
            }
            Request::RollGoOn => {
                self.with_roll(now, conn, id, "no roll is stopped", |r, s| r.resume(now, s))
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn add(
        &mut self,
        now: Micros,
        conn: ConnectionId,
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
            Reply::Refused(format!(
                "there is no {what} {name}; there are {}",
                known.join(", ")
            ))
            .line(id)
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
        let description = EngineDescription {
            name: engine,
            addr,
            zone,
            kind,
            cell: 0,
            started_at: None,
            phase: Phase::Ready,
        };
        self.order(now, conn, id, Order::Add { description }, words);
    }

    pub(super) fn follow_operators(&mut self, now: Micros) {
        let Some(control) = &mut self.control else {
            return;
        };
        let stuck = |o: &Operator| o.unread.is_some_and(|since| now > since + UNREAD_FOR);
        let cut: Vec<ConnectionId> = control
            .operators
            .iter()
            .filter(|o| stuck(o.1))
            .map(|o| *o.0)
            .collect();
        control.cut_off += cut.len() as u64;
        for id in cut {
            tracing::info!("an operator's connection is cut: it does not read");
            self.drop_operator(id);
        }
        let Some(control) = &mut self.control else {
            return;
        };
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
}
