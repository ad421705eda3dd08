//! Operators' holds: named leases over the whole cluster, asked for here and granted by the consensus log.

use super::ClusterRuntime;
use crate::node::control::{reply_to_request, Answer, ReplyTo, RequestRefusal};
use crate::node::Node;
use driftfront_cluster::consensus::leases::{Command, Outcome, MAX_TEXT_BYTES};
use driftfront_cluster::consensus::{GrantedLease, RequestError, Role};
use driftfront_control::snapshot::{Consensus as ConsensusView, Lease, Voter};
use driftfront_core::Micros;

/// Before an operator's name of a hold: leases for other purposes have other names.
const HOLD_PREFIX: &str = "hold/";
/// How long an operator waits for a majority.
const MAJORITY_TIMEOUT: Micros = 5_000_000;

/// Bytes that a hold's name may have.
const MAX_NAME_BYTES: usize = MAX_TEXT_BYTES - HOLD_PREFIX.len();

/// A hold that an operator asks for.
pub(in crate::node) struct HoldRequest {
    pub(in crate::node) name: String,
    /// How long it lasts.
    pub(in crate::node) seconds: u64,
    /// It lasts beyond that, until it is released.
    pub(in crate::node) stays: bool,
    /// Why, for other operators.
    pub(in crate::node) note: String,
}

impl HoldRequest {
    /// The command that acquires the lease.
    fn acquire_command(&self) -> Result<Command, HoldError> {
        let resource = format!("{HOLD_PREFIX}{}", self.name);
        if resource.len() > MAX_TEXT_BYTES || self.note.len() > MAX_TEXT_BYTES {
            return Err(HoldError::TextTooLong);
        }
        Ok(Command::Acquire {
            resource,
            amount: 1,
            limit: 1,
            duration: self.seconds.saturating_mul(1_000_000),
            stays: self.stays,
            note: self.note.clone(),
        })
    }
}

/// Why a hold is not granted, or not released. `Display` is what the operator reads.
#[derive(Debug, thiserror::Error)]
pub(in crate::node) enum HoldError {
    /// Its name or note is too long.
    #[error("a name has {MAX_NAME_BYTES} bytes at most, a note {MAX_TEXT_BYTES}")]
    TextTooLong,
    /// There is no consensus log here.
    #[error("there is no fleet here that could agree on it")]
    NoConsensus,
    /// The consensus log was closed before it was decided; `name` may be held or not.
    #[error("this coordinator ends; whether {name} is held, see on another")]
    LogClosed { name: String },
    /// It can't be released: nobody has it.
    #[error("{name} is not held")]
    NotHeld { name: String },
    /// Somebody has it, for a known time.
    #[error("{name} is held already, for {} s more", seconds_rounded_up(*wait))]
    HeldForTime { name: String, wait: Micros },
    /// Somebody has it, until it is released.
    #[error("{name} is held already, until it is given back")]
    HeldUntilReleased { name: String },
    /// The lease has ended, or is another owner's.
    #[error("{name} is not held any more")]
    NotOwner { name: String },
    /// It exceeds the bounds on leases.
    #[error(
        "{name} can't be held so: too many are, or it is for over 10 s where not all who decide keep their log in a \
         state folder, or for over a day"
    )]
    OutOfBounds { name: String },
    /// Leases that an earlier log granted may still be in use.
    #[error(
        "nothing is lent for {} s yet: what an earlier log lent must have ended",
        seconds_rounded_up(*wait)
    )]
    TooEarly { wait: Micros },
    /// Another process of this coordinator has taken part since.
    #[error("this process is behind a later one of its name")]
    Superseded,
    /// No majority of the voters answered in time.
    #[error("no majority of those who decide answered in time: {name} is not held by this")]
    NoMajority { name: String },
    /// Too many requests wait for the log.
    #[error("too many wait already")]
    TooManyPending,
}

/// A time in seconds, rounded up.
fn seconds_rounded_up(time: Micros) -> u64 {
    time.div_ceil(1_000_000)
}

/// An operator that waits for an outcome.
pub(super) struct PendingHold {
    reply_to: ReplyTo,
    /// The hold's name.
    name: String,
}

/// A request for a hold that was decided, or never will be.
struct DecidedHold {
    reply_to: ReplyTo,
    outcome: Result<String, HoldError>,
}

impl ClusterRuntime {
    /// Requests a hold's release, whoever has it.
    fn request_release(&mut self, to: ReplyTo, name: String) -> Result<(), HoldError> {
        let resource = format!("{HOLD_PREFIX}{name}");
        let view = self.agent.consensus().ok_or(HoldError::NoConsensus)?.view();
        let mut granted = view.leases.into_iter();
        let held = granted.find(|granted| granted.lease.resource == resource);
        match held {
            Some(GrantedLease { fence, .. }) => self.propose(to, name, Command::Revoke { fence }),
            None => Err(HoldError::NotHeld { name }),
        }
    }

    /// Proposes a command about the hold of this name to the log.
    fn propose(&mut self, to: ReplyTo, name: String, command: Command) -> Result<(), HoldError> {
        if self.agent.consensus().is_none() {
            return Err(HoldError::NoConsensus);
        }
        let clock = self.clock();
        let request = self.agent.with_consensus(clock, |consensus, clock| {
            consensus.submit(clock, command, MAJORITY_TIMEOUT)
        });
        if let Some(request) = request {
            let pending = PendingHold { reply_to: to, name };
            self.consensus.pending_holds.insert(request, pending);
        }
        Ok(())
    }

