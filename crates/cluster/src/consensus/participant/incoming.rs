//! Handling of messages from other members.

use super::Consensus;
use crate::consensus::leases::{Command, Outcome, RequestId};
use crate::consensus::log::Log;
use crate::consensus::log_identity::LogIdentity;
use crate::consensus::messages::{LogPosition, Message, TransferKind};
use crate::consensus::participation::Participation;
use crate::consensus::proposals::Proposed;
use crate::consensus::replica::Replica;
use crate::consensus::state_copy::StateCopy;
use crate::consensus::store;
use crate::Micros;
use protobuf::Message as _;
use raft::eraftpb::{Message as RaftMessage, MessageType};
use rand::Rng;

impl Consensus {
    /// Handles another member's message.
    pub fn handle_message(&mut self, now: Micros, clock: Micros, sender: &str, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes::<Message>(bytes) else {
            self.counters.malformed += 1;
            return;
        };
        match message {
            Message::Raft { cluster_id, bytes } => {
                self.handle_raft_message(now, cluster_id, &bytes);
            }
            Message::Fragment {
                cluster_id,
                fragment,
            } => {
                if let Some(received) = self.transfers.receive(now, sender, fragment) {
                    let kind = TransferKind::from_code(received.kind);
                    self.handle_transfer(now, sender, cluster_id, kind, &received.bytes);
                }
            }
            Message::FragmentRequest { transfer, numbers } => {
                self.resend_fragments(now, sender, transfer, &numbers);
            }
            Message::Request {
                cluster_id,
                session,
                request: number,
                command,
            } => {
                let request = RequestId { session, number };
                self.handle_request(clock, sender, cluster_id, request, command);
            }
            Message::Response {
                session,
                request,
                outcome,
            } => self.handle_response(
                clock,
                sender,
                RequestId {
                    session,
                    number: request,
                },
                outcome,
            ),
            Message::Redirect { request, leader } => {
                if let Some(request) = self.requests.redirect(now, request) {
                    self.send_request_to(&leader, request.id, request.command);
                }
            }
            Message::StateRequest { cluster_id, index } => {
                self.send_newer_state(now, sender, LogPosition { cluster_id, index });
            }
        }
        self.handle_replica_output(now);
    }

    fn handle_transfer(
        &mut self,
        now: Micros,
        sender: &str,
        cluster_id: u64,
        kind: Option<TransferKind>,
        bytes: &[u8],
    ) {
        match kind {
            Some(TransferKind::Raft) => self.handle_raft_message(now, cluster_id, bytes),
            Some(TransferKind::StateCopy) => self.handle_state_copy(sender, bytes),
            None => self.counters.malformed += 1,
        }
    }

    fn handle_raft_message(&mut self, now: Micros, cluster_id: u64, bytes: &[u8]) {
        if self.replica().is_none() && self.is_admitted_by(bytes) {
            let identity = LogIdentity::joined(self.replica_id, cluster_id);
            let replica = Replica::join(identity, self.rng.random());
            self.participation = Participation::replicating(replica);
            self.leaderless_since = Some(now);
        }
        let replica = self.participation.replica_mut();
        let Some(replica) = replica.filter(|r| r.cluster_id() == cluster_id) else {
            self.counters.other_log += 1;
            return;
        };
        replica.handle_message(bytes);
        self.last_message_at = now;
    }

    /// Whether this is a leader's message to the replica id that this member drew, which means that the leader admitted it.
    fn is_admitted_by(&self, raft_message: &[u8]) -> bool {
        let is_from_leader = |kind: MessageType| {
            matches!(
                kind,
                MessageType::MsgAppend | MessageType::MsgHeartbeat | MessageType::MsgSnapshot
            )
        };
        RaftMessage::parse_from_bytes(raft_message)
            .is_ok_and(|m| m.to == self.replica_id && is_from_leader(m.get_msg_type()))
    }

    /// Handles a member's request: responds if it was applied already, proposes it as the leader, or redirects to the leader.
    fn handle_request(
        &mut self,
        clock: Micros,
        sender: &str,
        cluster_id: u64,
        request: RequestId,
        command: Command,
    ) {
        if cluster_id != self.cluster_id() {
            self.counters.other_log += 1;
            return;
        }
        if let Some(outcome) = self.state().leases.outcome(sender, request).cloned() {
            return self.send_response(sender, request, outcome);
        }
        if self.propose(clock, sender, request, command) {
            return;
        }
        let leader = self.leader();
        if let Some(leader) = leader.filter(|l| *l != self.name && l != sender) {
            let redirect = Message::Redirect {
                request: request.number,
                leader,
            };
            self.outbox.push(sender, &redirect);
        }
    }

