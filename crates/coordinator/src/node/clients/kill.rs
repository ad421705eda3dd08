//! `KILL QUERY` of clients: a kill request is sent to each engine that runs one of the queries.

use super::state::Requester;
use crate::frontends::KillRequest;
use crate::node::{ConnectionId, Node};
use driftfront_core::{Micros, Phase, RequestId};

impl Node {
    /// Kills queries by name: none gets a further attempt, and each engine that runs or may run one is sent a kill request.
    pub(super) fn kill_queries(&mut self, now: Micros, id: ConnectionId, kill: KillRequest) {
        let known = kill.query_ids.iter().any(|name| self.core.is_open(name));
        let sent = self.send_kills(now, id, &kill);
        if !kill.is_test {
            for name in &kill.query_ids {
                self.core.cancel_request(now, name, &kill.message);
            }
        }
        tracing::info!(
            names = kill.query_ids.len(),
            known,
            engines = sent.len(),
            "kill requests sent"
        );
        match sent.first() {
            None => self.reply(now, id, &kill.none_running_response),
            Some(&first) => {
                let class = self.core.accepted(first).map_or(0, |a| a.request.class);
                let requester = Requester {
                    connection: id,
                    class,
                    accepted_at: now,
                };
                self.clients.await_response(first, requester, kill.writer);
            }
        }
        self.execute_commands();
    }

    /// Sends a kill request to each engine that may run one of the queries, and returns these requests. The response to the first
    /// is forwarded to the client on behalf of all.
    fn send_kills(&mut self, now: Micros, id: ConnectionId, kill: &KillRequest) -> Vec<RequestId> {
        let mut running = Vec::new();
        for name in &kill.query_ids {
            running.extend(self.core.running_queries(now, name));
        }
        running.sort_by_key(|query| !query.is_awaited);
        let mut sent = Vec::new();
        for query in running {
            if self.core.engine_phase(query.engine) != Some(Phase::Ready) {
                continue;
            }
            let order = (kill.request_for)(query.engine, &query.name);
            let request = self.core.accept_request(now, order);
            tracing::debug!(
                request = request.0,
                conn = id,
                engine = query.engine.0,
                "kill request accepted"
            );
            sent.push(request);
        }
        sent
    }
}
