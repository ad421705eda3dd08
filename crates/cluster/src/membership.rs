//! Who is there: SWIM with suspicion and incarnations, by `foca`, which is free of I/O as this is.
//!
//! Figures, with the periods below: a member that dies is doubted by the first that probes it within a period and a half on
//! average, and called down 2 s later, unless it says that it is there. What is called down is told of, and asked each
//! two seconds whether it is back, so that halves that were cut apart find each other again.

use crate::message_authentication::MAX_PAYLOAD_BYTES;
use crate::Micros;
use bytes::{Buf, BufMut};
use foca::{
    AccumulatingRuntime, Config, Foca, Header, Member, OwnedNotification, PeriodicParams,
    PostcardCodec, Timer,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// Members known at once, gone ones among them; a datagram that tells of more is not read.
pub const MEMBERS_MOST: usize = 1024;
/// Longest name of a member, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// One member is probed in this time, by each.
const PROBE_EVERY: Duration = Duration::from_millis(400);
/// An answer that has not come by then is asked for by way of others.
const PROBE_ANSWER: Duration = Duration::from_millis(150);
/// Others that are asked: where 30% of all datagrams are lost a way there and back fails by half.
const BY_WAY_OF: NonZeroUsize = NonZeroUsize::new(8).unwrap();
/// Who is doubted and says nothing for this long is down: some eight ways that its word can take are lost by then.
const DOWN_AFTER: Duration = Duration::from_millis(2_000);
/// Who is down is remembered for this long, so that old words of it bring nobody back.
const FORGET_DOWN: Duration = Duration::from_secs(60);
/// Each word is passed on so often by each: three times the logarithm of 300.
const PASS_ON: NonZeroU8 = NonZeroU8::new(18).unwrap();
const PACKET_MOST: NonZeroUsize = NonZeroUsize::new(MAX_PAYLOAD_BYTES).unwrap();
const GOSSIP: PeriodicParams = PeriodicParams {
    frequency: Duration::from_millis(200),
    num_members: NonZeroUsize::new(3).unwrap(),
};
const ANNOUNCE: PeriodicParams = PeriodicParams {
    frequency: Duration::from_secs(10),
    num_members: NonZeroUsize::MIN,
};
const ASK_DOWN: PeriodicParams = PeriodicParams {
    frequency: Duration::from_secs(2),
    num_members: NonZeroUsize::new(2).unwrap(),
};

/// A process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where its datagrams go.
    pub addr: SocketAddr,
    /// Differs with each start of the process, and grows.
    pub session: u64,
    /// How often it was called down in this session and came back.
    pub back: u16,
}

impl Identity {
    /// A session for a process that starts now: grows with the clock, by milliseconds, and differs from those of others
    /// that start in the same one.
    pub fn session_at(clock: Micros, drawn: u32) -> u64 {
        (clock / 1000) << 20 | u64::from(drawn & 0xf_ffff)
    }

    /// Sessions above this are no honest process's, and nobody is led to one: some 70 years from 1970.
    pub const SESSION_MOST: u64 = 1 << 61;

