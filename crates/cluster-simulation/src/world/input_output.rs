//! Handles events of processes: ticks, incoming datagrams, completed writes, and the resulting output.

use super::events::Event;
use super::members::member_at;
use super::{World, TICK_INTERVAL};
use driftfront_cluster::Micros;
use rand::Rng;
use std::net::SocketAddr;
use std::ops::Range;

/// Range of the duration of a disk write.
const WRITE_TIME: Range<Micros> = 500..8_000;
/// Offset basis and prime of the 64-bit FNV-1a hash.
pub(super) const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

impl World {
    /// Handles an event. Returns whether it was a tick of a running member.
    pub(super) fn handle_event(&mut self, event: Event) -> bool {
        match event {
            Event::Tick(member) => return self.handle_tick(member),
            Event::Arrival { receiver, bytes } => {
                if self.process_mut(receiver).buffer_datagram(bytes) {
                    self.handle_arrived(receiver);
                }
            }
            Event::WriteCompleted {
                member,
                incarnation,
            } => self.handle_write_completed(member, incarnation),
        }
        false
    }

    /// Lets a process handle its due timers. Returns false if it is suspended.
    fn handle_tick(&mut self, member: u32) -> bool {
        if self.process(member).agent.is_some() {
            self.events
                .schedule(self.now + TICK_INTERVAL, Event::Tick(member));
        }
        if self.process(member).is_suspended {
            return false;
        }
        let (time, clock) = (self.time(), self.clock(member));
        let process = &mut self.processes[member as usize];
        process.read_socket(clock);
        if let Some(agent) = process.running_agent() {
            agent.tick(clock);
            if let Some(workload) = &mut self.lease_workload {
                workload.poll(member, time, clock, agent);
            }
        }
        self.collect_output(member);
        self.record_view_changes(member);
        true
    }

    /// Lets a process read the datagrams in its socket, unless it is suspended.
    pub(super) fn handle_arrived(&mut self, member: u32) {
        let clock = self.clock(member);
        if self.process(member).is_running() {
            self.process_mut(member).read_socket(clock);
            self.collect_output(member);
        }
    }

    fn handle_write_completed(&mut self, member: u32, incarnation: u32) {
        let process = self.process_mut(member);
        if process.incarnation != incarnation {
            return;
        }
        if process.is_suspended {
            let event = Event::WriteCompleted {
                member,
                incarnation,
            };
            return self.events.schedule(self.now + TICK_INTERVAL, event);
        }
        process.complete_write();
        self.collect_output(member);
    }

    /// Sends the outgoing datagrams of a process and starts its writes.
    fn collect_output(&mut self, member: u32) {
        let process = self.process_mut(member);
        let Some(agent) = &mut process.agent else {
            return;
        };
        let datagrams: Vec<_> = std::iter::from_fn(|| agent.next_outgoing()).collect();
        let (writes, incarnation) = (process.queue_writes(), process.incarnation);
        for _ in 0..writes {
            let at = self.now + self.rng.random_range(WRITE_TIME);
            let event = Event::WriteCompleted {
                member,
                incarnation,
            };
            self.events.schedule(at, event);
        }
        for (receiver, bytes) in datagrams {
            self.send_datagram(member, receiver, &bytes);
        }
    }

    fn send_datagram(&mut self, sender: u32, receiver: SocketAddr, bytes: &[u8]) {
        for byte in bytes {
            self.trace = (self.trace ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        let receiver = member_at(receiver).filter(|&member| member < self.script.members);
        let Some(receiver) = receiver else {
            return;
        };
        let link = self.links.between(sender, receiver);
        for latency in link.draw_latencies(&mut self.rng) {
            let bytes = bytes.to_vec();
            self.events
                .schedule(self.now + latency, Event::Arrival { receiver, bytes });
        }
    }
}
