//! How a log comes to be, once: by all of the initial voters whom the operator's file names.
//!
//! An initial voter with no log draws an id, a new one with each start of its process, and promises itself to the set of ids
//! that it sees of all initial voters, when it sees all of them there and each without a log. Once it sees that all of a set
//! have promised themselves to that very set, the log is bootstrapped: whoever sees it first is first. One that has a log
//! promises nothing any more, and one whose id is in the set of a log that was bootstrapped joins that.
//!
//! **Why two logs can't both agree on anything.** Let sets S and T both be bootstrapped, with a name's ids `b` in S and `b'` in
//! T. Were `b = b'` for one that *has* S, it would never have promised itself to T. So all that have S are in T under other
//! ids: those are other processes, and a majority of S and one of T working at the same time need two processes of one name
//! at work for two of three names. Two processes of one name are an upgrade's, which share the state folder's log under a
//! lock. What an earlier set may have granted ends within [`GRACE_AFTER_BOOTSTRAP`], in which nothing is granted.
//!
//! [`GRACE_AFTER_BOOTSTRAP`]: super::log_identity::GRACE_AFTER_BOOTSTRAP

use super::log_identity::LogIdentity;
use super::state::Voter;

/// Sets to which this member once promised itself and that may still be bootstrapped.
const MAX_PROMISES: usize = 8;

/// What a member announces of its replica to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Its replica's id.
    pub replica_id: u64,
    /// Its log; 0 for none.
    pub cluster_id: u64,
    /// The set of initial voters to which it has promised itself; 0 for none.
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
    /// Waits to bootstrap a log with these initial voters; `None` where this member is none of them.
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

    /// The set to which this member has promised itself; 0 for none.
    pub fn promised(&self) -> u64 {
        self.promises.last().map_or(0, |p| p.cluster_id)
    }

    /// Looks at what the initial voters announce; the log, if it is bootstrapped now.
    ///
    /// The first look that sees all of them makes the promise; a later one that sees all promises to the same set completes
    /// the bootstrap.
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

    /// What each initial voter announces, this member included.
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

    /// A log that one of the others has and that this member promised itself to.
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

    /// Initial voters that announce nothing, or a log that this member has no part in.
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

/// All initial voters with their ids, if each is there and has no log.
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
