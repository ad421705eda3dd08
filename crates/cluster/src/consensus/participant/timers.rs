//! Does what is due.

use super::{draw_replica_id, Consensus, COPY_INTERVAL, DRAWN_ID_BITS, LEADERLESS_TIMEOUT};
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
    /// Does all that is due by the cluster's time and the host's clock. `peers`: all other members that are known.
    pub fn tick(&mut self, now: Micros, clock: Micros, peers: impl FnOnce() -> Vec<Peer>) {
        self.observe_clock(clock);
        if now >= self.next_tick {
            // One that was held up ticks once, not many times at once.
            self.next_tick = (self.next_tick + TICK).max(now + TICK / 2);
            self.last_tick = now;
            self.peers.replace(peers());
            self.tick_replica();
            self.try_bootstrap();
            self.watch_leader(now);
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

    /// Takes the host's clock: held leases end by it, and the log's time goes on by a leader's.
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

    /// Lets go of the replica: its process may be let in again, under another id. `file`: what is written in place of its log.
    pub(super) fn abandon_replica(&mut self, file: Vec<u8>) {
        self.counters.replicas_lost += 1;
        self.participation = Participation::Observing;
        self.proposals.clear();
        let min_clock_ms = (self.replica_id >> DRAWN_ID_BITS) + 1;
        let clock_ms = (self.clock / 1000).max(min_clock_ms);
        self.replica_id = draw_replica_id(clock_ms << DRAWN_ID_BITS, &mut self.rng);
        if self.is_persistent {
            // Writes of the replica that is gone are of no use any more.
            self.writes.clear();
            self.writes.push_back(Write {
                number: 0,
                replaces_file: true,
                bytes: file,
            });
        }
    }

    /// Bootstraps a log as soon as all initial voters have promised themselves to it.
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

    /// Whether members that are no initial voters have a log: it is their leader that lets this one in.
    fn has_foreign_voters(&self) -> bool {
        self.peers.reachable().any(|(peer, notice)| {
            let is_voter = notice.is_voter && notice.cluster_id != 0;
            is_voter && !self.options.initial_voters.contains(&peer.name)
        })
    }

    /// Fencing numbers of the next log must be above those of one that is known, whatever this host's clock shows.
    fn raise_replica_id(&mut self) {
        let is_bootstrapping = self.participation.bootstrap().is_some();
        let min_clock_ms = self.copy.state.leases.min_next_start_ms();
        let is_above = self.replica_id >> DRAWN_ID_BITS >= min_clock_ms;
        if !is_bootstrapping || self.copy.position.cluster_id == 0 || is_above {
            return;
        }
        self.replica_id = draw_replica_id(min_clock_ms << DRAWN_ID_BITS, &mut self.rng);
        if let Some(bootstrap) = self.new_bootstrap() {
            self.participation = Participation::Bootstrapping(bootstrap);
        }
    }

    fn new_bootstrap(&self) -> Option<Bootstrap> {
        Bootstrap::new(&self.name, self.replica_id, &self.options.initial_voters)
    }

    /// Counts leaders, and notes since when none is known.
    fn watch_leader(&mut self, now: Micros) {
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
            // The next leader receives them from the members again.
            self.proposals.clear();
        }
    }

    /// Lets go of a log that can't go on.
    ///
    /// A log of which a majority is lost for ever agrees on nothing any more: nobody brings back an id that its process does
    /// not announce. Who has the rest of it lets go, so that the initial voters can bootstrap another; so does who was let in
    /// by a leader that was not heard again before it sent anything.
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

    /// Whether the process of another replica announces another id.
    fn is_lost(&self, replica: &Replica, id: u64) -> bool {
        let name = replica.state().voters.get(&id);
        let announcement = name.and_then(|name| self.peers.announcement(name));
        id != self.replica_id && announcement.is_some_and(|a| a.replica_id != id)
    }

    /// As the leader: proposes the next change of voters, if one is due.
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

    /// Requests a newer state, as a member without a replica, or with one that nobody sends anything.
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
        // A voter that may have been replaced must hear it from one of the voters.
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

    /// Sends this member's request, if one is due: to itself as the leader, else to the leader or any voter.
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

    /// The leader, else any other voter.
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
