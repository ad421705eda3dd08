//! Operators' holds: named, cluster-wide leases that are requested here and granted by the consensus log.

use super::ClusterRuntime;
use crate::node::control::{reply_to_request, Answer, ReplyTo, RequestRefusal};
use crate::node::Node;
use driftfront_cluster::consensus::leases::{Command, Outcome, MAX_TEXT_BYTES};
use driftfront_cluster::consensus::{GrantedLease, RequestError, Role};
use driftfront_control::snapshot::{Consensus as ConsensusView, Lease, Voter};
use driftfront_core::Micros;

/// The prefix of holds' lease names, which separates them from leases for other purposes.
const HOLD_PREFIX: &str = "hold/";
/// How long a request waits for a majority of the voters.
const MAJORITY_TIMEOUT: Micros = 5_000_000;

/// The maximum length of a hold's name.
const MAX_NAME_BYTES: usize = MAX_TEXT_BYTES - HOLD_PREFIX.len();

/// An operator's request for a hold.
pub(in crate::node) struct HoldRequest {
    pub(in crate::node) name: String,
    /// The duration of the hold.
    pub(in crate::node) seconds: u64,
    /// The hold lasts beyond its duration, until it is released.
    pub(in crate::node) stays: bool,
    /// The reason, shown to other operators.
    pub(in crate::node) note: String,
}

impl HoldRequest {
    /// The log command that acquires the lease.
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

/// Why a hold is not granted or not released. `Display` is the message for the operator.
#[derive(Debug, thiserror::Error)]
pub(in crate::node) enum HoldError {
    /// The name or note is too long.
    #[error("a name is limited to {MAX_NAME_BYTES} bytes, a note to {MAX_TEXT_BYTES}")]
    TextTooLong,
    /// This process does not take part in a consensus log.
    #[error("there is no fleet here that could agree on it")]
    NoConsensus,
    /// The consensus log was closed before the request was decided; `name` may or may not be held.
    #[error("this coordinator is ending; check on another one whether {name} is held")]
    LogClosed { name: String },
    /// It cannot be released because nobody holds it.
    #[error("{name} is not held")]
    NotHeld { name: String },
    /// It is held by somebody for a known time.
    #[error("{name} is held already, for {} s more", seconds_rounded_up(*wait))]
    HeldForTime { name: String, wait: Micros },
    /// It is held by somebody until it is released.
    #[error("{name} is held already, until it is released")]
    HeldUntilReleased { name: String },
    /// The lease has ended or belongs to another owner.
    #[error("{name} is not held any more")]
    NotOwner { name: String },
    /// It exceeds the limits on leases.
    #[error(
        "{name} cannot be held: there are too many leases, or it would last over a day, or over 10 s while not all voters \
         keep their log in a state folder"
    )]
    OutOfBounds { name: String },
    /// Leases granted by an earlier log may still be in use.
    #[error(
        "holds cannot be granted yet: leases of an earlier log may last for {} s more",
        seconds_rounded_up(*wait)
    )]
    TooEarly { wait: Micros },
    /// A later process of this coordinator has joined the log since.
    #[error("a later process of this coordinator has replaced this one")]
    Superseded,
    /// No majority of the voters answered in time.
    #[error("no majority of the voters answered in time: {name} is not held by this request")]
    NoMajority { name: String },
    /// Too many requests are pending.
    #[error("too many requests are pending")]
    TooManyPending,
}

/// A time in seconds, rounded up.
fn seconds_rounded_up(time: Micros) -> u64 {
    time.div_ceil(1_000_000)
}

/// An operator waiting for an outcome.
pub(super) struct PendingHold {
    reply_to: ReplyTo,
    /// The hold's name.
    name: String,
}

/// A request for a hold that was decided, or that can no longer be decided.
struct DecidedHold {
    reply_to: ReplyTo,
    outcome: Result<String, HoldError>,
}

impl ClusterRuntime {
    /// Requests the release of a hold, whoever owns it.
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

    /// Submits a command about the hold of this name to the log.
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

    /// The next operator request that the log has decided.
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

    /// Takes all pending requests once the log is closed, since they can no longer be decided.
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

    /// The consensus log and its holds, for operators; `None` if this process does not take part in it.
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
    /// Requests a hold; the reply is sent once the log has decided.
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

    /// Requests the release of a hold, whoever owns it; the reply is sent once the log has decided.
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

    /// Sends the request to the other coordinators, after replying to requests that are already decided.
    fn send_hold_request(&mut self) {
        self.reply_to_decided_holds();
        if let Some(cluster) = &mut self.cluster {
            cluster.send_datagrams();
        }
    }

    /// Replies to operators whose requests have been decided or can no longer be decided.
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

/// The outcome of a request for a hold as a message for the operator. A grant ends with the fencing number, which the cluster
/// harness parses.
fn describe_outcome(
    name: String,
    outcome: &Result<Outcome, RequestError>,
) -> Result<String, HoldError> {
    match outcome {
        Ok(Outcome::Granted { fence }) => Ok(format!("{name} is held, under number {fence}")),
        Ok(Outcome::Released) => Ok(format!("{name} is released")),
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
