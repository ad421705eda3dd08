//! How engines' connections end, and what is owed then: each attempt on one ends as far as it had come, and what waited for it
//! goes by another. The moments stand in `docs/endings.md`.

use super::{EngineConnection, Work, CHECK_AFTER, CHECK_TAG, HANDED_OVER_IDLE, MOVES_MOST};
use crate::node::{ConnectionId, Node};
use driftfront_core::{Cause, EngineId, Micros, Outcome};
use std::collections::BTreeMap;

impl Node {
    /// We close a connection; each attempt on it ends as far as it had come, once the engine can know.
    pub(in crate::node) fn drop_engine(&mut self, now: Micros, id: ConnectionId, why: &str) {
        self.end_engine(now, id, Cause::Closed(why.into()));
    }

    /// A connection has ended; each attempt on it with it.
    pub(super) fn lose_engine(&mut self, now: Micros, id: ConnectionId, why: &str) {
        self.end_engine(now, id, Cause::Connection(why.into()));
    }

    fn end_engine(&mut self, now: Micros, id: ConnectionId, cause: Cause) {
        let Some(mut conn) = self.engines.connections.remove(&id) else {
            return;
        };
        self.unregister(conn.token.take());
        self.engines.paused -= usize::from(conn.paused);
        if let Some(key) = conn.feeding {
            self.engines.uploads.remove(&key.request);
        }
        self.log_end(&conn, &cause);
        for key in conn.session.open() {
            self.attempt_failed(now, key, cause.clone());
        }
        for tag in conn
            .session
            .probes()
            .into_iter()
            .filter(|&t| t != CHECK_TAG)
        {
            self.core.record_probe(now, tag, Outcome::Reset, &[]);
        }
        // Came up and broke before it carried this: that says nothing of the engine, another may do.
        let moves_on = |moves: u8| conn.up && moves < MOVES_MOST;
        for work in conn.waiting {
            match work {
                Work::Attempt(key, moves) if moves_on(moves) => {
                    self.queue_attempt(now, key, conn.engine, moves + 1)
                }
                Work::Attempt(key, _) => self.attempt_failed(now, key, cause.clone()),
                Work::Probe(CHECK_TAG) => {}
                Work::Probe(tag) => self.core.record_probe(now, tag, Outcome::Unreachable, &[]),
            }
        }
        self.execute_commands();
    }

    /// Why a connection to an engine ended that something was out on.
    fn log_end(&self, conn: &EngineConnection, cause: &Cause) {
        if conn.is_idle() {
            return;
        }
        let engine = self.registry.name(conn.engine);
        let (open, waiting) = (conn.session.load(), conn.waiting.len());
        match cause {
            Cause::Closed(why) if open > 0 => {
                tracing::info!(engine, open, waiting, why, "connection to an engine closed");
            }
            _ => tracing::debug!(
                engine,
                open,
                waiting,
                ?cause,
                "connection to an engine lost"
            ),
        }
    }

    /// Old connections of an engine lead to an earlier process, or elsewhere.
    pub(in crate::node) fn retire_connections(&mut self, engine: EngineId) {
        for conn in self
            .engines
            .connections
            .values_mut()
            .filter(|c| c.engine == engine)
        {
            conn.retired = true;
        }
    }

    /// The engine is gone from the list: what is out on it may still end.
    pub(in crate::node) fn forget_engine(&mut self, now: Micros, engine: EngineId) {
        self.retire_connections(engine);
        self.registry.forget_engine(engine);
        self.forget_engine_window(engine);
        self.engines.checks.remove(&engine);
        self.sweep_engines(now);
    }

    /// Probes engines that have said nothing for a while and tell nothing by themselves: one that answers lives,
    /// however long its queries take; one that does not is silent, and its reads are lost.
    fn check_engines(&mut self, now: Micros) {
        let mut quiet: BTreeMap<EngineId, Micros> = BTreeMap::new();
        for conn in self.engines.connections.values() {
            if conn.up && !conn.paused && conn.session.wants_checks() {
                let heard = quiet.entry(conn.engine).or_insert(conn.heard);
                *heard = (*heard).min(conn.heard);
            }
        }
        for (engine, since) in quiet {
            let heard = self.heard_of(engine).max(since);
            let last = self.engines.checks.get(&engine).copied().unwrap_or(0);
            if now < heard + CHECK_AFTER || now < last + CHECK_AFTER {
                continue;
            }
            self.engines.checks.insert(engine, now);
            if let Ok(id) = self.engine_connection(now, engine, None, false) {
                self.queue_work(now, id, Work::Probe(CHECK_TAG));
            }
        }
    }

    pub(in crate::node) fn sweep_engines(&mut self, now: Micros) {
        let (idle, stall) = (
            self.config.engine_idle_timeout,
            self.config.result_stall_timeout,
        );
        // What hands over has little more to send: idle connections are the successor's share of the descriptors.
        let idle = if self.lifecycle.is_succeeded() {
            idle.min(HANDED_OVER_IDLE)
        } else {
            idle
        };
        self.check_engines(now);
        self.engines.streaming = self
            .engines
            .connections
            .values()
            .filter(|c| c.session.is_streaming())
            .count();
        let over = |c: &EngineConnection| {
            if !c.up {
                return (now > c.connect_by).then_some("connect timed out");
            }
            // A probe that no answer comes to must not hold its connection for ever. Where notes come, what is
            // out on a silent connection is lost: it ends, to be tried elsewhere, but for what must not run
            // twice, which may still be answered once the engine can be reached again.
            // Idle ones, nearly all in a large fleet, owe no word: who else is heard is not looked up for them.
            let silent = !c.session.is_idle()
                && c.is_silent(now, self.notes_due(now, c.engine), self.heard_of(c.engine));
            if silent && (c.session.load() == 0 && c.waiting.is_empty() || !c.alone) {
                return Some("silent");
            }
            if c.session.is_streaming() && !c.paused && now > c.heard + stall {
                return Some("its result stands still");
            }
            let unused =
                c.is_idle() && (c.retired || c.session.is_spent() || c.is_stale(now, idle));
            unused.then_some("no longer used")
        };
        let ends: Vec<_> = self
            .engines
            .connections
            .iter()
            .filter_map(|(&id, c)| Some((id, over(c)?)))
            .collect();
        for (id, why) in ends {
            self.drop_engine(now, id, why);
        }
        for id in self.engines.connections.keys().copied().collect::<Vec<_>>() {
            self.tend_engine(now, id);
        }
        self.resume_engines(now);
    }
}
