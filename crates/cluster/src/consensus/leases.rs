//! What is agreed: rights, each with an owner, an end and a fencing number.
//!
//! A right is a part of a pot ("one coordinator of room-a is out"); of a pot no more is ever lent than the asker's figure
//! says. This is the replicated state: it goes on by entries alone, each with the time that its leader gave it, so that all
//! who applied the same entries hold the same.
//!
//! **Time.** An entry's time comes from its leader, whose time goes on no faster than any clock and begins at the last one
//! that was applied. So whatever has ended here has lasted at least as long on the holder's clock, which counts from
//! before it asked. Time that stands still between entries only makes rights end later.
//!
//! A right that *stays* is not free at its end: it counts until its owner or an operator gives it back. That is for what
//! must be seen before it is over: an engine that went out is out until it is seen back, whoever asked for it.

use crate::membership::MAX_NAME_BYTES;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest text of a pot's name or a note, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;
/// Rights at once, in all and of one owner.
pub const RIGHTS_MOST: usize = 512;
/// See [`RIGHTS_MOST`].
pub const RIGHTS_OF_ONE: usize = 64;
/// Owners whose last request is remembered.
pub const OWNERS_MOST: usize = 1024;
/// Longest time for which a right is lent at once.
pub const SPAN_MOST: Micros = 24 * 3600 * 1_000_000;

/// What a member asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Lend me so much of a pot.
    Acquire {
        /// The pot.
        resource: String,
        /// How much of it.
        amount: u32,
        /// No more than this of it may be lent at once, by the asker's settings.
        limit: u32,
        /// For how long.
        duration: Micros,
        /// It counts beyond its end, until it is given back.
        stays: bool,
        /// Why, in words.
        note: String,
    },
    /// A later end for what I hold: so long from now.
    Renew {
        /// The right.
        fence: u64,
        /// For how long.
        duration: Micros,
    },
    /// I give it back.
    Release {
        /// The right.
        fence: u64,
    },
    /// An operator gives back what another holds.
    Revoke {
        /// The right.
        fence: u64,
    },
}

/// What became of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It is lent, under this number: later ones are higher.
    Granted {
        /// The fencing number.
        fence: u64,
    },
    /// It ends later now.
    Renewed,
    /// It is given back.
    Released,
    /// So much of the pot is lent already.
    LimitReached {
        /// How much.
        lent: u32,
        /// Until the first of it ends; nothing where all of it stays.
        wait: Option<Micros>,
    },
    /// There is no such right, or no more, or it is another's.
    NotOwner,
    /// It is beyond a bound: texts, amounts, how many rights there are.
    OutOfBounds,
    /// Rights of an earlier life of this log may still hold: none is lent for so long.
    TooEarly {
        /// How long.
        wait: Micros,
    },
    /// The asker is an earlier process of its name.
    Stale,
}

/// A right.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Of which pot.
    pub resource: String,
    /// How much of it.
    pub amount: u32,
    /// Who holds it.
    pub owner: String,
    /// Which process of the owner's.
    pub session: u64,
    /// Its end, by the log's time.
    pub end: Micros,
    /// It counts beyond that.
    pub stays: bool,
    /// Why, in words.
    pub note: String,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The log's time, by its leader.
    pub time: Micros,
    /// Who asks.
    pub owner: String,
    /// Which process of it.
    pub session: u64,
    /// Its requests, in order: one that came twice counts once.
    pub request: u64,
    /// What it asks.
    pub command: Command,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Owner {
    session: u64,
    request: u64,
    outcome: Outcome,
    at: Micros,
}

/// The state that all agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leases {
    /// The log's time.
    time: Micros,
    /// Fencing numbers are above this: they must not begin anew where a log did.
    base: u64,
    /// Nothing is lent before.
    quiet_until: Micros,
    lent: BTreeMap<u64, Lease>,
    owners: BTreeMap<String, Owner>,
}

/// What a reader sees of a right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen<'a> {
    /// Its fencing number.
    pub fence: u64,
    /// The right.
    pub right: &'a Lease,
    /// Until its end, by the log's time as it was last told; nothing where that is over and it stays.
    pub left: Option<Micros>,
}

