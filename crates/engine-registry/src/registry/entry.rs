//! An entry of the registry.

use crate::{EngineDescription, Micros, Order};
use driftfront_scheduler::{EngineId, ListedEngine, Phase};
use std::net::SocketAddr;

/// The origin of a description.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A source that lists the engine.
    Source,
    /// An operator who added the engine.
    Operator,
}

/// One engine, with its descriptions and what the scheduler knows of it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) id: EngineId,
    pub(super) addr: SocketAddr,
    /// The description by the source that currently lists it.
    pub(super) listed: Option<EngineDescription>,
    /// The description by the operator who added it.
    pub(super) added: Option<EngineDescription>,
    /// What was last announced to the scheduler.
    pub(super) announced: Option<ListedEngine>,
}

impl Entry {
    /// An entry without a description.
    pub(super) fn new(id: EngineId, addr: SocketAddr) -> Entry {
        Entry {
            id,
            addr,
            listed: None,
            added: None,
            announced: None,
        }
    }

    /// The effective description: the source's takes precedence over the operator's.
    pub(super) fn description(&self) -> Option<&EngineDescription> {
        self.listed.as_ref().or(self.added.as_ref())
    }

    /// Whether a source or an operator says that the engine exists, disregarding orders.
    pub(super) fn is_described(&self) -> bool {
        let is_listed = |listed: &EngineDescription| listed.phase != Phase::Gone;
        self.added.is_some() || self.listed.as_ref().is_some_and(is_listed)
    }

    /// Whether the new description implies another process or address than before.
    pub(super) fn is_restart(&self, addr: SocketAddr, new: &EngineDescription) -> bool {
        let has_new_start = |old: &EngineDescription| old.started_at != new.started_at;
        self.addr != addr || self.description().is_some_and(has_new_start)
    }

    /// The effective phase, given the order in force.
    pub(super) fn phase(&self, order: Option<Order>) -> Phase {
        let described = self.described_phase();
        match order {
            Some(Order::Remove) => Phase::Gone,
            Some(Order::Drain) if described == Phase::Ready => Phase::Draining,
            _ => described,
        }
    }

    /// The phase, disregarding orders.
    fn described_phase(&self) -> Phase {
        match (&self.listed, &self.added) {
            // An engine added by an operator stays when its source drops it.
            (Some(listed), Some(_)) if listed.phase == Phase::Gone => Phase::Ready,
            (Some(listed), _) => listed.phase,
            (None, Some(_)) => Phase::Ready,
            (None, None) => Phase::Gone,
        }
    }

    /// The engine as listed for the scheduler; `None` if it has no description and was never announced.
    ///
    /// The engine may have been restarted while an order was in force, so its start time is the later of the listed one and
    /// the time at which the order was lifted.
    pub(super) fn listed_engine(
        &self,
        phase: Phase,
        lifted_at: Option<Micros>,
    ) -> Option<ListedEngine> {
        match self.description() {
            Some(description) => Some(ListedEngine {
                engine: self.id,
                zone: description.zone,
                kind: description.kind,
                cell: description.cell,
                phase,
                started_at: description.started_at.max(lifted_at),
            }),
            None => self.announced.map(|announced| ListedEngine {
                phase: Phase::Gone,
                ..announced
            }),
        }
    }
}
