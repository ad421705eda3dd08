//! The second address: operators' calls, one line a connection. The language is `driftfront_control::management`, the
//! orders go to the same roster and lifecycle as the console's.
//!
//! Calls come before the clients' backlog: the address is looked at between any two of their connections, so that a
//! caller waits for one turn at most. Who connects and says nothing holds up nobody: places are many, and the one that
//! has waited longest goes first.

use super::{ConnectionId, EventSource, Node};
use crate::net::{is_out_of_descriptors, BufferedStream, ReadOutcome};
use calloop::RegistrationToken;
use driftfront_control::management::{reply, Call, CallError, CallReader, MAX_CALL_BYTES, WORDS};
use driftfront_core::Micros;
use driftfront_engine_registry::RegistryUpdate;
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::rc::Rc;

/// Callers at once; beyond that the one that has waited longest for its own words goes.
const CALLERS_MOST: usize = 32;
/// A call must be whole this long after the connect.
const CALL_WITHIN: Micros = 5_000_000;
/// After the reply the peer's end is awaited for this long: what it still sends would reset the connection.
const LINGER: Micros = 1_000_000;
/// The address is looked at this often while clients keep the loop busy.
const LOOK_EVERY: Micros = 5_000;
/// Calls answered before clients have their turn again.
const TURN: usize = 16;

struct Caller {
    link: BufferedStream,
    token: Option<RegistrationToken>,
    reader: CallReader,
    begun: Micros,
    answered: bool,
}

/// The second address, where one is given.
#[derive(Default)]
pub(super) struct Management {
    listener: Option<Rc<TcpListener>>,
    callers: BTreeMap<ConnectionId, Caller>,
    next_look: Micros,
    /// Calls answered with OK and with ERR, by word.
    calls: [[u64; 2]; WORDS.len()],
    /// Lines that were no call; connections that brought no line in time, or were pushed out by newer ones.
    bad: u64,
    silent: u64,
}

impl Management {
    pub(super) fn counters(&self) -> String {
        let mut text = String::new();
        for (word, [ok, err]) in WORDS.iter().zip(self.calls) {
            text += &format!("management_calls{{call=\"{word}\",reply=\"OK\"}} {ok}\n");
            text += &format!("management_calls{{call=\"{word}\",reply=\"ERR\"}} {err}\n");
        }
        text + &format!(
            "management_bad {}\nmanagement_silent {}\n",
            self.bad, self.silent
        )
    }

    /// Where it listens.
    pub(super) fn addr(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }
}

impl Node {
    /// Opens the second address, if one is given. One that can't be had is told; serving goes on.
    pub(super) fn open_management(&mut self) {
        let Some(text) = self.config.management_address.clone() else {
            return;
        };
        let opened = text.parse::<SocketAddr>().map_err(|e| e.to_string());
        let opened = opened.and_then(|at| super::clients::listen(at).map_err(|e| e.to_string()));
        let watched = opened.and_then(|listener| {
            let listener = Rc::new(listener);
            self.watch(listener.clone(), EventSource::Management)
                .map_err(|e| e.to_string())?;
            Ok(listener)
        });
        match watched {
            Ok(listener) => self.management.listener = Some(listener),
            Err(e) => tracing::error!("management: {text}: {e}; nobody listens there"),
        }
    }

    /// Looks at the second address between clients' connections, so that a backlog of theirs does not go first.
    pub(super) fn look_at_management(&mut self, now: Micros) {
        if self.management.listener.is_some() && now >= self.management.next_look {
            self.management.next_look = now + LOOK_EVERY;
            self.accept_callers(now);
            let waiting = self
                .management
                .callers
                .iter()
                .filter(|c| !c.1.answered)
                .map(|c| *c.0);
            for id in waiting.collect::<Vec<_>>() {
                self.caller_ready(now, id);
            }
        }
    }

