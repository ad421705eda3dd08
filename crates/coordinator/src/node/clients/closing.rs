//! How a client's connection ends, and how its open request ends with it. What is owed at each of these moments stands in
//! `docs/endings.md`.
//!
//! A close of ours is a lingering one: responses are flushed, our side is shut, and what still comes is read and dropped for a
//! while. A close over unread bytes would reset the connection, and the response before it would be lost with that.

use super::connection::{ClientConnection, DueStep};
use crate::node::{ConnectionId, Node};
use crate::service_window::RequestOutcome;
use driftfront_core::{Micros, RequestId};
use driftfront_scheduler::Idempotency;

/// Connections that are looked at for one eviction, where what came last on each shows that it must stay.
const MAX_EVICTION_TRIES: usize = 4;

impl Node {
    /// Frees a descriptor: the connection that can best be spared is closed. What has come on it and was not read yet is handled
    /// first: a request in it keeps its place.
    pub(in crate::node) fn evict_client(&mut self, now: Micros) -> bool {
        for _ in 0..MAX_EVICTION_TRIES {
            let Some(id) = self.clients.eviction_candidate(now) else {
                return false;
            };
            if self.clients.get(id).is_some_and(|c| !c.is_write_shut()) {
                self.on_client_ready(now, id);
            }
            let Some(client) = self.clients.get_mut(id) else {
                // It ended by itself.
                return true;
            };
            if client.eviction_rank(now).is_none() {
                continue;
            }
            client.reply_request_timeout();
            client.flush_last();
            self.clients.counters_mut().evicted += 1;
            self.drop_client(now, id);
            return true;
        }
        false
    }

    /// The connection is gone, or ends at once: by its peer's end, its reset, or since there is no waiting for it. Nobody is
    /// left to be answered on it; the attempts of its request count until they end.
    pub(in crate::node) fn drop_client(&mut self, now: Micros, id: ConnectionId) {
        let Some(mut client) = self.clients.remove(id) else {
            return;
        };
        self.unregister(client.take_registration());
        self.frontend.release_body(client.reserved_bytes());
        if let Some(request) = client.take_open_request() {
            self.on_request_abandoned(now, id, request);
        }
    }

    /// The connection's open request is not wanted any more, or can't be.
    pub(super) fn abandon_client_request(&mut self, now: Micros, id: ConnectionId) {
        let client = self.clients.get_mut(id);
        if let Some(request) = client.and_then(ClientConnection::take_open_request) {
            self.on_request_abandoned(now, id, request);
        }
    }

    fn on_request_abandoned(&mut self, now: Micros, id: ConnectionId, request: RequestId) {
        tracing::debug!(request = request.0, conn = id, "client left");
        self.record_outcome(now, request, RequestOutcome::ClientDisconnected);
        self.clients.remove_requester(request);
        let accepted = self.core.accepted(request);
        let idempotency = accepted.and_then(|a| self.idempotency(a.request.class));
        let is_uploading = self.engines.upload_connection(request).is_some();
        self.core.client_left(now, request);
        // A read is stopped on its engine, and so is an attempt that waits there for a body that never comes.
        let is_idempotent = idempotency == Some(Idempotency::Idempotent);
        if self.frontend.cancels_reads_on_disconnect() && is_idempotent || is_uploading {
            self.core.release_attempt(now, request);
        }
    }

    /// A client withdraws its request by a call on another connection: no response is owed on the request's own one, which closes.
    /// True if the request was open.
    pub(super) fn withdraw(&mut self, now: Micros, call: &str) -> bool {
        let request = self.core.find_request(call);
        let Some(id) = request.and_then(|r| self.clients.connection_of(r)) else {
            return false;
        };
        self.abandon_client_request(now, id);
        if let Some(client) = self.clients.get_mut(id) {
            client.close_after_withdrawal();
        }
        self.drive_client(now, id);
        true
    }

    /// Checks, right before a request that has waited is written to an engine, whether its client has left: that may be found only
    /// later in this turn, or not be read yet.
    pub(in crate::node) fn check_requester(&mut self, now: Micros, request: RequestId) {
        let Some(requester) = self.clients.requester(request) else {
            return;
        };
        if requester.accepted_at < now {
            self.drop_if_peer_closed(now, requester.connection);
        }
    }

    /// Drops a connection whose peer has ended its side behind bytes that are not read yet.
    pub(super) fn drop_if_peer_closed(&mut self, now: Micros, id: ConnectionId) {
        let client = self.clients.get(id);
        if client.is_some_and(ClientConnection::peer_has_closed) {
            self.drop_client(now, id);
        }
    }

    /// Reads what stands behind more than is buffered, and drops it: unread, it would hide that the client leaves. The requests that
    /// are buffered behind the open one are dropped with it, as their connection closes behind the response. One read at a time;
    /// the periodic check goes on with it.
    pub(super) fn discard_pipelined(&mut self, now: Micros, id: ConnectionId) {
        if !self.clients.discard_overrun(id) {
            self.drop_client(now, id);
        }
    }

    /// The client has ended its side: what it requested is not wanted any more, nor what stands unread behind that. What is
    /// malformed is answered.
    pub(super) fn on_client_closed(&mut self, now: Micros, id: ConnectionId) {
        while self.start_next_request(now, id, true) {}
        let Some(client) = self.clients.get_mut(id) else {
            return;
        };
        client.reply_to_truncated_request();
        client.flush_last();
        self.drop_client(now, id);
    }

    /// Periodic check: ends what has had its time, and reads closing connections out.
    pub(in crate::node) fn sweep_clients(&mut self, now: Micros) {
        for id in self.clients.connection_ids() {
            let Some(client) = self.clients.get_mut(id) else {
                continue;
            };
            match client.due_step(now, &self.lifecycle) {
                DueStep::None => {}
                DueStep::Drop => self.drop_client(now, id),
                DueStep::TimeOutRequest => self.time_out_request(now, id),
                DueStep::CloseIdle => drop(self.close_if_idle(now, id)),
                DueStep::CloseForDrain => {
                    let is_closed = self.close_if_idle(now, id);
                    self.clients.counters_mut().closed_for_drain += u64::from(is_closed);
                }
                DueStep::Discard => {
                    if !client.discard_input() {
                        self.drop_client(now, id);
                    }
                }
                DueStep::Drive => self.drive_client(now, id),
                DueStep::EndPause => {
                    client.end_pause();
                    self.drive_client(now, id);
                }
            }
        }
    }

    /// Closes a connection at rest in order. What has come already is handled first; a request that crosses the close is sent
    /// once more by its client, elsewhere. True if the close has started.
    fn close_if_idle(&mut self, now: Micros, id: ConnectionId) -> bool {
        self.on_client_ready(now, id);
        let client = self.clients.get(id);
        let is_idle = client.is_some_and(ClientConnection::is_idle);
        if is_idle {
            self.begin_close(now, id);
        }
        is_idle
    }

    fn begin_close(&mut self, now: Micros, id: ConnectionId) {
        if let Some(client) = self.clients.get_mut(id) {
            client.begin_close(now);
        }
        self.drive_client(now, id);
    }

    /// Closes a connection in order whose request never became complete, unless its last bytes have just come.
    fn time_out_request(&mut self, now: Micros, id: ConnectionId) {
        self.on_client_ready(now, id);
        let closes_last = self.lifecycle.is_closing_last_connections();
        let client = self.clients.get_mut(id);
        if let Some(client) = client.filter(|c| c.is_request_timed_out(now, closes_last)) {
            client.reply_request_timeout();
            self.begin_close(now, id);
        }
    }
}
