//! Discovery: when the list of engines is polled, where it does not come by itself.
//!
//! Input: lists, failures and the time. Output: whether a poll is due. Bound: polls back off after failures.

use crate::events::ListKind;
use crate::settings::Settings;
use crate::types::Micros;

/// Wait after the first failed poll; doubled with each further one. Polling at once would feed the overload that made it fail.
const BASE_BACKOFF: Micros = 400_000;
/// It is doubled so many times at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// When to poll.
pub(crate) struct DiscoveryPolling {
    is_polled: bool,
    /// A poll counts as answered after this long; `None` if it always is answered.
    timeout: Option<Micros>,
    next_poll_at: Option<Micros>,
    failures: u32,
}

impl DiscoveryPolling {
    /// Nothing was polled yet.
    pub(crate) fn new(settings: &Settings) -> DiscoveryPolling {
        DiscoveryPolling {
            is_polled: settings.poll_discovery,
            timeout: settings.poll_timeout,
            next_poll_at: None,
            failures: 0,
        }
    }

    /// Whether the list has to be polled at all.
    pub(crate) fn is_polled(&self) -> bool {
        self.is_polled
    }

    /// Whether a poll is due.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.next_poll_at.is_some_and(|at| now >= at)
    }

    /// Records a poll. It is answered by a list or a failure; should neither come, the next is due before this one counts as
    /// answered.
    pub(crate) fn record_poll(&mut self, now: Micros) {
        self.next_poll_at = self.timeout.map(|timeout| now + timeout / 2);
    }

    /// Records a list; a cached one answers no poll.
    pub(crate) fn record_list(&mut self, kind: ListKind) {
        if kind != ListKind::Cached {
            (self.next_poll_at, self.failures) = (None, 0);
        }
    }

    /// Records that a poll failed.
    pub(crate) fn record_failure(&mut self, now: Micros) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.next_poll_at = Some(now + (BASE_BACKOFF << doublings));
        self.failures += 1;
    }
}
