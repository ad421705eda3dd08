//! Start settings: from the wire's JSON to the library's vocabulary. Unknown keys are ignored.

use fernlink::interface::{
    Class, ColdStart, Effect, Kind, OutOfMemory, RepeatGroup, ReportField, RetryBudget, Settings, Tenant,
};
use serde_json::Value;

/// Parses the settings; an error names the key that is missing or malformed.
pub fn parse_settings(json: &[u8]) -> Result<Settings, String> {
    let root: Value = serde_json::from_slice(json).map_err(|e| format!("Config is not JSON: {e}"))?;
    if !root.is_object() {
        return Err("Config is not a JSON object".into());
    }
    let caps = &root["Caps"];
    let contract = &root["Contract"];
    let family = &root["FamilyInfo"];
    let report = &root["LoadReport"];
    let profiles = root["Profiles"].as_array().ok_or("Profiles is missing or not a list")?;
    if profiles.is_empty() {
        return Err("Profiles is empty".into());
    }
    let classes = profiles
        .iter()
        .enumerate()
        .map(|(i, p)| class(i, p, family).map_err(|e| format!("Profiles[{i}].{e}")))
        .collect::<Result<_, _>>()?;
    let sizes = family["SizeCores"].as_array().map_or(0, Vec::len);
    let kinds = root["MachineTypes"].as_array().map_or(0, Vec::len).max(sizes);
    let kinds = (0..kinds)
        .map(|i| Kind {
            cores: family["SizeCores"][i].as_f64().filter(|&c| c > 0.0),
            memory_mb: family["RamOfKindMb"][i].as_f64().filter(|&m| m > 0.0),
        })
        .collect();
    let mut tenants = Vec::new();
    for (i, t) in root["Tenants"].as_array().into_iter().flatten().enumerate() {
        let key = format!("Tenants[{i}].");
        let quota_per_s = number(t, "QuotaPerS").map_err(|e| key + &e)?;
        tenants.push(Tenant { quota_per_s });
    }
    let in_contract = |key: &str| number(contract, key).map_err(|e| format!("Contract.{e}"));
    let cold = if contract["FallMultiple"].is_null() {
        None
    } else {
        Some(ColdStart {
            from: in_contract("ColdFrom")?,
            warm_after: in_contract("WarmUpUs")? as u64,
            multiple: in_contract("FallMultiple")?,
            window: in_contract("OverloadForUs")? as u64,
        })
    };
    let retry_budget = if contract["ExtraWindowUs"].is_null() {
        None
    } else {
        Some(RetryBudget {
            free: optional(contract, "MinExtra")?.unwrap_or(0.0),
            ratio: optional(contract, "FurtherRatio")?.unwrap_or(0.0),
            window: in_contract("ExtraWindowUs")? as u64,
        })
    };
    let how = report["How"].as_str().unwrap_or("off");
    let fields: &[Value] = report["Fields"].as_array().map_or(&[], Vec::as_slice);
    let report_fields = fields.iter().map(|f| field(f, family)).collect();
    let zone = number(&root, "Zone")? as u16;
    Ok(Settings {
        gateways: number(&root, "Balancers")?.max(1.0) as u32,
        number: optional(&root, "MyNumber")?.unwrap_or(0.0) as u32,
        zone,
        classes,
        kinds,
        tenants,
        over_quota_worth: optional(&root, "OverShareWorth")?.unwrap_or(1.0),
        worth_by_work: root["CountedBy"].as_str() == Some("work"),
        ask_discovery: root["MembershipMode"].as_str() == Some("ask"),
        ask_within: optional(contract, "AskWithinUs")?.map(|t| t as u64),
        grants: flag(family, "GrantsCount"),
        priorities: flag(family, "Priorities"),
        largest_grant: optional(family, "LargestShare")?.filter(|&s| s > 0.0),
        out_of_memory: match family["OutOfMemory"].as_str() {
            Some("line_up") | None => OutOfMemory::Wait,
            Some("cut") => OutOfMemory::Shrink,
            Some("overcommit") => OutOfMemory::Page,
            Some(other) => return Err(format!("FamilyInfo.OutOfMemory is unknown: {other}")),
        },
        notes_every: optional(family, "TellsEveryUs")?.filter(|&t| t > 0.0).map(|t| t as u64),
        report_fields,
        report_on_probe: how == "on_probe",
        may_cancel: flag(caps, "Cancel"),
        may_probe: flag(caps, "MayProbe"),
        may_message: flag(caps, "Peers"),
        may_copy: flag(caps, "ParallelTries"),
        max_attempts: optional(caps, "MaxAttempts")?.filter(|&n| n >= 1.0).map(|n| n as u32),
        retry_after: optional(caps, "MaxRetryAfterUs")?
            .filter(|_| flag(caps, "RetryAfter"))
            .map(|t| t as u64),
        crossing_costs: optional(&root["Fees"], "CrossZone")?.unwrap_or(0.0) > 0.0,
        probe_price: optional(&root["Fees"], "Probe")?.unwrap_or(0.0),
        tick: optional(&root, "TickUs")?.unwrap_or(0.0) as u64,
        retry_budget,
        cold,
        settle: optional(contract, "SettleAfterDoubtUs")?.unwrap_or(0.0) as u64,
    })
}

