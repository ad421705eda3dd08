//! Datagrams between coordinators: read before any of the agent's timers runs, and never for long at once.

use crate::clock::elapsed_micros;
use crate::node::{EventSource, Node};
use driftfront_cluster::MAX_DATAGRAM_BYTES;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// Datagrams read before other sources have their turn.
const MAX_DATAGRAMS_PER_TURN: usize = 128;
/// Time that a turn may take: the event loop serves clients first.
const MAX_TURN_TIME: Duration = Duration::from_millis(2);

impl Node {
    /// Reads what has come, until nothing waits or the turn is over; then sends what the agent has to say.
    pub(in crate::node) fn read_datagrams(&mut self) {
        let Some(cluster) = self.cluster.as_mut() else {
            return;
        };
        let started = Instant::now();
        // One byte more than the longest shows what is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for count in 0.. {
            if count >= MAX_DATAGRAMS_PER_TURN || started.elapsed() >= MAX_TURN_TIME {
                cluster.turns_cut_short += 1;
                self.deferred.push(EventSource::Cluster);
                break;
            }
            match cluster.socket.recv(&mut buffer) {
                Ok(length) => {
                    let now = cluster.clock();
                    cluster.agent.handle_datagram(now, &buffer[..length]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // A refused one tells of an earlier send; none of it ends the socket.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        self.send_datagrams();
        if let Some(cluster) = self.cluster.as_mut() {
            let micros = elapsed_micros(started);
            cluster.longest_turn_micros = cluster.longest_turn_micros.max(micros);
        }
    }

    /// Sends what the agent has to say, once what it must keep is on its way to the disk.
    pub(super) fn send_datagrams(&mut self) {
        self.persist_log_writes();
        let Some(cluster) = self.cluster.as_mut() else {
            return;
        };
        while let Some((to, bytes)) = cluster.agent.next_outgoing() {
            let sent = cluster.socket.send_to(&bytes, to);
            cluster.unsent_datagrams += u64::from(sent.is_err());
        }
    }

    /// Whether more lies in the socket than the last turn could read.
    pub(super) fn has_unread_datagrams(&self) -> bool {
        let mut deferred = self.deferred.iter();
        deferred.any(|source| matches!(source, EventSource::Cluster))
    }
}
