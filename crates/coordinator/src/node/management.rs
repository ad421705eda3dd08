//! The management address: operators' calls, one line a connection. The language is `driftfront_control::management`; the
//! orders go to the same registry and lifecycle as those of the control socket.
//!
//! Calls come before the clients' backlog: the address is looked at between any two of their connections, so that a caller
//! waits for one turn at most. Callers that connect and say nothing hold up nobody: places are many, and the one that has
//! waited longest goes first.

use super::{clients, ConnectionId, EventSource, Node};
use crate::net::{is_out_of_descriptors, BufferedStream, ReadOutcome};
use calloop::RegistrationToken;
use driftfront_control::management::{reply, Call, CallError, CallReader, MAX_CALL_BYTES, WORDS};
use driftfront_core::Micros;
use driftfront_engine_registry::RegistryUpdate;
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Callers at once; beyond that the one that has waited longest for its own words goes.
const MAX_CALLERS: usize = 32;
/// A call must be complete this long after the connect.
const CALL_TIMEOUT: Micros = 5_000_000;
/// After the reply the peer's end is awaited for this long: bytes that it still sends would reset the connection.
const LINGER_TIME: Micros = 1_000_000;
/// The address is looked at this often while clients keep the event loop busy.
const CHECK_INTERVAL: Micros = 5_000;
/// Callers accepted before clients have their turn again.
const MAX_ACCEPTS_PER_TURN: usize = 16;
const READ_LIMIT: usize = MAX_CALL_BYTES * 4;
/// Who gives the orders of this address, in the words that staff read.
const ORIGIN: &str = "the second address";

/// Replies to the calls of one word.
#[derive(Clone, Copy, Default)]
struct CallCounts {
    ok: u64,
    err: u64,
}

struct Caller {
    link: BufferedStream,
    token: Option<RegistrationToken>,
    reader: CallReader,
    /// When it connected, or was answered.
    since: Micros,
    is_answered: bool,
}

impl Caller {
    /// Whether it has had its time to call, or to close after the reply.
    fn is_expired(&self, now: Micros) -> bool {
        let timeout = if self.is_answered {
            LINGER_TIME
        } else {
            CALL_TIMEOUT
        };
        now > self.since + timeout
    }

    /// Sends the reply, then ends our side: nothing more is read as a call.
    fn send_reply(&mut self, now: Micros, outcome: &Result<String, String>) {
        self.link.push(reply(outcome).as_bytes());
        // A line fits into any socket's buffer: what is not sent at once has no reader.
        let _ = self.link.flush();
        let _ = self.link.socket().shutdown(Shutdown::Write);
        self.is_answered = true;
        self.since = now;
    }
}

/// The management address, where one is configured.
#[derive(Default)]
pub(super) struct Management {
    listener: Option<Rc<TcpListener>>,
    callers: BTreeMap<ConnectionId, Caller>,
    next_check: Micros,
    /// By word, in the order of `WORDS`.
    calls: [CallCounts; WORDS.len()],
    /// Lines that were no call.
    bad_calls: u64,
    /// Connections that brought no line in time, or were pushed out by newer ones.
    silent_callers: u64,
}

impl Management {
    /// Counters, a line each.
    pub(super) fn counters(&self) -> String {
        let mut text = String::new();
        for (word, CallCounts { ok, err }) in WORDS.iter().zip(self.calls) {
            text += &format!("management_calls{{call=\"{word}\",reply=\"OK\"}} {ok}\n");
            text += &format!("management_calls{{call=\"{word}\",reply=\"ERR\"}} {err}\n");
        }
        text + &format!(
            "management_bad {}\nmanagement_silent {}\n",
            self.bad_calls, self.silent_callers
        )
    }

    /// Where it listens.
    pub(super) fn addr(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// The caller that goes where there is no place for another: answered ones first, then the one that has waited longest.
    fn caller_to_replace(&self) -> Option<ConnectionId> {
        let oldest = self
            .callers
            .iter()
            .min_by_key(|(_, caller)| (!caller.is_answered, caller.since));
        oldest
            .filter(|_| self.callers.len() >= MAX_CALLERS)
            .map(|(&id, _)| id)
    }

    fn caller_ids(&self, is_wanted: impl Fn(&Caller) -> bool) -> Vec<ConnectionId> {
        let wanted = self.callers.iter().filter(|(_, caller)| is_wanted(caller));
        wanted.map(|(&id, _)| id).collect()
    }
}

impl Node {
    /// Opens the management address, if one is configured. One that can't be had is logged; serving goes on.
    pub(super) fn open_management(&mut self) {
        let Some(address) = self.config.management_address.clone() else {
            return;
        };
        match self.listen_for_calls(&address) {
            Ok(listener) => self.management.listener = Some(listener),
            Err(e) => tracing::error!("management: {address}: {e}; nobody listens there"),
        }
    }

    fn listen_for_calls(&mut self, address: &str) -> Result<Rc<TcpListener>, String> {
        let address: SocketAddr = address
            .parse()
            .map_err(|e: std::net::AddrParseError| e.to_string())?;
        let listener = clients::listen(address).map_err(|e| e.to_string())?;
        let listener = Rc::new(listener);
        self.register_source(listener.clone(), EventSource::Management)
            .map_err(|e| e.to_string())?;
        Ok(listener)
    }

    /// Looks at the management address between clients' connections, so that a backlog of theirs does not go first.
    pub(super) fn check_management(&mut self, now: Micros) {
        if self.management.listener.is_none() || now < self.management.next_check {
            return;
        }
        self.management.next_check = now + CHECK_INTERVAL;
        self.accept_callers(now);
        for id in self.management.caller_ids(|caller| !caller.is_answered) {
            self.handle_caller_ready(now, id);
        }
    }

