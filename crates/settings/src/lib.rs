//! Parses a coordinator's settings from the platform's JSON into the scheduler's types. Unknown keys are ignored.
//!
//! The platform defines the key names; only this crate maps them to the scheduler's terms.
#![forbid(unsafe_code)]

mod class;
mod error;
pub mod json;
mod value;

pub use error::{KeyError, Problem, SettingsError};

use driftfront_scheduler::{
    MachineKind, OutOfMemory, QueryClass, ReportField, RetryBudget, Settings, SlowStart, Tenant,
};
use json::Json;
use value::{flag, number, optional_number, to_u16, to_u32, to_u64};

/// Parses the settings.
///
/// # Errors
///
/// A [`SettingsError`] that names the missing or malformed key.
pub fn parse_settings(json: &[u8]) -> Result<Settings, SettingsError> {
    let root = json::parse(json)?;
    from_json(Json(Some(&root)))
}

/// Reads the settings from parsed JSON.
///
/// # Errors
///
/// A [`SettingsError`] that names the missing or malformed key.
pub fn from_json(root: Json) -> Result<Settings, SettingsError> {
    if !root.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    Ok(read_settings(root)?)
}

fn read_settings(root: Json) -> Result<Settings, KeyError> {
    let caps = root.get("Caps");
    let contract = root.get("Contract");
    let family = root.get("FamilyInfo");
    let fees = root.get("Fees");
    let report = root.get("LoadReport");
    let classes = read_classes(root, family)?;
    let tenants = read_tenants(root)?;
    let slow_start = read_slow_start(contract)?;
    let retry_budget = read_retry_budget(contract)?;
    let zone = to_u16(number(root, "Zone")?);
    Ok(Settings {
        coordinators: to_u32(number(root, "Balancers")?.max(1.0)),
        number: to_u32(optional_number(root, "MyNumber")?.unwrap_or(0.0)),
        zone,
        classes,
        kinds: read_kinds(root, family),
        tenants,
        over_quota_weight: optional_number(root, "OverShareWorth")?.unwrap_or(1.0),
        weight_by_work: root.get("CountedBy").text() == Some("work"),
        poll_discovery: root.get("MembershipMode").text() == Some("ask"),
        poll_timeout: optional_number(contract, "AskWithinUs")?.map(to_u64),
        grants: flag(family, "GrantsCount"),
        priorities: flag(family, "Priorities"),
        max_grant_share: optional_number(family, "LargestShare")?.filter(|&share| share > 0.0),
        out_of_memory: read_out_of_memory(family)?,
        progress_interval: optional_number(family, "TellsEveryUs")?
            .filter(|&interval| interval > 0.0)
            .map(to_u64),
        report_fields: read_report_fields(report, family),
        report_on_probe: report.get("How").text() == Some("on_probe"),
        may_cancel: flag(caps, "Cancel"),
        may_probe: flag(caps, "MayProbe"),
        may_gossip: flag(caps, "Peers"),
        may_hedge: flag(caps, "ParallelTries"),
        max_attempts: optional_number(caps, "MaxAttempts")?
            .filter(|&attempts| attempts >= 1.0)
            .map(to_u32),
        max_retry_after: optional_number(caps, "MaxRetryAfterUs")?
            .filter(|_| flag(caps, "RetryAfter"))
            .map(to_u64),
        cross_zone_costs: optional_number(fees, "CrossZone")?.unwrap_or(0.0) > 0.0,
        probe_cost: optional_number(fees, "Probe")?.unwrap_or(0.0),
        clock_resolution: to_u64(optional_number(root, "TickUs")?.unwrap_or(0.0)),
        retry_budget,
        slow_start,
        settle_time: to_u64(optional_number(contract, "SettleAfterDoubtUs")?.unwrap_or(0.0)),
    })
}

