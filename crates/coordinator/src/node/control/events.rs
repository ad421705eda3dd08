//! The most recent events, retained for operators.

use driftfront_control::Reply;
use driftfront_core::Micros;
use std::collections::VecDeque;

/// The maximum number of events retained; the oldest are discarded first.
const MAX_EVENTS: usize = 500;

/// An event reported to operators.
struct Event {
    /// Unix time in microseconds, by the wall clock.
    at: Micros,
    message: String,
}

/// The most recent events, the oldest first.
#[derive(Default)]
pub(super) struct EventLog {
    events: VecDeque<Event>,
}

impl EventLog {
    /// Adds an event; `at` is Unix time in microseconds, by the wall clock.
    pub(super) fn add(&mut self, at: Micros, message: String) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event { at, message });
    }

    /// All retained events as reply lines to this request.
    pub(super) fn lines(&self, request: u64) -> String {
        self.events
            .iter()
            .map(|event| Reply::Event(event.at, event.message.clone()).line(request))
            .collect()
    }
}
