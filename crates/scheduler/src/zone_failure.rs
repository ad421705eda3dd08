//! Zone failures: engines that were lost since anything of their zone was last heard.
//!
//! Input: engines lost and heard. Output: whether a zone counts as lost as a whole, until one engine there answers.

use crate::types::EngineId;
use std::collections::{BTreeMap, BTreeSet};

/// So many engines of a zone lost, with no word from any there: the zone is.
const MIN_LOST_ENGINES: usize = 2;

/// Lost engines by zone.
#[derive(Default)]
pub(crate) struct LostZones {
    lost: BTreeMap<u16, BTreeSet<EngineId>>,
}

impl LostZones {
    /// Records that an engine can't be reached.
    pub(crate) fn record_loss(&mut self, zone: u16, engine: EngineId) {
        self.lost.entry(zone).or_default().insert(engine);
    }

    /// Records that something came from a zone: it is not lost.
    pub(crate) fn record_contact(&mut self, zone: u16) {
        self.lost.remove(&zone);
    }

    /// Forgets an engine that is gone.
    pub(crate) fn forget_engine(&mut self, engine: EngineId) {
        for engines in self.lost.values_mut() {
            engines.remove(&engine);
        }
    }

    /// Whether a zone counts as lost as a whole.
    pub(crate) fn is_lost(&self, zone: u16) -> bool {
        self.lost
            .get(&zone)
            .is_some_and(|engines| engines.len() >= MIN_LOST_ENGINES)
    }

    /// Zones from which nothing was heard since an engine there was lost.
    pub(crate) fn silent_zones(&self) -> usize {
        self.lost.len()
    }
}
