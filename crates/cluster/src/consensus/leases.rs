//! The lease table: all granted leases, each with an owner, an end and a fencing number.
//!
//! A lease takes an amount of a resource ("one coordinator of room-a is out"). The granted amount of a resource never exceeds
//! the limit in the request. The table is replicated state: only log entries change it, each with the time that the leader
//! assigned, so that all replicas that applied the same entries hold the same table.
//!
//! **Time.** The leader assigns an entry's time. The leader's log time advances no faster than its clock and starts at the time
//! of the last applied entry. A lease that has ended here has therefore lasted at least as long on its holder's clock, which
//! counts from before the request. Log time that does not advance between entries only delays the ends of leases.
//!
//! A lease that *stays* is not freed at its end: it counts until its owner releases it or an operator revokes it. It is used
//! where recovery must be observed first: an engine that was taken out of service counts as such until it is observed back
//! in service, whichever member requested the lease.
//!
//! The table is stored and sent in postcard format: the order of fields must not change.

pub use super::command::{Command, Entry, Outcome, RequestId};
use crate::membership::MAX_NAME_BYTES;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Longest resource name and longest note, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;
/// Most concurrent leases of all owners.
pub const MAX_LEASES: usize = 512;
/// Most concurrent leases of one owner.
pub const MAX_LEASES_PER_OWNER: usize = 64;
/// Most owners whose last request is remembered.
pub const MAX_OWNERS: usize = 1024;
/// Longest duration of a grant or renewal.
pub const MAX_DURATION: Micros = 24 * 3600 * 1_000_000;
/// Low bits of a fencing number that count the entries of one log; the bits above are the second in which the log started.
///
/// A number could repeat only after a million entries per second. Numbers must fit the 53 bits of integers in JSON.
const ENTRY_BITS: u32 = 20;

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The resource.
    pub resource: String,
    /// How much of it.
    pub amount: u32,
    /// The member that holds it.
    pub owner: String,
    /// The session of the owner's process.
    pub session: u64,
    /// Its end, in log time.
    pub end: Micros,
    /// Whether it counts beyond its end.
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

/// The replicated lease table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leases {
    /// The log time.
    time: Micros,
    /// Fencing numbers are above this, so that a new log does not reuse those of an earlier one.
    first_fence: u64,
    /// Nothing is granted before this log time.
    grace_until: Micros,
    /// Granted leases by fencing number.
    granted: BTreeMap<u64, Lease>,
    /// The last request of each owner.
    last_requests: BTreeMap<String, LastRequest>,
}

/// A lease as returned to readers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseView<'a> {
    /// Its fencing number.
    pub fence: u64,
    /// The lease.
    pub lease: &'a Lease,
    /// The time until its end, by the last known log time; `None` if the end has passed and the lease stays.
    pub time_left: Option<Micros>,
}

impl Leases {
    /// The table of a log that starts at this time of the initial voters' clocks, in milliseconds since 1970. Nothing is
    /// granted during `grace`, since leases of an earlier log may last that long.
    pub fn starting_at(clock_ms: u64, grace: Micros) -> Leases {
        Leases {
            first_fence: (clock_ms / 1000) << ENTRY_BITS,
            grace_until: grace,
            ..Leases::default()
        }
    }

    /// The earliest start of a new log, in milliseconds since 1970, whose fencing numbers are above those of this one.
    pub fn min_next_start_ms(&self) -> u64 {
        ((self.first_fence >> ENTRY_BITS) + 1) * 1000
    }

    /// The log time.
    pub fn time(&self) -> Micros {
        self.time
    }

    /// All leases, by fencing number.
    pub fn all(&self) -> impl Iterator<Item = LeaseView<'_>> {
        let time_left = |lease: &Lease| lease.end.checked_sub(self.time).filter(|&left| left > 0);
        self.granted.iter().map(move |(&fence, lease)| LeaseView {
            fence,
            lease,
            time_left: time_left(lease),
        })
    }

    /// The granted amount of a resource.
    pub fn granted_of(&self, resource: &str) -> u32 {
        self.granted
            .values()
            .filter(|lease| lease.resource == resource)
            .fold(0, |sum, lease| sum.saturating_add(lease.amount))
    }

    /// The outcome of a request, if it is its owner's last one.
    pub fn outcome(&self, owner: &str, request: RequestId) -> Option<&Outcome> {
        let last = self.last_requests.get(owner)?;
        (last.id() == request).then_some(&last.outcome)
    }

    /// Drops the outcomes of requests, which observers don't need.
    pub fn forget_requests(&mut self) {
        self.last_requests.clear();
    }

    /// Applies the entry at this index and returns its outcome. Deterministic: replicas that apply the same entries agree.
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

    /// Drops the owner with the oldest last request if a new owner would exceed the limit.
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

    /// The time until the first lease of a resource ends by itself; `None` if all of them stay.
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