    /// Accepts callers until none waits or their turn is over.
    pub(super) fn accept_callers(&mut self, now: Micros) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(listener) = &self.management.listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => self.add_caller(now, stream),
                Err(e) if is_out_of_descriptors(&e) && self.evict_client(now) => {}
                Err(_) => return,
            }
        }
    }

    fn add_caller(&mut self, now: Micros, stream: TcpStream) {
        let is_set = stream
            .set_nonblocking(true)
            .and_then(|()| stream.set_nodelay(true));
        if is_set.is_err() {
            return;
        }
        if let Some(id) = self.management.caller_to_replace() {
            self.drop_caller(id);
        }
        let id = self.next_connection_id();
        let stream = Rc::new(stream);
        let Ok(token) = self.register_stream(stream.clone(), EventSource::Caller(id)) else {
            return;
        };
        let caller = Caller {
            link: BufferedStream::new(stream),
            token: Some(token),
            reader: CallReader::default(),
            since: now,
            is_answered: false,
        };
        self.management.callers.insert(id, caller);
        self.handle_caller_ready(now, id);
    }

    /// Closes a caller's connection.
    pub(super) fn drop_caller(&mut self, id: ConnectionId) {
        let Some(mut caller) = self.management.callers.remove(&id) else {
            return;
        };
        self.management.silent_callers += u64::from(!caller.is_answered);
        self.unregister(caller.token.take());
    }

    /// Handles a readiness event of a caller's connection.
    pub(super) fn handle_caller_ready(&mut self, now: Micros, id: ConnectionId) {
        let Some(caller) = self.management.callers.get_mut(&id) else {
            return;
        };
        let mut bytes = Vec::new();
        let Ok(end) = caller.link.read(&mut bytes, READ_LIMIT) else {
            return self.drop_caller(id);
        };
        let is_closed = matches!(end, ReadOutcome::Closed);
        let mut call = caller.reader.push(&bytes);
        if call.is_none() && is_closed && !caller.is_answered {
            call = caller.reader.end(CallError::Unfinished).map(Err);
        }
        if let Some(call) = call {
            self.answer_call(now, id, call);
        }
        if is_closed {
            self.drop_caller(id);
        }
    }

    fn answer_call(&mut self, now: Micros, id: ConnectionId, call: Result<Call, CallError>) {
        let outcome = self.execute_call(now, call);
        if let Some(caller) = self.management.callers.get_mut(&id) {
            caller.send_reply(now, &outcome);
        }
    }

    /// Carries a call out; what is replied behind `OK`, or behind `ERR`.
    fn execute_call(
        &mut self,
        now: Micros,
        call: Result<Call, CallError>,
    ) -> Result<String, String> {
        let call = match call {
            Ok(call) => call,
            Err(bad) => {
                self.management.bad_calls += 1;
                return Err(bad.to_string());
            }
        };
        let index = call.place();
        let outcome = match call {
            Call::Status => self.status(),
            Call::Suspend(engine) => self.suspend_engine(now, &engine),
            Call::Restore(engine) => self.restore_engine(now, &engine),
            Call::Pause => Ok(self.pause(now, ORIGIN)),
            Call::Resume => Ok(self.resume_work(now, ORIGIN)),
        };
        let counts = &mut self.management.calls[index];
        match outcome {
            Ok(_) => counts.ok += 1,
            Err(_) => counts.err += 1,
        }
        outcome
    }

    fn status(&self) -> Result<String, String> {
        let state = self.lifecycle.state().name().to_string();
        if self.is_ready() {
            Ok(state)
        } else if self.lifecycle.is_ready() {
            Err("no engine takes work".into())
        } else {
            Err(state)
        }
    }

    fn suspend_engine(&mut self, now: Micros, engine: &str) -> Result<String, String> {
        let done = self.registry.suspend_engine(now, ORIGIN, engine);
        let done = done.map_err(|refusal| refusal.to_string())?;
        let message = format!("{engine} is drained: nothing new goes there");
        Ok(self.apply_order(now, done, message))
    }

    fn restore_engine(&mut self, now: Micros, engine: &str) -> Result<String, String> {
        let done = self.registry.restore_engine(now, ORIGIN, engine);
        let done = done.map_err(|refusal| refusal.to_string())?;
        let message = format!("{engine} is resumed: it takes work again");
        Ok(self.apply_order(now, done, message))
    }

    /// Carries out what an order has changed, and records it where there is a state folder. Returns the reply.
    fn apply_order(
        &mut self,
        now: Micros,
        done: Option<RegistryUpdate>,
        message: String,
    ) -> String {
        let Some((change, records)) = done else {
            return format!("{message}, as before");
        };
        self.apply_registry_change(now, &change);
        self.publish_handover();
        self.notify_operators(now, format!("{message}, by {ORIGIN}"));
        let _ = self.persist(now, &records);
        message
    }

    /// Periodic work: callers whose time is up, and those that wait to be accepted.
    pub(super) fn check_callers(&mut self, now: Micros) {
        self.accept_callers(now);
        for id in self.management.caller_ids(|caller| caller.is_expired(now)) {
            let caller = self.management.callers.get_mut(&id);
            if let Some(bad) = caller.and_then(|caller| caller.reader.end(CallError::TooSlow)) {
                self.answer_call(now, id, Err(bad));
            }
            self.drop_caller(id);
        }
    }
}
