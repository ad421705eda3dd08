//! Start settings: from JSON to the library's vocabulary. Unknown keys are ignored.
#![warn(missing_docs)]
#![forbid(unsafe_code)]

pub mod json;

use driftfront_scheduler::interface::{
    DeduplicationScope, Idempotency, MachineKind, OutOfMemory, QueryClass, ReportField,
    RetryBudget, Settings, SlowStart, Tenant,
};
use json::Json;

/// Parses the settings; an error names the key that is missing or malformed.
pub fn parse_settings(json: &[u8]) -> Result<Settings, String> {
    let root = json::parse(json).map_err(|e| format!("Config is not JSON: {e}"))?;
    from_json(Json(Some(&root)))
}

/// Reads the settings from a parsed object.
pub fn from_json(root: Json) -> Result<Settings, String> {
    if !root.is_object() {
        return Err("Config is not a JSON object".into());
    }
    let caps = root.get("Caps");
    let contract = root.get("Contract");
    let family = root.get("FamilyInfo");
    let report = root.get("LoadReport");
    let profiles = root.get("Profiles");
    if profiles
        .list()
        .ok_or("Profiles is missing or not a list")?
        .is_empty()
    {
        return Err("Profiles is empty".into());
    }
    let classes = profiles
        .each()
        .enumerate()
        .map(|(i, p)| class(i, p, family).map_err(|e| format!("Profiles[{i}].{e}")))
        .collect::<Result<_, _>>()?;
    let sizes = family.get("SizeCores").each().count();
    let kinds = root.get("MachineTypes").each().count().max(sizes);
    let kinds = (0..kinds)
        .map(|i| MachineKind {
            cores: family.get("SizeCores").at(i).number().filter(|&c| c > 0.0),
            memory_mb: family
                .get("RamOfKindMb")
                .at(i)
                .number()
                .filter(|&m| m > 0.0),
        })
        .collect();
    let mut tenants = Vec::new();
    for (i, t) in root.get("Tenants").each().enumerate() {
        let key = format!("Tenants[{i}].");
        let quota_per_s = number(t, "QuotaPerS").map_err(|e| key + &e)?;
        tenants.push(Tenant { quota_per_s });
    }
    let in_contract = |key: &str| number(contract, key).map_err(|e| format!("Contract.{e}"));
    let slow_start = if contract.get("FallMultiple").is_null() {
        None
    } else {
        Some(SlowStart {
            from: in_contract("ColdFrom")?,
            warm_up_time: in_contract("WarmUpUs")? as u64,
            multiple: in_contract("FallMultiple")?,
            window: in_contract("OverloadForUs")? as u64,
        })
    };
    let retry_budget = if contract.get("ExtraWindowUs").is_null() {
        None
    } else {
        Some(RetryBudget {
            min_retries: optional(contract, "MinExtra")?.unwrap_or(0.0),
            ratio: optional(contract, "FurtherRatio")?.unwrap_or(0.0),
            window: in_contract("ExtraWindowUs")? as u64,
        })
    };
    let how = report.get("How").text().unwrap_or("off");
    let report_fields = report
        .get("Fields")
        .each()
        .map(|f| field(f, family))
        .collect();
    let zone = number(root, "Zone")? as u16;
    Ok(Settings {
        coordinators: number(root, "Balancers")?.max(1.0) as u32,
        number: optional(root, "MyNumber")?.unwrap_or(0.0) as u32,
        zone,
        classes,
        kinds,
        tenants,
        over_quota_weight: optional(root, "OverShareWorth")?.unwrap_or(1.0),
        weight_by_work: root.get("CountedBy").text() == Some("work"),
        poll_discovery: root.get("MembershipMode").text() == Some("ask"),
        poll_timeout: optional(contract, "AskWithinUs")?.map(|t| t as u64),
        grants: flag(family, "GrantsCount"),
        priorities: flag(family, "Priorities"),
        max_grant_share: optional(family, "LargestShare")?.filter(|&s| s > 0.0),
        out_of_memory: match family.get("OutOfMemory").text() {
            Some("line_up") | None => OutOfMemory::Wait,
            Some("cut") => OutOfMemory::Shrink,
            Some("overcommit") => OutOfMemory::Page,
            Some(other) => return Err(format!("FamilyInfo.OutOfMemory is unknown: {other}")),
        },
        progress_interval: optional(family, "TellsEveryUs")?
            .filter(|&t| t > 0.0)
            .map(|t| t as u64),
        report_fields,
        report_on_probe: how == "on_probe",
        may_cancel: flag(caps, "Cancel"),
        may_probe: flag(caps, "MayProbe"),
        may_gossip: flag(caps, "Peers"),
        may_hedge: flag(caps, "ParallelTries"),
        max_attempts: optional(caps, "MaxAttempts")?
            .filter(|&n| n >= 1.0)
            .map(|n| n as u32),
        retry_after: optional(caps, "MaxRetryAfterUs")?
            .filter(|_| flag(caps, "RetryAfter"))
            .map(|t| t as u64),
        cross_zone_costs: optional(root.get("Fees"), "CrossZone")?.unwrap_or(0.0) > 0.0,
        probe_cost: optional(root.get("Fees"), "Probe")?.unwrap_or(0.0),
        tick: optional(root, "TickUs")?.unwrap_or(0.0) as u64,
        retry_budget,
        slow_start,
        settle_time: optional(contract, "SettleAfterDoubtUs")?.unwrap_or(0.0) as u64,
    })
}

