//! The lease table: which leases are granted, each with an owner, an end and a fencing number.
//!
//! A lease is a part of a resource ("one coordinator of room-a is out"); of a resource no more is ever granted than the
//! requester's figure says. This is the replicated state: it goes on by entries alone, each with the time that its leader gave
//! it, so that all who applied the same entries hold the same.
//!
//! **Time.** An entry's time comes from its leader, whose time goes on no faster than any clock and begins at the last one
//! that was applied. So whatever has ended here has lasted at least as long on the holder's clock, which counts from
//! before its request. Time that stands still between entries only makes leases end later.
//!
//! A lease that *stays* is not free at its end: it counts until its owner releases it or an operator revokes it. That is for
//! what must be seen before it is over: an engine that went out is out until it is seen back, whoever requested that.
//!
//! The table is stored and sent in postcard's form: the order of fields stays.

pub use super::command::{Command, Entry, Outcome, RequestId};
use crate::membership::MAX_NAME_BYTES;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Longest name of a resource, and longest note, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;
/// Leases at once, of all owners.
pub const MAX_LEASES: usize = 512;
/// Leases at once, of one owner.
pub const MAX_LEASES_PER_OWNER: usize = 64;
/// Owners whose last request is remembered.
pub const MAX_OWNERS: usize = 1024;
/// Longest time for which a lease is granted at once.
pub const MAX_DURATION: Micros = 24 * 3600 * 1_000_000;
/// Bits of a fencing number that count entries of one log; those above are the second in which the log began.
///
/// A million entries a second would have to pass for a number to come twice; and readers in JSON have 53 bits.
const ENTRY_BITS: u32 = 20;

/// A lease that is granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Of which resource.
    pub resource: String,
    /// How much of it.
    pub amount: u32,
    /// The member that holds it.
    pub owner: String,
    /// The session of the owner's process.
    pub session: u64,
    /// Its end, by the log's time.
    pub end: Micros,
    /// It counts beyond that.
    pub stays: bool,
    /// The reason, for operators.
    pub note: String,
}

/// An owner's last request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct LastRequest {
    session: u64,
    request: u64,
    outcome: Outcome,
    applied_at: Micros,
}

impl LastRequest {
    fn id(&self) -> RequestId {
        RequestId {
            session: self.session,
            number: self.request,
        }
    }
}

/// The lease table that all agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leases {
    /// The log's time.
    time: Micros,
    /// Fencing numbers are above this: they must not begin again where a log did.
    first_fence: u64,
    /// Nothing is granted before.
    grace_until: Micros,
    /// By fencing number.
    granted: BTreeMap<u64, Lease>,
    /// By owner.
    last_requests: BTreeMap<String, LastRequest>,
}

/// A lease as a reader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseView<'a> {
    /// Its fencing number.
    pub fence: u64,
    /// The lease.
    pub lease: &'a Lease,
    /// Until its end, by the log's time as it was last known; `None` where that is over and the lease stays.
    pub left: Option<Micros>,
}

impl Leases {
    /// The table of a log that begins at this time of its first voters' clocks, in milliseconds since 1970. What an earlier
    /// log may have granted, for `grace` at most, must have ended before anything is granted here.
    pub fn starting_at(clock_ms: u64, grace: Micros) -> Leases {
        Leases {
            first_fence: (clock_ms / 1000) << ENTRY_BITS,
            grace_until: grace,
            ..Leases::default()
        }
    }

    /// When a log must begin, in milliseconds since 1970, for its fencing numbers to be above those of this one.
    pub fn min_next_start_ms(&self) -> u64 {
        ((self.first_fence >> ENTRY_BITS) + 1) * 1000
    }

    /// The log's time.
    pub fn time(&self) -> Micros {
        self.time
    }

