//! A workload of leases: members request, hold and release them or let them expire, and it is checked that none is held
//! twice.
//!
//! What counts is what a member would do: whether it may use a lease at this moment, by its own clock. A suspended process
//! does nothing; it counts again once it is resumed.

use driftfront_cluster::consensus::leases::{Command, Outcome};
use driftfront_cluster::consensus::{Consensus, RequestError};
use driftfront_cluster::{Cluster, Micros};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Mixed into a scenario's seed, so that the workload draws other numbers than the network.
const SEED_MASK: u64 = 0x7167;
/// Violations recorded of leases that are held twice; more of the same say nothing new.
const MAX_VIOLATIONS: usize = 20;

/// How members request leases.
#[derive(Clone, Debug)]
pub struct LeaseLoad {
    /// The number of resources, each granted to one holder at a time.
    pub resources: u32,
    /// Longest duration of a lease; the shortest is half of it.
    pub max_duration: Micros,
    /// A member without a lease requests one in one of so many polls on average, and releases one half as often.
    pub polls_per_request: u32,
    /// A request without an outcome times out after this.
    pub timeout: Micros,
}

impl Default for LeaseLoad {
    fn default() -> LeaseLoad {
        LeaseLoad {
            resources: 2,
            max_duration: 3_000_000,
            polls_per_request: 30,
            timeout: 4_000_000,
        }
    }
}

/// A request of a member that has no outcome yet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingRequest {
    member: u32,
    number: u64,
}

/// A member that may use a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The member.
    pub member: u32,
    /// The lease's fencing number.
    pub fence: u64,
}

/// A request that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredRequest {
    /// When it was answered.
    pub at: Micros,
    /// How long that took.
    pub took: Micros,
}

/// A lease that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Its resource; empty if the member held it no more when the outcome was polled.
    pub resource: String,
    /// The member.
    pub owner: u32,
}

/// A broken rule of the lease table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A fencing number was granted a second time.
    #[error("{at} m{member}: {fence} was lent before: {:?}", (&before.resource, before.owner))]
    FenceGrantedTwice {
        /// When.
        at: Micros,
        /// The second owner.
        member: u32,
        /// The number.
        fence: u64,
        /// The first grant.
        before: Grant,
    },
    /// Several members may use a resource of which there is one.
    #[error("{at}: {resource} is held by {:?}", holders.iter().map(|h| (h.member, h.fence)).collect::<Vec<_>>())]
    HeldTwice {
        /// When.
        at: Micros,
        /// The resource.
        resource: String,
        /// All that may use it.
        holders: Vec<Holder>,
    },
}

/// All members' requests and leases, and what was observed of them.
pub struct LeaseWorkload {
    load: LeaseLoad,
    rng: SmallRng,
    /// Requests without an outcome, and when they were submitted.
    pending: BTreeMap<PendingRequest, Micros>,
    /// Who may use each resource at this moment.
    usable: BTreeMap<String, Vec<Holder>>,
    /// All requests that were answered, in order.
    pub answered: Vec<AnsweredRequest>,
    /// How many leases were granted.
    pub granted: u64,
    /// How many requests timed out, or were rejected as too many were pending.
    pub timed_out: u64,
    /// All grants, by fencing number.
    pub grants: BTreeMap<u64, Grant>,
    /// Broken rules.
    pub violations: Vec<Violation>,
}

impl LeaseWorkload {
    /// The workload of a seed.
    pub fn new(load: LeaseLoad, seed: u64) -> LeaseWorkload {
        LeaseWorkload {
            load,
            rng: SmallRng::seed_from_u64(seed ^ SEED_MASK),
            pending: BTreeMap::new(),
            usable: BTreeMap::new(),
            answered: Vec::new(),
            granted: 0,
            timed_out: 0,
            grants: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Forgets a member's requests, as its process has ended.
    pub fn forget_requests(&mut self, member: u32) {
        self.pending.retain(|request, _| request.member != member);
    }

    /// A member takes the outcomes of its requests, and may request or release a lease.
    pub fn poll(&mut self, member: u32, now: Micros, clock: Micros, agent: &mut Cluster) {
        agent.with_consensus(clock, |consensus, clock| {
            while let Some(completed) = consensus.next_outcome() {
                let number = completed.number;
                let submitted_at = self.pending.remove(&PendingRequest { member, number });
                match completed.result {
                    Ok(outcome) => {
                        self.answered
                            .extend(submitted_at.map(|submitted_at| AnsweredRequest {
                                at: now,
                                took: now - submitted_at,
                            }));
                        if let Outcome::Granted { fence } = outcome {
                            self.record_grant(member, now, fence, consensus);
                        }
                    }
                    Err(RequestError::TimedOut | RequestError::TooManyPending) => {
                        self.timed_out += 1;
                    }
                }
            }
            self.request_or_release(member, now, clock, consensus);
        });
    }

    fn record_grant(&mut self, member: u32, now: Micros, fence: u64, consensus: &Consensus) {
        self.granted += 1;
        let held = consensus.held().get(&fence);
        let grant = Grant {
            resource: held.map(|held| held.resource.clone()).unwrap_or_default(),
            owner: member,
        };
        if let Some(before) = self.grants.insert(fence, grant) {
            self.violations.push(Violation::FenceGrantedTwice {
                at: now,
                member,
                fence,
                before,
            });
        }
    }

    fn request_or_release(
        &mut self,
        member: u32,
        now: Micros,
        clock: Micros,
        consensus: &mut Consensus,
    ) {
        let polls_per_request = self.load.polls_per_request;
        if let Some(&fence) = consensus.held().keys().next() {
            if self.rng.random_range(0..polls_per_request * 2) == 0 {
                consensus.release(fence);
            }
            return;
        }
        let has_pending = self.pending.keys().any(|request| request.member == member);
        if !has_pending && self.rng.random_range(0..polls_per_request) == 0 {
            let command = self.draw_request();
            let number = consensus.submit(clock, command, self.load.timeout);
            self.pending.insert(PendingRequest { member, number }, now);
        }
    }

    fn draw_request(&mut self) -> Command {
        let durations = self.load.max_duration / 2..=self.load.max_duration;
        let duration = self.rng.random_range(durations);
        let resource = self.rng.random_range(0..self.load.resources);
        Command::Acquire {
            resource: format!("pot-{resource}"),
            amount: 1,
            limit: 1,
            duration,
            stays: false,
            note: String::new(),
        }
    }

    /// Records which leases a member may use at this moment.
    pub fn record_usable(&mut self, member: u32, clock: Micros, consensus: &Consensus) {
        for (&fence, lease) in consensus.held() {
            if consensus.holds(fence, clock) {
                let holders = self.usable.entry(lease.resource.clone()).or_default();
                holders.push(Holder { member, fence });
            }
        }
    }

    /// Checks the leases recorded for this moment by [`LeaseWorkload::record_usable`], and starts anew.
    pub fn check_usable(&mut self, now: Micros) {
        for (resource, holders) in std::mem::take(&mut self.usable) {
            if holders.len() > 1 && self.violations.len() < MAX_VIOLATIONS {
                self.violations.push(Violation::HeldTwice {
                    at: now,
                    resource,
                    holders,
                });
            }
        }
    }

    /// How long requests took that were answered from one time until before another, sorted.
    pub fn answer_times(&self, from: Micros, until: Micros) -> Vec<Micros> {
        let answered = self.answered.iter();
        let mut times: Vec<Micros> = answered
            .filter(|request| (from..until).contains(&request.at))
            .map(|request| request.took)
            .collect();
        times.sort_unstable();
        times
    }
}
