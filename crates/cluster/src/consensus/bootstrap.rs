//! How a log comes to be, once: by all of the founders whom the operator's file names.
//!
//! A founder with no log draws an id, anew with each start of its process, and promises itself to the set of ids that it
//! sees of all founders, when it sees all of them there and each without a log. Once it sees that all of a set have
//! promised themselves to that very set, the log is founded: whoever sees it first is first. A founder that has a log promises
//! nothing any more, and one whose id is in the set of a log that was founded joins that.
//!
//! **Why two logs can't both agree on anything.** Let sets S and T both be founded, with a name's ids `b` in S and `b'` in T.
//! Were `b = b'` for one that *has* S, it would never have promised itself to T. So all that have S are in T under other ids:
//! those are other processes, and a majority of S and one of T working at the same time need two processes of one name at
//! work for two of three names. Two processes of one name are an upgrade's, which share the state folder's log under a
//! lock. What an earlier set may have lent ends within [`QUIET`] of the founding, in which nothing is lent.

use crate::consensus::leases::Leases;
use crate::Micros;
use raft::eraftpb::Snapshot;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Nothing is lent for this long after a founding, by the log's time: what a fleet without a state folder had lent, all of whose
/// voters were lost at once, must have ended by then. No right is lent for longer at once where logs are not kept.
pub const QUIET: Micros = 10_000_000;
/// Sets to which we once promised ourselves and that may still be founded.
const PROMISES: usize = 8;

/// A replica's id and the name of the process that holds it.
pub type Voter = (u64, String);

/// Whose a log is: one replica's part in it, and who founded it. For one that was let in later the founders are none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bootstrapped {
    /// The replica's id: one log's, and of no other life.
    pub id: u64,
    /// Which log: a hash over its founders.
    pub cluster: u64,
    /// Its founders, by name.
    pub initial_voters: Vec<Voter>,
}

/// A hash over a set of founders, sorted by name.
pub fn cluster_of(initial_voters: &[Voter]) -> u64 {
    let mut hash = SipHasher24::new();
    for (id, name) in initial_voters {
        hash.write_u64(*id);
        hash.write_usize(name.len());
        hash.write(name.as_bytes());
    }
    // None is 0.
    hash.finish().max(1)
}

impl Bootstrapped {
    /// By these, sorted by name.
    pub fn new(id: u64, mut initial_voters: Vec<Voter>) -> Bootstrapped {
        initial_voters.sort_by(|a, b| a.1.cmp(&b.1));
        Bootstrapped {
            id,
            cluster: cluster_of(&initial_voters),
            initial_voters,
        }
    }

    /// Let into a log that others founded.
    pub fn joined(id: u64, cluster: u64) -> Bootstrapped {
        Bootstrapped {
            id,
            cluster,
            initial_voters: Vec::new(),
        }
    }

    /// As bytes.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads such bytes.
    pub fn read(bytes: &[u8]) -> Option<Bootstrapped> {
        postcard::from_bytes(bytes).ok()
    }

    /// What all founders begin with, the same for each.
    pub fn snapshot(&self) -> Snapshot {
        let newest = self
            .initial_voters
            .iter()
            .map(|f| f.0 >> 20)
            .max()
            .unwrap_or(0);
        let rights = Leases::begun(newest, QUIET);
        let mut voters: Vec<u64> = self.initial_voters.iter().map(|f| f.0).collect();
        voters.sort_unstable();
        let state = super::replica::State {
            rights,
            voters: self.initial_voters.iter().cloned().collect(),
        };
        let mut snapshot = Snapshot {
            data: state.write().into(),
            ..Snapshot::default()
        };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.mut_conf_state().voters = voters;
        snapshot
    }
}

/// What a founder shows of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shown {
    /// Its id.
    pub id: u64,
    /// Its log; 0 for none.
    pub cluster: u64,
    /// The set to which it has promised itself; 0 for none.
    pub promised: u64,
}

/// A founder without a log.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    me: String,
    id: u64,
    names: Vec<String>,
    promises: Vec<Bootstrapped>,
}

impl Bootstrap {
    /// One of these, under this id; `None` where it is none of them.
    pub fn new(me: &str, id: u64, names: &[String]) -> Option<Bootstrap> {
        let mut names = names.to_vec();
        names.sort();
        let one_of_them = names.iter().any(|n| n == me);
        one_of_them.then(|| Bootstrap {
            me: me.into(),
            id,
            names,
            promises: Vec::new(),
        })
    }

    /// The set to which we have promised ourselves; 0 for none.
    pub fn promised(&self) -> u64 {
        self.promises.last().map_or(0, |p| p.cluster)
    }

