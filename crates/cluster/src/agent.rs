//! The fleet as one member knows it: datagrams and time in, datagrams out.

use crate::consensus::{self, Consensus, Notice, Peer};
use crate::gossip::{GossipRecord, GossipState, Kind, Refusals, ABOUT, AGREED};
use crate::member_metadata::MemberMetadata;
use crate::membership::{Change, Identity, MemberStatus, Members};
use crate::message_authentication::{
    Keyring, MessageAuthenticator, Payload, Refused, MAX_PAYLOAD_BYTES,
};
use crate::rate_limit::RateLimit;
use crate::Micros;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// News is passed on in rounds of this length, to so many.
const ROUND: Micros = 100_000;
const FAN: usize = 3;
/// Rounds for a fleet of one, and more with each doubling: what all have had by then but for a few, comparisons bring.
const ROUNDS: u32 = 3;
/// Versions are compared with one other this often; what it lacks is told in so many datagrams.
const COMPARE: Micros = 400_000;
const COMPARE_DATAGRAMS: usize = 2;
/// Nobody else is there: a seed is asked this often. Else one of the seeds that is not, in case we are cut apart.
const JOIN: Micros = 500_000;
const REJOIN: Micros = 5_000_000;
/// Who is behind an earlier process of its name is told so this often at most.
const BEHIND: Micros = 50_000;
/// Who is there is looked at for ageing facts this often.
const LOOK: Micros = 500_000;
/// What a member sends in a second at most, whatever the size of the fleet, and saved up at most; a bucket for membership
/// and one for facts, so that neither silences the other.
const MEMBERS_A_SECOND: f64 = 120.0;
const FACTS_A_SECOND: f64 = 60.0;
const BYTES_A_DATAGRAM: f64 = 600.0;
/// The same for what is agreed: five voters' heartbeats are 20, and each entry one to each of them and back.
const AGREED_A_SECOND: f64 = 200.0;
/// A member's part in what is agreed is told anew this often at most: it changes with each entry.
const NOTICE: Micros = 200_000;
/// Datagrams that wait to be written.
const OUT_MOST: usize = 512;

/// What a fleet is started with.
pub struct Options {
    /// Who we are.
    pub me: Identity,
    /// What we tell of ourselves.
    pub about: MemberMetadata,
    /// The keys.
    pub keys: Keyring,
    /// Whom to ask to be let in.
    pub seeds: Vec<SocketAddr>,
    /// For all that is drawn at random.
    pub seed: u64,
    /// Our part in what is agreed; `None` where it is to be opened later ([`Cluster::open_consensus`]), or never.
    pub agreed: Option<consensus::Options>,
}

/// What has passed through since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Datagrams taken, and their bytes.
    pub taken: u64,
    /// See `taken`.
    pub received_bytes: u64,
    /// Datagrams refused: of another language.
    pub foreign: u64,
    /// Of another version of it.
    pub version: u64,
    /// Under a key that is not in use.
    pub unknown_key: u64,
    /// Spoilt, or sealed without the key.
    pub spoilt: u64,
    /// Taken before.
    pub replayed: u64,
    /// For an earlier process here, or our own.
    pub stale: u64,
    /// Sealed with the key on its way out.
    pub old_key: u64,
    /// Of a kind that this build does not know.
    pub unknown_kind: u64,
    /// Not sent, as the budget was spent, or too many waited.
    pub rate_limited: u64,
    /// Members that came up, and that went down.
    pub members_up: u64,
    /// See `members_up`.
    pub members_down: u64,
    /// How often we were called down and came back.
    pub rejoins: u64,
    /// How often we dropped what we held against others, as it was more likely us.
    pub membership_resets: u64,
    /// How often our session was behind that of an earlier process of our name.
    pub sessions_raised: u64,
    /// How often this process was held up.
    pub stalls: u64,
    /// Datagrams of members that could not be used.
    pub unreadable: u64,
    /// Records beyond bounds, unreadable, and under our name by another.
    pub refused: u64,
    /// Sessions forgotten early.
    pub sessions_evicted: u64,
}

