//! Keeps the memory of the process within its budget: when it is exceeded, incomplete requests are refused and pipelined input is
//! dropped, first where a client holds much for long. Requests that were accepted keep their memory and are answered.

use crate::node::{ConnectionId, Node};
use driftfront_core::Micros;

impl Node {
    /// Whether the process has allocated more than its budget.
    pub(in crate::node) fn is_memory_short(&self) -> bool {
        self.config.memory.is_exceeded(self.handover.has_peers())
    }

    /// Frees input of clients until the process is within its budget, or no client holds more than a small share. Returns whether
    /// the budget is still exceeded.
    pub(in crate::node) fn relieve_memory(&mut self, now: Micros) -> bool {
        while self.is_memory_short() {
            let Some(id) = self.clients.shedding_candidate(now) else {
                return true;
            };
            self.shed_client(now, id);
        }
        false
    }

    fn shed_client(&mut self, now: Micros, id: ConnectionId) {
        let Some(client) = self.clients.get_mut(id) else {
            return;
        };
        let refusal = self.frontend.overload_response();
        let reserved_bytes = client.shed(now, &refusal);
        let is_connected = client.flush(now).is_ok();
        self.frontend.release_body(reserved_bytes);
        self.clients.counters_mut().shed += 1;
        if !is_connected {
            self.drop_client(now, id);
        }
    }
}