fn number(v: &Value, key: &str) -> Result<f64, String> {
    let n = v[key].as_f64().ok_or_else(|| format!("{key} is missing or not a number"))?;
    (n >= 0.0).then_some(n).ok_or_else(|| format!("{key} is negative"))
}

fn optional(v: &Value, key: &str) -> Result<Option<f64>, String> {
    if v[key].is_null() {
        return Ok(None);
    }
    number(v, key).map(Some)
}

fn flag(v: &Value, key: &str) -> bool {
    v[key].as_bool().unwrap_or(false)
}

fn places(v: &Value, key: &str) -> Result<Option<Vec<u16>>, String> {
    if v[key].is_null() {
        return Ok(None);
    }
    let list = v[key].as_array().ok_or_else(|| format!("{key} is not a list"))?;
    let each = list.iter().map(|x| x.as_u64().and_then(|n| u16::try_from(n).ok()));
    each.collect::<Option<Vec<_>>>().map(Some).ok_or_else(|| format!("{key} holds no numbers"))
}

fn class(i: usize, p: &Value, family: &Value) -> Result<Class, String> {
    let effect = match p["Effect"].as_str() {
        Some("free") => Effect::Safe,
        Some("guarded") => Effect::Keyed,
        Some("single_shot") => Effect::Unsafe,
        _ => return Err("Effect is missing or unknown".into()),
    };
    let repeat_group = match p["KeyScope"].as_str() {
        Some("all") => RepeatGroup::All,
        Some("zone") => RepeatGroup::Zone,
        Some("cell") => RepeatGroup::Cell,
        None if effect != Effect::Keyed => RepeatGroup::All,
        _ => return Err("KeyScope is missing or unknown".into()),
    };
    Ok(Class {
        aim: number(p, "OnTimeUs")? as u64,
        aim_stretch: optional(p, "AimStretch")?.unwrap_or(0.0),
        worth: number(p, "Worth")?,
        late_worth: optional(p, "LateWorth")?.unwrap_or(0.0),
        effect,
        repeat_group,
        repeat_window: optional(p, "RepeatWindowUs")?.unwrap_or(0.0) as u64,
        in_order: flag(p, "ByArrival"),
        zones: places(p, "ConfinedTo")?,
        kinds: places(p, "MachineTypesAllowed")?,
        threads: family["WidthByClass"][i].as_f64().filter(|&t| t >= 1.0).unwrap_or(1.0),
        load: family["Loads"][i].as_bool().unwrap_or(false),
        waits_for_loads: family["BlockedByLoads"][i].as_bool().unwrap_or(false),
    })
}

fn field(f: &Value, family: &Value) -> ReportField {
    let meaning = |key: &str| {
        let text = family[key].as_str().unwrap_or_default();
        if text.contains("memory") {
            ReportField::Memory
        } else if text.contains("disk") {
            ReportField::Disk
        } else {
            ReportField::Unknown
        }
    };
    match f.as_str() {
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
