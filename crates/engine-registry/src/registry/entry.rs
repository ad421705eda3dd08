//! One engine of the registry.

use crate::{EngineDescription, Micros, Order};
use driftfront_scheduler::{EngineId, ListedEngine, Phase};
use std::net::SocketAddr;

/// Who describes an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A source that lists it.
    Source,
    /// An operator who added it.
    Operator,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) id: EngineId,
    pub(super) addr: SocketAddr,
    /// As the source lists it now.
    pub(super) listed: Option<EngineDescription>,
    /// As an operator added it.
    pub(super) added: Option<EngineDescription>,
    /// What the scheduler was last told.
    pub(super) announced: Option<ListedEngine>,
}

impl Entry {
    /// An engine that nobody describes yet.
    pub(super) fn new(id: EngineId, addr: SocketAddr) -> Entry {
        Entry {
            id,
            addr,
            listed: None,
            added: None,
            announced: None,
        }
    }

    /// The description that counts: the source's before the operator's.
    pub(super) fn description(&self) -> Option<&EngineDescription> {
        self.listed.as_ref().or(self.added.as_ref())
    }

    /// Whether it is there for its source or an operator, whatever is ordered.
    pub(super) fn is_described(&self) -> bool {
        let is_listed = |listed: &EngineDescription| listed.phase != Phase::Gone;
        self.added.is_some() || self.listed.as_ref().is_some_and(is_listed)
    }

    /// Whether a new description means another process or address than before.
    pub(super) fn is_restart(&self, addr: SocketAddr, new: &EngineDescription) -> bool {
        let has_other_start = |old: &EngineDescription| old.started_at != new.started_at;
        self.addr != addr || self.description().is_some_and(has_other_start)
    }

    /// The phase that counts under an order.
    pub(super) fn phase(&self, order: Option<Order>) -> Phase {
        let described = self.described_phase();
        match order {
            Some(Order::Remove) => Phase::Gone,
            Some(Order::Drain) if described == Phase::Ready => Phase::Draining,
            _ => described,
        }
    }

    /// The phase without any order.
    fn described_phase(&self) -> Phase {
        match (&self.listed, &self.added) {
            // An operator's engine doesn't leave because a source has let it go.
            (Some(listed), Some(_)) if listed.phase == Phase::Gone => Phase::Ready,
            (Some(listed), _) => listed.phase,
            (None, Some(_)) => Phase::Ready,
            (None, None) => Phase::Gone,
        }
    }

    /// Its line on the scheduler's list; `None` for an engine that the scheduler never heard of and nobody describes.
    ///
    /// While an order held, the engine may have been restarted: it counts as started at the later of what is listed and the
    /// order's end.
    pub(super) fn line(&self, phase: Phase, lifted_at: Option<Micros>) -> Option<ListedEngine> {
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
