//! Members that ask for rights, hold them, give them back or let them end; and whether any is ever held twice.
//!
//! What counts is what a member would do: whether it would act on a right at this moment, by its own clock. A process that
//! stands still does nothing; it is asked again once it goes on.

use driftfront_cluster::consensus::leases::{Command, Outcome};
use driftfront_cluster::consensus::{Consensus, RequestError};
use driftfront_cluster::{Cluster, Micros};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// What members ask for.
#[derive(Clone, Debug)]
pub struct Load {
    /// Of so many pots, each lent once at a time.
    pub resources: u32,
    /// For so long, half of it at least.
    pub duration: Micros,
    /// In one of so many looks, where it holds nothing.
    pub one_in: u32,
    /// It waits so long for an outcome.
    pub patience: Micros,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            resources: 2,
            duration: 3_000_000,
            one_in: 30,
            patience: 4_000_000,
        }
    }
}

/// What is held and was answered.
pub struct Leases {
    load: Load,
    rng: SmallRng,
    /// Requests that wait, and since when.
    waiting: BTreeMap<(u32, u64), Micros>,
    /// Who would act on what, now: by pot.
    acting: BTreeMap<String, Vec<(u32, u64)>>,
    /// When each request was answered, and how long that took.
    pub answered: Vec<(Micros, Micros)>,
    /// How often something was lent.
    pub lent: u64,
    /// How often nobody answered in time.
    pub timed_out: u64,
    /// Fencing numbers that were lent, with their pots and owners.
    pub fences: BTreeMap<u64, (String, u32)>,
    /// What must never be, in words.
    pub wrong: Vec<String>,
}

impl Leases {
    /// For this load, drawn by this seed.
    pub fn new(load: Load, seed: u64) -> Leases {
        Leases {
            load,
            rng: SmallRng::seed_from_u64(seed ^ 0x7167),
            waiting: BTreeMap::new(),
            acting: BTreeMap::new(),
            answered: Vec::new(),
            lent: 0,
            timed_out: 0,
            fences: BTreeMap::new(),
            wrong: Vec::new(),
        }
    }

    /// A member's process ended: nothing of what it asked is waited for.
    pub fn ended(&mut self, member: u32) {
        self.waiting.retain(|k, _| k.0 != member);
    }

    /// A member looks at what came of its requests, and asks, or gives something back.
    pub fn go_on(&mut self, member: u32, now: Micros, clock: Micros, fleet: &mut Cluster) {
        let wrong = &mut self.wrong;
        fleet.with_consensus(clock, |agreed, clock| {
            while let Some((request, outcome)) = agreed.next_outcome() {
                let since = self.waiting.remove(&(member, request));
                match outcome {
                    Err(RequestError::TimedOut | RequestError::TooManyPending) => {
                        self.timed_out += 1
                    }
                    Ok(outcome) => {
                        self.answered.extend(since.map(|s| (now, now - s)));
                        if let Outcome::Granted { fence } = outcome {
                            self.lent += 1;
                            let resource = agreed
                                .held()
                                .get(&fence)
                                .map(|h| h.resource.clone())
                                .unwrap_or_default();
                            if let Some(before) = self.fences.insert(fence, (resource, member)) {
                                wrong.push(format!(
                                    "{now} m{member}: {fence} was lent before: {before:?}"
                                ));
                            }
                        }
                    }
                }
            }
            if !agreed.held().is_empty() {
                if self.rng.random_range(0..self.load.one_in * 2) == 0 {
                    let fence = agreed.held().keys().next().copied().unwrap_or(0);
                    agreed.release(fence);
                }
            } else if !self.waiting.keys().any(|k| k.0 == member)
                && self.rng.random_range(0..self.load.one_in) == 0
            {
                let duration = self
                    .rng
                    .random_range(self.load.duration / 2..=self.load.duration);
                let resource = format!("pot-{}", self.rng.random_range(0..self.load.resources));
                let take = Command::Acquire {
                    resource,
                    amount: 1,
                    limit: 1,
                    duration,
                    stays: false,
                    note: String::new(),
                };
                let request = agreed.submit(clock, take, self.load.patience);
                self.waiting.insert((member, request), now);
            }
        });
    }

    /// A member's word on what it would act on.
    pub fn holds(&mut self, member: u32, clock: Micros, agreed: &Consensus) {
        for (&fence, held) in agreed.held().iter().filter(|h| agreed.holds(*h.0, clock)) {
            self.acting
                .entry(held.resource.clone())
                .or_default()
                .push((member, fence));
        }
    }

    /// All have said theirs.
    pub fn check(&mut self, now: Micros) {
        for (resource, who) in &self.acting {
            if who.len() > 1 && self.wrong.len() < 20 {
                self.wrong
                    .push(format!("{now}: {resource} is held by {who:?}"));
            }
        }
        self.acting.clear();
    }

    /// How long requests took that were answered between these times, sorted.
    pub fn times(&self, from: Micros, until: Micros) -> Vec<Micros> {
        let mut times: Vec<Micros> = self
            .answered
            .iter()
            .filter(|a| (from..until).contains(&a.0))
            .map(|a| a.1)
            .collect();
        times.sort_unstable();
        times
    }
}
