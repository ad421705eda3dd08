//! A workload in which members request leases, and release them or let them expire. It checks that no lease has two holders at the
//! same time.
//!
//! A member counts as a holder while it may use the lease by its own clock. A suspended process does not count until it is resumed.

use driftfront_cluster::consensus::leases::{Command, Outcome};
use driftfront_cluster::consensus::{Consensus, RequestError};
use driftfront_cluster::{Cluster, Micros};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Combined with the scenario's seed, so that the workload and the network use different random sequences.
const SEED_MASK: u64 = 0x7167;
/// Maximum number of recorded violations, since further ones of the same kind add no information.
const MAX_VIOLATIONS: usize = 20;

/// How members request leases.
#[derive(Clone, Debug)]
pub struct LeaseLoad {
    /// Number of resources. Each is leased to one holder at a time.
    pub resources: u32,
    /// Maximum duration of a lease. The minimum is half of it.
    pub max_duration: Micros,
    /// Average number of polls after which a member without a lease requests one. A holder releases its lease half as often.
    pub polls_per_request: u32,
    /// Timeout of a request.
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

/// A request without an outcome so far.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingRequest {
    member: u32,
    number: u64,
}

/// A member that may currently use a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The member.
    pub member: u32,
    /// The lease's fencing token.
    pub fence: u64,
}

/// A request that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredRequest {
    /// When it was answered.
    pub at: Micros,
    /// The time from its submission to the answer.
    pub latency: Micros,
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The resource; empty if the member no longer held the lease when the outcome was polled.
    pub resource: String,
    /// The member that holds it.
    pub owner: u32,
}

/// A violation of the rules of leases.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The same fencing token was granted twice.
    #[error("{at} m{member}: fencing token {fence} was already granted: {:?}", (&before.resource, before.owner))]
    FenceGrantedTwice {
        /// When.
        at: Micros,
        /// The second owner.
        member: u32,
        /// The fencing token.
        fence: u64,
        /// The first grant.
        before: Grant,
    },
    /// Several members may use the same resource at the same time.
    #[error("{at}: {resource} is held by {:?}", holders.iter().map(|h| (h.member, h.fence)).collect::<Vec<_>>())]
    HeldTwice {
        /// When.
        at: Micros,
        /// The resource.
        resource: String,
        /// The members that may use it.
        holders: Vec<Holder>,
    },
}

/// The requests and leases of all members, and the violations found.
pub struct LeaseWorkload {
    load: LeaseLoad,
    rng: SmallRng,
    /// Requests without an outcome, with the time of their submission.
    pending: BTreeMap<PendingRequest, Micros>,
    /// The members that may currently use each resource.
    usable: BTreeMap<String, Vec<Holder>>,
    /// All answered requests, in order.
    pub answered: Vec<AnsweredRequest>,
    /// Number of granted leases.
    pub granted: u64,
    /// Number of requests that timed out or were rejected because too many were pending.
    pub timed_out: u64,
    /// All grants, by fencing token.
    pub grants: BTreeMap<u64, Grant>,
    /// Violations found.
    pub violations: Vec<Violation>,
}

impl LeaseWorkload {
    /// Creates a workload that draws from a seed.
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

    /// Drops the pending requests of a member whose process has ended.
    pub fn forget_requests(&mut self, member: u32) {
        self.pending.retain(|request, _| request.member != member);
    }

    /// Takes the outcomes of a member's requests, and possibly requests or releases a lease.
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
                                latency: now - submitted_at,
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

    /// Records the leases that a member may currently use.
    pub fn record_usable(&mut self, member: u32, clock: Micros, consensus: &Consensus) {
        for (&fence, lease) in consensus.held() {
            if consensus.holds(fence, clock) {
                let holders = self.usable.entry(lease.resource.clone()).or_default();
                holders.push(Holder { member, fence });
            }
        }
    }

    /// Checks the leases recorded by [`LeaseWorkload::record_usable`], and clears the record.
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

    /// Returns the sorted latencies of the requests answered in `from..until`.
    pub fn latencies(&self, from: Micros, until: Micros) -> Vec<Micros> {
        let answered = self.answered.iter();
        let mut latencies: Vec<Micros> = answered
            .filter(|request| (from..until).contains(&request.at))
            .map(|request| request.latency)
            .collect();
        latencies.sort_unstable();
        latencies
    }
}