/// A member as it is shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where its datagrams go.
    pub addr: SocketAddr,
    /// How sure it is to be there.
    pub standing: MemberStatus,
    /// For how long it has stood so, by our own time.
    pub status_age: Micros,
    /// What it told of itself, and how old that is.
    pub about: Option<(MemberMetadata, Micros)>,
    /// It is us.
    pub is_self: bool,
}

/// A token bucket.
struct Budget {
    rate: f64,
    left: f64,
    bytes: f64,
    at: Micros,
}

impl Budget {
    fn new(rate: f64) -> Budget {
        Budget {
            rate,
            left: rate,
            bytes: rate * BYTES_A_DATAGRAM,
            at: 0,
        }
    }

    fn take(&mut self, now: Micros, bytes: usize) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = now.max(self.at);
        self.left = (self.left + passed * self.rate).min(self.rate);
        let most = self.rate * BYTES_A_DATAGRAM;
        self.bytes = (self.bytes + passed * most).min(most);
        let there = self.left >= 1.0 && self.bytes >= bytes as f64;
        if there {
            (self.left, self.bytes) = (self.left - 1.0, self.bytes - bytes as f64);
        }
        there
    }
}

/// One member's fleet.
pub struct Cluster {
    members: Members,
    facts: GossipState,
    seal: MessageAuthenticator,
    pace: RateLimit,
    seeds: Vec<SocketAddr>,
    rng: SmallRng,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    member_budget: Budget,
    fact_budget: Budget,
    agreed_budget: Budget,
    agreed: Option<Consensus>,
    noticed: Notice,
    next_notice: Micros,
    next_round: Micros,
    next_compare: Micros,
    next_join: Micros,
    next_look: Micros,
    next_behind: Micros,
    counters: Counters,
    left: bool,
    wrong: Option<consensus::log::LogError>,
}

impl Cluster {
    /// Alone, at this time of the host's clock.
    pub fn new(clock: Micros, options: Options) -> Cluster {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let me = options.me;
        let mut pace = RateLimit::default();
        let now = pace.look(clock);
        let mut facts = GossipState::new(&me.name, me.session);
        facts.tell(now, ABOUT, &options.about.write(), ROUNDS);
        let agreed = options.agreed;
        let mut fleet = Cluster {
            facts,
            seal: MessageAuthenticator::new(options.keys, me.session),
            members: Members::new(me, rng.random()),
            pace,
            seeds: options.seeds,
            out: VecDeque::new(),
            member_budget: Budget::new(MEMBERS_A_SECOND),
            fact_budget: Budget::new(FACTS_A_SECOND),
            agreed_budget: Budget::new(AGREED_A_SECOND),
            agreed: None,
            noticed: Notice::default(),
            next_notice: now,
            // All that start at the same moment must not ask at the same moment for ever.
            next_join: now + rng.random_range(0..JOIN / 4),
            next_round: now + rng.random_range(0..ROUND),
            next_compare: now + rng.random_range(0..COMPARE),
            next_look: now,
            next_behind: now,
            rng,
            counters: Counters::default(),
            left: false,
            wrong: None,
        };
        if let Some(options) = agreed {
            fleet.wrong = fleet.open_consensus(options);
        }
        fleet
    }

    /// Takes part in what is agreed from now on. What is wrong with what was kept, if anything is: it is left as it is then,
    /// and this one only reads and asks.
    pub fn open_consensus(
        &mut self,
        options: consensus::Options,
    ) -> Option<consensus::log::LogError> {
        let me = self.members.me();
        let (agreed, wrong) = Consensus::new(&me.name, me.session, self.rng.random(), options);
        self.agreed = Some(agreed);
        wrong
    }

