//! Membership and failure detection by SWIM with suspicion and incarnations. Like its implementation, `foca`, it does no I/O.
//!
//! | status | becomes | when |
//! | --- | --- | --- |
//! | unknown, `Down` | `Alive` | it joins, or an update carries a later incarnation or session of it |
//! | `Alive` | `Suspected` | a probe of it and all indirect probes time out |
//! | `Suspected` | `Alive` | it refutes the suspicion |
//! | `Suspected` | `Down` | it sends no refutation for two seconds |
//! | `Alive`, `Suspected` | `Down` | it leaves, or another member declares it down |
//!
//! A crashed member is suspected within one and a half probe periods on average. Members that are down are notified of it, and
//! two of them are sent an announcement every two seconds, so that the halves of a partition find each other again.

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

/// Members known at once, including those that are down; a datagram that would add more is rejected.
pub const MAX_MEMBERS: usize = 1024;
/// Longest name of a member, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// Sessions whose start time is remembered.
const MAX_SESSIONS: usize = 4096;

/// The failure detector's status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// It responds to probes.
    Alive,
    /// It did not respond to a probe, and has not refuted the suspicion yet.
    Suspected,
    /// It was declared down, or left.
    Down,
}

/// A change of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member came up.
    Up(Identity),
    /// A member went down.
    Down(Identity),
    /// This member was declared down, and rejoined under this identity.
    Rejoined(Identity),
}

/// The effects of an event.
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams to send, and their receivers.
    pub datagrams: Vec<(Identity, Vec<u8>)>,
    /// Changes, in order.
    pub changes: Vec<Change>,
}

/// A known member.
#[derive(Clone, Copy, Debug)]
pub struct KnownMember<'a> {
    /// Its identity.
    pub identity: &'a Identity,
    /// Its status.
    pub status: MemberStatus,
    /// How long it has been up, suspected or not, or how long it has been down.
    pub status_age: Micros,
}

/// A member that is down.
struct DownMember {
    identity: Identity,
    since: Micros,
}

type Swim = Foca<Identity, Codec, SmallRng, foca::NoCustomBroadcast>;
type Runtime = AccumulatingRuntime<Identity>;

/// One member's view of the membership.
pub struct Members {
    swim: Swim,
    /// Timers by due time, then by the order in which they were set.
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    timers_set: u64,
    /// When each member came up, by session.
    up_since: BTreeMap<u64, Micros>,
    /// Members that went down, by name.
    down: BTreeMap<String, DownMember>,
    names: KnownNames,
    rng: SmallRng,
    /// How often this member dropped its suspicions of others.
    pub membership_resets: u64,
    /// Datagrams that could not be decoded or were not valid.
    pub unreadable: u64,
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}

impl Members {
    /// A membership that consists of this member only.
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

    /// Sends a join request to the member at this address.
    pub fn join(&mut self, now: Micros, at: SocketAddr, output: &mut Output) {
        self.handle(now, output, |swim, runtime| {
            swim.announce(Identity::at(at), runtime)
        });
    }

    /// Leaves gracefully: the others are told and need not detect it.
    pub fn leave(&mut self, now: Micros, output: &mut Output) {
        self.handle(now, output, |swim, runtime| swim.leave_cluster(runtime));
    }

    /// Handles a membership datagram.
    pub fn handle_datagram(&mut self, now: Micros, bytes: &[u8], output: &mut Output) {
        self.handle(now, output, |swim, runtime| {
            swim.handle_data(bytes, runtime)
        });
    }

    /// Runs all timers that are due.
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

    /// The sender of a datagram and a later known session of its name, if there is one. This happens if the sender restarted
    /// with its clock set back; members that remember the later session would not admit the sender.
    pub fn later_session(&self, datagram: &[u8]) -> Option<(Identity, u64)> {
        let mut codec = Codec::new(self.names.clone());
        let header: Header<Identity> = foca::Codec::decode_header(&mut codec, datagram).ok()?;
        let sender = header.src;
        let reachable = self.reachable().filter(|m| m.name == sender.name);
        let down = self.down.get(&sender.name).map(|d| d.identity.session);
        let latest = reachable.map(|m| m.session).chain(down).max()?;
        (latest > sender.session).then_some((sender, latest))
    }

    /// Raises this member's session above that of an earlier process of its name. Returns false if `above` is not later than
    /// the current session, or not valid.
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

    /// All other known members.
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

    /// The last addresses of members that are down.
    pub fn down_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.down.values().map(|d| d.identity.addr)
    }

    /// Other members that are alive or suspected.
    pub fn reachable(&self) -> impl Iterator<Item = &Identity> + '_ {
        self.swim.iter_members().map(Member::id)
    }

    /// The number of other members that are alive or suspected.
    pub fn reachable_count(&self) -> usize {
        self.swim.num_members()
    }

    /// Runs an event through SWIM and records the resulting changes.
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

    /// Runs an event through SWIM and collects its effects.
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
                // A new identity of a live member, and this member's own transitions, change no other member's status.
                _ => None,
            });
        }
    }

    /// Records a change. Returns whether this member must suspect itself: all others are down, or it was declared down.
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

    /// Drops all suspicions of others. Called when this member was declared down or all others went down: most likely it was
    /// cut off itself, and must not spread its suspicions once it is connected again. Live members stay known, and none is
    /// suspected.
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
        // These members were known before: they are not reported as changes.
        let mut no_changes = Output::default();
        self.run_swim(now, &mut no_changes, |swim, runtime| {
            swim.apply_many(members.into_iter(), false, runtime)
        });
        output.datagrams.append(&mut no_changes.datagrams);
    }

    /// Forgets members that have been down for longer than [`DOWN_RETENTION`], and their names.
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
