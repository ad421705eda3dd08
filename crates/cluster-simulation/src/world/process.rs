//! One simulated process: the member's agent, its socket, its clock and its disk.

use driftfront_cluster::consensus::replica::Write;
use driftfront_cluster::consensus::{store, Consensus};
use driftfront_cluster::{Cluster, Counters, Micros, Options};
use std::collections::VecDeque;

/// Datagrams that a socket buffers while its process is suspended.
const MAX_BUFFERED_DATAGRAMS: usize = 256;

/// A member's process, and what outlives it.
#[derive(Default)]
pub(super) struct Process {
    /// The agent, while the process runs.
    pub(super) agent: Option<Cluster>,
    /// Suspended: what arrives waits in the socket.
    pub(super) is_suspended: bool,
    socket: VecDeque<Vec<u8>>,
    /// How far the process's clock is ahead of the simulation's, in microseconds.
    pub(super) clock_offset: i64,
    /// How often the process was started: writes of an earlier start mean nothing to the next.
    pub(super) incarnation: u32,
    /// Counters of earlier starts.
    earlier_counters: Counters,
    /// The log file.
    pub(super) disk: Vec<u8>,
    pending_writes: VecDeque<Write>,
}

impl Process {
    /// What the process's clock shows.
    pub(super) fn clock(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.clock_offset)
    }

    /// The agent, unless the process is suspended or ended.
    pub(super) fn running_agent(&mut self) -> Option<&mut Cluster> {
        self.agent.as_mut().filter(|_| !self.is_suspended)
    }

    /// Whether the process runs and is not suspended.
    pub(super) fn is_running(&self) -> bool {
        self.agent.is_some() && !self.is_suspended
    }

    /// The member's part in consensus, while the process runs.
    pub(super) fn consensus(&self) -> Option<&Consensus> {
        self.agent.as_ref()?.consensus()
    }

    /// Starts the process. Whatever the last write left incomplete is cut from the disk, as the program does.
    pub(super) fn start(&mut self, clock: Micros, options: Options) {
        self.incarnation += 1;
        self.pending_writes.clear();
        if let Ok(loaded) = store::read(&self.disk) {
            self.disk.truncate(loaded.valid_bytes);
        }
        self.agent = Some(Cluster::new(clock, options));
        self.socket.clear();
        self.is_suspended = false;
    }

    /// Ends the process. A write in progress is torn: `draw_torn_length` draws how many of its bytes reach the disk, up to
    /// its length.
    pub(super) fn end(&mut self, draw_torn_length: impl FnOnce(usize) -> usize) {
        self.earlier_counters = self.counters();
        self.agent = None;
        let in_progress = self.pending_writes.pop_front();
        if let Some(write) = in_progress.filter(|write| !write.replaces_file) {
            let torn = draw_torn_length(write.bytes.len());
            self.disk.extend_from_slice(&write.bytes[..torn]);
        }
        self.pending_writes.clear();
        self.socket.clear();
    }

    /// Buffers a datagram; whether the process runs and had room.
    pub(super) fn buffer_datagram(&mut self, bytes: Vec<u8>) -> bool {
        let has_room = self.agent.is_some() && self.socket.len() < MAX_BUFFERED_DATAGRAMS;
        if has_room {
            self.socket.push_back(bytes);
        }
        has_room
    }

    /// Gives the agent all buffered datagrams.
    pub(super) fn read_socket(&mut self, clock: Micros) {
        if let Some(agent) = &mut self.agent {
            for bytes in self.socket.drain(..) {
                agent.handle_datagram(clock, &bytes);
            }
        }
    }

    /// Takes the agent's next writes; how many there were.
    pub(super) fn queue_writes(&mut self) -> usize {
        let Some(agent) = &mut self.agent else {
            return 0;
        };
        let queued_before = self.pending_writes.len();
        while let Some(write) = agent.next_write() {
            self.pending_writes.push_back(write);
        }
        self.pending_writes.len() - queued_before
    }

    /// Puts the first pending write on the disk and confirms it.
    pub(super) fn complete_write(&mut self) {
        let Some(agent) = &mut self.agent else {
            return;
        };
        let Some(write) = self.pending_writes.pop_front() else {
            return;
        };
        if write.replaces_file {
            self.disk.clear();
        }
        self.disk.extend_from_slice(&write.bytes);
        agent.confirm_write(write.number);
    }

    /// Counters over all starts: those that the commands and tests print.
    pub(super) fn counters(&self) -> Counters {
        let mut sum = self.earlier_counters;
        if let Some(agent) = &self.agent {
            let counters = agent.counters();
            sum.sent += counters.sent;
            sum.sent_bytes += counters.sent_bytes;
            sum.accepted += counters.accepted;
            sum.members_down += counters.members_down;
            sum.rejoins += counters.rejoins;
            sum.rate_limited += counters.rate_limited;
            sum.replayed += counters.replayed;
            sum.stale_session += counters.stale_session;
            sum.unreadable += counters.unreadable;
            sum.refused += counters.refused;
        }
        sum
    }
}
