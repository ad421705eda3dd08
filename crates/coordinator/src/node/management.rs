//! The management address, which accepts operators' calls, one line per connection. The protocol is
//! `driftfront_control::management`; orders go to the same registry and lifecycle as those of the control socket.
//!
//! Calls take precedence over the clients' backlog: the address is checked between client connections, so that a caller waits
//! for one turn at most. Callers that connect and send nothing do not block others: the number of connections is limited, and
//! the connection that has waited longest is closed first.

mod error;

use super::{clients, ConnectionId, EventSource, Node};
use crate::net::{is_out_of_descriptors, BufferedStream, ReadOutcome};
use calloop::RegistrationToken;
use driftfront_control::management::{
    reply, Call, CallError, CallReader, CALL_NAMES, MAX_CALL_BYTES,
};
use driftfront_core::Micros;
use driftfront_engine_registry::RegistryUpdate;
use error::{CallRefusal, ListenError};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// The maximum number of concurrent callers; beyond it the one that has waited longest is closed.
const MAX_CALLERS: usize = 32;
/// A call must be complete within this time after the connection is accepted.
const CALL_TIMEOUT: Micros = 5_000_000;
/// How long the connection stays open after the reply for the peer to close it: closing it while the peer still sends would
/// reset the connection.
const LINGER_TIME: Micros = 1_000_000;
/// The interval at which the address is checked while clients keep the event loop busy.
const CHECK_INTERVAL: Micros = 5_000;
/// The maximum number of callers accepted before clients are served again.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// The maximum number of bytes read from a caller at a time.
const MAX_READ_BYTES: usize = MAX_CALL_BYTES * 4;
/// The origin of orders given at this address, as shown in events and stored with the orders.
const ORIGIN: &str = "the second address";

/// The numbers of replies to one kind of call.
#[derive(Clone, Copy, Default)]
struct CallCounts {
    ok: u64,
    err: u64,
}

/// A connection at the management address.
struct Caller {
    stream: BufferedStream,
    token: Option<RegistrationToken>,
    reader: CallReader,
    /// When it connected or, once answered, when the reply was sent.
    since: Micros,
    is_answered: bool,
}

impl Caller {
    /// Whether the time to send the call, or to close after the reply, has passed.
    fn is_timed_out(&self, now: Micros) -> bool {
        let timeout = if self.is_answered {
            LINGER_TIME
        } else {
            CALL_TIMEOUT
        };
        now > self.since + timeout
    }

    /// Sends the reply and shuts down the sending side.
    fn send_reply(&mut self, now: Micros, outcome: &Result<String, CallRefusal>) {
        self.stream.push(reply(outcome).as_bytes());
        // A line fits into any socket's send buffer, so bytes that cannot be sent at once are dropped.
        let _ = self.stream.flush();
        let _ = self.stream.socket().shutdown(Shutdown::Write);
        self.is_answered = true;
        self.since = now;
    }
}

/// The management address, if one is configured.
#[derive(Default)]
pub(super) struct Management {
    listener: Option<Rc<TcpListener>>,
    callers: BTreeMap<ConnectionId, Caller>,
    next_check: Micros,
    /// Replies by call, in the order of [`CALL_NAMES`].
    calls: [CallCounts; CALL_NAMES.len()],
    /// Lines that were not a valid call.
    malformed_calls: u64,
    /// Connections that sent no line in time, or were evicted by newer ones.
    unanswered_callers: u64,
}

impl Management {
    /// Counters, one per line.
    pub(super) fn counters(&self) -> String {
        let mut text = String::new();
        for (name, CallCounts { ok, err }) in CALL_NAMES.iter().zip(self.calls) {
            text += &format!("management_calls{{call=\"{name}\",reply=\"OK\"}} {ok}\n");
            text += &format!("management_calls{{call=\"{name}\",reply=\"ERR\"}} {err}\n");
        }
        text + &format!(
            "management_bad {}\nmanagement_silent {}\n",
            self.malformed_calls, self.unanswered_callers
        )
    }

    /// The address on which it listens.
    pub(super) fn addr(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Counts the reply to the call of this index in [`CALL_NAMES`].
    fn count_reply(&mut self, call: usize, is_ok: bool) {
        let counts = &mut self.calls[call];
        if is_ok {
            counts.ok += 1;
        } else {
            counts.err += 1;
        }
    }

    /// Removes a caller, and counts it if it was not answered.
    fn remove_caller(&mut self, id: ConnectionId) -> Option<Caller> {
        let caller = self.callers.remove(&id)?;
        self.unanswered_callers += u64::from(!caller.is_answered);
        Some(caller)
    }

    /// Sends a caller its reply if it is still connected.
    fn send_reply(&mut self, now: Micros, id: ConnectionId, outcome: &Result<String, CallRefusal>) {
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.send_reply(now, outcome);
        }
    }

