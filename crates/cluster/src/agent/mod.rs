//! One member's agent: datagrams and time in, datagrams out.
//!
//! | module | what it does |
//! | --- | --- |
//! | this | the agent's state and interface |
//! | `incoming` | handles datagrams of other members |
//! | `timers` | does what is due |
//! | `outgoing` | sends datagrams, within the rate limits |
//! | `view` | what operators see |

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

/// Rounds for which a record is passed on in a cluster of one, and one more with each doubling: what all have had by then but
/// for a few, comparisons bring.
const MIN_GOSSIP_ROUNDS: u32 = 3;

/// What a member starts with.
pub struct Options {
    /// Its name, address and session.
    pub identity: Identity,
    /// What it publishes of itself.
    pub metadata: MemberMetadata,
    /// The keys.
    pub keys: Keyring,
    /// Addresses of members through which it joins.
    pub seeds: Vec<SocketAddr>,
    /// For all that is drawn at random.
    pub seed: u64,
    /// Its part in consensus; `None` where it is to be opened later ([`Cluster::open_consensus`]), or never.
    pub consensus: Option<consensus::Options>,
}

/// The cluster, as one member takes part in it.
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
    /// A member that is alone, at this time of the host's clock.
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

    /// Takes part in consensus from now on. An error where the log that was kept can't be used: it is left as it is, and this
    /// member only observes.
    pub fn open_consensus(&mut self, options: consensus::Options) -> Option<LogError> {
        let own = self.members.own();
        let seed = self.rng.random();
        let (consensus, error) = Consensus::new(&own.name, own.session, seed, options);
        self.consensus = Some(consensus);
        error
    }

    /// Takes part in consensus no more: another process of this name may. What is still to be written is taken first, by
    /// [`Cluster::next_write`].
    pub fn close_consensus(&mut self) {
        self.consensus = None;
        // Others must not see the replica of this process where there is another's.
        let bytes = Notice::default().encode();
        self.publish(CONSENSUS, &bytes);
    }

    /// Why the persisted log could not be used at the start.
    pub fn log_error(&self) -> Option<&LogError> {
        self.log_error.as_ref()
    }

    /// This member's part in consensus, if it takes part.
    pub fn consensus(&self) -> Option<&Consensus> {
        self.consensus.as_ref()
    }

    /// Does something with this member's part in consensus, at this time of the host's clock, and sends what follows of it.
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

    /// The next thing to write of the log.
    pub fn next_write(&mut self) -> Option<Write> {
        self.consensus.as_mut()?.next_write()
    }

    /// Confirms that this write, and all before it, are persistent.
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

    /// The next datagram to send, and where.
    pub fn next_outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outgoing.pop()
    }

    /// Publishes a gossip record of this member; false if it is beyond the bounds.
    pub fn publish(&mut self, kind: Kind, value: &[u8]) -> bool {
        let rounds = self.gossip_rounds();
        self.gossip.publish(self.clock.now(), kind, value, rounds)
    }

    /// Publishes what this member says of itself.
    pub fn update_metadata(&mut self, metadata: &MemberMetadata) -> bool {
        self.publish(METADATA, &metadata.encode())
    }

    /// Leaves in order: others know at once that this member is gone, and that it is no fault. Nothing is sent or accepted
    /// after it but what [`Cluster::next_outgoing`] still holds.
    pub fn leave(&mut self, clock: Micros) {
        let now = self.clock.update(clock);
        if !self.has_left {
            self.with_members(now, |members, output| members.leave(now, output));
            self.has_left = true;
        }
    }

    /// Takes other keys from now on.
    pub fn change_keys(&mut self, keys: Keyring) {
        self.authenticator.change_keys(keys);
    }

    /// Takes other seeds from now on.
    pub fn change_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// This member's name, address and session.
    pub fn local_identity(&self) -> &Identity {
        self.members.own()
    }

    /// How many other members are reachable.
    pub fn peer_count(&self) -> usize {
        self.members.reachable_count()
    }

    /// How far this process suspects itself, from 0.
    pub fn self_suspicion(&self) -> u32 {
        self.clock.self_suspicion()
    }

    /// All that are known, by name; of one name the latest process.
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

    /// What an owner published under a kind.
    pub fn record(&self, owner: &str, kind: Kind) -> Option<GossipRecord<'_>> {
        self.gossip.get(self.clock.now(), owner, kind)
    }

    /// What each member published under a kind.
    pub fn records(&self, kind: Kind) -> impl Iterator<Item = (&str, GossipRecord<'_>)> + '_ {
        self.gossip.all(self.clock.now(), kind)
    }

    /// The counts so far.
    pub fn counters(&self) -> Counters {
        let Refusals {
            bounds,
            malformed,
            forged,
        } = self.gossip.refused;
        Counters {
            stalls: self.clock.stalls,
            unreadable: self.members.unreadable,
            membership_resets: self.members.membership_resets,
            refused: bounds + malformed + forged,
            sessions_evicted: self.authenticator.evicted_sessions,
            ..self.counters
        }
    }

    /// Rounds for which a new record is passed on.
    fn gossip_rounds(&self) -> u32 {
        let members = self.members.reachable_count() + 1;
        MIN_GOSSIP_ROUNDS + members.ilog2()
    }

    /// Does something with the members, counts the changes and sends what follows of it.
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