fn number(v: Json, key: &str) -> Result<f64, String> {
    let n = v
        .get(key)
        .number()
        .ok_or_else(|| format!("{key} is missing or not a number"))?;
    (n >= 0.0)
        .then_some(n)
        .ok_or_else(|| format!("{key} is negative"))
}

fn optional(v: Json, key: &str) -> Result<Option<f64>, String> {
    if v.get(key).is_null() {
        return Ok(None);
    }
    number(v, key).map(Some)
}

fn flag(v: Json, key: &str) -> bool {
    v.get(key).flag()
}

fn places(v: Json, key: &str) -> Result<Option<Vec<u16>>, String> {
    if v.get(key).is_null() {
        return Ok(None);
    }
    v.get(key)
        .list()
        .ok_or_else(|| format!("{key} is not a list"))?;
    let each = v
        .get(key)
        .each()
        .map(|x| x.whole().and_then(|n| u16::try_from(n).ok()));
    each.collect::<Option<Vec<_>>>()
        .map(Some)
        .ok_or_else(|| format!("{key} holds no numbers"))
}

fn class(i: usize, p: Json, family: Json) -> Result<QueryClass, String> {
    let idempotency = match p.get("Effect").text() {
        Some("free") => Idempotency::Idempotent,
        Some("guarded") => Idempotency::WithKey,
        Some("single_shot") => Idempotency::NotIdempotent,
        _ => return Err("Effect is missing or unknown".into()),
    };
    let deduplication_scope = match p.get("KeyScope").text() {
        Some("all") => DeduplicationScope::All,
        Some("zone") => DeduplicationScope::Zone,
        Some("cell") => DeduplicationScope::Cell,
        None if idempotency != Idempotency::WithKey => DeduplicationScope::All,
        _ => return Err("KeyScope is missing or unknown".into()),
    };
    Ok(QueryClass {
        latency_objective: number(p, "OnTimeUs")? as u64,
        latency_objective_stretch: optional(p, "AimStretch")?.unwrap_or(0.0),
        priority_weight: number(p, "Worth")?,
        late_weight: optional(p, "LateWorth")?.unwrap_or(0.0),
        idempotency,
        deduplication_scope,
        deduplication_window: optional(p, "RepeatWindowUs")?.unwrap_or(0.0) as u64,
        in_order: flag(p, "ByArrival"),
        zones: places(p, "ConfinedTo")?,
        kinds: places(p, "MachineTypesAllowed")?,
        threads: family
            .get("WidthByClass")
            .at(i)
            .number()
            .filter(|&t| t >= 1.0)
            .unwrap_or(1.0),
        load: family.get("Loads").at(i).flag(),
        waits_for_loads: family.get("BlockedByLoads").at(i).flag(),
    })
}

fn field(f: Json, family: Json) -> ReportField {
    let meaning = |key: &str| {
        let text = family.get(key).text().unwrap_or_default();
        if text.contains("memory") {
            ReportField::Memory
        } else if text.contains("disk") {
            ReportField::Disk
        } else {
            ReportField::Unknown
        }
    };
    match f.text() {
        Some("active") => ReportField::Active,
        Some("waiting") => ReportField::Waiting,
        Some("cpu") => ReportField::Busy,
        Some("avg_ms") => ReportField::ServiceMs,
        Some("rps") => ReportField::Rate,
        Some("err_rps") => ReportField::Errors,
        Some("x0") => meaning("ReportX0"),
        Some("x1") => meaning("ReportX1"),
        _ => ReportField::Unknown,
    }
}