    /// Takes part no more: another process of our name may. What is still to be kept is taken first, by [`Cluster::next_write`].
    pub fn close_consensus(&mut self) {
        self.agreed = None;
        // Others must not see the replica of this process where there is another's.
        let bytes = Notice::default().encode();
        self.tell(AGREED, &bytes);
    }

    /// What was wrong with what was kept, at the start.
    pub fn wrong(&self) -> Option<&consensus::log::LogError> {
        self.wrong.as_ref()
    }

    /// Our part in what is agreed, if we take part.
    pub fn agreed(&self) -> Option<&Consensus> {
        self.agreed.as_ref()
    }

    /// Does something with our part, at this time of the host's clock, and sends what follows of it.
    pub fn with_consensus<T>(
        &mut self,
        clock: Micros,
        work: impl FnOnce(&mut Consensus, Micros) -> T,
    ) -> Option<T> {
        let now = self.pace.now();
        let done = self.agreed.as_mut().map(|a| work(a, clock));
        self.send_agreed(now);
        done
    }

    /// The next thing to keep of what is agreed.
    pub fn next_write(&mut self) -> Option<consensus::replica::Write> {
        self.agreed.as_mut()?.next_write()
    }

    /// All up to this write outlives the process now.
    pub fn kept(&mut self, number: u64) {
        let now = self.pace.now();
        if let Some(agreed) = &mut self.agreed {
            agreed.kept(now, number);
        }
        self.send_agreed(now);
    }

    /// A datagram has come. All that have come are to be taken before [`Cluster::tick`]: what others said while this process
    /// was held up must be known before any of its timers runs.
    pub fn take(&mut self, clock: Micros, datagram: &[u8]) {
        let now = self.pace.look(clock);
        let opened = match self.seal.open(datagram) {
            Ok(opened) => opened,
            Err(why) => {
                let count = match why {
                    Refused::Foreign => &mut self.counters.foreign,
                    Refused::Version => &mut self.counters.version,
                    Refused::UnknownKey => &mut self.counters.unknown_key,
                    Refused::Spoilt => &mut self.counters.spoilt,
                    Refused::Replayed => &mut self.counters.replayed,
                    Refused::Stale => &mut self.counters.stale,
                };
                *count += 1;
                return;
            }
        };
        self.counters.taken += 1;
        self.counters.received_bytes += datagram.len() as u64;
        self.counters.old_key += u64::from(opened.old_key);
        if self.left {
            return;
        }
        let (bytes, from) = (opened.bytes, opened.session);
        match opened.payload {
            Payload::Members => {
                if let Some((sender, known)) = self
                    .members
                    .behind(bytes)
                    .filter(|_| self.may_tell_behind(now))
                {
                    self.send(now, &sender, Payload::StaleSession, &known.to_be_bytes());
                }
                self.with_members(now, |members, out, changes| {
                    members.take(now, bytes, out, changes)
                });
            }
            Payload::StaleSession => {
                if let Ok(known) = bytes.try_into() {
                    self.outdo(now, u64::from_be_bytes(known));
                }
            }
            Payload::GossipState => {
                let rounds = self.rounds();
                self.facts.take(now, bytes, rounds);
            }
            Payload::Versions => {
                let (tell, ask) =
                    self.facts
                        .compare(now, bytes, MAX_PAYLOAD_BYTES, COMPARE_DATAGRAMS);
                let Some(to) = self.members.there().find(|m| m.session == from).cloned() else {
                    return;
                };
                for datagram in tell {
                    self.send(now, &to, Payload::GossipState, &datagram);
                }
                if let Some(ask) = ask {
                    self.send(now, &to, Payload::Versions, &ask);
                }
            }
            Payload::Consensus => {
                let Some(name) = self.name_of(from) else {
                    return;
                };
                if let Some(agreed) = &mut self.agreed {
                    agreed.handle_message(now, clock, &name, bytes);
                }
                self.send_agreed(now);
            }
            Payload::Unknown(_) => self.counters.unknown_kind += 1,
        }
    }