impl Leases {
    /// Of a log that begins at this time of its founder's clock, in milliseconds since 1970. What an earlier log may have
    /// lent, for `quiet` at most, must have ended before anything is lent here.
    pub fn begun(clock_ms: u64, quiet: Micros) -> Leases {
        // A million entries a second would have to pass for a number to come twice; and readers in JSON have 53 bits.
        Leases {
            base: (clock_ms / 1000) << 20,
            quiet_until: quiet,
            ..Leases::default()
        }
    }

    /// When a log must begin, in milliseconds since 1970, for its numbers to be above those of this one.
    pub fn begins_above(&self) -> u64 {
        ((self.base >> 20) + 1) * 1000
    }

    /// The log's time.
    pub fn time(&self) -> Micros {
        self.time
    }

    /// All that is lent, by fencing number.
    pub fn all(&self) -> impl Iterator<Item = Seen<'_>> {
        let left = |r: &Lease| r.end.checked_sub(self.time).filter(|&l| l > 0);
        self.lent.iter().map(move |(&fence, right)| Seen {
            fence,
            right,
            left: left(right),
        })
    }

    /// How much of a pot is lent.
    pub fn lent_of(&self, resource: &str) -> u32 {
        self.lent
            .values()
            .filter(|r| r.resource == resource)
            .fold(0, |sum, r| sum.saturating_add(r.amount))
    }

    /// What became of a request, if it is the last of its owner's.
    pub fn outcome(&self, owner: &str, session: u64, request: u64) -> Option<&Outcome> {
        let known = self.owners.get(owner)?;
        ((known.session, known.request) == (session, request)).then_some(&known.outcome)
    }

    /// For readers, who need not know what was asked.
    pub fn forget_requests(&mut self) {
        self.owners.clear();
    }

    /// Applies the entry at this place of the log; what became of it. The same for all that apply the same.
    pub fn apply(&mut self, index: u64, entry: Entry) -> Outcome {
        let Entry {
            time,
            owner,
            session,
            request,
            command,
        } = entry;
        self.time = self.time.max(time);
        let now = self.time;
        self.end_what_is_over();
        if let Some(known) = self.owners.get(&owner) {
            match (session, request).cmp(&(known.session, known.request)) {
                std::cmp::Ordering::Equal => return known.outcome.clone(),
                std::cmp::Ordering::Less => return Outcome::Stale,
                std::cmp::Ordering::Greater => {}
            }
        }
        let outcome = self.carry_out(index, &owner, session, command);
        self.forget_owners(&owner);
        self.owners.insert(
            owner,
            Owner {
                session,
                request,
                outcome: outcome.clone(),
                at: now,
            },
        );
        outcome
    }

    fn end_what_is_over(&mut self) {
        let now = self.time;
        self.lent.retain(|_, r| r.stays || r.end > now);
    }

    fn forget_owners(&mut self, but: &str) {
        if self.owners.len() >= OWNERS_MOST && !self.owners.contains_key(but) {
            let oldest = self
                .owners
                .iter()
                .min_by_key(|(name, o)| (o.at, *name))
                .map(|o| o.0.clone());
            if let Some(oldest) = oldest {
                self.owners.remove(&oldest);
            }
        }
    }

    fn carry_out(&mut self, index: u64, owner: &str, session: u64, command: Command) -> Outcome {
        let now = self.time;
        match command {
            Command::Acquire {
                resource,
                amount,
                limit,
                duration,
                stays,
                note,
            } => {
                let of_owner = self.lent.values().filter(|r| r.owner == owner).count();
                let texts = resource.len() <= MAX_TEXT_BYTES
                    && note.len() <= MAX_TEXT_BYTES
                    && owner.len() <= MAX_NAME_BYTES;
                let fits = texts
                    && !resource.is_empty()
                    && amount > 0
                    && duration > 0
                    && duration <= SPAN_MOST;
                if !fits || self.lent.len() >= RIGHTS_MOST || of_owner >= RIGHTS_OF_ONE {
                    return Outcome::OutOfBounds;
                }
                if now < self.quiet_until {
                    return Outcome::TooEarly {
                        wait: self.quiet_until - now,
                    };
                }
                let lent = self.lent_of(&resource);
                if lent.checked_add(amount).is_none_or(|sum| sum > limit) {
                    let ends = self
                        .lent
                        .values()
                        .filter(|r| r.resource == resource && !r.stays)
                        .map(|r| r.end);
                    return Outcome::LimitReached {
                        lent,
                        wait: ends.min().map(|end| end.saturating_sub(now)),
                    };
                }
                let fence = self.base + index;
                let owner = owner.into();
                self.lent.insert(
                    fence,
                    Lease {
                        resource,
                        amount,
                        owner,
                        session,
                        end: now + duration,
                        stays,
                        note,
                    },
                );
                Outcome::Granted { fence }
            }
            Command::Renew { fence, duration } => {
                match self.lent.get_mut(&fence).filter(|r| r.owner == owner) {
                    Some(right) if duration > 0 && duration <= SPAN_MOST => {
                        (right.end, right.session) = (right.end.max(now + duration), session);
                        Outcome::Renewed
                    }
                    Some(_) => Outcome::OutOfBounds,
                    None => Outcome::NotOwner,
                }
            }
            Command::Release { fence } => {
                match self.lent.get(&fence).filter(|r| r.owner == owner) {
                    Some(_) => {
                        self.lent.remove(&fence);
                        Outcome::Released
                    }
                    None => Outcome::NotOwner,
                }
            }
            Command::Revoke { fence } => match self.lent.contains_key(&fence) {
                true => {
                    self.lent.remove(&fence);
                    Outcome::Released
                }
                false => Outcome::NotOwner,
            },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    const S: Micros = 1_000_000;

    fn take(resource: &str, duration: Micros, stays: bool) -> Command {
        Command::Acquire {
            resource: resource.into(),
            amount: 1,
            limit: 1,
            duration,
            stays,
            note: "test".into(),
        }
    }

    fn entry(time: Micros, owner: &str, request: u64, command: Command) -> Entry {
        Entry {
            time,
            owner: owner.into(),
            session: 1,
            request,
            command,
        }
    }

    #[test]
    fn one_pot_is_lent_once_until_its_end_and_then_under_a_higher_number() {
        let mut rights = Leases::begun(7_999, 0);
        let first = rights.apply(1, entry(S, "a", 1, take("out", 10 * S, false)));
        assert_eq!(
            first,
            Outcome::Granted {
                fence: (7 << 20) + 1
            }
        );
        let full = Outcome::LimitReached {
            lent: 1,
            wait: Some(9 * S),
        };
        assert_eq!(
            rights.apply(2, entry(2 * S, "b", 1, take("out", 10 * S, false))),
            full
        );
        assert_eq!(
            rights.apply(
                3,
                entry(
                    3 * S,
                    "b",
                    2,
                    Command::Release {
                        fence: (7 << 20) + 1
                    }
                )
            ),
            Outcome::NotOwner
        );
        // At its end, and not before.
        assert!(matches!(
            rights.apply(4, entry(11 * S - 1, "b", 3, take("out", S, false))),
            Outcome::LimitReached { .. }
        ));
        let second = rights.apply(5, entry(11 * S, "b", 4, take("out", S, false)));
        assert_eq!(
            second,
            Outcome::Granted {
                fence: (7 << 20) + 5
            }
        );
        assert_eq!(
            rights.apply(
                6,
                entry(
                    11 * S,
                    "a",
                    2,
                    Command::Renew {
                        fence: (7 << 20) + 1,
                        duration: S
                    }
                )
            ),
            Outcome::NotOwner
        );
    }

    #[test]
    fn what_stays_counts_beyond_its_end_until_it_is_given_back() {
        let mut rights = Leases::default();
        assert_eq!(
            rights.apply(1, entry(S, "a", 1, take("out", S, true))),
            Outcome::Granted { fence: 1 }
        );
        let full = Outcome::LimitReached {
            lent: 1,
            wait: None,
        };
        assert_eq!(
            rights.apply(2, entry(900 * S, "b", 1, take("out", S, false))),
            full
        );
        assert_eq!(rights.all().next().map(|s| s.left), Some(None));
        assert_eq!(
            rights.apply(3, entry(901 * S, "b", 2, Command::Revoke { fence: 1 })),
            Outcome::Released
        );
        assert!(matches!(
            rights.apply(4, entry(902 * S, "b", 3, take("out", S, false))),
            Outcome::Granted { .. }
        ));
    }

    #[test]
    fn a_request_that_comes_twice_counts_once_and_an_earlier_process_is_told_so() {
        let mut rights = Leases::default();
        let ask = entry(S, "a", 5, take("out", 10 * S, false));
        let first = rights.apply(1, ask.clone());
        assert_eq!(rights.apply(2, ask), first);
        assert_eq!(rights.outcome("a", 1, 5), Some(&first));
        assert_eq!(
            rights.apply(3, entry(S, "a", 4, Command::Release { fence: 1 })),
            Outcome::Stale
        );
        // The next process of that name may give back, or go on with, what is its name's; the one before may not.
        let later = Entry {
            session: 2,
            ..entry(
                2 * S,
                "a",
                1,
                Command::Renew {
                    fence: 1,
                    duration: 60 * S,
                },
            )
        };
        assert_eq!(rights.apply(4, later), Outcome::Renewed);
        assert_eq!(
            rights.apply(5, entry(3 * S, "a", 6, Command::Release { fence: 1 })),
            Outcome::Stale
        );
        assert_eq!(rights.lent_of("out"), 1);
    }

    #[test]
    fn a_log_that_begins_anew_lends_nothing_while_an_earlier_one_s_rights_may_hold() {
        let mut rights = Leases::begun(1, 30 * S);
        assert_eq!(
            rights.apply(1, entry(10 * S, "a", 1, take("x", S, false))),
            Outcome::TooEarly { wait: 20 * S }
        );
        assert!(matches!(
            rights.apply(2, entry(30 * S, "a", 2, take("x", S, false))),
            Outcome::Granted { .. }
        ));
    }

    #[test]
    fn all_has_a_bound() {
        let mut rights = Leases::default();
        let mut index = 0;
        let mut ask = |rights: &mut Leases, owner: &str, resource: &str| {
            index += 1;
            rights.apply(index, entry(S, owner, index, take(resource, 10 * S, false)))
        };
        for n in 0..RIGHTS_OF_ONE {
            assert!(matches!(
                ask(&mut rights, "a", &format!("p{n}")),
                Outcome::Granted { .. }
            ));
        }
        assert_eq!(ask(&mut rights, "a", "one more"), Outcome::OutOfBounds);
        for n in 0..OWNERS_MOST + 50 {
            ask(&mut rights, &format!("o{n}"), &format!("q{n}"));
        }
        assert_eq!(
            (rights.lent.len(), rights.owners.len()),
            (RIGHTS_MOST, OWNERS_MOST)
        );
        assert_eq!(
            ask(&mut rights, "b", &"x".repeat(MAX_TEXT_BYTES + 1)),
            Outcome::OutOfBounds
        );
    }

    #[test]
    fn never_more_of_a_pot_is_lent_than_its_figure_whatever_is_asked() {
        fn holds(asks: Vec<(u8, u8, u8, u8)>) -> bool {
            let mut rights = Leases::default();
            let mut time = 0;
            asks.into_iter()
                .enumerate()
                .all(|(n, (what, who, amount, later))| {
                    time += Micros::from(later) * 100_000;
                    let fence = 1 + u64::from(amount) % (n as u64 + 1);
                    let command = match what % 4 {
                        0 | 1 => Command::Acquire {
                            resource: "p".into(),
                            amount: u32::from(amount % 4),
                            limit: 5,
                            duration: S * Micros::from(what),
                            stays: what % 8 == 0,
                            note: String::new(),
                        },
                        2 => Command::Renew { fence, duration: S },
                        _ => Command::Release { fence },
                    };
                    rights.apply(
                        n as u64 + 1,
                        entry(time, &format!("o{}", who % 3), n as u64 + 1, command),
                    );
                    rights.lent_of("p") <= 5
                })
        }
        quickcheck(holds as fn(Vec<(u8, u8, u8, u8)>) -> bool);
    }
}
