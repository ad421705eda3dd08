//! How a client's connection, and its wish for an answer, ends. What is owed at each of these moments stands in
//! `docs/endings.md`.
//!
//! A close of ours is a lingering one: answers are flushed, our side is shut, and what still comes is read and dropped for a
//! while. A close over unread bytes would reset the connection, and the answer before it would go with that.

use super::{Client, IDLE_MOST, PART_OF_SOCKETS, PART_WHILE_SHARED, READ_MOST};
use crate::net::{eviction, ReadOutcome};
use crate::node::{ConnectionId, Node};
use crate::service_window::RequestOutcome;
use driftfront_core::{Micros, RequestId};
use driftfront_http::response;
use driftfront_scheduler::interface::Idempotency;

/// After a close of ours the peer's last bytes are read for this long.
const LINGER: Micros = 1_000_000;
/// Bytes that are read and dropped with each sweep then: 60 MB at full speed must not take the processor.
const LINGER_READ: usize = 128 * 1024;
/// An answer that the client doesn't read for this long is given up.
const WRITE_MOST: Micros = 10_000_000;
/// A body that is passed on as it comes must not stand still for longer than this.
const UPLOAD_STALL: Micros = 10_000_000;
/// Connections that are looked at for one place, where what came last on each shows that it must stay.
const EVICTIONS_TRIED: usize = 4;

impl Client {
    /// No answer is owed on it or on its way, and no close has begun.
    fn is_free(&self) -> bool {
        !(self.current.is_some() || self.close || self.shut || self.is_writing())
    }

    /// Nothing is open on it, or half read, that a close in order would hurt.
    fn is_at_rest(&self) -> bool {
        self.is_free() && !self.reader.is_mid_message()
    }

    /// A request has begun on it and is not whole, and nothing else is open.
    fn is_half_read(&self) -> bool {
        self.is_free() && !self.reader.is_body_open() && self.reader.is_mid_message()
    }

    /// Its place among those that go where descriptors are short; `None` if it must stay.
    fn eviction(&self, now: Micros) -> Option<Micros> {
        let open = self.current.is_some()
            || self.is_writing()
            || self.reader.is_mid_message() && !self.fresh;
        let idle = now.saturating_sub(self.used);
        (self.shut || !open).then(|| eviction::rank(self.shut, self.fresh, idle))
    }

    /// Why its time is up, if it is.
    fn expired(&self, now: Micros) -> Option<Expired> {
        let idle = now.saturating_sub(self.used);
        match () {
            () if self.shut => (idle > LINGER).then_some(Expired::Lingered),
            () if self.is_writing() => (idle > WRITE_MOST).then_some(Expired::Stuck),
            // A body that stands still while its engine waits for it.
            () if self.reader.is_body_open() => {
                (self.reader.held() == 0 && idle > UPLOAD_STALL).then_some(Expired::Stuck)
            }
            () if self.current.is_some() || self.close => None,
            () if self.is_half_read() => {
                (now > self.begun + READ_MOST).then_some(Expired::HalfRead)
            }
            () if self.fresh => (now > self.begun + READ_MOST).then_some(Expired::AtRest),
            () => (idle > IDLE_MOST).then_some(Expired::AtRest),
        }
    }
}

/// What a connection was doing when its time was up.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Expired {
    /// Our side is shut, and the peer had its time to read and to close.
    Lingered,
    /// The peer takes no bytes, or brings none that are waited for.
    Stuck,
    /// A request began and never became whole.
    HalfRead,
    /// Nothing was open.
    AtRest,
}

impl Node {
    /// Clients' connections that may be open.
    pub(super) fn most_clients(&self) -> usize {
        self.config.max_descriptors
            * if self.handover.has_peers() {
                PART_WHILE_SHARED
            } else {
                PART_OF_SOCKETS
            }
            / 100
    }

