//! A simulated process with its agent, socket, clock and disk.

use driftfront_cluster::consensus::replica::Write;
use driftfront_cluster::consensus::{store, Consensus};
use driftfront_cluster::{Cluster, Counters, Micros, Options};
use std::collections::VecDeque;

/// Maximum number of datagrams in a socket's buffer.
const MAX_BUFFERED_DATAGRAMS: usize = 256;

/// A member's process, and the state that survives its restarts.
#[derive(Default)]
pub(super) struct Process {
    /// The agent, while the process runs.
    pub(super) agent: Option<Cluster>,
    /// Whether the process is suspended. Incoming datagrams then stay in the socket.
    pub(super) is_suspended: bool,
    socket: VecDeque<Vec<u8>>,
    /// Offset of the process's clock from the simulated time, in microseconds.
    pub(super) clock_offset: i64,
    /// Number of starts of the process. Completed writes of an earlier incarnation are ignored.
    pub(super) incarnation: u32,
    /// Counters of earlier incarnations.
    earlier_counters: Counters,
    /// The log file.
    pub(super) disk: Vec<u8>,
    pending_writes: VecDeque<Write>,
}

impl Process {
    /// Returns the value of the process's clock.
    pub(super) fn clock(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.clock_offset)
    }

    /// Returns the agent, unless the process is suspended or ended.
    pub(super) fn running_agent(&mut self) -> Option<&mut Cluster> {
        self.agent.as_mut().filter(|_| !self.is_suspended)
    }

    /// Returns whether the process runs and is not suspended.
    pub(super) fn is_running(&self) -> bool {
        self.agent.is_some() && !self.is_suspended
    }

    /// Returns the member's consensus state, while the process runs.
    pub(super) fn consensus(&self) -> Option<&Consensus> {
        self.agent.as_ref()?.consensus()
    }

    /// Starts the process. Like the real program, it truncates an incomplete last record on the disk.
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

    /// Ends the process. A write in progress is torn: `draw_torn_length` returns how many of its bytes, up to its length, reach the
    /// disk.
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

    /// Buffers a datagram. Returns false if the process does not run or the buffer is full.
    pub(super) fn buffer_datagram(&mut self, bytes: Vec<u8>) -> bool {
        let has_room = self.agent.is_some() && self.socket.len() < MAX_BUFFERED_DATAGRAMS;
        if has_room {
            self.socket.push_back(bytes);
        }
        has_room
    }

    /// Passes all buffered datagrams to the agent.
    pub(super) fn read_socket(&mut self, clock: Micros) {
        if let Some(agent) = &mut self.agent {
            for bytes in self.socket.drain(..) {
                agent.handle_datagram(clock, &bytes);
            }
        }
    }

    /// Queues the agent's new writes, and returns their number.
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

    /// Writes the first pending write to the disk and confirms it to the agent.
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

    /// Returns the counters that commands and tests use, summed over all incarnations.
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
