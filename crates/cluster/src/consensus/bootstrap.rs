//! Bootstrap of a new log by all initial voters that the operator's configuration names.
//!
//! An initial voter without a log draws a replica id, a new one with each start of its process. Once it sees that all initial
//! voters are reachable and have no log, it promises to join the log of that set of ids. Once it sees that all of them have
//! promised the same set, the log is bootstrapped; voters may notice this one after another. A voter that has a log makes no
//! more promises. A voter whose id is in the set of a bootstrapped log that it promised joins that log.
//!
//! **Why two logs can't both make decisions.** Let sets S and T both be bootstrapped, with ids `b` in S and `b'` in T for the
//! same name. If `b = b'` for a voter that *has* the log of S, it would never have promised T. So every voter that has the
//! log of S is in T under another id, as another process. With three voters, majorities of S and T that work at the same time
//! thus need two running processes for each of two names. Two processes of one name run only during an upgrade, and share the
//! log in the state folder under a lock. Leases that an earlier set may have granted end within [`GRACE_AFTER_BOOTSTRAP`],
//! during which nothing is granted.
//!
//! [`GRACE_AFTER_BOOTSTRAP`]: super::log_identity::GRACE_AFTER_BOOTSTRAP

use super::log_identity::LogIdentity;
use super::state::Voter;

/// Most promised sets that are remembered, since they may still be bootstrapped.
const MAX_PROMISES: usize = 8;

/// What a member announces about its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Its replica's id.
    pub replica_id: u64,
    /// The id of its log; 0 for none.
    pub cluster_id: u64,
    /// The set of initial voters that it promised to join; 0 for none.
    pub promised: u64,
}

/// An initial voter without a log.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    name: String,
    replica_id: u64,
    initial_voters: Vec<String>,
    promises: Vec<LogIdentity>,
}

impl Bootstrap {
    /// Prepares to bootstrap a log with these initial voters; `None` if this member is not one of them.
    pub fn new(name: &str, replica_id: u64, initial_voters: &[String]) -> Option<Bootstrap> {
        let mut initial_voters = initial_voters.to_vec();
        initial_voters.sort();
        let is_one_of_them = initial_voters.iter().any(|n| n == name);
        is_one_of_them.then(|| Bootstrap {
            name: name.into(),
            replica_id,
            initial_voters,
            promises: Vec::new(),
        })
    }

    /// The set that this member promised to join; 0 for none.
    pub fn promised(&self) -> u64 {
        self.promises.last().map_or(0, |p| p.cluster_id)
    }

    /// Evaluates the announcements of the initial voters. Returns the log's identity once it is bootstrapped.
    ///
    /// The first call that sees all initial voters makes the promise. A later call that sees that all of them promised the
    /// same set completes the bootstrap.
    pub fn poll(
        &mut self,
        announced: impl Fn(&str) -> Option<Announcement>,
    ) -> Option<LogIdentity> {
        let all = self.announcements(announced);
        if let Some(log) = self.promised_log_of_others(&all) {
            return Some(log.clone());
        }
        let set = LogIdentity::bootstrapped(self.replica_id, voters_without_log(&all)?);
        if self.promised() != set.cluster_id {
            self.promise(set);
            return None;
        }
        let has_promised = |a: &Announcement| a.promised == set.cluster_id;
        let all_promised = all
            .iter()
            .all(|(_, a)| a.as_ref().is_some_and(has_promised));
        all_promised.then_some(set)
    }

    /// The announcement of each initial voter, this member included.
    fn announcements(
        &self,
        announced: impl Fn(&str) -> Option<Announcement>,
    ) -> Vec<(String, Option<Announcement>)> {
        let own = Announcement {
            replica_id: self.replica_id,
            cluster_id: 0,
            promised: self.promised(),
        };
        let of = |name: &String| match *name == self.name {
            true => Some(own),
            false => announced(name),
        };
        let names = self.initial_voters.iter();
        names.map(|name| (name.clone(), of(name))).collect()
    }

    /// A log that this member promised to join and that another initial voter already has.
    fn promised_log_of_others(
        &self,
        all: &[(String, Option<Announcement>)],
    ) -> Option<&LogIdentity> {
        self.promises.iter().find(|promise| {
            all.iter()
                .any(|(_, a)| a.is_some_and(|a| a.cluster_id == promise.cluster_id))
        })
    }

    fn promise(&mut self, set: LogIdentity) {
        self.promises.retain(|p| p.cluster_id != set.cluster_id);
        self.promises.push(set);
        if self.promises.len() > MAX_PROMISES {
            self.promises.remove(0);
        }
    }

    /// Other initial voters that announce nothing, or that already have a log.
    pub fn missing(&self, announced: impl Fn(&str) -> Option<Announcement>) -> Vec<String> {
        let is_missing =
            |n: &&String| **n != self.name && announced(n).is_none_or(|a| a.cluster_id != 0);
        self.initial_voters
            .iter()
            .filter(is_missing)
            .cloned()
            .collect()
    }
}

/// All initial voters with their ids, if each is reachable and has no log.
fn voters_without_log(all: &[(String, Option<Announcement>)]) -> Option<Vec<Voter>> {
    let voter = |(name, announcement): &(String, Option<Announcement>)| {
        let without_log = announcement.filter(|a| a.cluster_id == 0)?;
        Some(Voter {
            id: without_log.replica_id,
            name: name.clone(),
        })
    };
    all.iter().map(voter).collect()
}
