//! Requests as they are read off a client's connection: taken in, answered at once, or withdrawn.

use super::BAD_PAUSE;
use crate::frontends::{Intake, KillRequest};
use crate::node::{ConnectionId, Node};
use driftfront_core::{Micros, Phase};
use driftfront_http::response;

impl Node {
    /// Takes the next request off the reader, if none is open; true if one was there. `ended`: its client has ended its side,
    /// and nothing that is still read is wanted any more.
    pub(super) fn next_request(&mut self, now: Micros, id: ConnectionId, ended: bool) -> bool {
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return false;
        };
        let idle = client.reader.held() == 0 || now < client.pause_until;
        if client.current.is_some() || client.close || idle {
            return false;
        }
        let request = match client.reader.next_request() {
            Ok(Some(request)) => request,
            Ok(None) => {
                if client.reader.expects_continue() && !client.continued {
                    client.continued = true;
                    client.link.push(b"HTTP/1.1 100 Continue\r\n\r\n");
                    let _ = client.link.flush();
                }
                return false;
            }
            Err(fault) => {
                self.client_fault(now, id, fault);
                return true;
            }
        };
        // Behind unread bytes an end of the client's would come to light only once it is served.
        let gone = ended || client.more && client.link.peer_has_ended();
        client.continued = false;
        client.close = request.close;
        (client.used, client.begun, client.fresh) = (now, now, false);
        let (kept, has_more_body) = (std::mem::take(&mut client.kept), request.has_more_body);
        let intake = self.frontend.parse_request(request, now, kept);
        // Where it is not taken the rest of its body would be read as the next request.
        client.close |= has_more_body && !matches!(intake, Intake::Take(..));
        match intake {
            Intake::Reply(bytes) => self.reply(now, id, &bytes),
            Intake::Bad(bytes) => {
                client.pause_until = now + BAD_PAUSE;
                self.reply(now, id, &bytes);
            }
            Intake::Ready(yes, no) => {
                let ready = self.is_ready();
                self.reply(now, id, if ready { &yes } else { &no });
            }
            Intake::Kill(kill) => self.kill(now, id, *kill),
            Intake::Withdraw(call, bytes) => {
                let known = self.withdraw(now, &call);
                tracing::debug!(conn = id, %call, known, "withdrawn");
                self.reply(now, id, &bytes);
            }
            Intake::Counters => {
                let text = self.counters();
                let head = [("Content-Type", "text/plain; charset=utf-8")];
                self.reply(now, id, &response(200, &head, text.as_bytes(), false));
            }
            Intake::Take(ask, writer) => {
                let twin = if self.core.is_open(&ask.call) {
                    self.frontend.duplicate_id_response(now, &ask)
                } else {
                    None
                };
                if let Some(bytes) = twin {
                    if let Some(client) = self.clients.connections.get_mut(&id) {
                        client.close |= has_more_body;
                    }
                    self.reply(now, id, &bytes);
                    return true;
                }
                if gone {
                    // It left before it was read: a waiting place is all that it had.
                    tracing::debug!(conn = id, call = %ask.call, "client left before its request was read");
                    self.core.accept_disconnected_request(now, ask);
                    self.execute_commands();
                    return true;
                }
                // Asked with the clock as it is: the process may have stood still since this turn began.
                let taken_at = self.clock();
                if !self.lifecycle.takes(taken_at) {
                    self.core.begin_shutdown();
                }
                let (call, class, budget) = (ask.call.clone(), ask.class, ask.budget);
                let request = self.core.accept_request(now, ask);
                tracing::debug!(request = request.0, conn = id, %call, class, budget, "taken");
                self.clients.requesters.insert(request, (id, class, now));
                if let Some(client) = self.clients.connections.get_mut(&id) {
                    client.current = Some((request, writer));
                }
                self.execute_commands();
            }
        }
        true
    }

    /// Ends queries by their names: none gets a further attempt, and each engine that runs one, or may, is told.
    fn kill(&mut self, now: Micros, id: ConnectionId, kill: KillRequest) {
        let mut runs = Vec::new();
        let mut known = false;
        for name in &kill.names {
            runs.extend(self.core.running_queries(now, name));
            known |= self.core.is_open(name);
        }
        // The one whose answer is awaited speaks for the others.
        runs.sort_by_key(|run| !run.awaited);
        let mut sent = Vec::new();
        for run in &runs {
            if self.core.engine_phase(run.engine) != Some(Phase::Ready) {
                continue;
            }
            let request = self
                .core
                .accept_request(now, (kill.for_engine)(run.engine, &run.name));
            tracing::debug!(
                request = request.0,
                conn = id,
                engine = run.engine.0,
                "a kill, taken"
            );
            sent.push(request);
        }
        if !kill.test {
            for name in &kill.names {
                self.core.cancel_request(now, name, &kill.words);
            }
        }
        tracing::info!(
            names = kill.names.len(),
            known,
            engines = sent.len(),
            "queries are to be ended"
        );
        match sent.first() {
            None => self.reply(now, id, &kill.none),
            Some(&first) => {
                self.clients.requesters.insert(
                    first,
                    (
                        id,
                        self.core.accepted(first).map_or(0, |t| t.ask.class),
                        now,
                    ),
                );
                if let Some(client) = self.clients.connections.get_mut(&id) {
                    client.current = Some((first, kill.writer));
                }
            }
        }
        self.execute_commands();
    }
}
