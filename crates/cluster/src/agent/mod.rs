//! One member's agent. Its inputs are datagrams and time, its output is datagrams.
//!
//! | module | what it does |
//! | --- | --- |
//! | this | the agent's state and interface |
//! | `incoming` | handles received datagrams |
//! | `timers` | runs periodic work |
//! | `outgoing` | sends datagrams, within the rate limits |
//! | `view` | counters and members as operators see them |

mod incoming;
mod outgoing;
mod timers;
mod view;

use crate::consensus::log::LogError;
use crate::consensus::replica::Write;
use crate::consensus::{self, Consensus, Notice};
use crate::gossip::{GossipRecord, GossipState, Kind, Refusals, CONSENSUS, METADATA};
use crate::keys::Keyring;
use crate::local_clock::LocalClock;
use crate::member_metadata::MemberMetadata;
use crate::membership::{Identity, KnownMember, MemberStatus, Members, Output};
use crate::message_authentication::MessageAuthenticator;
use crate::Micros;
use outgoing::Outgoing;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use timers::Timers;

pub use view::{Counters, MemberView};

/// Rounds for which a record is passed on in a cluster of one; each doubling of the cluster adds one. This reaches all but a
/// few members; comparisons of versions reach the rest.
const MIN_GOSSIP_ROUNDS: u32 = 3;

/// The start options of a member.
pub struct Options {
    /// Its name, address and session.
    pub identity: Identity,
    /// The metadata that it publishes.
    pub metadata: MemberMetadata,
    /// The keys that authenticate datagrams.
    pub keys: Keyring,
    /// Addresses of members through which it joins.
    pub seeds: Vec<SocketAddr>,
    /// The seed of its random number generator.
    pub seed: u64,
    /// Its consensus options; `None` if consensus is opened later ([`Cluster::open_consensus`]) or never.
    pub consensus: Option<consensus::Options>,
}

/// One member's participation in the cluster.
pub struct Cluster {
    members: Members,
    gossip: GossipState,
    authenticator: MessageAuthenticator,
    clock: LocalClock,
    seeds: Vec<SocketAddr>,
    rng: SmallRng,
    outgoing: Outgoing,
    consensus: Option<Consensus>,
    published_notice: Notice,
    timers: Timers,
    counters: Counters,
    has_left: bool,
    log_error: Option<LogError>,
}

impl Cluster {
    /// A member without peers, at `clock` of the host's clock.
    pub fn new(clock: Micros, options: Options) -> Cluster {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let own = options.identity;
        let mut local_clock = LocalClock::default();
        let now = local_clock.update(clock);
        let mut gossip = GossipState::new(&own.name, own.session);
        gossip.publish(now, METADATA, &options.metadata.encode(), MIN_GOSSIP_ROUNDS);
        let mut cluster = Cluster {
            gossip,
            authenticator: MessageAuthenticator::new(options.keys, own.session),
            members: Members::new(own, rng.random()),
            clock: local_clock,
            seeds: options.seeds,
            outgoing: Outgoing::default(),
            consensus: None,
            published_notice: Notice::default(),
            timers: Timers::start(now, &mut rng),
            rng,
            counters: Counters::default(),
            has_left: false,
            log_error: None,
        };
        if let Some(options) = options.consensus {
            cluster.log_error = cluster.open_consensus(options);
        }
        cluster
    }

    /// Starts to take part in consensus. Returns an error if the persisted log can't be used: the file is left unchanged, and
    /// this member only observes.
    pub fn open_consensus(&mut self, options: consensus::Options) -> Option<LogError> {
        let own = self.members.own();
        let seed = self.rng.random();
        let (consensus, error) = Consensus::new(&own.name, own.session, seed, options);
        self.consensus = Some(consensus);
        error
    }

    /// Stops taking part in consensus, so that another process of this name can. Pending writes must be drained first, by
    /// [`Cluster::next_write`].
    pub fn close_consensus(&mut self) {
        self.consensus = None;
        // Other members must no longer see this process's replica: another process may announce its own.
        let bytes = Notice::default().encode();
        self.publish(CONSENSUS, &bytes);
    }

    /// Why the persisted log could not be used at the start, if so.
    pub fn log_error(&self) -> Option<&LogError> {
        self.log_error.as_ref()
    }

    /// This member's consensus participant, if it takes part.
    pub fn consensus(&self) -> Option<&Consensus> {
        self.consensus.as_ref()
    }

    /// Calls `work` with this member's consensus participant and the host's clock, and sends the resulting messages.
    pub fn with_consensus<T>(
        &mut self,
        clock: Micros,
        work: impl FnOnce(&mut Consensus, Micros) -> T,
    ) -> Option<T> {
        let now = self.clock.now();
        let done = self.consensus.as_mut().map(|c| work(c, clock));
        self.send_consensus_messages(now);
        done
    }

    /// The next pending write to the log file.
    pub fn next_write(&mut self) -> Option<Write> {
        self.consensus.as_mut()?.next_write()
    }

