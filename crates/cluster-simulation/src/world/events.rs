//! The queue of scheduled events, ordered by time.

use driftfront_cluster::Micros;
use std::collections::BTreeMap;

/// An event of the simulation.
pub(super) enum Event {
    /// The member checks its timers.
    Tick(u32),
    /// A datagram arrives at a member.
    Arrival { receiver: u32, bytes: Vec<u8> },
    /// The disk has completed the next write of this incarnation of a member's process.
    WriteCompleted { member: u32, incarnation: u32 },
}

/// Orders events by time, and events at the same time by the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    number: u64,
}

/// The queue of scheduled events.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<EventKey, Event>,
    /// Number of events scheduled so far.
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.events.insert(EventKey { at, number }, event);
    }

    /// Returns the time of the next event.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.events.first_key_value().map(|(key, _)| key.at)
    }

    /// Removes and returns the next event.
    pub(super) fn pop(&mut self) -> Option<Event> {
        self.events.pop_first().map(|(_, event)| event)
    }
}
