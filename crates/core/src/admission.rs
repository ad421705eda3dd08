//! Stage 2, admission: passes requests within the limits to the scheduler and answers the others at once.

use crate::request::{ParsedRequest, RequestId};
use crate::timers::Timer;
use crate::Core;
use driftfront_scheduler::{Event, Micros, Query};

/// Retry-After of rejections caused by the coordinator's own limits rather than by the engines.
pub(crate) const LIMIT_RETRY_AFTER: Micros = 250_000;
/// Error for a request whose idempotency key may have been used before the engines' deduplication window.
const KEY_EXPIRED_ERROR: &str =
    "Code: 389. DB::Exception: an earlier try under this deduplication token may have run, and \
                          engines no longer know it: it is not run again. (INSERT_WAS_DEDUPLICATED)";

impl Core {
    /// Admits an accepted request, or gives its final answer.
    pub(crate) fn admit(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (class, key) = (
            request.parsed.class,
            request.parsed.idempotency_key.as_ref(),
        );
        let is_key_limit_reached = self.idempotency_keys.is_full(now, class, key);
        self.counters.idempotency_keys_refused += u64::from(is_key_limit_reached);
        if is_key_limit_reached
            || self.is_shutting_down
            || self.open_count > self.limits.max_open_requests
            || usize::from(class) >= self.class_idempotency.len()
        {
            return self.reject(id, LIMIT_RETRY_AFTER);
        }
        // Engines identify queries by name, so responses to two requests with the same name could be confused, and one could run twice.
        if self.is_name_used(now, &request.parsed.name) {
            return self.fail(id);
        }
        let deduplicated_until = self.idempotency_keys.deduplicated_until(class, key);
        if deduplicated_until.is_some_and(|until| now >= until) {
            // An earlier query with this key may be running or complete, and engines would no longer deduplicate this one.
            self.counters.idempotency_keys_expired += 1;
            return self.fail_with(id, Some(KEY_EXPIRED_ERROR.into()));
        }
        self.idempotency_keys
            .record_request(class, key, request.deadline);
        self.names.add(request.parsed.name.clone(), id);
        let query = to_query(id, &request.parsed, deduplicated_until);
        let has_unknown_tenant = self.has_tenants && request.parsed.tenant.is_none();
        let lacks_key = !query.has_idempotency_key && self.idempotency_keys.is_keyed(class);
        self.counters.tenants_unknown += u64::from(has_unknown_tenant);
        self.counters.idempotency_keys_missing += u64::from(lacks_key);
        // A safeguard: the scheduler should answer in time by itself.
        let answer_by = request.deadline.saturating_sub(self.limits.answer_margin);
        self.set_timer(answer_by, Timer::Answer(id));
        self.notify_scheduler(now, Event::QueryArrived(query));
    }
}

/// Converts a request to the scheduler's query.
fn to_query(id: RequestId, parsed: &ParsedRequest, idempotent_until: Option<Micros>) -> Query {
    Query {
        id: id.query(),
        class: parsed.class,
        tenant: parsed.tenant.unwrap_or(u32::MAX),
        work: parsed.work,
        memory_mb: parsed.memory_mb,
        table_group: parsed.table_group,
        ordering_key: parsed.ordering_key,
        has_idempotency_key: parsed.idempotency_key.is_some(),
        idempotent_until,
        runs_once: parsed.runs_once,
        sticky_session: parsed.sticky_session,
        client_timeout: parsed.client_timeout,
    }
}