    /// Who has this session, of those that are known, be they called down or not.
    fn name_of(&self, session: u64) -> Option<String> {
        let now = self.pace.now();
        self.members
            .known(now)
            .find(|k| k.0.session == session)
            .map(|k| k.0.name.clone())
    }

    /// Time has passed.
    pub fn tick(&mut self, clock: Micros) {
        let now = self.pace.look(clock);
        if self.left {
            return;
        }
        self.with_members(now, |members, out, changes| members.tick(now, out, changes));
        if now >= self.next_join {
            self.join(now);
        }
        if now >= self.next_round {
            self.next_round = now + ROUND;
            self.round(now);
        }
        if now >= self.next_compare {
            self.next_compare = now + COMPARE;
            self.compare(now);
        }
        if now >= self.next_look {
            self.next_look = now + LOOK;
            self.look(now);
        }
        self.tick_agreed(now, clock);
    }

    fn tick_agreed(&mut self, now: Micros, clock: Micros) {
        let Some(agreed) = &mut self.agreed else {
            return;
        };
        let (members, facts) = (&self.members, &self.facts);
        agreed.tick(now, clock, || {
            let mut peers: Vec<Peer> = members
                .known(now)
                .map(|(id, standing, long)| Peer {
                    name: id.name.clone(),
                    status: standing,
                    status_age: long,
                    zone: facts
                        .get(now, &id.name, ABOUT)
                        .and_then(|f| MemberMetadata::read(f.value))
                        .map_or(String::new(), |a| a.zone),
                    notice: facts
                        .get(now, &id.name, AGREED)
                        .and_then(|f| Notice::decode(f.value)),
                })
                .collect();
            // Of one name the one that is there counts.
            peers.sort_by(|a, b| (&a.name, b.status).cmp(&(&b.name, a.status)));
            peers
        });
        if now >= self.next_notice {
            let notice = agreed.notice();
            if notice != self.noticed {
                self.next_notice = now + NOTICE;
                let bytes = notice.encode();
                self.noticed = notice;
                self.tell(AGREED, &bytes);
            }
        }
        self.send_agreed(now);
    }

    fn send_agreed(&mut self, now: Micros) {
        while let Some((name, bytes)) = self.agreed.as_mut().and_then(Consensus::next_outgoing) {
            // Who is called down may be cut off from others alone: what is for it goes where it was last.
            let known = self
                .members
                .known(now)
                .filter(|k| k.0.name == name)
                .min_by_key(|k| k.1);
            if let Some(to) = known.map(|k| k.0.clone()) {
                self.send(now, &to, Payload::Consensus, &bytes);
            }
        }
    }

    /// When [`Cluster::tick`] is due next, by the host's clock.
    pub fn next_due(&self) -> Micros {
        let own = [
            self.next_join,
            self.next_round,
            self.next_compare,
            self.next_look,
        ];
        let first = own
            .into_iter()
            .chain(self.members.next_due())
            .min()
            .unwrap_or(0);
        self.pace.clock_at(first).unwrap_or(0)
    }

    /// The next datagram to send, and where.
    pub fn next_outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    /// Tells a record of our own; false if it is beyond the bounds.
    pub fn tell(&mut self, kind: Kind, value: &[u8]) -> bool {
        let rounds = self.rounds();
        self.facts.tell(self.pace.now(), kind, value, rounds)
    }

    /// Tells of ourselves anew.
    pub fn update_metadata(&mut self, about: &MemberMetadata) -> bool {
        self.tell(ABOUT, &about.write())
    }

    /// Leaves in order: others know at once that we are gone, and that it is no fault. Nothing is sent or taken after it
    /// but what [`Cluster::next_outgoing`] still holds.
    pub fn leave(&mut self, clock: Micros) {
        let now = self.pace.look(clock);
        if !self.left {
            self.with_members(now, |members, out, changes| {
                members.leave(now, out, changes)
            });
            self.left = true;
        }
    }

    /// Other keys from now on.
    pub fn change_keys(&mut self, keys: Keyring) {
        self.seal.change_keys(keys);
    }