    /// Proposes a member's command as the leader; false if this member is not the leader.
    pub(super) fn propose(
        &mut self,
        clock: Micros,
        owner: &str,
        request: RequestId,
        command: Command,
    ) -> bool {
        let all_persistent = self.all_persistent();
        let Some(replica) = self.participation.leading() else {
            return false;
        };
        replica.observe_clock(clock);
        let proposed = self
            .proposals
            .propose(replica, owner, request, command, all_persistent);
        match proposed {
            Proposed::Pending => {}
            Proposed::Answered(outcome) => self.respond(clock, owner, request, outcome),
            Proposed::NoRoom => self.counters.rejected += 1,
        }
        true
    }

    /// Sends a member the outcome of its request; a request of this member is completed at once.
    pub(super) fn respond(
        &mut self,
        clock: Micros,
        owner: &str,
        request: RequestId,
        outcome: Outcome,
    ) {
        if owner == self.name {
            self.complete_request(clock, request.number, outcome);
        } else {
            self.send_response(owner, request, outcome);
        }
    }

    fn send_response(&mut self, receiver: &str, request: RequestId, outcome: Outcome) {
        let response = Message::Response {
            session: request.session,
            request: request.number,
            outcome,
        };
        self.outbox.push(receiver, &response);
    }

    /// Completes a request of this member.
    pub(super) fn complete_request(&mut self, clock: Micros, number: u64, outcome: Outcome) {
        self.requests
            .complete(clock, number, outcome, &mut self.counters);
    }

    /// Handles a voter's response to a request of this member.
    fn handle_response(
        &mut self,
        clock: Micros,
        sender: &str,
        request: RequestId,
        outcome: Outcome,
    ) {
        let voters = &self.state().voters;
        let is_voter = voters.values().any(|v| v == sender);
        let is_for_us = is_voter && request.session == self.requests.session;
        if is_for_us || voters.is_empty() {
            self.complete_request(clock, request.number, outcome);
        }
    }

    fn resend_fragments(&mut self, now: Micros, receiver: &str, transfer: u64, numbers: &[u16]) {
        let cluster_id = self.cluster_id();
        for fragment in self.transfers.resend(now, receiver, transfer, numbers) {
            let message = Message::Fragment {
                cluster_id,
                fragment,
            };
            self.outbox.push(receiver, &message);
        }
    }

    /// Sends a copy of the state to a member that knows an older one.
    fn send_newer_state(&mut self, now: Micros, receiver: &str, known: LogPosition) {
        let own = self.known_position();
        let has_newer = own.cluster_id != known.cluster_id || own.index > known.index;
        if own.cluster_id == 0 || !has_newer {
            return;
        }
        let copy = StateCopy::for_observer(own, self.state());
        if let Some(bytes) = copy.encode() {
            self.send_transfer(
                now,
                receiver,
                own.cluster_id,
                TransferKind::StateCopy,
                bytes,
            );
        }
    }

    /// Handles a copy of the state. A voter that was replaced while it was offline receives no more log messages and learns of
    /// its replacement from such a copy. Its id is never used again, so that it can drop its replica safely.
    fn handle_state_copy(&mut self, sender: &str, bytes: &[u8]) {
        let Some(copy) = StateCopy::decode(bytes) else {
            self.counters.malformed += 1;
            return;
        };
        self.copy.update(copy);
        if self.was_replaced_according_to(sender) {
            // Other members are the voters now: this one must not bootstrap a second log.
            let identity = LogIdentity::replaced(self.copy.position.cluster_id);
            self.abandon_replica(store::encode_file(&Log::new(identity)));
        }
    }

    /// Whether the copied state, sent by one of its voters, is newer than the replica's and does not contain the replica's id.
    fn was_replaced_according_to(&self, sender: &str) -> bool {
        let Some(replica) = self.replica() else {
            return false;
        };
        let position = self.copy.position;
        let voters = &self.copy.state.voters;
        let is_newer =
            replica.cluster_id() == position.cluster_id && position.index > replica.applied_index();
        is_newer && voters.values().any(|v| v == sender) && !voters.contains_key(&self.replica_id)
    }
}
