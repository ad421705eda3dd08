//! A client's order to end queries.

use crate::frontends::KillRequest;
use crate::node::{ConnectionId, Node};
use driftfront_core::{Micros, Phase, RequestId};

impl Node {
    /// Ends queries by their names: none gets a further attempt, and each engine that runs one, or may, is told.
    pub(super) fn kill_queries(&mut self, now: Micros, id: ConnectionId, kill: KillRequest) {
        let known = kill.names.iter().any(|name| self.core.is_open(name));
        let sent = self.send_kills(now, id, &kill);
        if !kill.is_test {
            for name in &kill.names {
                self.core.cancel_request(now, name, &kill.message);
            }
        }
        tracing::info!(
            names = kill.names.len(),
            known,
            engines = sent.len(),
            "queries are to be ended"
        );
        match sent.first() {
            None => self.reply(now, id, &kill.none_running),
            Some(&first) => {
                let class = self.core.accepted(first).map_or(0, |a| a.request.class);
                self.await_response(now, id, first, class, kill.writer);
            }
        }
        self.execute_commands();
    }

    /// Sends the order to each engine that may run one of the queries; the requests that carry it. The one whose response is
    /// awaited, the first, speaks for the others.
    fn send_kills(&mut self, now: Micros, id: ConnectionId, kill: &KillRequest) -> Vec<RequestId> {
        let mut running = Vec::new();
        for name in &kill.names {
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
                "a kill, taken"
            );
            sent.push(request);
        }
        sent
    }
}
