//! Operators' holds: named leases over the whole cluster, asked for here and granted by the consensus log.

use super::ClusterRuntime;
use crate::node::control::ReplyTo;
use crate::node::Node;
use driftfront_cluster::consensus::leases::{Command, Outcome, MAX_TEXT_BYTES};
use driftfront_cluster::consensus::{GrantedLease, RequestError, Role};
use driftfront_control::snapshot::{Consensus as AgreedView, Held, Voter};
use driftfront_control::Reply;
use driftfront_core::Micros;

/// Before an operator's name of a hold: leases for other purposes have other names.
const HOLD_PREFIX: &str = "hold/";
/// How long an operator waits for a majority.
const MAJORITY_TIMEOUT: Micros = 5_000_000;

/// An operator that waits for an outcome.
pub(super) struct PendingHold {
    reply_to: ReplyTo,
    /// The hold's name.
    name: String,
}

impl Node {
    /// Replies to operators whose requests have been decided, or never will be.
    pub(super) fn reply_to_decided_holds(&mut self) {
        while let Some((request, outcome)) = self.next_outcome() {
            let cluster = self.cluster.as_mut();
            let pending =
                cluster.and_then(|cluster| cluster.consensus.pending_holds.remove(&request));
            let Some(pending) = pending else {
                continue;
            };
            let now = self.now;
            let reply = match outcome_message(&pending.name, &outcome) {
                Ok(message) => {
                    self.event(now, format!("{message}, by an operator"));
                    Reply::Done(message)
                }
                Err(reason) => Reply::Refused(reason),
            };
            self.send_reply(pending.reply_to, &reply);
        }
        self.refuse_pending_after_close();
    }

    fn next_outcome(&mut self) -> Option<(u64, Result<Outcome, RequestError>)> {
        let cluster = self.cluster.as_mut()?;
        let clock = cluster.clock();
        let outcome = cluster
            .agent
            .with_consensus(clock, |consensus, _| consensus.next_outcome());
        outcome.flatten()
    }

    /// Once the log is closed here, nothing that still waits will be decided.
    fn refuse_pending_after_close(&mut self) {
        let Some(cluster) = self.cluster.as_mut() else {
            return;
        };
        if cluster.agent.consensus().is_some() {
            return;
        }
        let pending = std::mem::take(&mut cluster.consensus.pending_holds);
        for PendingHold { reply_to, name } in pending.into_values() {
            let reason = format!("this coordinator ends; whether {name} is held, see on another");
            self.send_reply(reply_to, &Reply::Refused(reason));
        }
    }

    /// Asks for a hold; the reply is sent once it is decided.
    pub(in crate::node) fn hold(
        &mut self,
        to: ReplyTo,
        name: String,
        seconds: u64,
        stays: bool,
        note: String,
    ) {
        let resource = format!("{HOLD_PREFIX}{name}");
        if resource.len() > MAX_TEXT_BYTES || note.len() > MAX_TEXT_BYTES {
            let reason = format!(
                "a name has {} bytes at most, a note {MAX_TEXT_BYTES}",
                MAX_TEXT_BYTES - HOLD_PREFIX.len()
            );
            return self.send_reply(to, &Reply::Refused(reason));
        }
        let command = Command::Acquire {
            resource,
            amount: 1,
            limit: 1,
            duration: seconds.saturating_mul(1_000_000),
            stays,
            note,
        };
        self.ask_for_hold(to, name, |_| Ok(command));
    }

    /// Asks for a hold's end, whoever took it.
    pub(in crate::node) fn unhold(&mut self, to: ReplyTo, name: &str) {
        let resource = format!("{HOLD_PREFIX}{name}");
        self.ask_for_hold(to, name.into(), |cluster| {
            let view = cluster.agent.consensus().map(|consensus| consensus.view());
            let leases = view.map(|view| view.leases).unwrap_or_default();
            let held = leases
                .into_iter()
                .find(|granted| granted.lease.resource == resource);
            held.map(|granted| Command::Revoke {
                fence: granted.fence,
            })
            .ok_or_else(|| format!("{name} is not held"))
        });
    }

