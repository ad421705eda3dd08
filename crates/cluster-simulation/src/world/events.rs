//! What happens by itself, ordered by time.

use driftfront_cluster::Micros;
use std::collections::BTreeMap;

/// An event of the simulation.
pub(super) enum Event {
    /// The member checks its timers.
    Tick(u32),
    /// A datagram arrives at a member.
    Arrival { receiver: u32, bytes: Vec<u8> },
    /// The disk has completed the next write of a member's process of this incarnation.
    WriteCompleted { member: u32, incarnation: u32 },
}

/// Events happen by time, and at the same time in the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: Micros,
    number: u64,
}

/// Events that are scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<EventKey, Event>,
    /// How many were scheduled so far.
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        let number = self.scheduled;
        self.events.insert(EventKey { at, number }, event);
    }

    /// When the next event happens.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.events.first_key_value().map(|(key, _)| key.at)
    }

    /// Takes the next event.
    pub(super) fn pop(&mut self) -> Option<Event> {
        self.events.pop_first().map(|(_, event)| event)
    }
}
