//! Zone failures: tracks engines lost since the last contact with any engine of their zone.
//!
//! Input: engines lost, and contacts. Output: whether a zone as a whole is considered lost, until
//! one of its engines responds.

use crate::types::EngineId;
use std::collections::{BTreeMap, BTreeSet};

/// A zone is lost once this many of its engines are lost without contact from any other engine
/// there.
const MIN_LOST_ENGINES: usize = 2;

/// Lost engines by zone.
#[derive(Default)]
pub(crate) struct LostZones {
    lost: BTreeMap<u16, BTreeSet<EngineId>>,
}

impl LostZones {
    /// Records that an engine cannot be reached.
    pub(crate) fn record_loss(&mut self, zone: u16, engine: EngineId) {
        self.lost.entry(zone).or_default().insert(engine);
    }

    /// Records contact with an engine of a zone: the zone is not lost.
    pub(crate) fn record_contact(&mut self, zone: u16) {
        self.lost.remove(&zone);
    }

    /// Removes an engine that was dropped.
    pub(crate) fn remove_engine(&mut self, engine: EngineId) {
        for engines in self.lost.values_mut() {
            engines.remove(&engine);
        }
    }

    /// Whether a zone as a whole is considered lost.
    pub(crate) fn is_lost(&self, zone: u16) -> bool {
        self.lost
            .get(&zone)
            .is_some_and(|engines| engines.len() >= MIN_LOST_ENGINES)
    }

    /// Number of zones without contact since an engine there was lost.
    pub(crate) fn silent_zones(&self) -> usize {
        self.lost.len()
    }
}
