//! Membership: who is there, by SWIM with suspicion and incarnations (`foca`), which is free of I/O as this is.
//!
//! | status | becomes | when |
//! | --- | --- | --- |
//! | unknown, `Down` | `Alive` | it joins, or an update has a later incarnation or session of it |
//! | `Alive` | `Suspected` | a probe of it, and all indirect ones, have no answer in time |
//! | `Suspected` | `Alive` | it refutes the suspicion |
//! | `Suspected` | `Down` | it sends no refutation for two seconds |
//! | `Alive`, `Suspected` | `Down` | it leaves, or a member calls it down |
//!
//! A member that dies is suspected by the first that probes it within a period and a half on average. Others are notified of
//! a member that is down, and it is probed every two seconds, so that the halves of a partition find each other again.

mod codec;
mod config;
mod identity;

use crate::Micros;
use codec::{Codec, KnownNames};
use config::{swim_config, DOWN_RETENTION};
use foca::{AccumulatingRuntime, Foca, Header, Member, OwnedNotification, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

pub use codec::DecodeError;
pub use identity::Identity;

/// Members known at once, gone ones among them; a datagram with updates of more is not read.
pub const MAX_MEMBERS: usize = 1024;
/// Longest name of a member, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// Sessions whose beginning is remembered.
const MAX_SESSIONS: usize = 4096;

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

/// A change of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is there.
    Up(Identity),
    /// A member is down.
    Down(Identity),
    /// This member was called down, and is back under this identity.
    Rejoined(Identity),
}

/// What follows of an event.
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams to send, and their receivers.
    pub datagrams: Vec<(Identity, Vec<u8>)>,
    /// Changes, in order.
    pub changes: Vec<Change>,
}

/// A member that is known.
#[derive(Clone, Copy, Debug)]
pub struct KnownMember<'a> {
    /// Who it is.
    pub identity: &'a Identity,
    /// How sure it is to be there.
    pub status: MemberStatus,
    /// For how long it has been so: a suspected one, since it came up.
    pub status_age: Micros,
}

/// A member that is down.
struct DownMember {
    identity: Identity,
    since: Micros,
}

type Swim = Foca<Identity, Codec, SmallRng, foca::NoCustomBroadcast>;
type Runtime = AccumulatingRuntime<Identity>;

/// The members as one of them knows them.
pub struct Members {
    swim: Swim,
    /// Timers by when they are due, and by the order in which they were set.
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    timers_set: u64,
    /// When each came up, by session.
    up_since: BTreeMap<u64, Micros>,
    /// Members that went down, by name.
    down: BTreeMap<String, DownMember>,
    names: KnownNames,
    rng: SmallRng,
    /// How often this member dropped what it held against others.
    pub membership_resets: u64,
    /// Datagrams that could not be used.
    pub unreadable: u64,
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}

impl Members {
    /// This member alone.
    pub fn new(own: Identity, seed: u64) -> Members {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names = KnownNames::default();
        Members {
            swim: new_swim(own, &mut rng, &names),
            names,
            rng,
            timers: BTreeMap::new(),
            timers_set: 0,
            up_since: BTreeMap::new(),
            down: BTreeMap::new(),
            unreadable: 0,
            membership_resets: 0,
        }
    }

    /// This member's identity.
    pub fn own(&self) -> &Identity {
        self.swim.identity()
    }

    /// Requests to join from the member at this address.
    pub fn join(&mut self, now: Micros, at: SocketAddr, output: &mut Output) {
        self.handle(now, output, |swim, runtime| {
            swim.announce(Identity::at(at), runtime)
        });
    }

    /// Leaves in order: the others need not find out.
    pub fn leave(&mut self, now: Micros, output: &mut Output) {
        self.handle(now, output, |swim, runtime| swim.leave_cluster(runtime));
    }

