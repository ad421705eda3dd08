//! The last events, retained for operators who ask for them.

use driftfront_control::Reply;
use driftfront_core::Micros;
use std::collections::VecDeque;

/// Events retained; the oldest go first.
const MAX_EVENTS: usize = 500;

/// Something that operators should know has happened.
struct Event {
    /// Unix time in microseconds, by the wall clock.
    at: Micros,
    message: String,
}

/// The last events, the oldest first.
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

    /// All retained events as lines of replies to this request.
    pub(super) fn lines(&self, request: u64) -> String {
        self.events
            .iter()
            .map(|event| Reply::Event(event.at, event.message.clone()).line(request))
            .collect()
    }
}
