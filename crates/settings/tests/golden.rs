//! Golden tests of the values parsed from the platform's settings, and of the errors for invalid settings; see
//! `golden/README.md`.
#![allow(clippy::too_many_lines, reason = "one line per key")]

use driftfront_scheduler::{DeduplicationScope, Idempotency, OutOfMemory, ReportField, Settings};
use driftfront_settings::parse_settings;
use driftfront_test_support::{assert_golden, read_golden};
use std::fmt::Write as _;

/// Formats parsed settings with one line per key.
fn format_settings(s: &Settings) -> String {
    let mut t = String::new();
    let _ = writeln!(t, "Balancers {}", s.coordinators);
    let _ = writeln!(t, "MyNumber {}", s.number);
    let _ = writeln!(t, "Zone {}", s.zone);
    for (i, c) in s.classes.iter().enumerate() {
        let _ = writeln!(t, "Profiles[{i}].OnTimeUs {}", c.latency_objective);
        let _ = writeln!(
            t,
            "Profiles[{i}].AimStretch {}",
            c.latency_objective_stretch
        );
        let _ = writeln!(t, "Profiles[{i}].Worth {}", c.priority_weight);
        let _ = writeln!(t, "Profiles[{i}].LateWorth {}", c.late_weight);
        let idempotency = match c.idempotency {
            Idempotency::Idempotent => "free",
            Idempotency::WithKey => "guarded",
            Idempotency::NotIdempotent => "single_shot",
        };
        let _ = writeln!(t, "Profiles[{i}].Effect {idempotency}");
        let scope = match c.deduplication_scope {
            DeduplicationScope::All => "all",
            DeduplicationScope::Zone => "zone",
            DeduplicationScope::Cell => "cell",
        };
        let _ = writeln!(t, "Profiles[{i}].KeyScope {scope}");
        let _ = writeln!(t, "Profiles[{i}].RepeatWindowUs {}", c.deduplication_window);
        let _ = writeln!(t, "Profiles[{i}].ByArrival {}", c.in_order);
        let _ = writeln!(t, "Profiles[{i}].ConfinedTo {:?}", c.zones);
        let _ = writeln!(t, "Profiles[{i}].MachineTypesAllowed {:?}", c.kinds);
        let _ = writeln!(t, "FamilyInfo.WidthByClass[{i}] {}", c.threads);
        let _ = writeln!(t, "FamilyInfo.Loads[{i}] {}", c.is_load);
        let _ = writeln!(t, "FamilyInfo.BlockedByLoads[{i}] {}", c.waits_for_loads);
    }
    for (i, k) in s.kinds.iter().enumerate() {
        let _ = writeln!(t, "FamilyInfo.SizeCores[{i}] {:?}", k.cores);
        let _ = writeln!(t, "FamilyInfo.RamOfKindMb[{i}] {:?}", k.memory_mb);
    }
    for (i, tenant) in s.tenants.iter().enumerate() {
        let _ = writeln!(t, "Tenants[{i}].QuotaPerS {}", tenant.quota_per_s);
    }
    let _ = writeln!(t, "OverShareWorth {}", s.over_quota_weight);
    let _ = writeln!(t, "CountedBy work: {}", s.weight_by_work);
    let _ = writeln!(t, "MembershipMode ask: {}", s.poll_discovery);
    let _ = writeln!(t, "Contract.AskWithinUs {:?}", s.poll_timeout);
    let _ = writeln!(t, "FamilyInfo.GrantsCount {}", s.grants);
    let _ = writeln!(t, "FamilyInfo.Priorities {}", s.priorities);
    let _ = writeln!(t, "FamilyInfo.LargestShare {:?}", s.max_grant_share);
    let out_of_memory = match s.out_of_memory {
        OutOfMemory::Wait => "line_up",
        OutOfMemory::Shrink => "cut",
        OutOfMemory::Page => "overcommit",
    };
    let _ = writeln!(t, "FamilyInfo.OutOfMemory {out_of_memory}");
    let _ = writeln!(t, "FamilyInfo.TellsEveryUs {:?}", s.progress_interval);
    for (i, f) in s.report_fields.iter().enumerate() {
        let field = match f {
            ReportField::Active => "active",
            ReportField::Waiting => "waiting",
            ReportField::Busy => "cpu",
            ReportField::ServiceMs => "avg_ms",
            ReportField::Rate => "rps",
            ReportField::Errors => "err_rps",
            ReportField::Memory => "of memory",
            ReportField::Disk => "of disks",
            ReportField::Unknown => "unknown",
        };
        let _ = writeln!(t, "LoadReport.Fields[{i}] {field}");
    }
    let _ = writeln!(t, "LoadReport.How on_probe: {}", s.report_on_probe);
    let _ = writeln!(t, "Caps.Cancel {}", s.may_cancel);
    let _ = writeln!(t, "Caps.MayProbe {}", s.may_probe);
    let _ = writeln!(t, "Caps.Peers {}", s.may_gossip);
    let _ = writeln!(t, "Caps.ParallelTries {}", s.may_hedge);
    let _ = writeln!(t, "Caps.MaxAttempts {:?}", s.max_attempts);
    let _ = writeln!(t, "Caps.MaxRetryAfterUs {:?}", s.max_retry_after);
    let _ = writeln!(t, "Fees.CrossZone {}", s.cross_zone_costs);
    let _ = writeln!(t, "Fees.Probe {}", s.probe_cost);
    let _ = writeln!(t, "TickUs {}", s.clock_resolution);
    if let Some(budget) = &s.retry_budget {
        let _ = writeln!(t, "Contract.MinExtra {}", budget.min_retries);
        let _ = writeln!(t, "Contract.FurtherRatio {}", budget.ratio);
        let _ = writeln!(t, "Contract.ExtraWindowUs {}", budget.window);
    }
    if let Some(slow_start) = &s.slow_start {
        let _ = writeln!(t, "Contract.ColdFrom {}", slow_start.initial_share);
        let _ = writeln!(t, "Contract.WarmUpUs {}", slow_start.warm_up_time);
        let _ = writeln!(t, "Contract.FallMultiple {}", slow_start.overload_multiple);
        let _ = writeln!(t, "Contract.OverloadForUs {}", slow_start.window);
    }
    let _ = writeln!(t, "Contract.SettleAfterDoubtUs {}", s.settle_time);
    t
}