    /// All leases, by fencing number.
    pub fn all(&self) -> impl Iterator<Item = LeaseView<'_>> {
        let left = |lease: &Lease| lease.end.checked_sub(self.time).filter(|&left| left > 0);
        self.granted.iter().map(move |(&fence, lease)| LeaseView {
            fence,
            lease,
            left: left(lease),
        })
    }

    /// How much of a resource is granted.
    pub fn granted_of(&self, resource: &str) -> u32 {
        self.granted
            .values()
            .filter(|lease| lease.resource == resource)
            .fold(0, |sum, lease| sum.saturating_add(lease.amount))
    }

    /// What became of a request, if it is the last of its owner's.
    pub fn outcome(&self, owner: &str, request: RequestId) -> Option<&Outcome> {
        let last = self.last_requests.get(owner)?;
        (last.id() == request).then_some(&last.outcome)
    }

    /// Forgets the outcomes of requests: observers don't need them.
    pub fn forget_requests(&mut self) {
        self.last_requests.clear();
    }

    /// Applies the entry of this index; what became of it. The same for all that apply the same.
    pub fn apply(&mut self, index: u64, entry: Entry) -> Outcome {
        self.time = self.time.max(entry.time);
        self.remove_ended();
        let request = entry.request_id();
        if let Some(last) = self.last_requests.get(&entry.owner) {
            match request.cmp(&last.id()) {
                Ordering::Equal => return last.outcome.clone(),
                Ordering::Less => return Outcome::Stale,
                Ordering::Greater => {}
            }
        }
        let outcome = self.execute(index, &entry.owner, request.session, entry.command);
        self.make_room_for_owner(&entry.owner);
        let last = LastRequest {
            session: request.session,
            request: request.number,
            outcome: outcome.clone(),
            applied_at: self.time,
        };
        self.last_requests.insert(entry.owner, last);
        outcome
    }

    fn remove_ended(&mut self) {
        let now = self.time;
        self.granted
            .retain(|_, lease| lease.stays || lease.end > now);
    }

    /// Forgets the owner whose last request is the oldest, where one more would be too many.
    fn make_room_for_owner(&mut self, new: &str) {
        if self.last_requests.len() < MAX_OWNERS || self.last_requests.contains_key(new) {
            return;
        }
        let oldest = self
            .last_requests
            .iter()
            .min_by_key(|(name, last)| (last.applied_at, *name))
            .map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            self.last_requests.remove(&oldest);
        }
    }

    fn execute(&mut self, index: u64, owner: &str, session: u64, command: Command) -> Outcome {
        match command {
            Command::Acquire {
                resource,
                amount,
                limit,
                duration,
                stays,
                note,
            } => {
                let wanted = Lease {
                    resource,
                    amount,
                    owner: owner.into(),
                    session,
                    end: self.time.saturating_add(duration),
                    stays,
                    note,
                };
                self.acquire(index, wanted, limit, duration)
            }
            Command::Renew { fence, duration } => self.renew(owner, session, fence, duration),
            Command::Release { fence } => {
                let is_owner = |lease: &Lease| lease.owner == owner;
                self.end_lease(fence, is_owner)
            }
            Command::Revoke { fence } => self.end_lease(fence, |_| true),
        }
    }

    fn acquire(&mut self, index: u64, wanted: Lease, limit: u32, duration: Micros) -> Outcome {
        if !self.is_within_bounds(&wanted, duration) {
            return Outcome::OutOfBounds;
        }
        if self.time < self.grace_until {
            return Outcome::TooEarly {
                wait: self.grace_until - self.time,
            };
        }
        let granted = self.granted_of(&wanted.resource);
        let sum = granted.checked_add(wanted.amount);
        if sum.is_none_or(|sum| sum > limit) {
            return Outcome::LimitReached {
                granted,
                wait: self.time_until_first_end(&wanted.resource),
            };
        }
        let fence = self.first_fence + index;
        self.granted.insert(fence, wanted);
        Outcome::Granted { fence }
    }

    fn is_within_bounds(&self, wanted: &Lease, duration: Micros) -> bool {
        let of_owner = self
            .granted
            .values()
            .filter(|lease| lease.owner == wanted.owner)
            .count();
        let texts_fit = wanted.resource.len() <= MAX_TEXT_BYTES
            && wanted.note.len() <= MAX_TEXT_BYTES
            && wanted.owner.len() <= MAX_NAME_BYTES;
        texts_fit
            && !wanted.resource.is_empty()
            && wanted.amount > 0
            && is_valid_duration(duration)
            && self.granted.len() < MAX_LEASES
            && of_owner < MAX_LEASES_PER_OWNER
    }

    /// Until the first lease of a resource ends by itself; `None` where all of them stay.
    fn time_until_first_end(&self, resource: &str) -> Option<Micros> {
        self.granted
            .values()
            .filter(|lease| lease.resource == resource && !lease.stays)
            .map(|lease| lease.end.saturating_sub(self.time))
            .min()
    }

    fn renew(&mut self, owner: &str, session: u64, fence: u64, duration: Micros) -> Outcome {
        let lease = self.granted.get_mut(&fence);
        match lease.filter(|lease| lease.owner == owner) {
            Some(lease) if is_valid_duration(duration) => {
                lease.end = lease.end.max(self.time + duration);
                lease.session = session;
                Outcome::Renewed
            }
            Some(_) => Outcome::OutOfBounds,
            None => Outcome::NotOwner,
        }
    }

    fn end_lease(&mut self, fence: u64, may_end: impl FnOnce(&Lease) -> bool) -> Outcome {
        match self.granted.get(&fence) {
            Some(lease) if may_end(lease) => {
                self.granted.remove(&fence);
                Outcome::Released
            }
            _ => Outcome::NotOwner,
        }
    }
}

fn is_valid_duration(duration: Micros) -> bool {
    (1..=MAX_DURATION).contains(&duration)
}