    /// Somebody unknown at an address.
    pub fn at(addr: SocketAddr) -> Identity {
        Identity {
            name: String::new(),
            addr,
            session: 0,
            back: 0,
        }
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;
    fn renew(&self) -> Option<Identity> {
        Some(Identity {
            back: self.back.wrapping_add(1),
            ..self.clone()
        })
    }
    fn addr(&self) -> SocketAddr {
        self.addr
    }
    fn win_addr_conflict(&self, other: &Identity) -> bool {
        (self.session, self.back) > (other.session, other.back)
    }
}

/// Names that are known, those of the gone among them.
type Names = Rc<RefCell<BTreeSet<String>>>;

/// `foca`'s own form, with bounds on names and on how many there are: who holds the key could tell of any number.
struct Codec(PostcardCodec, Names);

/// Why a datagram of members is not read.
#[derive(Debug)]
pub struct Unreadable(String);

impl std::error::Error for Unreadable {}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

fn unreadable(e: impl std::fmt::Display) -> Unreadable {
    Unreadable(e.to_string())
}

fn bounded(id: &Identity) -> Result<(), Unreadable> {
    (id.name.len() <= MAX_NAME_BYTES)
        .then_some(())
        .ok_or_else(|| Unreadable("a name too long".into()))
}

impl Codec {
    fn room(&self, id: &Identity) -> Result<(), Unreadable> {
        let names = self.1.borrow();
        let fits = names.len() < MEMBERS_MOST || names.contains(&id.name);
        fits.then_some(())
            .ok_or_else(|| Unreadable("too many members".into()))
    }
}

impl foca::Codec<Identity> for Codec {
    type Error = Unreadable;
    fn encode_header(
        &mut self,
        header: &Header<Identity>,
        buf: impl BufMut,
    ) -> Result<(), Unreadable> {
        self.0.encode_header(header, buf).map_err(unreadable)
    }
    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, Unreadable> {
        let header: Header<Identity> = self.0.decode_header(buf).map_err(unreadable)?;
        bounded(&header.src).and_then(|()| bounded(&header.dst))?;
        self.room(&header.src)?;
        Ok(header)
    }
    fn encode_member(
        &mut self,
        member: &Member<Identity>,
        buf: impl BufMut,
    ) -> Result<(), Unreadable> {
        self.0.encode_member(member, buf).map_err(unreadable)
    }
    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>, Unreadable> {
        let member: Member<Identity> = self.0.decode_member(buf).map_err(unreadable)?;
        bounded(member.id())?;
        self.room(member.id())?;
        Ok(member)
    }
}

/// How sure a member is to be there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// It is there.
    Alive,
    /// Somebody had no answer of it, and it has not said yet that it is there.
    Suspected,
    /// It has been called down, or left.
    Down,
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Somebody is there.
    Up(Identity),
    /// Somebody is down.
    Down(Identity),
    /// We were called down and are back under this.
    Back(Identity),
}

type Swim = Foca<Identity, Codec, SmallRng, foca::NoCustomBroadcast>;

/// The members as one of them knows them.
pub struct Members {
    foca: Swim,
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    order: u64,
    /// When each came up, by session.
    since: BTreeMap<u64, Micros>,
    /// Who went down, by name, and when.
    gone: BTreeMap<String, (Identity, Micros)>,
    names: Names,
    rng: SmallRng,
    /// How often we dropped what we held against others.
    pub membership_resets: u64,
    /// Datagrams that could not be used.
    pub unreadable: u64,
}

/// Members whose change is remembered.
const SINCE_MOST: usize = 4096;

fn config() -> Config {
    Config {
        probe_period: PROBE_EVERY,
        probe_rtt: PROBE_ANSWER,
        num_indirect_probes: BY_WAY_OF,
        max_transmissions: PASS_ON,
        suspect_to_down_after: DOWN_AFTER,
        remove_down_after: FORGET_DOWN,
        max_packet_size: PACKET_MOST,
        notify_down_members: true,
        periodic_announce: Some(ANNOUNCE),
        periodic_announce_to_down_members: Some(ASK_DOWN),
        periodic_gossip: Some(GOSSIP),
    }
}

impl Members {
    /// Ourselves alone.
    pub fn new(me: Identity, seed: u64) -> Members {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names = Names::default();
        Members {
            foca: Foca::new(
                me,
                config(),
                SmallRng::from_rng(&mut rng),
                Codec(PostcardCodec, names.clone()),
            ),
            names,
            rng,
            timers: BTreeMap::new(),
            order: 0,
            since: BTreeMap::new(),
            gone: BTreeMap::new(),
            unreadable: 0,
            membership_resets: 0,
        }
    }

    /// We were called down, or all others are: more likely it is us who could not be heard. What we hold against others
    /// is dropped, so that once we are heard again we accuse nobody; those that are there stay, doubted by none.
    fn start_over(&mut self, now: Micros, sends: &mut Vec<(Identity, Vec<u8>)>) {
        let me = foca::Identity::renew(self.me()).unwrap_or_else(|| self.me().clone());
        self.start_over_as(now, me, sends);
    }

