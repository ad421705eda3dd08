//! Stage 2, admit: what the bounds allow goes to the module; the rest is answered at once.

use crate::{Core, Due, RequestId};
use driftfront_scheduler::interface::{Event, Micros, Query};

/// Advice with a refusal that a bound here caused, not the engines.
pub(crate) const FULL_ADVICE: Micros = 250_000;
/// Why a query under an idempotency key that may have run too long ago is not run.
const TOKEN_LATE: &str =
    "Code: 389. DB::Exception: an earlier try under this deduplication token may have run, and \
                          engines no longer know it: it is not run again. (INSERT_WAS_DEDUPLICATED)";

impl Core {
    pub(crate) fn admit(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let forgetful = self
            .tokens
            .is_full(now, request.ask.class, request.ask.token.as_ref());
        self.counters.tokens_full += u64::from(forgetful);
        if forgetful
            || self.leaves
            || self.open > self.limits.open
            || usize::from(request.ask.class) >= self.idempotencies.len()
        {
            return self.refuse(id, FULL_ADVICE);
        }
        // Two open under one name can't be told apart by what engines answer: the later one gets none of it.
        if self.names.contains_key(&request.ask.call) {
            return self.fail(id);
        }
        let ask = &request.ask;
        let idempotent_until = self.tokens.good_until(ask.class, ask.token.as_ref());
        if idempotent_until.is_some_and(|t| now >= t) {
            // What runs under its idempotency key may be running or done, and engines would take it for new.
            self.counters.tokens_late += 1;
            return self.fail_saying(id, Some(TOKEN_LATE.into()));
        }
        self.tokens
            .taken(ask.class, ask.token.as_ref(), request.deadline);
        self.names.insert(ask.call.clone(), id);
        let query = Query {
            id: crate::query(id),
            class: ask.class,
            tenant: ask.tenant.unwrap_or(u32::MAX),
            work: ask.work,
            memory_mb: ask.memory_mb,
            tables: ask.tables,
            key: ask.key,
            token: ask.token.is_some(),
            idempotent_until,
            pin: ask.pin,
            budget: ask.budget,
        };
        self.counters.tenants_unnamed += u64::from(self.has_tenants && ask.tenant.is_none());
        self.counters.tokens_missing +=
            u64::from(!query.token && self.tokens.is_keyed(query.class));
        // The module answers in time by itself; this guards the promise should it ever not.
        let last = request.deadline.saturating_sub(self.limits.answer_margin);
        self.set_timer(last, Due::Answer(id));
        self.tell(now, Event::QueryArrived(query));
    }
}
