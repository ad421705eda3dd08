//! Stage 2, admission: what the bounds allow goes to the scheduler; the rest is answered at once.

use crate::request::{ParsedRequest, RequestId};
use crate::timers::Timer;
use crate::Core;
use driftfront_scheduler::{Event, Micros, Query};

/// Retry-After of a rejection that a bound here caused, not the engines.
pub(crate) const LIMIT_RETRY_AFTER: Micros = 250_000;
/// Why a query under an idempotency key that may have run too long ago is not run.
const KEY_EXPIRED_ERROR: &str =
    "Code: 389. DB::Exception: an earlier try under this deduplication token may have run, and \
                          engines no longer know it: it is not run again. (INSERT_WAS_DEDUPLICATED)";

impl Core {
    /// Admits a request that was accepted, or gives its final answer.
    pub(crate) fn admit(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (class, key) = (
            request.parsed.class,
            request.parsed.idempotency_key.as_ref(),
        );
        let has_no_room_for_key = self.idempotency_keys.is_full(now, class, key);
        self.counters.idempotency_keys_refused += u64::from(has_no_room_for_key);
        if has_no_room_for_key
            || self.is_shutting_down
            || self.open_count > self.limits.max_open_requests
            || usize::from(class) >= self.class_idempotency.len()
        {
            return self.reject(id, LIMIT_RETRY_AFTER);
        }
        // Two open under one name can't be told apart by what engines answer: the later one gets none of it.
        if self.open_names.contains_key(&request.parsed.name) {
            return self.fail(id);
        }
        let known_until = self.idempotency_keys.known_until(class, key);
        if known_until.is_some_and(|until| now >= until) {
            // What runs under its idempotency key may be running or done, and engines would take it for new.
            self.counters.idempotency_keys_expired += 1;
            return self.fail_with(id, Some(KEY_EXPIRED_ERROR.into()));
        }
        self.idempotency_keys
            .record_request(class, key, request.deadline);
        self.open_names.insert(request.parsed.name.clone(), id);
        let query = query_of(id, &request.parsed, known_until);
        let has_unknown_tenant = self.has_tenants && request.parsed.tenant.is_none();
        let lacks_key = !query.has_idempotency_key && self.idempotency_keys.is_keyed(class);
        self.counters.tenants_unknown += u64::from(has_unknown_tenant);
        self.counters.idempotency_keys_missing += u64::from(lacks_key);
        // The scheduler answers in time by itself; this guards the promise should it ever not.
        let last = request.deadline.saturating_sub(self.limits.answer_margin);
        self.set_timer(last, Timer::Answer(id));
        self.notify_scheduler(now, Event::QueryArrived(query));
    }
}

/// A request as the scheduler sees it.
fn query_of(id: RequestId, parsed: &ParsedRequest, known_until: Option<Micros>) -> Query {
    Query {
        id: id.query(),
        class: parsed.class,
        tenant: parsed.tenant.unwrap_or(u32::MAX),
        work: parsed.work,
        memory_mb: parsed.memory_mb,
        table_group: parsed.table_group,
        ordering_key: parsed.ordering_key,
        has_idempotency_key: parsed.idempotency_key.is_some(),
        idempotent_until: known_until,
        sticky_session: parsed.sticky_session,
        client_timeout: parsed.client_timeout,
    }
}
