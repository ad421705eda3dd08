//! Requests as they come off a client's connection: accepted, answered at once, or withdrawn.

use super::connection::OpenRequest;
use crate::frontends::{FrontendAction, ResponseWriter};
use crate::node::{ConnectionId, Node};
use driftfront_core::{Micros, ParsedRequest, RequestId};
use driftfront_http::{response, Request};

/// After a reply to what could not be accepted the connection's next request waits this long: who sends the same again at once
/// would take the others' share of the processor.
const PAUSE_AFTER_BAD_REQUEST: Micros = 100_000;

impl Node {
    /// Takes the next request off a connection, if none is open; true if one was there. `has_ended`: its client has ended its side,
    /// and nothing that is still read is wanted any more.
    pub(super) fn next_request(&mut self, now: Micros, id: ConnectionId, has_ended: bool) -> bool {
        let client = self.clients.connections.get_mut(&id);
        let Some(client) = client.filter(|c| c.can_take_request(now)) else {
            return false;
        };
        match client.reader.next_request() {
            Ok(Some(request)) => self.handle_client_request(now, id, request, has_ended),
            Ok(None) => {
                if client.reader.expects_continue() && !client.has_sent_continue {
                    client.has_sent_continue = true;
                    client.stream.push(b"HTTP/1.1 100 Continue\r\n\r\n");
                    let _ = client.stream.flush();
                }
                return false;
            }
            Err(error) => self.client_fault(now, id, error),
        }
        true
    }

    fn handle_client_request(
        &mut self,
        now: Micros,
        id: ConnectionId,
        request: Request,
        has_ended: bool,
    ) {
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return;
        };
        // Behind unread bytes an end of the client's would come to light only once it is served.
        let has_left = has_ended || client.has_more && client.stream.peer_has_ended();
        client.has_sent_continue = false;
        client.must_close = request.close;
        (client.last_used, client.begun_at, client.is_fresh) = (now, now, false);
        let reserved_bytes = std::mem::take(&mut client.reserved_bytes);
        let has_more_body = request.has_more_body;
        let action = self.frontend.parse_request(request, now, reserved_bytes);
        // Where it is not accepted the rest of its body would be read as the next request.
        client.must_close |= has_more_body && !matches!(action, FrontendAction::Accept(..));
        match action {
            FrontendAction::Reply(bytes) => self.reply(now, id, &bytes),
            FrontendAction::RejectBadRequest(bytes) => {
                client.paused_until = now + PAUSE_AFTER_BAD_REQUEST;
                self.reply(now, id, &bytes);
            }
            FrontendAction::ReportReadiness { ready, not_ready } => {
                let bytes = if self.is_ready() { &ready } else { &not_ready };
                self.reply(now, id, bytes);
            }
            FrontendAction::ReportCounters => self.reply_with_counters(now, id),
            FrontendAction::Kill(kill) => self.kill_queries(now, id, *kill),
            FrontendAction::Withdraw { call, reply } => {
                let known = self.withdraw(now, &call);
                tracing::debug!(conn = id, %call, known, "withdrawn");
                self.reply(now, id, &reply);
            }
            FrontendAction::Accept(request, writer) => {
                if self.replied_to_duplicate(now, id, &request, has_more_body) {
                    return;
                }
                if has_left {
                    return self.accept_disconnected(now, id, request);
                }
                self.accept(now, id, request, writer);
            }
        }
    }

    fn reply_with_counters(&mut self, now: Micros, id: ConnectionId) {
        let text = self.counters();
        let headers = [("Content-Type", "text/plain; charset=utf-8")];
        self.reply(now, id, &response(200, &headers, text.as_bytes(), false));
    }

    /// Answers a request whose id an open one has, where the frontend wants that; true if it was answered.
    fn replied_to_duplicate(
        &mut self,
        now: Micros,
        id: ConnectionId,
        request: &ParsedRequest,
        has_more_body: bool,
    ) -> bool {
        if !self.core.is_open(&request.name) {
            return false;
        }
        let Some(bytes) = self.frontend.duplicate_id_response(now, request) else {
            return false;
        };
        if let Some(client) = self.clients.connections.get_mut(&id) {
            client.must_close |= has_more_body;
        }
        self.reply(now, id, &bytes);
        true
    }

    /// Accepts a request whose client left before it was read: a waiting place is all that it had.
    fn accept_disconnected(&mut self, now: Micros, id: ConnectionId, request: ParsedRequest) {
        tracing::debug!(conn = id, call = %request.name, "client left before its request was read");
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
        // Asked with the clock as it is: the process may have stood still since this turn began.
        let accepted_at = self.clock();
        if !self.lifecycle.accepts_requests(accepted_at) {
            self.core.begin_shutdown();
        }
        let (call, class, budget) = (request.name.clone(), request.class, request.client_timeout);
        let request = self.core.accept_request(now, request);
        tracing::debug!(request = request.0, conn = id, %call, class, budget, "taken");
        self.await_response(now, id, request, class, writer);
        self.execute_commands();
    }

    /// From now on a connection waits for a request's response.
    pub(super) fn await_response(
        &mut self,
        now: Micros,
        id: ConnectionId,
        request: RequestId,
        class: u16,
        writer: Box<dyn ResponseWriter>,
    ) {
        self.clients.requesters.insert(request, (id, class, now));
        if let Some(client) = self.clients.connections.get_mut(&id) {
            client.open = Some(OpenRequest {
                id: request,
                writer,
            });
        }
    }
}