fn read_classes(root: Json, family: Json) -> Result<Vec<QueryClass>, KeyError> {
    let profiles = root.get("Profiles");
    match profiles.list() {
        None => return Err(KeyError::new("Profiles", Problem::MissingOrNotList)),
        Some([]) => return Err(KeyError::new("Profiles", Problem::Empty)),
        Some(_) => {}
    }
    let read = |(index, profile)| {
        class::read(index, profile, family)
            .map_err(|error| error.within(&format!("Profiles[{index}]")))
    };
    profiles.each().enumerate().map(read).collect()
}

fn read_kinds(root: Json, family: Json) -> Vec<MachineKind> {
    let sizes = family.get("SizeCores").each().count();
    let count = root.get("MachineTypes").each().count().max(sizes);
    let positive = |key: &str, index: usize| {
        let number = family.get(key).at(index).number();
        number.filter(|&number| number > 0.0)
    };
    let kind = |index| MachineKind {
        cores: positive("SizeCores", index),
        memory_mb: positive("RamOfKindMb", index),
    };
    (0..count).map(kind).collect()
}

fn read_tenants(root: Json) -> Result<Vec<Tenant>, KeyError> {
    let read = |(index, tenant)| {
        let quota_per_s = number(tenant, "QuotaPerS")
            .map_err(|error| error.within(&format!("Tenants[{index}]")))?;
        Ok(Tenant { quota_per_s })
    };
    root.get("Tenants").each().enumerate().map(read).collect()
}

/// Reads the slow start rule, which is enabled by the presence of `FallMultiple`.
fn read_slow_start(contract: Json) -> Result<Option<SlowStart>, KeyError> {
    if contract.get("FallMultiple").is_null() {
        return Ok(None);
    }
    Ok(Some(SlowStart {
        initial_share: contract_number(contract, "ColdFrom")?,
        warm_up_time: to_u64(contract_number(contract, "WarmUpUs")?),
        overload_multiple: contract_number(contract, "FallMultiple")?,
        window: to_u64(contract_number(contract, "OverloadForUs")?),
    }))
}

/// Reads the retry budget, which is enabled by the presence of `ExtraWindowUs`.
fn read_retry_budget(contract: Json) -> Result<Option<RetryBudget>, KeyError> {
    if contract.get("ExtraWindowUs").is_null() {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        min_retries: optional_number(contract, "MinExtra")?.unwrap_or(0.0),
        ratio: optional_number(contract, "FurtherRatio")?.unwrap_or(0.0),
        window: to_u64(contract_number(contract, "ExtraWindowUs")?),
    }))
}

fn contract_number(contract: Json, key: &str) -> Result<f64, KeyError> {
    number(contract, key).map_err(|error| error.within("Contract"))
}

fn read_out_of_memory(family: Json) -> Result<OutOfMemory, KeyError> {
    match family.get("OutOfMemory").text() {
        Some("line_up") | None => Ok(OutOfMemory::Wait),
        Some("cut") => Ok(OutOfMemory::Shrink),
        Some("overcommit") => Ok(OutOfMemory::Page),
        Some(other) => {
            let problem = Problem::Unknown(other.into());
            Err(KeyError::new("FamilyInfo.OutOfMemory", problem))
        }
    }
}

fn read_report_fields(report: Json, family: Json) -> Vec<ReportField> {
    let field = |field: Json| match field.text() {
        Some("active") => ReportField::Active,
        Some("waiting") => ReportField::Waiting,
        Some("cpu") => ReportField::Busy,
        Some("avg_ms") => ReportField::ServiceMs,
        Some("rps") => ReportField::Rate,
        Some("err_rps") => ReportField::Errors,
        Some("x0") => described_field(family.get("ReportX0")),
        Some("x1") => described_field(family.get("ReportX1")),
        _ => ReportField::Unknown,
    };
    report.get("Fields").each().map(field).collect()
}

/// Derives a field's meaning from its free-text description in the settings.
fn described_field(description: Json) -> ReportField {
    match description.text().unwrap_or_default() {
        text if text.contains("memory") => ReportField::Memory,
        text if text.contains("disk") => ReportField::Disk,
        _ => ReportField::Unknown,
    }
}