    /// Confirms that this write and all earlier ones are persistent.
    pub fn confirm_write(&mut self, number: u64) {
        let now = self.clock.now();
        if let Some(consensus) = &mut self.consensus {
            consensus.confirm_write(now, number);
        }
        self.send_consensus_messages(now);
    }

    /// When [`Cluster::tick`] is due next, by the host's clock.
    pub fn next_due(&self) -> Micros {
        let own = self.timers.next_due();
        let first = self.members.next_due().map_or(own, |due| due.min(own));
        self.clock.host_clock_at(first).unwrap_or(0)
    }

    /// The next datagram to send, and its destination.
    pub fn next_outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outgoing.pop()
    }

    /// Publishes a gossip record of this member; false if it exceeds a limit.
    pub fn publish(&mut self, kind: Kind, value: &[u8]) -> bool {
        let rounds = self.gossip_rounds();
        self.gossip.publish(self.clock.now(), kind, value, rounds)
    }

    /// Publishes this member's metadata.
    pub fn update_metadata(&mut self, metadata: &MemberMetadata) -> bool {
        self.publish(METADATA, &metadata.encode())
    }

    /// Leaves the cluster gracefully: others learn at once that this member left and did not fail. Afterwards nothing is
    /// accepted, and nothing is sent except what is still queued in [`Cluster::next_outgoing`].
    pub fn leave(&mut self, clock: Micros) {
        let now = self.clock.update(clock);
        if !self.has_left {
            self.with_members(now, |members, output| members.leave(now, output));
            self.has_left = true;
        }
    }

    /// Replaces the keys.
    pub fn change_keys(&mut self, keys: Keyring) {
        self.authenticator.change_keys(keys);
    }

    /// Replaces the seed addresses.
    pub fn change_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// This member's name, address and session.
    pub fn local_identity(&self) -> &Identity {
        self.members.own()
    }

    /// The number of other reachable members.
    pub fn peer_count(&self) -> usize {
        self.members.reachable_count()
    }

    /// This process's self-suspicion, from 0.
    pub fn self_suspicion(&self) -> u32 {
        self.clock.self_suspicion()
    }

    /// All known members, by name; for each name the process with the best status, then the latest one.
    pub fn members(&self) -> Vec<MemberView> {
        let now = self.clock.now();
        let own = KnownMember {
            identity: self.local_identity(),
            status: MemberStatus::Alive,
            status_age: now,
        };
        let mut all: Vec<KnownMember> = std::iter::once(own)
            .chain(self.members.known(now))
            .collect();
        all.sort_by(|a, b| {
            let names = a.identity.name.cmp(&b.identity.name);
            let sessions = b.identity.session.cmp(&a.identity.session);
            names.then(a.status.cmp(&b.status)).then(sessions)
        });
        all.dedup_by(|b, a| a.identity.name == b.identity.name);
        all.into_iter()
            .map(|member| self.member_view(now, member))
            .collect()
    }

    fn member_view(&self, now: Micros, member: KnownMember) -> MemberView {
        let identity = member.identity;
        let metadata = self.gossip.get(now, &identity.name, METADATA);
        MemberView {
            name: identity.name.clone(),
            addr: identity.addr,
            status: member.status,
            status_age: member.status_age,
            metadata: metadata.and_then(|r| Some((MemberMetadata::decode(r.value)?, r.age))),
            is_self: std::ptr::eq(identity, self.local_identity()),
        }
    }

    /// The record of a kind that an owner published.
    pub fn record(&self, owner: &str, kind: Kind) -> Option<GossipRecord<'_>> {
        self.gossip.get(self.clock.now(), owner, kind)
    }

    /// The records of a kind, with their owners.
    pub fn records(&self, kind: Kind) -> impl Iterator<Item = (&str, GossipRecord<'_>)> + '_ {
        self.gossip.all(self.clock.now(), kind)
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        let Refusals {
            over_limit,
            malformed,
            forged,
        } = self.gossip.refused;
        Counters {
            stalls: self.clock.stalls,
            unreadable: self.members.unreadable,
            membership_resets: self.members.membership_resets,
            refused: over_limit + malformed + forged,
            sessions_evicted: self.authenticator.evicted_sessions,
            ..self.counters
        }
    }

    /// The number of rounds for which a new record is passed on.
    fn gossip_rounds(&self) -> u32 {
        let members = self.members.reachable_count() + 1;
        MIN_GOSSIP_ROUNDS + members.ilog2()
    }

    /// Calls `work` with the membership, counts the changes and sends the resulting datagrams.
    fn with_members<T>(
        &mut self,
        now: Micros,
        work: impl FnOnce(&mut Members, &mut Output) -> T,
    ) -> T {
        let mut output = Output::default();
        let done = work(&mut self.members, &mut output);
        for change in &output.changes {
            self.record_change(now, change);
        }
        self.send_membership(now, output.datagrams);
        done
    }
}