    /// Looks at what the founders show; what is founded, if that is so now.
    pub fn look(&mut self, shown: impl Fn(&str) -> Option<Shown>) -> Option<Bootstrapped> {
        let own = Shown {
            id: self.id,
            cluster: 0,
            promised: self.promised(),
        };
        let all: Vec<(String, Option<Shown>)> = self
            .names
            .iter()
            .map(|n| (n.clone(), if *n == self.me { Some(own) } else { shown(n) }))
            .collect();
        // A log that one of the others has and that we promised ourselves to.
        let has = |p: &&Bootstrapped| {
            all.iter()
                .any(|(_, s)| s.is_some_and(|s| s.cluster == p.cluster))
        };
        if let Some(founded) = self.promises.iter().find(has) {
            return Some(founded.clone());
        }
        let none_has_a_log = |s: &Shown| s.cluster == 0;
        let there: Option<Vec<Voter>> = all
            .iter()
            .map(|(n, s)| Some((s.filter(none_has_a_log)?.id, n.clone())))
            .collect();
        let set = Bootstrapped::new(self.id, there?);
        if self.promised() != set.cluster {
            self.promises.retain(|p| p.cluster != set.cluster);
            self.promises.push(set);
            if self.promises.len() > PROMISES {
                self.promises.remove(0);
            }
            return None;
        }
        all.iter()
            .all(|(_, s)| s.is_some_and(|s| s.promised == set.cluster))
            .then_some(set)
    }

    /// Those of the founders that show nothing, or a log that we are no part of.
    pub fn missing(&self, shown: impl Fn(&str) -> Option<Shown>) -> Vec<String> {
        let missing = |n: &&String| **n != self.me && shown(n).is_none_or(|s| s.cluster != 0);
        self.names.iter().filter(missing).cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;
    use std::collections::{BTreeMap, BTreeSet};

    fn names() -> Vec<String> {
        ["a", "b", "c"].map(String::from).to_vec()
    }

    #[test]
    fn all_founders_found_one_log_and_not_before_all_are_there() {
        let mut a = Bootstrap::new("a", 1, &names()).unwrap();
        let empty = |id| {
            Some(Shown {
                id,
                cluster: 0,
                promised: 0,
            })
        };
        assert!(a.look(|n| if n == "b" { empty(2) } else { None }).is_none());
        assert_eq!(
            (
                a.promised(),
                a.missing(|n| if n == "b" { empty(2) } else { None })
            ),
            (0, vec!["c".to_string()])
        );
        assert!(a.look(|n| empty(if n == "b" { 2 } else { 3 })).is_none());
        let set = a.promised();
        assert!(set != 0);
        let half = |n: &str| {
            Some(Shown {
                id: if n == "b" { 2 } else { 3 },
                cluster: 0,
                promised: if n == "b" { set } else { 0 },
            })
        };
        assert!(a.look(half).is_none());
        let all = |n: &str| {
            Some(Shown {
                id: if n == "b" { 2 } else { 3 },
                cluster: 0,
                promised: set,
            })
        };
        assert_eq!(
            a.look(all)
                .map(|f| (f.cluster, f.id, f.initial_voters.len())),
            Some((set, 1, 3))
        );
        assert!(Bootstrap::new("d", 1, &names()).is_none());
    }

    /// Founders that restart, and see each other late: of the sets that are founded no two have, at any time, both a
    /// majority of living processes.
    #[test]
    fn never_two_logs_have_a_living_majority_each_whatever_is_seen_when() {
        #[derive(Clone)]
        struct One {
            id: u64,
            founding: Bootstrap,
            cluster: u64,
        }
        fn holds(steps: Vec<(u8, u8)>) -> bool {
            let all = names();
            let mut next = 10;
            let mut fresh = |n: usize| {
                next += 1;
                One {
                    id: next,
                    founding: Bootstrap::new(&all[n], next, &all).unwrap(),
                    cluster: 0,
                }
            };
            let mut ones: Vec<One> = (0..3).map(&mut fresh).collect();
            // What each has last seen of each.
            let mut seen: BTreeMap<(usize, usize), Shown> = BTreeMap::new();
            let mut sets: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
            steps.into_iter().all(|(what, who)| {
                let (n, m) = (usize::from(who) % 3, usize::from(who / 3) % 3);
                match what % 8 {
                    0 => {
                        // It restarts, and has seen nobody.
                        ones[n] = fresh(n);
                        seen.retain(|k, _| k.0 != n);
                    }
                    1..=3 => {
                        let one = &ones[m];
                        let shown = Shown {
                            id: one.id,
                            cluster: one.cluster,
                            promised: one.founding.promised(),
                        };
                        seen.insert((n, m), shown);
                    }
                    _ if ones[n].cluster == 0 => {
                        let view = |name: &str| {
                            seen.get(&(n, all.iter().position(|a| a == name)?)).copied()
                        };
                        if let Some(founded) = ones[n].founding.look(view) {
                            ones[n].cluster = founded.cluster;
                            sets.insert(
                                founded.cluster,
                                founded.initial_voters.iter().map(|f| f.0).collect(),
                            );
                        }
                    }
                    _ => {}
                }
                let majority = |(cluster, set): (&u64, &BTreeSet<u64>)| {
                    ones.iter()
                        .filter(|o| o.cluster == *cluster && set.contains(&o.id))
                        .count()
                        >= 2
                };
                sets.iter().filter(|s| majority((s.0, s.1))).count() <= 1
            })
        }
        let mut check = quickcheck::QuickCheck::new().tests(3000);
        check.quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
        let _ = &mut check;
        quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
    }
}
