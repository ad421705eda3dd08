//! Periodic work of the agent.

use super::Cluster;
use crate::consensus::{Consensus, Notice, Peer};
use crate::gossip::{GossipState, CONSENSUS, METADATA};
use crate::member_metadata::MemberMetadata;
use crate::membership::{Identity, KnownMember};
use crate::message_authentication::{Payload, MAX_PAYLOAD_BYTES};
use crate::Micros;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Interval between gossip rounds.
const GOSSIP_INTERVAL: Micros = 100_000;
/// Members that receive the rumors of a round.
const GOSSIP_FANOUT: usize = 3;
/// Interval between comparisons of versions with one other member.
const COMPARISON_INTERVAL: Micros = 400_000;
/// Interval between join requests to a seed while no other member is reachable.
const JOIN_INTERVAL: Micros = 500_000;
/// Interval between join requests to unreachable seeds otherwise, in case the cluster is partitioned.
const REJOIN_INTERVAL: Micros = 5_000_000;
/// Minimum interval between reports of stale sessions: one sender is notified at a time, and not for each datagram.
const STALE_REPORT_INTERVAL: Micros = 50_000;
/// Interval between updates of the reachability of gossip records.
const REACHABILITY_INTERVAL: Micros = 500_000;
/// Minimum interval between publications of the consensus notice, which changes with each entry.
const NOTICE_INTERVAL: Micros = 200_000;

/// Due times of periodic work, in local time.
pub(super) struct Timers {
    notice: Micros,
    gossip: Micros,
    comparison: Micros,
    join: Micros,
    reachability: Micros,
    stale_report: Micros,
}

impl Timers {
    /// Starts the timers with random offsets, so that members that start together do not keep sending in lockstep.
    pub(super) fn start(now: Micros, rng: &mut SmallRng) -> Timers {
        Timers {
            notice: now,
            join: now + rng.random_range(0..JOIN_INTERVAL / 4),
            gossip: now + rng.random_range(0..GOSSIP_INTERVAL),
            comparison: now + rng.random_range(0..COMPARISON_INTERVAL),
            reachability: now,
            stale_report: now,
        }
    }

    /// The earliest due time of the timers that need a wake-up of their own.
    pub(super) fn next_due(&self) -> Micros {
        let first = self.join.min(self.gossip);
        first.min(self.comparison).min(self.reachability)
    }

    /// Whether a stale session may be reported now.
    pub(super) fn may_report_stale(&mut self, now: Micros) -> bool {
        is_due(&mut self.stale_report, now, STALE_REPORT_INTERVAL)
    }

    pub(super) fn join_at_once(&mut self, now: Micros) {
        self.join = now;
    }

    pub(super) fn update_reachability_at_once(&mut self, now: Micros) {
        self.reachability = now;
    }
}

/// Whether a timer is due; restarts it if so.
fn is_due(timer: &mut Micros, now: Micros, interval: Micros) -> bool {
    let is_due = now >= *timer;
    if is_due {
        *timer = now + interval;
    }
    is_due
}

impl Cluster {
    /// Runs all work that is due by the host's clock.
    pub fn tick(&mut self, clock: Micros) {
        let now = self.clock.update(clock);
        if self.has_left {
            return;
        }
        self.with_members(now, |members, output| members.tick(now, output));
        if now >= self.timers.join {
            self.join(now);
        }
        if is_due(&mut self.timers.gossip, now, GOSSIP_INTERVAL) {
            self.pass_on_rumors(now);
        }
        if is_due(&mut self.timers.comparison, now, COMPARISON_INTERVAL) {
            self.compare_with_random_member(now);
        }
        if is_due(&mut self.timers.reachability, now, REACHABILITY_INTERVAL) {
            self.update_reachability(now);
        }
        self.tick_consensus(now, clock);
    }

    /// Sends a join request to a random unreachable seed or down member.
    fn join(&mut self, now: Micros) {
        let interval = match self.members.reachable_count() {
            0 => JOIN_INTERVAL,
            _ => REJOIN_INTERVAL,
        };
        self.timers.join = now + interval;
        let own = self.local_identity().addr;
        let is_reachable = |addr: SocketAddr| self.members.reachable().any(|m| m.addr == addr);
        let seeds = self.seeds.iter().copied();
        let missing: Vec<SocketAddr> = seeds
            .chain(self.members.down_addresses())
            .filter(|addr| *addr != own && !is_reachable(*addr))
            .collect();
        if let Some(&seed) = missing.choose(&mut self.rng) {
            self.with_members(now, |members, output| members.join(now, seed, output));
        }
    }

    fn pass_on_rumors(&mut self, now: Micros) {
        let others: Vec<Identity> = self.members.reachable().cloned().collect();
        if others.is_empty() {
            return;
        }
        let Some(rumors) = self.gossip.next_rumors(now, MAX_PAYLOAD_BYTES) else {
            return;
        };
        let chosen = others.choose_multiple(&mut self.rng, GOSSIP_FANOUT);
        let receivers: Vec<Identity> = chosen.cloned().collect();
        for receiver in receivers {
            self.send(now, &receiver, Payload::GossipState, &rumors);
        }
    }

    fn compare_with_random_member(&mut self, now: Micros) {
        let others: Vec<&Identity> = self.members.reachable().collect();
        let Some(receiver) = others.choose(&mut self.rng).map(|&m| m.clone()) else {
            return;
        };
        let versions = self.gossip.next_versions(MAX_PAYLOAD_BYTES);
        self.send(now, &receiver, Payload::Versions, &versions);
    }

    fn update_reachability(&mut self, now: Micros) {
        let reachable: BTreeSet<&str> = self.members.reachable().map(|m| &*m.name).collect();
        self.gossip
            .update_reachability(now, |name| reachable.contains(name));
    }

    fn tick_consensus(&mut self, now: Micros, clock: Micros) {
        let Some(consensus) = &mut self.consensus else {
            return;
        };
        let (members, gossip) = (&self.members, &self.gossip);
        consensus.tick(now, clock, || {
            let known = members.known(now);
            let mut peers: Vec<Peer> = known.map(|m| peer(now, m, gossip)).collect();
            // The last process of each name is kept: sorting puts the one with the best status last.
            peers.sort_by(|a, b| (&a.name, b.status).cmp(&(&b.name, a.status)));
            peers
        });
        self.publish_notice(now);
        self.send_consensus_messages(now);
    }

    /// Publishes this member's consensus notice if it has changed.
    fn publish_notice(&mut self, now: Micros) {
        if now < self.timers.notice {
            return;
        }
        let notice = self.consensus.as_ref().map(Consensus::notice);
        if let Some(notice) = notice.filter(|n| *n != self.published_notice) {
            self.timers.notice = now + NOTICE_INTERVAL;
            let bytes = notice.encode();
            self.published_notice = notice;
            self.publish(CONSENSUS, &bytes);
        }
    }
}

/// The view that consensus has of a member.
fn peer(now: Micros, member: KnownMember, gossip: &GossipState) -> Peer {
    let name = &member.identity.name;
    let metadata = gossip.get(now, name, METADATA);
    let notice = gossip.get(now, name, CONSENSUS);
    Peer {
        name: name.clone(),
        status: member.status,
        status_age: member.status_age,
        zone: metadata
            .and_then(|r| MemberMetadata::decode(r.value))
            .map_or(String::new(), |metadata| metadata.zone),
        notice: notice.and_then(|r| Notice::decode(r.value)),
    }
}
