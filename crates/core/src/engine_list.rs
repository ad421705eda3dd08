//! The list of engines and their phases; ends requests bound to an engine that no longer accepts queries.

use crate::request::{Request, RequestId};
use crate::{Command, Core};
use driftfront_scheduler::{EngineId, Event, ListKind, ListedEngine, Micros, Phase};

impl Core {
    /// Applies a list of engines or changes to the current one.
    pub fn update_engines(&mut self, now: Micros, kind: ListKind, list: &[ListedEngine]) {
        self.counters.lists_applied += 1;
        if kind != ListKind::Changes {
            for phase in self.engine_phases.values_mut() {
                *phase = Phase::Gone;
            }
        }
        for listed in list {
            self.engine_phases.insert(listed.engine, listed.phase);
        }
        let stranded = self.fail_stranded_requests();
        self.notify_scheduler(
            now,
            Event::EnginesListed {
                kind,
                engines: list,
            },
        );
        // The end of a request lets the next one of its ordering key be sent, for which the new list must be known.
        for id in stranded {
            self.notify_scheduler(now, Event::ClientLeft(id.query()));
        }
        self.forget_gone_engines();
    }

    fn forget_gone_engines(&mut self) {
        let is_gone = |(_, phase): &(&EngineId, &Phase)| **phase == Phase::Gone;
        let gone = self.engine_phases.iter().filter(is_gone);
        let gone: Vec<EngineId> = gone.map(|(id, _)| *id).collect();
        for engine in gone {
            self.engine_phases.remove(&engine);
            self.lost_attempts.forget_engine(engine);
            self.commands.push_back(Command::ForgetEngine(engine));
        }
    }

    /// Fails requests without an attempt in flight whose session is bound to an engine that no longer accepts queries, and returns
    /// them. The scheduler could not place them anywhere, and the client gets the reason.
    fn fail_stranded_requests(&mut self) -> Vec<RequestId> {
        let stranded = self.requests.iter().filter(|(_, r)| self.is_stranded(r));
        let stranded: Vec<RequestId> = stranded.map(|(id, _)| *id).collect();
        for id in &stranded {
            let request = self.requests.get(id);
            let error_text = request.and_then(|r| r.parsed.session_lost_error.clone());
            self.fail_with(*id, error_text);
        }
        stranded
    }

    fn is_stranded(&self, request: &Request) -> bool {
        let only_engine = request
            .parsed
            .sticky_session
            .filter(|session| session.is_exclusive);
        let is_unavailable =
            |engine: EngineId| self.engine_phases.get(&engine) != Some(&Phase::Ready);
        !request.is_closed
            && only_engine.is_some_and(|session| is_unavailable(session.engine))
            && request.in_flight().is_none()
    }

    /// All listed engines.
    pub fn listed_engines(&self) -> Vec<EngineId> {
        self.engine_phases.keys().copied().collect()
    }

    /// An engine's phase; `None` if it is not listed.
    pub fn engine_phase(&self, engine: EngineId) -> Option<Phase> {
        self.engine_phases.get(&engine).copied()
    }

    /// Whether any engine accepts queries.
    pub fn has_engines(&self) -> bool {
        let mut phases = self.engine_phases.values();
        phases.any(|&phase| phase == Phase::Ready)
    }
}
