//! Processing of the replica's output: messages, writes and applied entries.

use super::Consensus;
use crate::consensus::messages::{fits_one_datagram, Message, TransferKind};
use crate::consensus::replica::Applied;
use crate::Micros;

impl Consensus {
    /// Processes the replica's output until there is none left: writes that are confirmed at once produce more output.
    pub(super) fn handle_replica_output(&mut self, now: Micros) {
        while self.handle_some_output(now) {}
    }

    /// Processes the pending output; returns whether there was any.
    fn handle_some_output(&mut self, now: Micros) -> bool {
        let had_writes = self.collect_writes();
        let Some(replica) = self.participation.replica_mut() else {
            return false;
        };
        let cluster_id = replica.cluster_id();
        let messages: Vec<_> = std::iter::from_fn(|| replica.next_outgoing()).collect();
        let applied = replica.take_applied();
        let had_any = had_writes || !messages.is_empty() || !applied.is_empty();
        for (receiver, bytes) in messages {
            self.send_raft_message(now, receiver, cluster_id, bytes);
        }
        for entry in applied {
            self.report_applied(entry);
        }
        had_any
    }

    /// Collects the replica's writes; returns whether there were any. Without persistence they are confirmed at once.
    fn collect_writes(&mut self) -> bool {
        let Some(replica) = self.participation.replica_mut() else {
            return false;
        };
        let mut had_any = false;
        while let Some(write) = replica.next_write() {
            had_any = true;
            if self.is_persistent {
                self.writes.push_back(write);
            } else {
                replica.confirm_write(write.number);
            }
        }
        had_any
    }

    fn send_raft_message(&mut self, now: Micros, receiver: u64, cluster_id: u64, bytes: Vec<u8>) {
        let Some(name) = self.name_of_replica(receiver).cloned() else {
            return;
        };
        if fits_one_datagram(&bytes) {
            let message = Message::Raft { cluster_id, bytes };
            self.outbox.push(&name, &message);
        } else {
            self.send_transfer(now, &name, cluster_id, TransferKind::Raft, bytes);
        }
    }

    /// Sends content that exceeds a datagram.
    pub(super) fn send_transfer(
        &mut self,
        now: Micros,
        receiver: &str,
        cluster_id: u64,
        kind: TransferKind,
        bytes: Vec<u8>,
    ) {
        for fragment in self.transfers.send(now, receiver, kind.code(), bytes) {
            let message = Message::Fragment {
                cluster_id,
                fragment,
            };
            self.outbox.push(receiver, &message);
        }
    }

    fn report_applied(&mut self, applied: Applied) {
        if self.proposals.complete(&applied) {
            self.respond(self.clock, &applied.owner, applied.request, applied.outcome);
        }
    }
}
