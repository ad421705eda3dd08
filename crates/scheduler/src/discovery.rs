//! Discovery: decides when to poll the engine list, if it is not pushed.
//!
//! Input: lists, failures and the time. Output: whether a poll is due. Bound: polls back off
//! exponentially after failures.

use crate::events::ListKind;
use crate::settings::Settings;
use crate::types::Micros;

/// Delay after the first failed poll, doubled with each further one. An immediate retry would add
/// to the overload that made the poll fail.
const BASE_BACKOFF: Micros = 400_000;
/// Maximum number of doublings.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Schedule of polls.
pub(crate) struct DiscoveryPolling {
    is_polled: bool,
    /// Time after which a poll is considered answered; `None` if every poll is answered.
    timeout: Option<Micros>,
    next_poll_at: Option<Micros>,
    failures: u32,
}

impl DiscoveryPolling {
    /// A schedule before the first poll.
    pub(crate) fn new(settings: &Settings) -> DiscoveryPolling {
        DiscoveryPolling {
            is_polled: settings.poll_discovery,
            timeout: settings.poll_timeout,
            next_poll_at: None,
            failures: 0,
        }
    }

    /// Whether the list must be polled at all.
    pub(crate) fn is_polled(&self) -> bool {
        self.is_polled
    }

    /// Whether a poll is due.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.next_poll_at.is_some_and(|at| now >= at)
    }

    /// Records a poll. It is answered by a list or a failure; if neither arrives, the next poll is
    /// due before this one times out.
    pub(crate) fn record_poll(&mut self, now: Micros) {
        self.next_poll_at = self.timeout.map(|timeout| now + timeout / 2);
    }

    /// Records a list. A cached list does not answer a poll.
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
