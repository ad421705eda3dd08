//! The tables.

use super::engine_state::engine_state;
use super::units::{format_in_time_share, format_millis, format_seconds};
use super::Table;
use driftfront_control::snapshot::{
    Class, Consensus, Engine, Lease, Member, Query, Service, Snapshot, Voter,
};

/// The table of engines.
pub fn engine_table(s: &Snapshot) -> Table {
    let heads = vec![
        "engine", "state", "runs", "imports", "heard", "p99", "building", "kind", "address", "by",
    ];
    let rows = s.engines.iter().map(engine_row).collect();
    Table { heads, rows }
}

fn engine_row(engine: &Engine) -> Vec<String> {
    let heard = match engine.heard_ms {
        None => "never".into(),
        Some(ms) if ms < 1000 => "now".into(),
        Some(ms) => format_seconds(ms / 1000),
    };
    let by = match engine.order.as_str() {
        "" => String::new(),
        _ => format!("{} {}", engine.order_by, format_seconds(engine.order_age_s)),
    };
    vec![
        engine.name.clone(),
        engine_state(engine),
        engine.running.to_string(),
        engine.imports.to_string(),
        heard,
        latency(&engine.minute, engine.minute.p99_ms),
        engine.zone.clone(),
        engine.kind.clone(),
        engine.addr.clone(),
        by,
    ]
}

/// The table of classes.
pub fn class_table(s: &Snapshot) -> Table {
    let heads = vec![
        "class",
        "in time",
        "asked/min",
        "hour",
        "open",
        "p50",
        "p99",
        "refused",
        "failed",
        "wanted",
    ];
    let rows = s.classes.iter().map(class_row).collect();
    Table { heads, rows }
}

fn class_row(class: &Class) -> Vec<String> {
    let minute = &class.minute;
    vec![
        class.name.clone(),
        format_in_time_share(minute),
        minute.asked.to_string(),
        format_in_time_share(&class.hour),
        class.open.to_string(),
        latency(minute, minute.p50_ms),
        latency(minute, minute.p99_ms),
        minute.refused.to_string(),
        minute.failed.to_string(),
        format_millis(class.wanted_ms as f64),
    ]
}

/// A latency; `-` if no request was served.
fn latency(service: &Service, ms: f64) -> String {
    match service.served {
        0 => "-".into(),
        _ => format_millis(ms),
    }
}

/// The table of running and queued queries.
pub fn query_table(s: &Snapshot) -> Table {
    let heads = vec!["class", "engine", "for", "import", "query"];
    let rows = s.queries.iter().map(query_row).collect();
    Table { heads, rows }
}

fn query_row(query: &Query) -> Vec<String> {
    let engine = match query.engine.as_str() {
        "" => "waits",
        engine => engine,
    };
    vec![
        query.class.clone(),
        engine.into(),
        format_millis(query.age_ms as f64),
        if query.import { "yes" } else { "" }.into(),
        query.call.clone(),
    ]
}

/// The table of coordinators in the cluster.
pub fn member_table(s: &Snapshot) -> Table {
    let heads = vec![
        "COORDINATOR",
        "IS",
        "FOR",
        "DOES",
        "BUILD",
        "ZONE",
        "REGION",
        "TOLD",
        "AT",
    ];
    let rows = s.members.iter().map(member_row).collect();
    Table { heads, rows }
}

fn member_row(member: &Member) -> Vec<String> {
    let name = match member.me {
        true => format!("{} (this)", member.name),
        false => member.name.clone(),
    };
    let reported = match member.told_age_s {
        _ if member.me => String::new(),
        Some(age) => format!("{} ago", format_seconds(age)),
        None => "never".into(),
    };
    vec![
        name,
        member.standing.clone(),
        format_seconds(member.for_s),
        member.state.clone(),
        member.build.clone(),
        member.zone.clone(),
        member.region.clone(),
        reported,
        member.addr.clone(),
    ]
}

/// A line about the state of the consensus, shown above the [`lease_table`].
pub fn consensus_summary(a: &Consensus) -> String {
    if !a.missing.is_empty() {
        let missing = a.missing.join(", ");
        return format!("Nothing is agreed yet: {missing} must come, without a log.\n");
    }
    if a.voters.is_empty() {
        return "Nothing is agreed: no coordinator's file names voters, or none of them is heard.\n"
            .into();
    }
    let leads = match a.leader.as_str() {
        "" => "Nobody leads: nothing new is agreed".to_string(),
        name => format!("{name} leads"),
    };
    let voter = |voter: &Voter| match voter.there {
        true => voter.name.clone(),
        false => format!("{} (gone)", voter.name),
    };
    let voters: Vec<String> = a.voters.iter().map(voter).collect();
    let voters = voters.join(", ");
    format!(
        "{leads}; {voters} decide. Term {}, entry {}.\n",
        a.term, a.index
    )
}

/// The table of granted leases.
pub fn lease_table(a: &Consensus) -> Table {
    let heads = vec!["HELD", "BY", "FOR", "NUMBER", "WHY"];
    let rows = a.holds.iter().map(lease_row).collect();
    Table { heads, rows }
}

fn lease_row(lease: &Lease) -> Vec<String> {
    let duration = match lease.left_s {
        Some(left) if lease.stays => format!("{}, and until given back", format_seconds(left)),
        Some(left) => format_seconds(left),
        None => "until given back".into(),
    };
    vec![
        lease.name.clone(),
        lease.owner.clone(),
        duration,
        lease.fence.to_string(),
        lease.note.clone(),
    ]
}
