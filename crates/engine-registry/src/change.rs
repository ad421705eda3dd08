//! Changes of the registry, as reported to the scheduler and to operators.

use crate::record::StateRecord;
use driftfront_scheduler::{EngineId, ListKind, ListedEngine, Phase};

/// A change to the engine list, in the scheduler's terms.
#[derive(Clone, Debug)]
pub struct RegistryChange {
    /// Whether `lines` is the full list or an update to it.
    pub kind: ListKind,
    /// The listed engines.
    pub engines: Vec<ListedEngine>,
    /// Engines with another process or address than before: connections to the old one are obsolete.
    pub restarted: Vec<EngineId>,
    /// One message per change, for operators.
    pub messages: Vec<String>,
}

impl RegistryChange {
    /// An empty change of this kind.
    pub(crate) fn new(kind: ListKind) -> RegistryChange {
        RegistryChange {
            kind,
            engines: Vec::new(),
            restarted: Vec::new(),
            messages: Vec::new(),
        }
    }
}

/// The change that a command made, and the records that the host has to store for it.
pub type RegistryUpdate = (RegistryChange, Vec<StateRecord>);

/// The phase as displayed to operators.
pub fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "ready",
        Phase::Draining => "draining",
        Phase::Gone => "gone",
    }
}