    /// Other seeds from now on.
    pub fn change_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Who we are.
    pub fn me(&self) -> &Identity {
        self.members.me()
    }

    /// Others that are there.
    pub fn others(&self) -> usize {
        self.members.others()
    }

    /// How far this process doubts itself, from 0.
    pub fn doubt(&self) -> u32 {
        self.pace.doubt()
    }

    /// All that are known, by name; of one name the latest process.
    pub fn members(&self) -> Vec<MemberView> {
        let now = self.pace.now();
        let view = |id: &Identity, standing, status_age, is_self| MemberView {
            name: id.name.clone(),
            addr: id.addr,
            standing,
            status_age,
            about: self
                .facts
                .get(now, &id.name, ABOUT)
                .and_then(|f| Some((MemberMetadata::read(f.value)?, f.age))),
            is_self,
        };
        let me = std::iter::once((self.me(), MemberStatus::Alive, now, true));
        let known = self
            .members
            .known(now)
            .map(|(id, standing, long)| (id, standing, long, false));
        let mut all: Vec<_> = me.chain(known).collect();
        all.sort_by(|a, b| (&a.0.name, a.1, b.0.session).cmp(&(&b.0.name, b.1, a.0.session)));
        all.dedup_by(|b, a| a.0.name == b.0.name);
        all.into_iter()
            .map(|(id, standing, long, is_self)| view(id, standing, long, is_self))
            .collect()
    }

