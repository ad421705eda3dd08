//! Parses the query classes.

use crate::json::Json;
use crate::value::{flag, number, optional_indexes, optional_number, to_u64};
use crate::{KeyError, Problem};
use driftfront_scheduler::{DeduplicationScope, Idempotency, QueryClass};

/// Reads the class at `index` from its `profile`. `family` holds further properties as lists indexed by class.
pub(crate) fn read(index: usize, profile: Json, family: Json) -> Result<QueryClass, KeyError> {
    let idempotency = read_idempotency(profile)?;
    let deduplication_scope = read_deduplication_scope(profile, idempotency)?;
    Ok(QueryClass {
        latency_objective: to_u64(number(profile, "OnTimeUs")?),
        latency_objective_stretch: optional_number(profile, "AimStretch")?.unwrap_or(0.0),
        priority_weight: number(profile, "Worth")?,
        late_weight: optional_number(profile, "LateWorth")?.unwrap_or(0.0),
        idempotency,
        deduplication_scope,
        deduplication_window: to_u64(optional_number(profile, "RepeatWindowUs")?.unwrap_or(0.0)),
        in_order: flag(profile, "ByArrival"),
        zones: optional_indexes(profile, "ConfinedTo")?,
        kinds: optional_indexes(profile, "MachineTypesAllowed")?,
        threads: read_threads(family.get("WidthByClass").at(index)),
        is_load: family.get("Loads").at(index).flag(),
        waits_for_loads: family.get("BlockedByLoads").at(index).flag(),
    })
}

fn read_idempotency(profile: Json) -> Result<Idempotency, KeyError> {
    match profile.get("Effect").text() {
        Some("free") => Ok(Idempotency::Idempotent),
        Some("guarded") => Ok(Idempotency::WithKey),
        Some("single_shot") => Ok(Idempotency::NotIdempotent),
        _ => Err(KeyError::new("Effect", Problem::MissingOrUnknown)),
    }
}

/// The scope is required only where queries carry an idempotency key.
fn read_deduplication_scope(
    profile: Json,
    idempotency: Idempotency,
) -> Result<DeduplicationScope, KeyError> {
    match profile.get("KeyScope").text() {
        Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        None if idempotency != Idempotency::WithKey => Ok(DeduplicationScope::All),
        _ => Err(KeyError::new("KeyScope", Problem::MissingOrUnknown)),
    }
}

/// Number of threads a query runs on; 1 if missing or less than 1.
fn read_threads(width: Json) -> f64 {
    width
        .number()
        .filter(|&threads| threads >= 1.0)
        .unwrap_or(1.0)
}
