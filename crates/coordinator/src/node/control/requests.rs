//! Parses, executes and answers operators' requests.

use super::connection::{ReplyTo, Subscription};
use super::refusal::RequestRefusal;
use super::Control;
use crate::node::cluster::HoldRequest;
use crate::node::{ConnectionId, Node};
use driftfront_control::{key, Reply, Request};
use driftfront_core::Micros;

/// The origin of orders given through the control interface, as shown in events.
const ORIGIN: &str = "an operator";

/// The answer to a request that is not refused.
#[derive(Debug, PartialEq, Eq)]
pub(in crate::node) enum Answer {
    /// The request was executed; the text is the message for the operator.
    Done(String),
    /// The reply was sent already, or will be sent once a write or a decision of the cluster completes.
    Deferred,
}

/// The reply to a request; `None` if it was sent already or will be sent later.
pub(in crate::node) fn reply_to_request(outcome: Result<Answer, RequestRefusal>) -> Option<Reply> {
    match outcome {
        Ok(Answer::Done(message)) => Some(Reply::Done(message)),
        Ok(Answer::Deferred) => None,
        Err(refusal) => Some(Reply::Refused(refusal.to_string())),
    }
}

impl Control {
    /// Whether the operator must answer a challenge before any other request.
    fn awaits_authentication(&self, connection: ConnectionId) -> bool {
        let operator = self.connections.get(&connection);
        operator.is_some_and(|operator| operator.challenge.is_some())
    }

    /// Whether the first request on the control port answers its challenge. There is only one attempt.
    fn verify_challenge_response(&mut self, connection: ConnectionId, request: &Request) -> bool {
        let Some(operator) = self.connections.get_mut(&connection) else {
            return false;
        };
        let challenge = operator.challenge.take().unwrap_or_default();
        match request {
            Request::Auth(answer) => {
                !challenge.is_empty() && key::verify_answer(&self.port_key, &challenge, answer)
            }
            _ => false,
        }
    }

    /// Subscribes a connection to snapshots; the first is due immediately.
    fn subscribe_to_snapshots(&mut self, now: Micros, to: ReplyTo, interval: Micros) {
        if let Some(operator) = self.connections.get_mut(&to.connection) {
            operator.subscription = Some(Subscription {
                request: to.request,
                interval,
                due: now,
            });
        }
    }

    /// Subscribes a connection to events as they happen.
    fn subscribe_to_events(&mut self, to: ReplyTo) {
        if let Some(operator) = self.connections.get_mut(&to.connection) {
            operator.events_request = Some(to.request);
        }
    }
}

impl Node {
    /// Handles a request line of an operator.
    pub(super) fn handle_operator_line(&mut self, connection: ConnectionId, line: &str) {
        let now = self.clock();
        let (request, parsed) = Request::read(line);
        let to = ReplyTo {
            connection,
            request,
        };
        let control = self.control.as_ref();
        let awaits_authentication =
            control.is_some_and(|control| control.awaits_authentication(connection));
        let outcome = match parsed {
            Ok(request) if awaits_authentication => return self.authenticate(to, &request),
            Ok(request) => self.execute_request(now, to, request),
            Err(error) => Err(error.into()),
        };
        if let Some(reply) = reply_to_request(outcome) {
            self.send_reply(to, &reply);
        }
    }

    /// Checks that the first request on the control port answers the challenge, and closes the connection otherwise.
    fn authenticate(&mut self, to: ReplyTo, request: &Request) {
        let Some(control) = &mut self.control else {
            return;
        };
        if !control.verify_challenge_response(to.connection, request) {
            tracing::warn!("operator rejected: wrong key");
            return self.drop_operator(to.connection);
        }
        self.send_reply(to, &Reply::Done("welcome".into()));
    }

    /// Executes a request.
    fn execute_request(
        &mut self,
        now: Micros,
        to: ReplyTo,
        request: Request,
    ) -> Result<Answer, RequestRefusal> {
        match request {
            Request::Auth(_) => Ok(Answer::Done("no key is needed here".into())),
            Request::Snapshot => Ok(self.send_snapshot(now, to)),
            Request::Follow(millis) => Ok(self.follow_snapshots(now, to, millis * 1000)),
            Request::Events(follow) => Ok(self.send_events(to, follow)),
            Request::Drain { engine, force } => self.drain_engine(now, to, engine, force),
            Request::Resume(engine) => self.resume_engine(now, to, engine),
            Request::Remove { engine, force } => self.remove_engine(now, to, engine, force),
            Request::Add {
                engine,
                addr,
                zone,
                kind,
            } => {
                let description = self.parse_new_engine(engine, &addr, &zone, &kind)?;
                self.add_engine(now, to, description)
            }
            Request::Pause => Ok(Answer::Done(self.pause(now, ORIGIN))),
            Request::Unpause => Ok(Answer::Done(self.resume_work(now, ORIGIN))),
            Request::Hold {
                name,
                for_s,
                stays,
                note,
            } => {
                let hold = HoldRequest {
                    name,
                    seconds: for_s,
                    stays,
                    note,
                };
                Ok(self.hold(to, hold)?)
            }
            Request::Unhold(name) => Ok(self.unhold(to, name)?),
            Request::Roll(engines, is_dry_run) => {
                self.begin_rolling_restart(now, engines, is_dry_run)
            }
            Request::EngineReturned => self.confirm_engine_returned(now),
            Request::RollStop => self.stop_rolling_restart(now),
            Request::RollResume => self.resume_rolling_restart(now),
        }
    }

    fn send_snapshot(&mut self, now: Micros, to: ReplyTo) -> Answer {
        let line = self.snapshot_line(now, to.request);
        self.send_line(to.connection, &line);
        Answer::Deferred
    }

    fn follow_snapshots(&mut self, now: Micros, to: ReplyTo, interval: Micros) -> Answer {
        if let Some(control) = &mut self.control {
            control.subscribe_to_snapshots(now, to, interval);
        }
        self.close_stalled_operators(now);
        self.send_due_snapshots(now);
        Answer::Deferred
    }

    /// Sends the retained events. With `follow` the connection also gets future events, otherwise a final reply ends the list.
    fn send_events(&mut self, to: ReplyTo, follow: bool) -> Answer {
        let Some(control) = &mut self.control else {
            return Answer::Deferred;
        };
        if follow {
            control.subscribe_to_events(to);
        }
        let lines = control.events.lines(to.request);
        self.send_line(to.connection, &lines);
        if follow {
            Answer::Deferred
        } else {
            Answer::Done(String::new())
        }
    }
}