    pub(super) fn accept_callers(&mut self, now: Micros) {
        for _ in 0..TURN {
            let Some(listener) = &self.management.listener else {
                return;
            };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if is_out_of_descriptors(&e) && self.evict_client(now) => continue,
                Err(_) => return,
            };
            if stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true))
                .is_err()
            {
                continue;
            }
            let oldest = self
                .management
                .callers
                .iter()
                .min_by_key(|c| (!c.1.answered, c.1.begun))
                .map(|c| *c.0);
            if let Some(oldest) = oldest.filter(|_| self.management.callers.len() >= CALLERS_MOST) {
                self.drop_caller(oldest);
            }
            let id = self.next_connection_id();
            let stream = Rc::new(stream);
            let Ok(token) = self.register_stream(stream.clone(), EventSource::Caller(id)) else {
                continue;
            };
            let caller = Caller {
                link: BufferedStream::new(stream),
                token: Some(token),
                reader: CallReader::default(),
                begun: now,
                answered: false,
            };
            self.management.callers.insert(id, caller);
            self.caller_ready(now, id);
        }
    }

    pub(super) fn drop_caller(&mut self, id: ConnectionId) {
        let Some(mut caller) = self.management.callers.remove(&id) else {
            return;
        };
        self.management.silent += u64::from(!caller.answered);
        self.unregister(caller.token.take());
    }

    pub(super) fn caller_ready(&mut self, now: Micros, id: ConnectionId) {
        let Some(caller) = self.management.callers.get_mut(&id) else {
            return;
        };
        let mut bytes = Vec::new();
        let end = caller.link.read(&mut bytes, MAX_CALL_BYTES * 4);
        let call = caller.reader.push(&bytes);
        let ended = match end {
            Ok(ReadOutcome::Closed) => caller
                .reader
                .end(CallError::Unfinished)
                .filter(|_| !caller.answered),
            Ok(_) => None,
            Err(_) => return self.drop_caller(id),
        };
        if let Some(call) = call.or(ended.map(Err)) {
            let outcome = self.call(now, call);
            self.answer_caller(now, id, &outcome);
        }
        if matches!(end, Ok(ReadOutcome::Closed)) {
            self.drop_caller(id);
        }
    }

    /// The reply, then our end: nothing more is read as a call.
    fn answer_caller(&mut self, now: Micros, id: ConnectionId, outcome: &Result<String, String>) {
        let Some(caller) = self.management.callers.get_mut(&id) else {
            return;
        };
        caller.link.push(reply(outcome).as_bytes());
        // A line fits into any socket's buffer: what does not go at once has no reader.
        let _ = caller.link.flush();
        let _ = caller.link.socket().shutdown(Shutdown::Write);
        (caller.answered, caller.begun) = (true, now);
    }

    /// Carries a call out; what to say of it.
    fn call(&mut self, now: Micros, call: Result<Call, CallError>) -> Result<String, String> {
        let call = match call {
            Ok(call) => call,
            Err(bad) => {
                self.management.bad += 1;
                return Err(bad.to_string());
            }
        };
        let place = call.place();
        let by = "the second address";
        let outcome = match call {
            Call::Status => match self.is_ready() {
                true => Ok(self.lifecycle.state().word().to_string()),
                false if self.lifecycle.is_ready() => Err("no engine takes work".into()),
                false => Err(self.lifecycle.state().word().to_string()),
            },
            Call::Suspend(engine) => {
                let done = self
                    .registry
                    .suspend_engine(now, by, &engine)
                    .map_err(|e| e.to_string());
                let words = format!("{engine} is drained: nothing new goes there");
                done.map(|done| self.ordered(now, done, words))
            }
            Call::Restore(engine) => {
                let done = self
                    .registry
                    .restore_engine(now, by, &engine)
                    .map_err(|e| e.to_string());
                let words = format!("{engine} is resumed: it takes work again");
                done.map(|done| self.ordered(now, done, words))
            }
            Call::Pause => Ok(self.pause(now, by)),
            Call::Resume => Ok(self.back_to_work(now, by)),
        };
        self.management.calls[place][usize::from(outcome.is_err())] += 1;
        outcome
    }

    /// What an order of the second address has changed is carried out, and written down where a folder is kept.
    fn ordered(&mut self, now: Micros, done: Option<RegistryUpdate>, words: String) -> String {
        let Some((change, records)) = done else {
            return format!("{words}, as before");
        };
        self.apply_registry_change(now, &change);
        self.publish_handover();
        self.told(now, format!("{words}, by the second address"));
        let _ = self.write_down(now, records);
        words
    }

    pub(super) fn sweep_callers(&mut self, now: Micros) {
        self.accept_callers(now);
        let late = |c: &Caller| now > c.begun + if c.answered { LINGER } else { CALL_WITHIN };
        let late: Vec<ConnectionId> = self
            .management
            .callers
            .iter()
            .filter(|c| late(c.1))
            .map(|c| *c.0)
            .collect();
        for id in late {
            let bad = self
                .management
                .callers
                .get_mut(&id)
                .and_then(|c| c.reader.end(CallError::TooSlow));
            if let Some(bad) = bad {
                let outcome = self.call(now, Err(bad));
                self.answer_caller(now, id, &outcome);
            }
            self.drop_caller(id);
        }
    }
}
