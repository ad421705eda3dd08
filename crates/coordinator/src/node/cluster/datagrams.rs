//! Datagrams between coordinators: read before any of the agent's timers runs, and never for long at once.

use super::ClusterRuntime;
use crate::clock::elapsed_micros;
use crate::node::{EventSource, Node};
use driftfront_cluster::MAX_DATAGRAM_BYTES;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Datagrams read before other sources have their turn.
const MAX_DATAGRAMS_PER_TURN: usize = 128;
/// Time that a turn may take: the event loop serves clients first.
const MAX_TURN_TIME: Duration = Duration::from_millis(2);

/// How a turn of reading ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnEnd {
    /// All that has come is read.
    Drained,
    /// There may be more to read.
    CutShort,
}

impl ClusterRuntime {
    /// Reads until nothing waits or the turn is over, then sends what the agent has to say.
    fn run_turn(&mut self) -> TurnEnd {
        let started = Instant::now();
        let end = self.read_datagrams(started);
        self.turns_cut_short += u64::from(end == TurnEnd::CutShort);
        self.send_datagrams();
        self.longest_turn_micros = self.longest_turn_micros.max(elapsed_micros(started));
        end
    }

    fn read_datagrams(&mut self, started: Instant) -> TurnEnd {
        // One byte more than the longest shows what is too long.
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
                // A refused one tells of an earlier send; none of it ends the socket.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => return TurnEnd::Drained,
            }
        }
        TurnEnd::CutShort
    }

    /// Sends what the agent has to say, once what it must retain is on its way to the disk.
    pub(super) fn send_datagrams(&mut self) {
        self.persist_log_writes();
        while let Some((to, bytes)) = self.agent.next_outgoing() {
            let sent = self.socket.send_to(&bytes, to);
            self.unsent_datagrams += u64::from(sent.is_err());
        }
    }
}

impl Node {
    /// Reads what has come from other coordinators; where the turn is over before all is read, the next one goes on.
    pub(in crate::node) fn read_datagrams(&mut self) {
        let cluster = self.cluster.as_mut();
        if cluster.is_some_and(|cluster| cluster.run_turn() == TurnEnd::CutShort) {
            self.deferred.push(EventSource::Cluster);
        }
    }

    /// Whether the last turn ended before all was read.
    pub(super) fn has_unread_datagrams(&self) -> bool {
        let mut deferred = self.deferred.iter();
        deferred.any(|source| matches!(source, EventSource::Cluster))
    }
}