    /// Makes room for a descriptor: the connection that can best be spared goes. What has come on it and was not read yet is
    /// taken first: a request in it keeps its place.
    pub(in crate::node) fn evict_client(&mut self, now: Micros) -> bool {
        for _ in 0..EVICTIONS_TRIED {
            let each = self
                .clients
                .connections
                .iter()
                .filter_map(|(&id, c)| Some((c.eviction(now)?, id)));
            let Some((_, id)) = each.max() else {
                return false;
            };
            if self.clients.connections.get(&id).is_some_and(|c| !c.shut) {
                self.on_client_ready(now, id);
            }
            match self.clients.connections.get(&id) {
                // It went by itself.
                None => return true,
                Some(client) if client.eviction(now).is_none() => {}
                Some(_) => {
                    self.clients.evicted += 1;
                    self.tell_request_timeout(id);
                    let _ = self
                        .clients
                        .connections
                        .get_mut(&id)
                        .map(|c| c.link.flush());
                    self.drop_client(now, id);
                    return true;
                }
            }
        }
        false
    }

    /// What a client whose request never became whole may still read before the close.
    fn tell_request_timeout(&mut self, id: ConnectionId) {
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return;
        };
        if !client.shut && client.reader.is_mid_message() && client.current.is_none() {
            client.link.push(&response(408, &[], b"", true));
        }
    }

    /// The connection is gone, or goes at once: by its peer's end, its reset, or since there is no waiting for it. Nobody is
    /// left to be answered on it; what is out of its request counts until it ends.
    pub(in crate::node) fn drop_client(&mut self, now: Micros, id: ConnectionId) {
        let Some(mut client) = self.clients.connections.remove(&id) else {
            return;
        };
        self.unregister(client.token.take());
        self.frontend.release_body(client.kept);
        if let Some((request, _)) = client.current.take() {
            self.left(now, id, request);
        }
    }

    /// The connection's open request is not wanted any more, or can't be.
    pub(super) fn leave(&mut self, now: Micros, id: ConnectionId) {
        if let Some((request, _)) = self
            .clients
            .connections
            .get_mut(&id)
            .and_then(|c| c.current.take())
        {
            self.left(now, id, request);
        }
    }

    fn left(&mut self, now: Micros, id: ConnectionId, request: RequestId) {
        tracing::debug!(request = request.0, conn = id, "client left");
        self.record_outcome(now, request, RequestOutcome::Left);
        self.clients.requesters.remove(&request);
        let idempotency = self
            .core
            .accepted(request)
            .and_then(|t| self.idempotency(t.ask.class));
        let fed = self.engines.uploads.contains_key(&request);
        self.core.client_left(now, request);
        // A read is let go on its engine, and so is what waits there for a body that never comes.
        if self.frontend.cancels_reads_of_gone_clients()
            && idempotency == Some(Idempotency::Idempotent)
            || fed
        {
            self.core.release_attempt(now, request);
        }
    }

    /// A client takes its request back by a call on another connection: no answer is owed on its own one, which closes, as the
    /// answer to a later request on it would be taken for this one's. True if it was open.
    pub(super) fn withdraw(&mut self, now: Micros, call: &str) -> bool {
        let asked = self
            .core
            .find_request(call)
            .and_then(|r| self.clients.requesters.get(&r))
            .map(|a| a.0);
        let Some(id) = asked else { return false };
        self.leave(now, id);
        if let Some(client) = self.clients.connections.get_mut(&id) {
            (client.close, client.answering) = (true, false);
        }
        self.drive_client(now, id);
        true
    }

    /// Right before something of a request goes out that has waited: its client may have left meanwhile, and its end be found in
    /// the same turn as what let the request go, or not be read yet.
    pub(in crate::node) fn look_for_client(&mut self, now: Micros, request: RequestId) {
        let Some(&(id, _, taken)) = self.clients.requesters.get(&request) else {
            return;
        };
        if taken < now {
            self.drop_if_ended(now, id);
        }
    }

    /// Asks the system for an end of the peer's: behind bytes that are not read yet it brings no word of its own.
    pub(super) fn drop_if_ended(&mut self, now: Micros, id: ConnectionId) {
        if self
            .clients
            .connections
            .get(&id)
            .is_some_and(|c| c.link.peer_has_ended())
        {
            self.drop_client(now, id);
        }
    }

    /// Reads what stands behind more than is held, and drops it: unread, it would hide that the client leaves. The requests that
    /// were held behind the open one go with it, as their connection closes behind the answer. One read at a time; the sweep
    /// goes on with it.
    pub(super) fn discard_pipelined(&mut self, now: Micros, id: ConnectionId) {
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return;
        };
        self.clients.overruns += u64::from(!std::mem::replace(&mut client.overrun, true));
        match client.link.read(&mut Vec::new(), LINGER_READ) {
            Ok(ReadOutcome::LimitReached) => {}
            Ok(ReadOutcome::WouldBlock) => client.more = false,
            Ok(ReadOutcome::Closed) | Err(_) => self.drop_client(now, id),
        }
    }

    /// The client has ended its side: what it asked is not wanted any more, and what stands unread behind it neither. What is
    /// malformed is told.
    pub(super) fn client_ended(&mut self, now: Micros, id: ConnectionId) {
        while self.next_request(now, id, true) {}
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return;
        };
        if client.current.is_none()
            && !client.shut
            && !client.close
            && client.reader.is_mid_message()
        {
            // It may still read why its half request is not answered.
            client.link.push(&response(400, &[], b"", true));
        }
        let _ = client.link.flush();
        self.drop_client(now, id);
    }

    /// Ends what has had its time, and reads closing connections out.
    pub(in crate::node) fn sweep_clients(&mut self, now: Micros) {
        // Who has connected and not spoken once it leaves would speak to nobody.
        let (leaves, last) = (!self.lifecycle.takes(now), self.lifecycle.closes_last());
        for id in self.clients.connections.keys().copied().collect::<Vec<_>>() {
            let Some(client) = self.clients.connections.get_mut(&id) else {
                continue;
            };
            match client.expired(now) {
                Some(Expired::Lingered | Expired::Stuck) => self.drop_client(now, id),
                Some(Expired::HalfRead) => self.end_half_read(now, id),
                // The process ends before its time is up: it is told now, as its last byte may come in that moment.
                None if last && client.is_half_read() => self.end_half_read(now, id),
                Some(Expired::AtRest) => drop(self.close_at_rest(now, id)),
                // Whoever has just connected has a request to write, and holds it back where its key's last one went out
                // lately: that one has its usual time.
                None if client.is_at_rest()
                    && (leaves || !client.fresh)
                    && !self
                        .lifecycle
                        .keeps_alive(now, now.saturating_sub(client.used)) =>
                {
                    self.clients.sent_away += u64::from(self.close_at_rest(now, id));
                }
                None if client.shut => {
                    let end = client.link.read(&mut Vec::new(), LINGER_READ);
                    if !matches!(end, Ok(ReadOutcome::WouldBlock | ReadOutcome::LimitReached)) {
                        self.drop_client(now, id);
                    }
                }
                None if client.overrun && client.current.is_some() => self.drive_client(now, id),
                None if client.pause_until > 0 && now >= client.pause_until => {
                    client.pause_until = 0;
                    self.drive_client(now, id);
                }
                None => {}
            }
        }
    }

    /// Closes a connection at rest in order. What has come already is taken first; a request that crosses the close is sent
    /// once more by its client, elsewhere. True if the close has begun.
    fn close_at_rest(&mut self, now: Micros, id: ConnectionId) -> bool {
        self.on_client_ready(now, id);
        let rests = self
            .clients
            .connections
            .get(&id)
            .is_some_and(Client::is_at_rest);
        if rests {
            self.begin_close(now, id);
        }
        rests
    }

    fn begin_close(&mut self, now: Micros, id: ConnectionId) {
        if let Some(client) = self.clients.connections.get_mut(&id) {
            (client.close, client.used) = (true, now);
        }
        self.drive_client(now, id);
    }

    /// Closes a connection in order whose request never became whole, unless its last bytes have just come.
    fn end_half_read(&mut self, now: Micros, id: ConnectionId) {
        self.on_client_ready(now, id);
        let last = self.lifecycle.closes_last();
        let due =
            |c: &Client| c.is_half_read() && (last || c.expired(now) == Some(Expired::HalfRead));
        if self.clients.connections.get(&id).is_some_and(due) {
            self.tell_request_timeout(id);
            self.begin_close(now, id);
        }
    }
}
