//! Periodic work of the participant.

use super::{draw_replica_id, Consensus, COPY_INTERVAL, LEADERLESS_TIMEOUT, RANDOM_ID_BITS};
use crate::consensus::bootstrap::Bootstrap;
use crate::consensus::leases::{Command, RequestId};
use crate::consensus::messages::{LogPosition, Message};
use crate::consensus::participation::Participation;
use crate::consensus::peers::Peer;
use crate::consensus::replica::{Replica, Write, TICK};
use crate::consensus::state_copy::CopySources;
use crate::consensus::store;
use crate::consensus::voter_overview::voter_overview;
use crate::Micros;
use rand::seq::IndexedRandom;
use rand::Rng;

impl Consensus {
    /// Runs all work that is due by local time `now` and the host's clock. `peers` returns all other known members.
    pub fn tick(&mut self, now: Micros, clock: Micros, peers: impl FnOnce() -> Vec<Peer>) {
        self.observe_clock(clock);
        if now >= self.next_tick {
            // After a stall the replica ticks once instead of catching up.
            self.next_tick = (self.next_tick + TICK).max(now + TICK / 2);
            self.last_tick = now;
            self.peers.replace(peers());
            self.tick_replica();
            self.try_bootstrap();
            self.track_leader(now);
            self.abandon_lost_log(now);
            self.propose_reconfiguration();
            self.request_fragments(now);
            if now >= self.next_copy_request {
                self.next_copy_request = now + COPY_INTERVAL;
                self.request_newer_state(now);
            }
        }
        self.send_own_request(now, clock);
        self.handle_replica_output(now);
    }

    /// Records the host's clock, by which held leases end and a leader's log time advances.
    fn observe_clock(&mut self, clock: Micros) {
        if clock < self.clock {
            self.requests.handle_clock_set_back(&mut self.counters);
        }
        self.clock = clock;
        self.requests.drop_ended(clock, &mut self.counters);
        if let Some(replica) = self.participation.replica_mut() {
            replica.observe_clock(clock);
        }
    }

    fn tick_replica(&mut self) {
        let Some(replica) = self.participation.replica_mut() else {
            return;
        };
        replica.tick();
        if replica.has_failed() {
            self.abandon_replica(store::HEADER.to_vec());
        }
    }

    /// Drops the replica and draws a new id, under which this process may be admitted again. `file` replaces the log file.
    pub(super) fn abandon_replica(&mut self, file: Vec<u8>) {
        self.counters.replicas_lost += 1;
        self.participation = Participation::Observing;
        self.proposals.clear();
        let min_clock_ms = (self.replica_id >> RANDOM_ID_BITS) + 1;
        let clock_ms = (self.clock / 1000).max(min_clock_ms);
        self.replica_id = draw_replica_id(clock_ms << RANDOM_ID_BITS, &mut self.rng);
        if self.is_persistent {
            // Pending writes of the dropped replica are obsolete.
            self.writes.clear();
            self.writes.push_back(Write {
                number: 0,
                replaces_file: true,
                bytes: file,
            });
        }
    }

    /// Bootstraps a log once all initial voters have promised to join it.
    fn try_bootstrap(&mut self) {
        if self.has_foreign_voters() {
            return;
        }
        self.raise_replica_id();
        let Some(bootstrap) = self.participation.bootstrap_mut() else {
            return;
        };
        let peers = &self.peers;
        if let Some(identity) = bootstrap.poll(|name| peers.announcement(name)) {
            let replica = Replica::bootstrap(identity, self.rng.random());
            self.participation = Participation::replicating(replica);
        }
    }

    /// Whether a voter that is not an initial voter has a log: then its leader admits this member.
    fn has_foreign_voters(&self) -> bool {
        self.peers.reachable().any(|(peer, notice)| {
            let is_voter = notice.is_voter && notice.cluster_id != 0;
            is_voter && !self.options.initial_voters.contains(&peer.name)
        })
    }

    /// Raises the drawn replica id so that the fencing numbers of a new log are above those of a known one, regardless of this
    /// host's clock.
    fn raise_replica_id(&mut self) {
        let is_bootstrapping = self.participation.bootstrap().is_some();
        let min_clock_ms = self.copy.state.leases.min_next_start_ms();
        let is_above = self.replica_id >> RANDOM_ID_BITS >= min_clock_ms;
        if !is_bootstrapping || self.copy.position.cluster_id == 0 || is_above {
            return;
        }
        self.replica_id = draw_replica_id(min_clock_ms << RANDOM_ID_BITS, &mut self.rng);
        if let Some(bootstrap) = self.new_bootstrap() {
            self.participation = Participation::Bootstrapping(bootstrap);
        }
    }

    fn new_bootstrap(&self) -> Option<Bootstrap> {
        Bootstrap::new(&self.name, self.replica_id, &self.options.initial_voters)
    }