    /// The next request of an operator that the log has decided.
    fn next_decided_hold(&mut self) -> Option<DecidedHold> {
        loop {
            let clock = self.clock();
            let completed = self
                .agent
                .with_consensus(clock, |consensus, _| consensus.next_outcome())
                .flatten()?;
            if let Some(pending) = self.consensus.pending_holds.remove(&completed.number) {
                return Some(DecidedHold {
                    reply_to: pending.reply_to,
                    outcome: describe_outcome(pending.name, &completed.result),
                });
            }
        }
    }

    /// Once the log is closed here, nothing that still waits will be decided.
    fn take_abandoned_holds(&mut self) -> Vec<DecidedHold> {
        if self.agent.consensus().is_some() {
            return Vec::new();
        }
        let pending = std::mem::take(&mut self.consensus.pending_holds);
        let abandoned = pending.into_values().map(|pending| DecidedHold {
            reply_to: pending.reply_to,
            outcome: Err(HoldError::LogClosed { name: pending.name }),
        });
        abandoned.collect()
    }

    /// The consensus log and its holds, for operators; `None` where this process takes no part in it.
    fn consensus_view(&self) -> Option<ConsensusView> {
        let view = self.agent.consensus()?.view();
        let voters = view.voters.into_iter();
        let holds = view.leases.into_iter();
        Some(ConsensusView {
            part: role_name(view.role).into(),
            leader: view.leader.unwrap_or_default(),
            term: view.term,
            index: view.index,
            voters: voters
                .map(|voter| Voter {
                    name: voter.name,
                    there: voter.is_reachable,
                })
                .collect(),
            missing: view.missing,
            holds: holds.map(hold_view).collect(),
        })
    }
}

impl Node {
    /// Requests a hold; the reply is sent once it is decided.
    pub(in crate::node) fn hold(
        &mut self,
        to: ReplyTo,
        hold: HoldRequest,
    ) -> Result<Answer, HoldError> {
        let command = hold.acquire_command()?;
        let cluster = self.cluster.as_mut().ok_or(HoldError::NoConsensus)?;
        cluster.propose(to, hold.name, command)?;
        self.send_hold_request();
        Ok(Answer::Deferred)
    }

    /// Requests a hold's release, whoever has it; the reply is sent once it is decided.
    pub(in crate::node) fn unhold(
        &mut self,
        to: ReplyTo,
        name: String,
    ) -> Result<Answer, HoldError> {
        let cluster = self.cluster.as_mut().ok_or(HoldError::NoConsensus)?;
        cluster.request_release(to, name)?;
        self.send_hold_request();
        Ok(Answer::Deferred)
    }

    /// Sends a request to the other coordinators, once what is decided already is replied.
    fn send_hold_request(&mut self) {
        self.reply_to_decided_holds();
        if let Some(cluster) = &mut self.cluster {
            cluster.send_datagrams();
        }
    }

    /// Replies to operators whose requests have been decided, or never will be.
    pub(super) fn reply_to_decided_holds(&mut self) {
        while let Some(decided) = self.cluster.as_mut().and_then(|c| c.next_decided_hold()) {
            if let Ok(message) = &decided.outcome {
                let event = format!("{message}, by an operator");
                self.record_event(self.now, event);
            }
            self.reply_to_hold(decided);
        }
        let cluster = self.cluster.as_mut();
        let abandoned = cluster.map_or(Vec::new(), |cluster| cluster.take_abandoned_holds());
        for decided in abandoned {
            self.reply_to_hold(decided);
        }
    }

    fn reply_to_hold(&mut self, decided: DecidedHold) {
        let outcome = decided.outcome;
        let answer = outcome.map(Answer::Done).map_err(RequestRefusal::from);
        if let Some(reply) = reply_to_request(answer) {
            self.send_reply(decided.reply_to, &reply);
        }
    }

    /// The consensus log and its holds, for operators.
    pub(in crate::node) fn consensus_view(&self) -> Option<ConsensusView> {
        self.cluster.as_ref()?.consensus_view()
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Bootstrapping => "founds",
        Role::Voting => "votes",
        Role::Learning => "learns",
        Role::Observing => "reads",
        Role::Failed => "unfit",
    }
}

fn hold_view(granted: GrantedLease) -> Lease {
    let lease = granted.lease;
    let name = lease
        .resource
        .strip_prefix(HOLD_PREFIX)
        .unwrap_or(&lease.resource);
    Lease {
        name: name.into(),
        fence: granted.fence,
        owner: lease.owner,
        amount: lease.amount.into(),
        left_s: granted.time_left.map(|left| left / 1_000_000),
        stays: lease.stays,
        note: lease.note,
    }
}

/// What became of a request for a hold, in the words that staff read.
fn describe_outcome(
    name: String,
    outcome: &Result<Outcome, RequestError>,
) -> Result<String, HoldError> {
    match outcome {
        Ok(Outcome::Granted { fence }) => Ok(format!("{name} is held, under number {fence}")),
        Ok(Outcome::Released) => Ok(format!("{name} is given back")),
        Ok(Outcome::Renewed) => Ok(format!("{name} is held for longer")),
        Ok(Outcome::LimitReached {
            wait: Some(wait), ..
        }) => Err(HoldError::HeldForTime { name, wait: *wait }),
        Ok(Outcome::LimitReached { wait: None, .. }) => Err(HoldError::HeldUntilReleased { name }),
        Ok(Outcome::NotOwner) => Err(HoldError::NotOwner { name }),
        Ok(Outcome::OutOfBounds) => Err(HoldError::OutOfBounds { name }),
        Ok(Outcome::TooEarly { wait }) => Err(HoldError::TooEarly { wait: *wait }),
        Ok(Outcome::Stale) => Err(HoldError::Superseded),
        Err(RequestError::TimedOut) => Err(HoldError::NoMajority { name }),
        Err(RequestError::TooManyPending) => Err(HoldError::TooManyPending),
    }
}