    /// The caller to close if the limit is reached: answered callers first, then the one that has waited longest.
    fn caller_to_evict(&self) -> Option<ConnectionId> {
        let oldest = self
            .callers
            .iter()
            .min_by_key(|(_, caller)| (!caller.is_answered, caller.since));
        oldest
            .filter(|_| self.callers.len() >= MAX_CALLERS)
            .map(|(&id, _)| id)
    }

    fn caller_ids(&self, predicate: impl Fn(&Caller) -> bool) -> Vec<ConnectionId> {
        let matching = self.callers.iter().filter(|(_, caller)| predicate(caller));
        matching.map(|(&id, _)| id).collect()
    }
}

impl Node {
    /// Opens the management address, if one is configured. A failure is logged and does not prevent serving.
    pub(super) fn open_management(&mut self) {
        let Some(address) = self.config.management_address.clone() else {
            return;
        };
        match self.listen_for_calls(&address) {
            Ok(listener) => self.management.listener = Some(listener),
            Err(e) => tracing::error!("cannot listen on the management address {address}: {e}"),
        }
    }

    fn listen_for_calls(&mut self, address: &str) -> Result<Rc<TcpListener>, ListenError> {
        let listener = Rc::new(clients::listen(address.parse()?)?);
        self.register_source(listener.clone(), EventSource::ManagementListener)?;
        Ok(listener)
    }

    /// Checks the management address between client connections, so that callers do not wait for the clients' backlog.
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

    /// Accepts pending callers, up to the limit per turn.
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
        if let Some(id) = self.management.caller_to_evict() {
            self.drop_caller(id);
        }
        let id = self.next_connection_id();
        let stream = Rc::new(stream);
        let Ok(token) = self.register_source(stream.clone(), EventSource::ManagementConnection(id))
        else {
            return;
        };
        let caller = Caller {
            stream: BufferedStream::new(stream),
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
        if let Some(caller) = self.management.remove_caller(id) {
            self.unregister(caller.token);
        }
    }

    /// Handles a readiness event of a caller's connection.
    pub(super) fn handle_caller_ready(&mut self, now: Micros, id: ConnectionId) {
        let Some(caller) = self.management.callers.get_mut(&id) else {
            return;
        };
        let mut bytes = Vec::new();
        let Ok(end) = caller.stream.read(&mut bytes, MAX_READ_BYTES) else {
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
        self.management.send_reply(now, id, &outcome);
    }

    /// Executes a call and counts it. Returns the text of the reply.
    fn execute_call(
        &mut self,
        now: Micros,
        call: Result<Call, CallError>,
    ) -> Result<String, CallRefusal> {
        let call = call.inspect_err(|_| self.management.malformed_calls += 1)?;
        let index = call.index();
        let outcome = match call {
            Call::Status => self.status(),
            Call::Suspend(engine) => self.suspend_engine(now, &engine),
            Call::Restore(engine) => self.restore_engine(now, &engine),
            Call::Pause => Ok(self.pause(now, ORIGIN)),
            Call::Resume => Ok(self.resume_work(now, ORIGIN)),
        };
        self.management.count_reply(index, outcome.is_ok());
        outcome
    }

    fn status(&self) -> Result<String, CallRefusal> {
        let state = self.lifecycle.state().name();
        if self.is_ready() {
            Ok(state.into())
        } else if self.lifecycle.is_ready() {
            Err(CallRefusal::NoReadyEngine)
        } else {
            Err(CallRefusal::NotServing(state))
        }
    }

    fn suspend_engine(&mut self, now: Micros, engine: &str) -> Result<String, CallRefusal> {
        let update = self.registry.suspend_engine(now, ORIGIN, engine)?;
        let message = format!("{engine} is drained: nothing new goes there");
        Ok(self.apply_order(now, update, message))
    }

    fn restore_engine(&mut self, now: Micros, engine: &str) -> Result<String, CallRefusal> {
        let update = self.registry.restore_engine(now, ORIGIN, engine)?;
        let message = format!("{engine} is resumed: it takes work again");
        Ok(self.apply_order(now, update, message))
    }

    /// Applies the effects of an order, and persists it if there is a state folder. Returns the reply.
    fn apply_order(
        &mut self,
        now: Micros,
        update: Option<RegistryUpdate>,
        message: String,
    ) -> String {
        let Some((change, records)) = update else {
            return format!("{message}, as before");
        };
        self.apply_registry_change(now, &change);
        self.publish_handover();
        self.notify_operators(now, format!("{message}, by {ORIGIN}"));
        let _ = self.persist(now, &records);
        message
    }

    /// Periodic work: accepts pending callers, and closes those that have timed out.
    pub(super) fn check_callers(&mut self, now: Micros) {
        self.accept_callers(now);
        for id in self
            .management
            .caller_ids(|caller| caller.is_timed_out(now))
        {
            let caller = self.management.callers.get_mut(&id);
            if let Some(error) = caller.and_then(|caller| caller.reader.end(CallError::TooSlow)) {
                self.answer_call(now, id, Err(error));
            }
            self.drop_caller(id);
        }
    }
}