    fn start_over_as(&mut self, now: Micros, me: Identity, sends: &mut Vec<(Identity, Vec<u8>)>) {
        // Those that are doubted are asked anew.
        let keep: Vec<Member<Identity>> = self
            .foca
            .iter_members()
            .map(|m| Member::new(m.id().clone(), m.incarnation(), foca::State::Alive))
            .collect();
        self.membership_resets += 1;
        self.timers.clear();
        let codec = Codec(PostcardCodec, self.names.clone());
        self.foca = Foca::new(me, config(), SmallRng::from_rng(&mut self.rng), codec);
        // That they are there is no news.
        self.run(now, sends, &mut Vec::new(), |foca, runtime| {
            foca.apply_many(keep.into_iter(), false, runtime)
        });
    }

    /// Who we are.
    pub fn me(&self) -> &Identity {
        self.foca.identity()
    }

    /// Does one thing and collects what follows of it.
    fn run(
        &mut self,
        now: Micros,
        sends: &mut Vec<(Identity, Vec<u8>)>,
        changes: &mut Vec<Change>,
        work: impl FnOnce(&mut Swim, &mut AccumulatingRuntime<Identity>) -> Result<(), foca::Error>,
    ) {
        let mut runtime = AccumulatingRuntime::new();
        if work(&mut self.foca, &mut runtime).is_err() {
            self.unreadable += 1;
        }
        while let Some((to, bytes)) = runtime.to_send() {
            sends.push((to, bytes.to_vec()));
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.order += 1;
            self.timers
                .insert((now + after.as_micros() as Micros, self.order), timer);
        }
        while let Some(told) = runtime.to_notify() {
            changes.extend(match told {
                OwnedNotification::MemberUp(who) => Some(Change::Up(who)),
                OwnedNotification::MemberDown(who) => Some(Change::Down(who)),
                OwnedNotification::Rejoin(me) => Some(Change::Back(me)),
                // A new identity of one that is there, and our own ups and downs, change nobody's standing.
                _ => None,
            });
        }
    }

    fn work(
        &mut self,
        now: Micros,
        sends: &mut Vec<(Identity, Vec<u8>)>,
        changes: &mut Vec<Change>,
        work: impl FnOnce(&mut Swim, &mut AccumulatingRuntime<Identity>) -> Result<(), foca::Error>,
    ) {
        let first = changes.len();
        self.run(now, sends, changes, work);
        let mut doubt = false;
        for change in &changes[first..] {
            match change {
                Change::Up(who) => {
                    self.since.insert(who.session, now);
                    self.gone.remove(&who.name);
                    self.names.borrow_mut().insert(who.name.clone());
                }
                Change::Down(who) => {
                    doubt |= self.foca.num_members() == 0;
                    self.gone.insert(who.name.clone(), (who.clone(), now));
                }
                Change::Back(_) => doubt = true,
            }
        }
        if doubt {
            self.start_over(now, sends);
        }
        while self.since.len() > SINCE_MOST {
            self.since.pop_first();
        }
        let forget = now.saturating_sub(FORGET_DOWN.as_micros() as Micros);
        if self.gone.values().any(|g| g.1 < forget) {
            self.gone.retain(|_, g| g.1 >= forget);
            let there = self.foca.iter_members().map(|m| m.id().name.clone());
            *self.names.borrow_mut() = there.chain(self.gone.keys().cloned()).collect();
        }
    }

    /// Asks to be let in by whoever is at this address.
    pub fn join(
        &mut self,
        now: Micros,
        at: SocketAddr,
        out: &mut Vec<(Identity, Vec<u8>)>,
        ch: &mut Vec<Change>,
    ) {
        self.work(now, out, ch, |foca, runtime| {
            foca.announce(Identity::at(at), runtime)
        });
    }

