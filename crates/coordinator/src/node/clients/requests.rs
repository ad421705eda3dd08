//! Handles complete requests of clients. The frontend decides whether a request is accepted, answered at once, or withdraws
//! another ([`FrontendAction`]); accepted requests go to the core.

use super::connection::StartedRequest;
use super::state::Requester;
use crate::frontends::{FrontendAction, ResponseWriter};
use crate::node::{ConnectionId, Node};
use driftfront_core::{Micros, ParsedRequest};
use driftfront_http::{response, Request};

impl Node {
    /// Starts the next request of a connection if none is open; true if there was one. `peer_has_closed`: the client has closed its
    /// side, so its remaining requests are not executed.
    pub(super) fn start_next_request(
        &mut self,
        now: Micros,
        id: ConnectionId,
        peer_has_closed: bool,
    ) -> bool {
        let Some(client) = self.clients.get_mut(id) else {
            return false;
        };
        match client.next_request(now) {
            Ok(Some(request)) => self.handle_client_request(now, id, request, peer_has_closed),
            Ok(None) => return false,
            Err(error) => self.reject_malformed(now, id, error),
        }
        true
    }

    /// Carries out the frontend's decision about a request.
    fn handle_client_request(
        &mut self,
        now: Micros,
        id: ConnectionId,
        request: Request,
        peer_has_closed: bool,
    ) {
        let Some(client) = self.clients.get_mut(id) else {
            return;
        };
        let started = client.start_request(now, &request, peer_has_closed);
        let action = self
            .frontend
            .parse_request(request, now, started.reserved_bytes);
        if !matches!(action, FrontendAction::Accept(..)) {
            client.close_if_body_remains(&started);
        }
        match action {
            FrontendAction::Reply(bytes) => self.reply(now, id, &bytes),
            FrontendAction::RejectBadRequest(bytes) => {
                client.pause_after_bad_request(now);
                self.reply(now, id, &bytes);
            }
            FrontendAction::ReportReadiness { ready, not_ready } => {
                let bytes = if self.is_ready() { &ready } else { &not_ready };
                self.reply(now, id, bytes);
            }
            FrontendAction::ReportCounters => self.reply_with_counters(now, id),
            FrontendAction::Kill(kill) => self.kill_queries(now, id, *kill),
            FrontendAction::CancelRequest { request_id, reply } => {
                let known = self.withdraw(now, &request_id);
                tracing::debug!(conn = id, call = %request_id, known, "withdrawn");
                self.reply(now, id, &reply);
            }
            FrontendAction::Accept(request, writer) => {
                self.accept_unless_duplicate(now, id, &started, request, writer);
            }
        }
    }

    fn accept_unless_duplicate(
        &mut self,
        now: Micros,
        id: ConnectionId,
        started: &StartedRequest,
        request: ParsedRequest,
        writer: Box<dyn ResponseWriter>,
    ) {
        if self.replied_to_duplicate(now, id, &request, started) {
            return;
        }
        if started.client_has_disconnected {
            return self.accept_disconnected(now, id, request);
        }
        self.accept(now, id, request, writer);
    }

    fn reply_with_counters(&mut self, now: Micros, id: ConnectionId) {
        let text = self.counters();
        let headers = [("Content-Type", "text/plain; charset=utf-8")];
        self.reply(now, id, &response(200, &headers, text.as_bytes(), false));
    }

    /// Replies to a request with the id of an open one, if the frontend has a reply for it; true if it was answered.
    fn replied_to_duplicate(
        &mut self,
        now: Micros,
        id: ConnectionId,
        request: &ParsedRequest,
        started: &StartedRequest,
    ) -> bool {
        if !self.core.is_name_used(now, &request.name) {
            return false;
        }
        let Some(bytes) = self.frontend.duplicate_id_response(now, request) else {
            return false;
        };
        if let Some(client) = self.clients.get_mut(id) {
            client.close_if_body_remains(started);
        }
        self.reply(now, id, &bytes);
        true
    }

    /// Accepts a request whose client disconnected before it was read: it is counted, but not sent to an engine.
    fn accept_disconnected(&mut self, now: Micros, id: ConnectionId, request: ParsedRequest) {
        tracing::debug!(conn = id, call = %request.name, "client disconnected before its request was read");
        self.core.accept_disconnected_request(now, request);
        self.execute_commands();
    }

    fn accept(
        &mut self,
        now: Micros,
        id: ConnectionId,
        request: ParsedRequest,
        writer: Box<dyn ResponseWriter>,
    ) {
        // The clock is read again, since the process may have been stopped since this turn began.
        let accepted_at = self.clock();
        if !self.lifecycle.accepts_requests(accepted_at) {
            self.core.begin_shutdown();
        }
        let (call, class, budget) = (request.name.clone(), request.class, request.client_timeout);
        let request = self.core.accept_request(now, request);
        tracing::debug!(request = request.0, conn = id, %call, class, budget, "accepted");
        let requester = Requester {
            connection: id,
            class,
            accepted_at: now,
        };
        self.clients.await_response(request, requester, writer);
        self.execute_commands();
    }
}
