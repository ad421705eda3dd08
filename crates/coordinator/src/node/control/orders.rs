//! Orders that operators give: carried out, written down, and rolled over many engines.

use super::Kept;
use crate::node::{ConnectionId, Node};
use driftfront_control::Reply;
use driftfront_core::Micros;
use driftfront_engine_registry::record::StateRecord;
use driftfront_engine_registry::rolling_restart::{
    ObservedState, RollingRestart, RollingRestartAction,
};
use driftfront_engine_registry::Command as Order;

impl Node {
    /// Carries out an operator's command: at once for the engines, and done once it is on the disk.
    pub(super) fn order(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        id: u64,
        command: Order,
        words: String,
    ) {
        let (change, records) = match self.registry.execute_command(now, "operator", command) {
            Ok(done) => done,
            Err(refusal) => {
                return self.tell_operator(conn, &Reply::Refused(refusal.to_string()).line(id))
            }
        };
        self.apply_registry_change(now, &change);
        self.publish_handover();
        self.event(now, format!("{words}, by an operator"));
        let kept = self.write_down(now, records);
        match kept {
            Kept::Coming(number) => {
                if let Some(control) = &mut self.control {
                    control.waiting.insert(number, (conn, id, words));
                }
            }
            Kept::NoFolder => {
                let words = format!(
                    "{words}; there is no state folder, so a restart of the program forgets it"
                );
                self.tell_operator(conn, &Reply::Done(words).line(id));
            }
            Kept::Full => {
                let words = format!(
                    "{words}, but the disk is too slow to write it down: a restart forgets it"
                );
                self.tell_operator(conn, &Reply::Done(words).line(id));
            }
        }
    }

    pub(in crate::node) fn write_down(&mut self, now: Micros, records: Vec<StateRecord>) -> Kept {
        let Some(control) = &mut self.control else {
            return Kept::NoFolder;
        };
        let Some(state) = &mut control.state else {
            return Kept::NoFolder;
        };
        let number = state.append(records);
        // What a successor writes must not be left in a file that is no longer the folder's.
        if state.wants_compaction() && !self.lifecycle.is_succeeded() {
            let mut records = self.registry.compacted_records();
            records.push(StateRecord::RollingRestart {
                roll: control.roll.clone(),
            });
            state.compact(records);
        }
        match number {
            Some(number) => Kept::Coming(number),
            None => {
                self.event(
                    now,
                    "The state folder's disk is too slow: an order was not written down".into(),
                );
                Kept::Full
            }
        }
    }

    /// Records are on the disk, or could not be written.
    pub(super) fn written(&mut self, number: u64, end: Result<(), String>) {
        let now = self.clock();
        let waiting = self
            .control
            .as_mut()
            .and_then(|c| c.waiting.remove(&number));
        if let Err(why) = &end {
            self.event(now, format!("The state folder can't be written: {why}"));
        }
        if let Some((conn, id, words)) = waiting {
            let words = match end {
                Ok(()) => words,
                Err(why) => {
                    format!(
                        "{words}, but it could not be written down ({why}): a restart forgets it"
                    )
                }
            };
            self.tell_operator(conn, &Reply::Done(words).line(id));
        }
        self.execute_commands();
    }

    pub(super) fn begin_roll(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        id: u64,
        engines: Vec<String>,
        dry: bool,
    ) {
        let running = self
            .control
            .as_ref()
            .and_then(|c| c.roll.as_ref())
            .is_some_and(|r| !r.is_over());
        let sight = self.sight(now);
        let all: Vec<String> = sight.engines.iter().map(|e| e.name.clone()).collect();
        let reply = if let Some(unknown) = engines.iter().find(|e| !all.contains(e)) {
            Reply::Refused(format!("there is no engine {unknown}"))
        } else if running && !dry {
            Reply::Refused("a roll is on its way: stop it first".into())
        } else {
            let roll = RollingRestart::new(
                now,
                if engines.is_empty() { all } else { engines },
                sight.service_level,
            );
            let plan = roll.plan(&sight).join("\n");
            if !dry {
                if let Some(control) = &mut self.control {
                    (control.roll, control.next_roll) = (Some(roll.clone()), now);
                }
                self.event(
                    now,
                    format!("A roll over {} engines begins", roll.remaining.len()),
                );
                let _ =
                    self.write_down(now, vec![StateRecord::RollingRestart { roll: Some(roll) }]);
            }
            Reply::Done(plan)
        };
        self.tell_operator(conn, &reply.line(id));
    }

    pub(super) fn with_roll(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        id: u64,
        none: &str,
        how: impl FnOnce(&mut RollingRestart, &ObservedState) -> Vec<RollingRestartAction>,
    ) {
        let sight = self.sight(now);
        let acts = self
            .control
            .as_mut()
            .and_then(|c| c.roll.as_mut())
            .map(|r| how(r, &sight))
            .unwrap_or_default();
        let reply = match acts.is_empty() {
            true => Reply::Refused(none.into()),
            false => Reply::Done(
                self.control
                    .as_ref()
                    .and_then(|c| c.roll.as_ref())
                    .map_or(String::new(), |r| r.status.to_string()),
            ),
        };
        self.carry_out_roll(now, acts);
        self.tell_operator(conn, &reply.line(id));
    }

    pub(super) fn carry_out_roll(&mut self, now: Micros, acts: Vec<RollingRestartAction>) {
        if let Some(control) = self.control.as_mut().filter(|_| !acts.is_empty()) {
            control.snapshot = None;
        }
        for act in acts {
            match act {
                RollingRestartAction::Announce(words) => self.event(now, words),
                RollingRestartAction::Persist => {
                    let roll = self
                        .control
                        .as_ref()
                        .and_then(|c| c.roll.clone())
                        .filter(|r| !r.is_over());
                    let _ = self.write_down(now, vec![StateRecord::RollingRestart { roll }]);
                }
                RollingRestartAction::Drain(engine) => self.order_of_roll(
                    now,
                    Order::Drain {
                        engine,
                        force: false,
                    },
                ),
                RollingRestartAction::Resume(engine) => {
                    self.order_of_roll(now, Order::Resume { engine })
                }
            }
        }
    }

    fn order_of_roll(&mut self, now: Micros, command: Order) {
        match self.registry.execute_command(now, "the roll", command) {
            Ok((change, records)) => {
                self.apply_registry_change(now, &change);
                self.publish_handover();
                let _ = self.write_down(now, records);
            }
            Err(refusal) => self.event(now, format!("The roll: {refusal}")),
        }
    }
}