    /// Takes a datagram.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8], output: &mut Output) {
        self.handle(now, output, |swim, runtime| {
            swim.handle_data(bytes, runtime)
        });
    }

    /// Lets all timers come due that should have by now.
    pub fn tick(&mut self, now: Micros, output: &mut Output) {
        while let Some(entry) = self.timers.first_entry().filter(|t| t.key().0 <= now) {
            let timer = entry.remove();
            self.handle(now, output, |swim, runtime| {
                swim.handle_timer(timer, runtime)
            });
        }
    }

    /// When [`Members::tick`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|(&(at, _), _)| at)
    }

    /// The sender of a datagram, and the session of a later process of its name that is known here, if there is one: the
    /// sender's clock was set back, and those who remember that other process would not let it in.
    pub fn later_session(&self, datagram: &[u8]) -> Option<(Identity, u64)> {
        let mut codec = Codec::new(self.names.clone());
        let header: Header<Identity> = foca::Codec::decode_header(&mut codec, datagram).ok()?;
        let sender = header.src;
        let reachable = self.reachable().filter(|m| m.name == sender.name);
        let down = self.down.get(&sender.name).map(|d| d.identity.session);
        let latest = reachable.map(|m| m.session).chain(down).max()?;
        (latest > sender.session).then_some((sender, latest))
    }

    /// Raises this member's session above that of an earlier process of its name. False where that can't be.
    pub fn raise_session(&mut self, now: Micros, above: u64, output: &mut Output) -> bool {
        if above <= self.own().session || above >= Identity::MAX_SESSION {
            return false;
        }
        let own = Identity {
            session: above + 1,
            rejoins: 0,
            ..self.own().clone()
        };
        self.reset_as(now, own, output);
        true
    }

    /// All other members that are known.
    pub fn known(&self, now: Micros) -> impl Iterator<Item = KnownMember<'_>> + '_ {
        let reachable = self.swim.iter_members().map(move |member| {
            let identity = member.id();
            let since = self.up_since.get(&identity.session).copied();
            KnownMember {
                identity,
                status: match member.state() {
                    foca::State::Suspect => MemberStatus::Suspected,
                    _ => MemberStatus::Alive,
                },
                status_age: now.saturating_sub(since.unwrap_or(0)),
            }
        });
        let down = self.down.values().map(move |down| KnownMember {
            identity: &down.identity,
            status: MemberStatus::Down,
            status_age: now.saturating_sub(down.since),
        });
        reachable.chain(down)
    }

    /// Where members that went down were.
    pub fn down_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.down.values().map(|d| d.identity.addr)
    }

    /// Other members that are there, suspected or not.
    pub fn reachable(&self) -> impl Iterator<Item = &Identity> + '_ {
        self.swim.iter_members().map(Member::id)
    }

    /// How many other members are there.
    pub fn reachable_count(&self) -> usize {
        self.swim.num_members()
    }

    /// Lets SWIM handle an event, and takes note of the changes.
    fn handle(
        &mut self,
        now: Micros,
        output: &mut Output,
        event: impl FnOnce(&mut Swim, &mut Runtime) -> Result<(), foca::Error>,
    ) {
        let first = output.changes.len();
        self.run_swim(now, output, event);
        let mut suspects_itself = false;
        for change in &output.changes[first..] {
            suspects_itself |= self.record_change(now, change);
        }
        if suspects_itself {
            self.reset(now, output);
        }
        while self.up_since.len() > MAX_SESSIONS {
            self.up_since.pop_first();
        }
        self.forget_down(now);
    }

    /// Lets SWIM handle an event, and collects what follows of it.
    fn run_swim(
        &mut self,
        now: Micros,
        output: &mut Output,
        event: impl FnOnce(&mut Swim, &mut Runtime) -> Result<(), foca::Error>,
    ) {
        let mut runtime = Runtime::new();
        if event(&mut self.swim, &mut runtime).is_err() {
            self.unreadable += 1;
        }
        while let Some((receiver, bytes)) = runtime.to_send() {
            output.datagrams.push((receiver, bytes.to_vec()));
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.timers_set += 1;
            let due = now + micros(after);
            self.timers.insert((due, self.timers_set), timer);
        }
        while let Some(notification) = runtime.to_notify() {
            output.changes.extend(match notification {
                OwnedNotification::MemberUp(member) => Some(Change::Up(member)),
                OwnedNotification::MemberDown(member) => Some(Change::Down(member)),
                OwnedNotification::Rejoin(own) => Some(Change::Rejoined(own)),
                // A new identity of one that is there, and this member's own ups and downs, change nobody's status.
                _ => None,
            });
        }
    }

    /// Takes note of a change; whether it makes this member suspect itself: all others are down, or it was called down.
    fn record_change(&mut self, now: Micros, change: &Change) -> bool {
        match change {
            Change::Up(member) => {
                self.up_since.insert(member.session, now);
                self.down.remove(&member.name);
                self.names.borrow_mut().insert(member.name.clone());
                false
            }
            Change::Down(member) => {
                let down = DownMember {
                    identity: member.clone(),
                    since: now,
                };
                self.down.insert(member.name.clone(), down);
                self.swim.num_members() == 0
            }
            Change::Rejoined(_) => true,
        }
    }

    /// This member was called down, or all others are: more likely it was cut off itself. Its suspicions of others are
    /// dropped, so that it accuses nobody once it is connected again; those that are there stay, suspected by none.
    fn reset(&mut self, now: Micros, output: &mut Output) {
        let own = foca::Identity::renew(self.own()).unwrap_or_else(|| self.own().clone());
        self.reset_as(now, own, output);
    }

    fn reset_as(&mut self, now: Micros, own: Identity, output: &mut Output) {
        let as_alive =
            |m: &Member<Identity>| Member::new(m.id().clone(), m.incarnation(), foca::State::Alive);
        let members: Vec<Member<Identity>> = self.swim.iter_members().map(as_alive).collect();
        self.membership_resets += 1;
        self.timers.clear();
        self.swim = new_swim(own, &mut self.rng, &self.names);
        // That they are there is no news.
        let mut no_changes = Output::default();
        self.run_swim(now, &mut no_changes, |swim, runtime| {
            swim.apply_many(members.into_iter(), false, runtime)
        });
        output.datagrams.append(&mut no_changes.datagrams);
    }

    /// Forgets members that have been down for long, and their names.
    fn forget_down(&mut self, now: Micros) {
        let oldest = now.saturating_sub(micros(DOWN_RETENTION));
        if self.down.values().all(|d| d.since >= oldest) {
            return;
        }
        self.down.retain(|_, d| d.since >= oldest);
        let reachable = self.swim.iter_members().map(|m| m.id().name.clone());
        let names = reachable.chain(self.down.keys().cloned()).collect();
        *self.names.borrow_mut() = names;
    }
}

fn new_swim(own: Identity, rng: &mut SmallRng, names: &KnownNames) -> Swim {
    let swim_rng = SmallRng::from_rng(rng);
    Foca::new(own, swim_config(), swim_rng, Codec::new(names.clone()))
}