    /// Counts changes of the leader, and records since when none is known.
    fn track_leader(&mut self, now: Micros) {
        match self.own_leader() {
            None => {
                self.leaderless_since.get_or_insert(now);
            }
            leader => {
                self.leaderless_since = None;
                if leader != self.last_leader {
                    self.counters.leaders += 1;
                    self.last_leader = leader;
                }
            }
        }
        if self.replica().is_some_and(|r| !r.leads()) {
            // The members send their requests to the next leader again.
            self.proposals.clear();
        }
    }

    /// Drops the replica of a log that can't make progress any more.
    ///
    /// A log that permanently lost a majority of its replicas can't commit anything: an id that its process no longer
    /// announces never returns. The remaining replicas are dropped, so that the initial voters can bootstrap another log. A
    /// replica is also dropped if its leader admitted it but became unreachable before sending any state.
    fn abandon_lost_log(&mut self, now: Micros) {
        let is_overdue = |since: Micros| now >= since + LEADERLESS_TIMEOUT;
        if !self.leaderless_since.is_some_and(is_overdue) {
            return;
        }
        let Some(replica) = self.replica() else {
            return;
        };
        let voters = replica.voter_ids();
        let lost = voters.iter().filter(|&&id| self.is_lost(replica, id));
        let max_lost = voters.len().saturating_sub(1) / 2;
        if replica.applied_index() == 0 || lost.count() > max_lost {
            self.abandon_replica(store::HEADER.to_vec());
            self.participation = Participation::bootstrapping(self.new_bootstrap());
        }
    }

    /// Whether another replica is lost: its process announces another id.
    fn is_lost(&self, replica: &Replica, id: u64) -> bool {
        let name = replica.state().voters.get(&id);
        let announcement = name.and_then(|name| self.peers.announcement(name));
        id != self.replica_id && announcement.is_some_and(|a| a.replica_id != id)
    }

    /// On the leader: proposes the next change of voters, if one is due.
    fn propose_reconfiguration(&mut self) {
        let Some(replica) = self.replica().filter(|r| r.leads()) else {
            return;
        };
        let overview = voter_overview(&self.own_member(), replica, &self.peers);
        let change = overview.next_change(self.options.replace_after);
        if let (Some(change), Some(replica)) = (change, self.participation.replica_mut()) {
            self.counters.voter_changes += u64::from(replica.propose_change(&change));
        }
    }

    fn request_fragments(&mut self, now: Micros) {
        for request in self.transfers.tick(now) {
            let message = Message::FragmentRequest {
                transfer: request.transfer,
                numbers: request.numbers,
            };
            self.outbox.push(&request.sender, &message);
        }
    }

    /// Requests a newer state if this member is not a working voter, or is a voter without a leader.
    fn request_newer_state(&mut self, now: Micros) {
        let is_leaderless = self
            .leaderless_since
            .is_some_and(|since| now > since + LEADERLESS_TIMEOUT);
        let is_voting = self
            .replica()
            .is_some_and(|r| r.is_voter() && r.is_working());
        if is_voting && !is_leaderless {
            return;
        }
        // Only a voter may tell a replica that it was replaced.
        let voters_only = self.replica().is_some();
        let Some(sources) = CopySources::find(&self.peers, self.known_position(), voters_only)
        else {
            return;
        };
        let LogPosition { cluster_id, index } = sources.known;
        if let Some(source) = sources.members.choose(&mut self.rng) {
            let message = Message::StateRequest { cluster_id, index };
            self.outbox.push(&source.name, &message);
        }
    }

    /// Sends this member's next request, if due: proposes it as the leader, else sends it to the leader or any voter.
    fn send_own_request(&mut self, now: Micros, clock: Micros) {
        self.requests.report_timed_out(clock, &mut self.counters);
        if self.cluster_id() == 0 {
            return;
        }
        let due = self.requests.next_to_send(now, clock, &mut self.counters);
        let Some(request) = due else {
            return;
        };
        let outcome = self.state().leases.outcome(&self.name, request.id);
        if let Some(outcome) = outcome.cloned() {
            return self.complete_request(clock, request.id.number, outcome);
        }
        let name = self.name.clone();
        if self.propose(clock, &name, request.id, request.command.clone()) {
            return;
        }
        if let Some(receiver) = self.request_receiver() {
            self.send_request_to(&receiver, request.id, request.command);
        }
    }

    /// The leader if known, else a random other voter.
    fn request_receiver(&mut self) -> Option<String> {
        let leader = self.leader().filter(|l| *l != self.name);
        let voters = self.state().voters.values();
        let others: Vec<String> = voters.filter(|v| **v != self.name).cloned().collect();
        leader.or_else(|| others.choose(&mut self.rng).cloned())
    }

    pub(super) fn send_request_to(&mut self, receiver: &str, id: RequestId, command: Command) {
        let message = Message::Request {
            cluster_id: self.cluster_id(),
            session: id.session,
            request: id.number,
            command,
        };
        self.outbox.push(receiver, &message);
    }
}