    /// What an owner told under a kind.
    pub fn fact(&self, owner: &str, kind: Kind) -> Option<GossipRecord<'_>> {
        self.facts.get(self.pace.now(), owner, kind)
    }

    /// What each told under a kind.
    pub fn facts(&self, kind: Kind) -> impl Iterator<Item = (&str, GossipRecord<'_>)> + '_ {
        self.facts.all(self.pace.now(), kind)
    }

    /// The counts so far.
    pub fn counters(&self) -> Counters {
        let Refusals {
            bounds,
            malformed,
            forged,
        } = self.facts.refused;
        Counters {
            stalls: self.pace.stalls,
            unreadable: self.members.unreadable,
            membership_resets: self.members.membership_resets,
            refused: bounds + malformed + forged,
            sessions_evicted: self.seal.forgotten,
            ..self.counters
        }
    }

    /// Told to one sender after another, not to each of its datagrams.
    fn may_tell_behind(&mut self, now: Micros) -> bool {
        let may = now >= self.next_behind;
        if may {
            self.next_behind = now + BEHIND;
        }
        may
    }

    /// An earlier process of our name had a later session, as our clock was set back: ours is made to be above it.
    fn outdo(&mut self, now: Micros, session: u64) {
        let mut done = false;
        self.with_members(now, |members, out, _| {
            done = members.outdo(now, session, out)
        });
        if done {
            self.counters.sessions_raised += 1;
            let (session, rounds) = (self.me().session, self.rounds());
            self.seal.change_session(session);
            self.facts.outdo(now, session, rounds);
            if let Some(agreed) = &mut self.agreed {
                agreed.change_session(session);
            }
            self.next_join = now;
        }
    }

    /// Rounds for which news is passed on.
    fn rounds(&self) -> u32 {
        ROUNDS + (self.members.others() as u32 + 1).ilog2()
    }

    fn with_members(
        &mut self,
        now: Micros,
        work: impl FnOnce(&mut Members, &mut Vec<(Identity, Vec<u8>)>, &mut Vec<Change>),
    ) {
        let (mut out, mut changes) = (Vec::new(), Vec::new());
        work(&mut self.members, &mut out, &mut changes);
        for change in changes {
            match change {
                Change::Up(_) => self.counters.members_up += 1,
                Change::Down(_) => self.counters.members_down += 1,
                Change::Back(_) => {
                    self.counters.rejoins += 1;
                    self.pace.accused();
                }
            }
            // Facts of who came or went are to be marked at once.
            self.next_look = now;
        }
        for (to, bytes) in out {
            self.send(now, &to, Payload::Members, &bytes);
        }
    }

    fn send(&mut self, now: Micros, to: &Identity, payload: Payload, bytes: &[u8]) {
        let budget = match payload {
            Payload::Members => &mut self.member_budget,
            Payload::Consensus => &mut self.agreed_budget,
            _ => &mut self.fact_budget,
        };
        if self.out.len() >= OUT_MOST || !budget.take(now, bytes.len()) {
            self.counters.rate_limited += 1;
            return;
        }
        if let Some(sealed) = self.seal.seal(payload, bytes, to.session) {
            self.counters.sent += 1;
            self.counters.sent_bytes += sealed.len() as u64;
            self.out.push_back((to.addr, sealed));
        }
    }

    /// Asks a seed to be let in, or one that is not there whether it is back.
    fn join(&mut self, now: Micros) {
        let alone = self.members.others() == 0;
        self.next_join = now + if alone { JOIN } else { REJOIN };
        let own = self.me().addr;
        let missing: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(self.members.lost())
            .filter(|s| *s != own && !self.members.there().any(|m| m.addr == *s))
            .collect();
        if let Some(&seed) = missing.choose(&mut self.rng) {
            self.with_members(now, |members, out, changes| {
                members.join(now, seed, out, changes)
            });
        }
    }

    fn round(&mut self, now: Micros) {
        let others: Vec<Identity> = self.members.there().cloned().collect();
        if others.is_empty() {
            return;
        }
        let Some(news) = self.facts.rumours(now, MAX_PAYLOAD_BYTES) else {
            return;
        };
        let some: Vec<Identity> = others
            .choose_multiple(&mut self.rng, FAN)
            .cloned()
            .collect();
        for to in some {
            self.send(now, &to, Payload::GossipState, &news);
        }
    }

    fn compare(&mut self, now: Micros) {
        let others: Vec<&Identity> = self.members.there().collect();
        let Some(to) = others.choose(&mut self.rng).map(|&to| to.clone()) else {
            return;
        };
        let digest = self.facts.digest(MAX_PAYLOAD_BYTES);
        self.send(now, &to, Payload::Versions, &digest);
    }

    fn look(&mut self, now: Micros) {
        let there: std::collections::BTreeSet<&str> =
            self.members.there().map(|m| m.name.as_str()).collect();
        self.facts.look(now, |name| there.contains(name));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message_authentication::Key;

    #[test]
    fn who_hears_nobody_trusts_itself_again_after_a_stumble_and_goes_on_asking() {
        let keys = Keyring::of(Key::parse("000102030405060708090a0b0c0d0e0f").unwrap());
        let addr = |n: u8| SocketAddr::from(([127, 0, 0, n], 1));
        let me = Identity {
            name: "m1".into(),
            addr: addr(1),
            session: 7,
            back: 0,
        };
        let options = Options {
            me,
            about: MemberMetadata::default(),
            keys,
            seeds: vec![addr(2)],
            seed: 1,
            agreed: None,
        };
        let mut clock = 1_000_000_000;
        let mut fleet = Cluster::new(clock, options);
        fleet.tick(clock);
        // Stopped for 8 s, and again; then a host that looks at its timers only when it is told to. A look each 0.3 s would
        // pass for a stumble each, and its time all but stand still.
        for _ in 0..2 {
            clock += 8_000_000;
            fleet.tick(clock);
        }
        assert_eq!(fleet.doubt(), 2);
        let end = clock + 20_000_000;
        let mut asked = 0;
        while clock < end {
            clock = fleet.next_due().max(clock + 1);
            fleet.tick(clock);
            while fleet.next_outgoing().is_some() {
                asked += 1;
            }
        }
        assert_eq!((fleet.doubt(), fleet.counters().stalls), (0, 2));
        assert!(asked > 30, "asked {asked} times in 20 s");
    }
}
