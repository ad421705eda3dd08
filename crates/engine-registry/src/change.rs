//! What a change of the registry means to the scheduler and to operators.

use crate::record::StateRecord;
use driftfront_scheduler::{EngineId, ListKind, ListedEngine, Phase};

/// A change to the engine list, in the scheduler's terms.
#[derive(Clone, Debug)]
pub struct RegistryChange {
    /// The full list, or changes to it.
    pub kind: ListKind,
    /// The lines of the list.
    pub engines: Vec<ListedEngine>,
    /// Engines with another process or address than before: old connections lead elsewhere.
    pub restarted: Vec<EngineId>,
    /// What changed, a message each for operators.
    pub messages: Vec<String>,
}

impl RegistryChange {
    /// A change of this kind without any line yet.
    pub(crate) fn new(kind: ListKind) -> RegistryChange {
        RegistryChange {
            kind,
            engines: Vec::new(),
            restarted: Vec::new(),
            messages: Vec::new(),
        }
    }
}

/// What a command has changed, and the records of it that the host writes down.
pub type RegistryUpdate = (RegistryChange, Vec<StateRecord>);

/// A phase as operators read it.
pub fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "ready",
        Phase::Draining => "draining",
        Phase::Gone => "gone",
    }
}
