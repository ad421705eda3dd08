//! Datagrams between coordinators. They are read before the agent's timers run, in turns of limited length.

use super::ClusterRuntime;
use crate::clock::elapsed_micros;
use crate::node::{EventSource, Node};
use driftfront_cluster::MAX_DATAGRAM_BYTES;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// The maximum number of datagrams read per turn before other event sources are served.
const MAX_DATAGRAMS_PER_TURN: usize = 128;
/// The maximum duration of a turn, so that clients are not delayed.
const MAX_TURN_TIME: Duration = Duration::from_millis(2);

/// How a turn of reading ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnEnd {
    /// All received datagrams were read.
    Drained,
    /// There may be more datagrams to read.
    CutShort,
}

impl ClusterRuntime {
    /// Reads until the socket is empty or the turn is over, then sends the agent's outgoing datagrams.
    fn run_turn(&mut self) -> TurnEnd {
        let started = Instant::now();
        let end = self.read_datagrams(started);
        self.turns_cut_short += u64::from(end == TurnEnd::CutShort);
        self.send_datagrams();
        self.longest_turn_micros = self.longest_turn_micros.max(elapsed_micros(started));
        end
    }

    fn read_datagrams(&mut self, started: Instant) -> TurnEnd {
        // One byte longer than the maximum, to detect datagrams that exceed it.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            if started.elapsed() >= MAX_TURN_TIME {
                return TurnEnd::CutShort;
            }
            match self.socket.recv(&mut buffer) {
                Ok(length) => {
                    let now = self.clock();
                    self.agent.handle_datagram(now, &buffer[..length]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Reports that an earlier datagram was refused; the socket remains usable.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => return TurnEnd::Drained,
            }
        }
        TurnEnd::CutShort
    }

    /// Sends the agent's outgoing datagrams, after submitting the writes that must precede them.
    pub(super) fn send_datagrams(&mut self) {
        self.persist_log_writes();
        while let Some((to, bytes)) = self.agent.next_outgoing() {
            let sent = self.socket.send_to(&bytes, to);
            self.unsent_datagrams += u64::from(sent.is_err());
        }
    }
}

impl Node {
    /// Reads datagrams from other coordinators for one turn; a turn that ends early is continued on the next pass of the event
    /// loop.
    pub(in crate::node) fn read_datagrams(&mut self) {
        let cluster = self.cluster.as_mut();
        if cluster.is_some_and(|cluster| cluster.run_turn() == TurnEnd::CutShort) {
            self.deferred.push(EventSource::Cluster);
        }
    }

    /// Whether the last turn ended before all datagrams were read.
    pub(super) fn has_unread_datagrams(&self) -> bool {
        let mut deferred = self.deferred.iter();
        deferred.any(|source| matches!(source, EventSource::Cluster))
    }
}