    /// Leaves in order: the others need not find out.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<(Identity, Vec<u8>)>, ch: &mut Vec<Change>) {
        self.work(now, out, ch, |foca, runtime| foca.leave_cluster(runtime));
    }

    /// Who sent this datagram, and the session of a later process of its name that we know, if it is behind that: its clock
    /// was set back, and those who remember that other one would not let it in.
    pub fn behind(&self, bytes: &[u8]) -> Option<(Identity, u64)> {
        let header: Header<Identity> =
            foca::Codec::decode_header(&mut Codec(PostcardCodec, self.names.clone()), bytes)
                .ok()?;
        let there = self
            .there()
            .filter(|m| m.name == header.src.name)
            .map(|m| m.session);
        let gone = self.gone.get(&header.src.name).map(|g| g.0.session);
        let known = there
            .chain(gone)
            .max()
            .filter(|&known| known > header.src.session)?;
        Some((header.src, known))
    }

    /// An earlier process of our name had this session: ours is made to be above it. False where that can't be.
    pub fn outdo(&mut self, now: Micros, session: u64, out: &mut Vec<(Identity, Vec<u8>)>) -> bool {
        if session <= self.me().session || session >= Identity::SESSION_MOST {
            return false;
        }
        let me = Identity {
            session: session + 1,
            back: 0,
            ..self.me().clone()
        };
        self.start_over_as(now, me, out);
        true
    }

    /// A datagram has come.
    pub fn take(
        &mut self,
        now: Micros,
        bytes: &[u8],
        out: &mut Vec<(Identity, Vec<u8>)>,
        ch: &mut Vec<Change>,
    ) {
        self.work(now, out, ch, |foca, runtime| {
            foca.handle_data(bytes, runtime)
        });
    }

    /// Lets all timers come due that should have by now.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<(Identity, Vec<u8>)>, ch: &mut Vec<Change>) {
        while let Some(entry) = self.timers.first_entry().filter(|t| t.key().0 <= now) {
            let timer = entry.remove();
            self.work(now, out, ch, |foca, runtime| {
                foca.handle_timer(timer, runtime)
            });
        }
    }

    /// When [`Members::tick`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|t| t.0 .0)
    }

    /// All that are known but us, with their standing and for how long it has been so.
    pub fn known(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (&Identity, MemberStatus, Micros)> + '_ {
        let there = self.foca.iter_members().map(move |m| {
            let standing = if m.state() == foca::State::Suspect {
                MemberStatus::Suspected
            } else {
                MemberStatus::Alive
            };
            let since = self.since.get(&m.id().session).copied().unwrap_or(0);
            (m.id(), standing, now.saturating_sub(since))
        });
        there.chain(
            self.gone
                .values()
                .map(move |(id, at)| (id, MemberStatus::Down, now.saturating_sub(*at))),
        )
    }

    /// Where those that went down were.
    pub fn lost(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.gone.values().map(|g| g.0.addr)
    }

    /// Those that are there, doubted or not, but us.
    pub fn there(&self) -> impl Iterator<Item = &Identity> + '_ {
        self.foca.iter_members().map(Member::id)
    }

    /// How many are there but us.
    pub fn others(&self) -> usize {
        self.foca.num_members()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(name: &str, port: u16) -> Identity {
        Identity {
            name: name.into(),
            addr: SocketAddr::from(([127, 0, 0, 1], port)),
            session: 5,
            back: 0,
        }
    }

    #[test]
    fn there_is_a_bound_on_members_and_who_is_known_is_heard_beyond_it() {
        let (mut me, mut out, mut changes) = (Members::new(id("me", 1), 1), Vec::new(), Vec::new());
        // Each sends one datagram of its own: it asks to be let in.
        let mut ask = |me: &mut Members, name: &str, port: u16| {
            let mut other = Members::new(id(name, port), 2);
            let mut sends = Vec::new();
            other.join(0, me.me().addr, &mut sends, &mut Vec::new());
            me.take(0, &sends[0].1, &mut out, &mut changes);
        };
        for n in 0..MEMBERS_MOST + 10 {
            ask(&mut me, &format!("m{n}"), n as u16 + 2);
        }
        assert_eq!((me.others(), me.unreadable), (MEMBERS_MOST, 10));
        ask(&mut me, "m3", 5);
        assert_eq!(me.unreadable, 10);
    }
}
