//! Sending of datagrams, within the rate limits.

use super::Cluster;
use crate::consensus::Consensus;
use crate::membership::Identity;
use crate::message_authentication::Payload;
use crate::token_bucket::TokenBucket;
use crate::Micros;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Rate limits of a member, independent of the size of the cluster. Membership and gossip have separate limits, so that
/// neither starves the other.
const MEMBERSHIP_DATAGRAMS_PER_SECOND: f64 = 120.0;
const GOSSIP_DATAGRAMS_PER_SECOND: f64 = 60.0;
/// The rate limit for consensus: the heartbeats of five voters take 20, and each entry one datagram to each voter and back.
const CONSENSUS_DATAGRAMS_PER_SECOND: f64 = 200.0;
/// Datagrams that may wait to be written.
const MAX_WAITING_DATAGRAMS: usize = 512;

/// Datagrams that wait to be written, and the rate limits.
pub(super) struct Outgoing {
    queue: VecDeque<(SocketAddr, Vec<u8>)>,
    membership_limit: TokenBucket,
    gossip_limit: TokenBucket,
    consensus_limit: TokenBucket,
}

impl Default for Outgoing {
    fn default() -> Outgoing {
        Outgoing {
            queue: VecDeque::new(),
            membership_limit: TokenBucket::new(MEMBERSHIP_DATAGRAMS_PER_SECOND),
            gossip_limit: TokenBucket::new(GOSSIP_DATAGRAMS_PER_SECOND),
            consensus_limit: TokenBucket::new(CONSENSUS_DATAGRAMS_PER_SECOND),
        }
    }
}

impl Outgoing {
    /// Whether a payload of this size may be sent now; takes its tokens.
    fn admit(&mut self, now: Micros, payload: Payload, bytes: usize) -> bool {
        let limit = match payload {
            Payload::Members => &mut self.membership_limit,
            Payload::Consensus => &mut self.consensus_limit,
            _ => &mut self.gossip_limit,
        };
        self.queue.len() < MAX_WAITING_DATAGRAMS && limit.take(now, bytes)
    }

    pub(super) fn pop(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.queue.pop_front()
    }
}

impl Cluster {
    pub(super) fn send(
        &mut self,
        now: Micros,
        receiver: &Identity,
        payload: Payload,
        bytes: &[u8],
    ) {
        if !self.outgoing.admit(now, payload, bytes.len()) {
            self.counters.rate_limited += 1;
            return;
        }
        if let Some(datagram) = self.authenticator.seal(payload, bytes, receiver.session) {
            self.counters.sent += 1;
            self.counters.sent_bytes += datagram.len() as u64;
            self.outgoing.queue.push_back((receiver.addr, datagram));
        }
    }

    pub(super) fn send_membership(&mut self, now: Micros, datagrams: Vec<(Identity, Vec<u8>)>) {
        for (receiver, bytes) in datagrams {
            self.send(now, &receiver, Payload::Members, &bytes);
        }
    }

    /// Sends all pending consensus messages. A member that was declared down may be unreachable for other members only, so
    /// its messages are sent to its last address.
    pub(super) fn send_consensus_messages(&mut self, now: Micros) {
        while let Some((name, bytes)) = self.consensus.as_mut().and_then(Consensus::next_outgoing) {
            let of_name = self.members.known(now).filter(|m| m.identity.name == name);
            let receiver = of_name.min_by_key(|m| m.status);
            if let Some(receiver) = receiver.map(|m| m.identity.clone()) {
                self.send(now, &receiver, Payload::Consensus, &bytes);
            }
        }
    }
}
