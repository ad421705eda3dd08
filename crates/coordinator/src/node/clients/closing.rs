//! Closing of client connections, and what happens to the open request. `docs/endings.md` specifies the response due in each
//! case.
//!
//! The coordinator closes with a linger phase: it flushes responses, shuts down its write side, and for a while reads and
//! discards further input. Closing a socket with unread input would reset the connection and could lose the last response.

use super::connection::{ClientConnection, DueStep};
use crate::node::{ConnectionId, Node};
use crate::service_window::RequestOutcome;
use driftfront_core::{Micros, RequestId};
use driftfront_scheduler::Idempotency;

/// Candidates examined per eviction. A candidate stays if its unread input turns out to contain a request.
const MAX_EVICTION_TRIES: usize = 4;

impl Node {
    /// Frees a descriptor by closing the connection with the highest eviction rank. Its unread input is processed first; if that
    /// contains a request, the connection stays.
    pub(in crate::node) fn evict_client(&mut self, now: Micros) -> bool {
        for _ in 0..MAX_EVICTION_TRIES {
            let Some(id) = self.clients.eviction_candidate(now) else {
                return false;
            };
            if self.clients.get(id).is_some_and(|c| !c.is_write_shut()) {
                self.on_client_ready(now, id);
            }
            let Some(client) = self.clients.get_mut(id) else {
                // The connection was closed while its input was processed.
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

    /// Closes a connection at once: its peer closed or reset it, or a timeout expired. No response is sent. Attempts of its
    /// request count against limits until they end.
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

    /// Abandons the connection's open request, whose response can no longer be used or delivered.
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
        let idempotency = accepted.and_then(|a| self.idempotency(a.request));
        let is_uploading = self.engines.upload_connection(request).is_some();
        self.core.client_left(now, request);
        // Cancels reads on the engine, and attempts that wait there for a body that will not arrive.
        let is_idempotent = idempotency == Some(Idempotency::Idempotent);
        if self.frontend.cancels_reads_on_disconnect() && is_idempotent || is_uploading {
            self.core.release_attempt(now, request);
        }
    }

    /// Withdraws a request by a call on another connection. No response is sent on the request's own connection, which closes.
    /// Returns whether the request was open.
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

    /// Checks, just before a queued request is written to an engine, whether its client has disconnected: the event may come later
    /// in this turn, or the close may follow unread input.
    pub(in crate::node) fn check_requester(&mut self, now: Micros, request: RequestId) {
        let Some(requester) = self.clients.requester(request) else {
            return;
        };
        if requester.accepted_at < now {
            self.drop_if_peer_closed(now, requester.connection);
        }
    }

    /// Drops a connection whose peer has closed its side, even if there is unread input before the close.
    pub(super) fn drop_if_peer_closed(&mut self, now: Micros, id: ConnectionId) {
        let client = self.clients.get(id);
        if client.is_some_and(ClientConnection::peer_has_closed) {
            self.drop_client(now, id);
        }
    }

    /// Reads and discards pipelined input beyond the buffer limit, since unread input would hide a disconnect. Requests already
    /// buffered behind the open one are dropped too, as the connection closes after the response. Reads once; the periodic check
    /// continues.
    pub(super) fn discard_pipelined(&mut self, now: Micros, id: ConnectionId) {
        if !self.clients.discard_overrun(id) {
            self.drop_client(now, id);
        }
    }

    /// The client has closed its side: its open request and buffered requests are abandoned. Malformed input still gets an error
    /// response.
    pub(super) fn on_client_closed(&mut self, now: Micros, id: ConnectionId) {
        while self.start_next_request(now, id, true) {}
        let Some(client) = self.clients.get_mut(id) else {
            return;
        };
        client.reply_to_truncated_request();
        client.flush_last();
        self.drop_client(now, id);
    }

    /// Periodic check: applies timeouts, and discards input of closing connections.
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

    /// Closes an idle connection gracefully, after processing input that has already arrived. A client whose request crosses the
    /// close sends it again on another connection. Returns whether the close has started.
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

    /// Sends a timeout response and closes gracefully a connection whose request is incomplete, unless its last bytes have just
    /// arrived.
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