    fn ask_for_hold(
        &mut self,
        to: ReplyTo,
        name: String,
        command: impl FnOnce(&ClusterRuntime) -> Result<Command, String>,
    ) {
        let cluster = self.cluster.as_mut();
        let Some(cluster) = cluster.filter(|cluster| cluster.agent.consensus().is_some()) else {
            let reason = "there is no fleet here that could agree on it";
            return self.send_reply(to, &Reply::Refused(reason.into()));
        };
        let command = match command(cluster) {
            Ok(command) => command,
            Err(reason) => return self.send_reply(to, &Reply::Refused(reason)),
        };
        let clock = cluster.clock();
        let request = cluster.agent.with_consensus(clock, |consensus, clock| {
            consensus.submit(clock, command, MAJORITY_TIMEOUT)
        });
        if let Some(request) = request {
            let pending = PendingHold { reply_to: to, name };
            cluster.consensus.pending_holds.insert(request, pending);
        }
        self.reply_to_decided_holds();
        self.send_datagrams();
    }

    /// The consensus log and its holds, for operators.
    pub(in crate::node) fn consensus_view(&self) -> Option<AgreedView> {
        let view = self.cluster.as_ref()?.agent.consensus()?.view();
        let voters = view.voters.into_iter();
        let holds = view.leases.into_iter();
        Some(AgreedView {
            part: role_word(view.role).into(),
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
            holds: holds.map(held_view).collect(),
        })
    }
}

fn role_word(role: Role) -> &'static str {
    match role {
        Role::Bootstrapping => "founds",
        Role::Voting => "votes",
        Role::Learning => "learns",
        Role::Observing => "reads",
        Role::Failed => "unfit",
    }
}

fn held_view(granted: GrantedLease) -> Held {
    let lease = granted.lease;
    let name = lease
        .resource
        .strip_prefix(HOLD_PREFIX)
        .unwrap_or(&lease.resource);
    Held {
        name: name.into(),
        fence: granted.fence,
        owner: lease.owner,
        amount: lease.amount.into(),
        left_s: granted.time_left.map(|left| left / 1_000_000),
        stays: lease.stays,
        note: lease.note,
    }
}

/// What became of a hold, in the words that staff read.
fn outcome_message(name: &str, outcome: &Result<Outcome, RequestError>) -> Result<String, String> {
    let seconds = |time: &Micros| time.div_ceil(1_000_000);
    match outcome {
        Ok(Outcome::Granted { fence }) => Ok(format!("{name} is held, under number {fence}")),
        Ok(Outcome::Released) => Ok(format!("{name} is given back")),
        Ok(Outcome::Renewed) => Ok(format!("{name} is held for longer")),
        Ok(Outcome::LimitReached {
            wait: Some(wait), ..
        }) => Err(format!(
            "{name} is held already, for {} s more",
            seconds(wait)
        )),
        Ok(Outcome::LimitReached { wait: None, .. }) => Err(format!(
            "{name} is held already, until it is given back"
        )),
        Ok(Outcome::NotOwner) => Err(format!("{name} is not held any more")),
        Ok(Outcome::OutOfBounds) => Err(format!(
            "{name} can't be held so: too many are, or it is for over 10 s where not all who decide keep their log in a \
             state folder, or for over a day"
        )),
        Ok(Outcome::TooEarly { wait }) => Err(format!(
            "nothing is lent for {} s yet: what an earlier log lent must have ended",
            seconds(wait)
        )),
        Ok(Outcome::Stale) => Err("this process is behind a later one of its name".into()),
        Err(RequestError::TimedOut) => Err(format!(
            "no majority of those who decide answered in time: {name} is not held by this"
        )),
        Err(RequestError::TooManyPending) => Err("too many wait already".into()),
    }
}
