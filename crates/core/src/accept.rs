//! Stage 1, accept: a request gets its id and its deadline.

use crate::request::{Accepted, ParsedRequest, Request, RequestId};
use crate::Core;
use driftfront_scheduler::Micros;

impl Core {
    /// Accepts a request. It will get exactly one final answer.
    pub fn accept_request(&mut self, now: Micros, parsed: ParsedRequest) -> RequestId {
        let id = self.record_request(now, parsed);
        self.admit(now, id);
        id
    }

    /// Counts a request whose client disconnected before it was read. It is not sent to an engine and gets no answer.
    pub fn accept_disconnected_request(&mut self, now: Micros, parsed: ParsedRequest) {
        let id = self.record_request(now, parsed);
        if self.close(id) {
            self.counters.clients_left += 1;
        }
        self.drop_if_settled(id);
    }

    fn record_request(&mut self, now: Micros, parsed: ParsedRequest) -> RequestId {
        let id = RequestId(self.next_number());
        self.counters.requests_accepted += 1;
        self.open_count += 1;
        self.requests.insert(id, Request::new(parsed, now));
        id
    }

    /// The open request with this name, if there is one.
    pub fn find_request(&self, name: &str) -> Option<RequestId> {
        self.names.open(name)
    }

    /// A request that is not settled, as its backend needs it.
    pub fn accepted(&self, id: RequestId) -> Option<Accepted<'_>> {
        self.requests.get(&id).map(|request| Accepted {
            request: &request.parsed,
            deadline: request.deadline,
        })
    }
}
