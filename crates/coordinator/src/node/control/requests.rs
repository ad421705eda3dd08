//! An operator's request: read from its line, carried out, and answered.

use super::connection::{ReplyTo, Subscription};
use crate::node::{ConnectionId, Node};
use driftfront_control::{key, Reply, Request};
use driftfront_core::{Micros, Phase};
use driftfront_engine_registry::{Command as Order, EngineDescription};

impl Node {
    /// Handles one line of an operator's.
    pub(super) fn handle_operator_line(&mut self, connection: ConnectionId, line: &str) {
        let now = self.clock();
        let (request, parsed) = Request::read(line);
        let to = ReplyTo {
            connection,
            request,
        };
        match parsed {
            Ok(request) if self.is_challenged(connection) => self.check_key(to, &request),
            Ok(request) => self.handle_request(now, to, request),
            Err(bad) => self.send_reply(to, &Reply::Refused(bad.to_string())),
        }
    }

    /// Whether the operator must answer a challenge first.
    fn is_challenged(&self, connection: ConnectionId) -> bool {
        let control = self.control.as_ref();
        control
            .and_then(|control| control.connections.get(&connection))
            .is_some_and(|operator| operator.challenge.is_some())
    }

    /// The first request on the control port must answer the challenge; any other closes the connection.
    fn check_key(&mut self, to: ReplyTo, request: &Request) {
        let Some(control) = &mut self.control else {
            return;
        };
        let Some(operator) = control.connections.get_mut(&to.connection) else {
            return;
        };
        let challenge = operator.challenge.take().unwrap_or_default();
        let is_right = match request {
            Request::Auth(answer) => {
                !challenge.is_empty() && key::is_right(&control.key, &challenge, answer)
            }
            _ => false,
        };
        if !is_right {
            tracing::warn!("an operator's key was not right");
            return self.drop_operator(to.connection);
        }
        self.send_reply(to, &Reply::Done("welcome".into()));
    }

    fn handle_request(&mut self, now: Micros, to: ReplyTo, request: Request) {
        match request {
            Request::Auth(_) => self.send_done(to, "no key is needed here"),
            Request::Snapshot => {
                let line = self.snapshot_line(now, to.request);
                self.send_line(to.connection, &line);
            }
            Request::Follow(millis) => self.follow_snapshots(now, to, millis * 1000),
            Request::Events(follow) => self.send_events(to, follow),
            Request::Drain { engine, force } => {
                let message = format!("{engine} is drained: nothing new goes there");
                self.order(now, to, Order::Drain { engine, force }, message);
            }
            Request::Resume(engine) => {
                let message = format!("{engine} is resumed: it takes work again");
                self.order(now, to, Order::Resume { engine }, message);
            }
            Request::Remove { engine, force } => {
                let message = format!("{engine} is removed");
                self.order(now, to, Order::Remove { engine, force }, message);
            }
            Request::Add {
                engine,
                addr,
                zone,
                kind,
            } => match self.parse_new_engine(engine, &addr, &zone, &kind) {
                Ok(description) => {
                    let message = format!("{} is added", description.name);
                    self.order(now, to, Order::Add { description }, message);
                }
                Err(reason) => self.send_reply(to, &Reply::Refused(reason)),
            },
            Request::Pause => {
                let state = self.pause(now, "an operator");
                self.send_done(to, &state);
            }
            Request::Unpause => {
                let state = self.resume_work(now, "an operator");
                self.send_done(to, &state);
            }
            Request::Hold {
                name,
                for_s,
                stays,
                note,
            } => self.hold(to, name, for_s, stays, note),
            Request::Unhold(name) => self.unhold(to, &name),
            Request::Roll(engines, is_dry_run) => self.begin_roll(now, to, engines, is_dry_run),
            Request::Back => self.change_roll(now, to, "no engine is handed over", |roll, _| {
                roll.confirm_engine_returned(now)
            }),
            Request::RollStop => {
                self.change_roll(now, to, "there is no roll to stop", |roll, _| {
                    roll.stop(now, "by an operator")
                })
            }
            Request::RollGoOn => self.change_roll(now, to, "no roll is stopped", |roll, state| {
                roll.resume(now, state)
            }),
        }
    }

    fn send_done(&mut self, to: ReplyTo, message: &str) {
        self.send_reply(to, &Reply::Done(message.into()));
    }

    fn follow_snapshots(&mut self, now: Micros, to: ReplyTo, interval: Micros) {
        let connections = self
            .control
            .as_mut()
            .map(|control| &mut control.connections);
        if let Some(operator) = connections.and_then(|all| all.get_mut(&to.connection)) {
            operator.subscription = Some(Subscription {
                request: to.request,
                interval,
                due: now,
            });
        }
        self.cut_off_stuck_operators(now);
        self.send_due_snapshots(now);
    }

    /// Sends the retained events; with `follow` also those that come, else the end of the list.
    fn send_events(&mut self, to: ReplyTo, follow: bool) {
        let Some(control) = &mut self.control else {
            return;
        };
        if let Some(operator) = control.connections.get_mut(&to.connection) {
            operator.events_request = follow.then_some(to.request).or(operator.events_request);
        }
        let lines: String = control
            .events
            .iter()
            .map(|event| Reply::Event(event.at, event.message.clone()).line(to.request))
            .collect();
        self.send_line(to.connection, &lines);
        if !follow {
            self.send_done(to, "");
        }
    }

    /// The engine that an operator adds: zone and machine kind by name, the first ones where none is named.
    fn parse_new_engine(
        &self,
        name: String,
        address: &str,
        zone: &str,
        kind: &str,
    ) -> Result<EngineDescription, String> {
        let zone = index_of("building", zone, &self.config.zones)?;
        let kind = index_of("machine kind", kind, &self.config.kinds)?;
        let addr = match address {
            "" => None,
            text => Some(
                text.parse()
                    .map_err(|_| format!("{text} is no address; write it as 127.0.0.1:18123"))?,
            ),
        };
        Ok(EngineDescription {
            name,
            addr,
            zone,
            kind,
            cell: 0,
            started_at: None,
            phase: Phase::Ready,
        })
    }
}

/// A name's index among those that are known; the first for an empty name.
fn index_of(what: &str, name: &str, known: &[String]) -> Result<u16, String> {
    if name.is_empty() {
        return Ok(0);
    }
    let index = known.iter().position(|known| known == name);
    let index = index.and_then(|index| u16::try_from(index).ok());
    index.ok_or_else(|| format!("there is no {what} {name}; there are {}", known.join(", ")))
}
