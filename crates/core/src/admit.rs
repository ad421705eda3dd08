//! Stage 2, admit: what the bounds allow goes to the module; the rest is answered at once.

use crate::{Core, Due, RequestId};
use fernlink::interface::{Event, Micros, Query};

/// Advice with a refusal that only the bound on open requests caused.
pub(crate) const FULL_ADVICE: Micros = 250_000;

impl Core {
    pub(crate) fn admit(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.open > self.limits.open || usize::from(request.ask.class) >= self.classes {
            return self.refuse(id, FULL_ADVICE);
        }
        // Two open under one name can't be told apart by what engines answer: the later one gets none of it.
        if self.names.contains_key(&request.ask.call) {
            return self.fail(id);
        }
        self.names.insert(request.ask.call.clone(), id);
        let ask = &request.ask;
        let query = Query {
            id: crate::query(id),
            class: ask.class,
            tenant: ask.tenant.unwrap_or(u32::MAX),
            work: ask.work,
            memory_mb: ask.memory_mb,
            tables: ask.tables,
            key: ask.key,
            token: ask.token.is_some(),
            pin: ask.pin,
            budget: ask.budget,
        };
        // The module answers in time by itself; this guards the promise should it ever not.
        let last = request.deadline.saturating_sub(self.limits.answer_margin);
        self.set_timer(last, Due::Answer(id));
        self.tell(now, Event::Arrived(query));
    }
}