#[test]
fn parsed_settings_match_golden_files() {
    for (json, expected) in [("full.json", "full.txt"), ("least.json", "least.txt")] {
        let settings = parse_settings(&read_golden!(json)).expect("valid settings");
        assert_golden!(expected, format_settings(&settings));
    }
}

#[test]
fn errors_of_invalid_settings_match_golden_file() {
    let full = String::from_utf8(read_golden!("full.json")).expect("UTF-8");
    let mut text = String::new();
    let mut record_result = |title: &str, json: &[u8]| {
        let result = match parse_settings(json) {
            Ok(_) => "read".into(),
            Err(error) => error.to_string(),
        };
        let _ = writeln!(text, "{title}: {result}");
    };
    record_result("not UTF-8", b"\xff");
    record_result("not JSON", b"{");
    record_result("not an object", b"[1]");
    record_result("nested", &[b'['; 65]);
    record_result(
        "nested in text",
        format!("{{\"x\": \"{}\"}}", "[".repeat(65)).as_bytes(),
    );
    for (from, to) in [
        ("\"Profiles\"", "\"Other\""),
        ("\"Profiles\": [", "\"Profiles\": [], \"Other\": ["),
        ("\"Balancers\": 3,", ""),
        ("\"Balancers\": 3", "\"Balancers\": -3"),
        ("\"Balancers\": 3", "\"Balancers\": \"3\""),
        ("\"Zone\": 1,", ""),
        ("\"MyNumber\": 2", "\"MyNumber\": null"),
        ("\"MyNumber\": 2", "\"MyNumber\": \"x\""),
        ("{\"QuotaPerS\": 0}", "{}"),
        ("\"ColdFrom\": 0.2,", ""),
        ("\"WarmUpUs\": 15000000", "\"WarmUpUs\": -1"),
        ("\"ExtraWindowUs\": 10000000", "\"ExtraWindowUs\": \"x\""),
        ("\"MinExtra\": 5", "\"MinExtra\": -5"),
        ("\"overcommit\"", "\"explode\""),
        ("\"Effect\": \"free\"", "\"Effect\": \"odd\""),
        ("\"KeyScope\": \"zone\"", "\"KeyScope\": \"odd\""),
        ("\"KeyScope\": \"zone\",", ""),
        ("\"OnTimeUs\": 500000,", ""),
        ("\"Worth\": 10", "\"Worth\": \"x\""),
        ("\"ConfinedTo\": [0, 1]", "\"ConfinedTo\": 5"),
        ("\"ConfinedTo\": [0, 1]", "\"ConfinedTo\": [0, 65536]"),
        (
            "\"MachineTypesAllowed\": [2]",
            "\"MachineTypesAllowed\": [0.5]",
        ),
        ("\"TickUs\": 1000.9", "\"TickUs\": true"),
    ] {
        assert!(full.contains(from), "{from}");
        record_result(
            &format!("{from} -> {to}"),
            full.replace(from, to).as_bytes(),
        );
    }
    assert_golden!("errors.txt", text);
}
