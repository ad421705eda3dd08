//! How a client's connection, and its wish for a response, ends. What is owed at each of these moments stands in
//! `docs/endings.md`.
//!
//! A close of ours is a lingering one: responses are flushed, our side is shut, and what still comes is read and dropped for a
//! while. A close over unread bytes would reset the connection, and the response before it would go with that.

use super::connection::{Client, Expired};
use crate::net::ReadOutcome;
use crate::node::{ConnectionId, Node};
use crate::service_window::RequestOutcome;
use driftfront_core::{Micros, RequestId};
use driftfront_http::response;
use driftfront_scheduler::Idempotency;

/// Bytes that are read and dropped with each sweep after a close of ours: 60 MB at full speed must not take the processor.
const MAX_LINGER_READ_BYTES: usize = 128 * 1024;
/// Connections that are looked at for one place, where what came last on each shows that it must stay.
const MAX_EVICTION_TRIES: usize = 4;

impl Node {
    /// Makes room for a descriptor: the connection that can best be spared goes. What has come on it and was not read yet is
    /// taken first: a request in it keeps its place.
    pub(in crate::node) fn evict_client(&mut self, now: Micros) -> bool {
        for _ in 0..MAX_EVICTION_TRIES {
            let ranked = self
                .clients
                .connections
                .iter()
                .filter_map(|(&id, c)| Some((c.eviction_rank(now)?, id)));
            let Some((_, id)) = ranked.max() else {
                return false;
            };
            if self
                .clients
                .connections
                .get(&id)
                .is_some_and(|c| !c.is_shut)
            {
                self.on_client_ready(now, id);
            }
            match self.clients.connections.get(&id) {
                // It went by itself.
                None => return true,
                Some(client) if client.eviction_rank(now).is_none() => {}
                Some(_) => {
                    self.clients.evicted += 1;
                    self.tell_request_timeout(id);
                    let _ = self
                        .clients
                        .connections
                        .get_mut(&id)
                        .map(|c| c.stream.flush());
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
        if !client.is_shut && client.reader.is_mid_message() && client.open.is_none() {
            client.stream.push(&response(408, &[], b"", true));
        }
    }

    /// The connection is gone, or goes at once: by its peer's end, its reset, or since there is no waiting for it. Nobody is
    /// left to be answered on it; what is out of its request counts until it ends.
    pub(in crate::node) fn drop_client(&mut self, now: Micros, id: ConnectionId) {
        let Some(mut client) = self.clients.connections.remove(&id) else {
            return;
        };
        self.unregister(client.registration.take());
        self.frontend.release_body(client.reserved_bytes);
        if let Some(open) = client.open.take() {
            self.on_request_abandoned(now, id, open.id);
        }
    }

    /// The connection's open request is not wanted any more, or can't be.
    pub(super) fn abandon_client_request(&mut self, now: Micros, id: ConnectionId) {
        if let Some(open) = self
            .clients
            .connections
            .get_mut(&id)
            .and_then(|c| c.open.take())
        {
            self.on_request_abandoned(now, id, open.id);
        }
    }

    fn on_request_abandoned(&mut self, now: Micros, id: ConnectionId, request: RequestId) {
        tracing::debug!(request = request.0, conn = id, "client left");
        self.record_outcome(now, request, RequestOutcome::Left);
        self.clients.requesters.remove(&request);
        let idempotency = self
            .core
            .accepted(request)
            .and_then(|a| self.idempotency(a.request.class));
        let is_uploading = self.engines.upload_connection(request).is_some();
        self.core.client_left(now, request);
        // A read is let go on its engine, and so is what waits there for a body that never comes.
        let is_idempotent = idempotency == Some(Idempotency::Idempotent);
        if self.frontend.cancels_reads_of_gone_clients() && is_idempotent || is_uploading {
            self.core.release_attempt(now, request);
        }
    }

    /// A client takes its request back by a call on another connection: no answer is owed on its own one, which closes, as the
    /// answer to a later request on it would be taken for this one's. True if it was open.
    pub(super) fn withdraw(&mut self, now: Micros, call: &str) -> bool {
        let request = self.core.find_request(call);
        let Some(id) = request.and_then(|r| self.requester(r)) else {
            return false;
        };
        self.abandon_client_request(now, id);
        if let Some(client) = self.clients.connections.get_mut(&id) {
            (client.must_close, client.is_responding) = (true, false);
        }
        self.drive_client(now, id);
        true
    }

    /// Right before something of a request goes out that has waited: its client may have left meanwhile, and its end be found in
    /// the same turn as what let the request go, or not be read yet.
    pub(in crate::node) fn check_requester(&mut self, now: Micros, request: RequestId) {
        let Some(&(id, _, accepted_at)) = self.clients.requesters.get(&request) else {
            return;
        };
        if accepted_at < now {
            self.drop_if_ended(now, id);
        }
    }

    /// Asks the system for an end of the peer's: behind bytes that are not read yet it brings no word of its own.
    pub(super) fn drop_if_ended(&mut self, now: Micros, id: ConnectionId) {
        if self
            .clients
            .connections
            .get(&id)
            .is_some_and(|c| c.stream.peer_has_ended())
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
        self.clients.overruns += u64::from(!std::mem::replace(&mut client.is_overrun, true));
        match client.stream.read(&mut Vec::new(), MAX_LINGER_READ_BYTES) {
            Ok(ReadOutcome::LimitReached) => {}
            Ok(ReadOutcome::WouldBlock) => client.has_more = false,
            Ok(ReadOutcome::Closed) | Err(_) => self.drop_client(now, id),
        }
    }

    /// The client has ended its side: what it asked is not wanted any more, and what stands unread behind it neither. What is
    /// malformed is told.
    pub(super) fn on_client_ended(&mut self, now: Micros, id: ConnectionId) {
        while self.next_request(now, id, true) {}
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return;
        };
        if client.open.is_none()
            && !client.is_shut
            && !client.must_close
            && client.reader.is_mid_message()
        {
            // It may still read why its half request is not answered.
            client.stream.push(&response(400, &[], b"", true));
        }
        let _ = client.stream.flush();
        self.drop_client(now, id);
    }

    /// Ends what has had its time, and reads closing connections out.
    pub(in crate::node) fn sweep_clients(&mut self, now: Micros) {
        // Who has connected and not spoken once it leaves would speak to nobody.
        let (leaves, last) = (
            !self.lifecycle.accepts_requests(now),
            self.lifecycle.is_closing_last_connections(),
        );
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
                    && (leaves || !client.is_fresh)
                    && !self
                        .lifecycle
                        .may_keep_alive(now, now.saturating_sub(client.last_used)) =>
                {
                    self.clients.sent_away += u64::from(self.close_at_rest(now, id));
                }
                None if client.is_shut => {
                    let end = client.stream.read(&mut Vec::new(), MAX_LINGER_READ_BYTES);
                    if !matches!(end, Ok(ReadOutcome::WouldBlock | ReadOutcome::LimitReached)) {
                        self.drop_client(now, id);
                    }
                }
                None if client.is_overrun && client.open.is_some() => self.drive_client(now, id),
                None if client.paused_until > 0 && now >= client.paused_until => {
                    client.paused_until = 0;
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
            (client.must_close, client.last_used) = (true, now);
        }
        self.drive_client(now, id);
    }

    /// Closes a connection in order whose request never became whole, unless its last bytes have just come.
    fn end_half_read(&mut self, now: Micros, id: ConnectionId) {
        self.on_client_ready(now, id);
        let last = self.lifecycle.is_closing_last_connections();
        let due =
            |c: &Client| c.is_half_read() && (last || c.expired(now) == Some(Expired::HalfRead));
        if self.clients.connections.get(&id).is_some_and(due) {
            self.tell_request_timeout(id);
            self.begin_close(now, id);
        }
    }
}
