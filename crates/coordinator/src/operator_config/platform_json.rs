//! Writes a valid operator's file as the JSON that the platform would write for a single coordinator.

use super::class::{MachineKind, QueryClass};
use super::cluster::Cluster;
use super::engines::{EngineSource, ListedEngine};
use super::valid_config::{Frontend, Limits, Results, StatementClasses, ValidConfig};
use driftfront_core::Micros;
use tinyjson::JsonValue;

impl ValidConfig {
    /// Builds the platform's JSON, with defaults for the settings that operator's files don't have.
    pub(super) fn into_platform_json(self) -> JsonValue {
        let settings = settings(&self);
        let mut fields = vec![
            ("listen", text(&self.listen.to_string())),
            ("name", text(&self.name)),
            ("front", text(self.frontend.name())),
            ("clickhouse", clickhouse(&self.statements, &self.results)),
            ("limits", limits(&self.limits)),
            ("settings", settings),
        ];
        fields.extend(self.state.map(|path| ("state", text(&path))));
        fields.extend(self.control.map(|path| ("control", text(&path))));
        fields.extend(self.cluster.map(|cluster| ("fleet", fleet(&cluster))));
        let source = self.engines.source;
        fields.extend(source.map(|source| ("membership", membership(&source))));
        if !self.engines.listed.is_empty() {
            fields.push(("known", known(&self.engines.listed)));
        }
        object(fields)
    }
}

fn clickhouse(statements: &StatementClasses, results: &Results) -> JsonValue {
    let mut fields = vec![
        ("read", text(&statements.read)),
        ("write", text(&statements.write)),
    ];
    let deduplicated = statements.deduplicated.as_ref();
    fields.extend(deduplicated.map(|class| ("deduplicated", text(class))));
    fields.extend(results.stall.map(|time| ("stall_ms", millis(time))));
    fields.extend(results.upload.map(|time| ("upload_ms", millis(time))));
    object(fields)
}

fn limits(limits: &Limits) -> JsonValue {
    let mut fields = vec![("sockets", limits.max_descriptors.into())];
    fields.extend(limits.memory_mb.map(|mb| ("memory_mb", mb.into())));
    object(fields)
}

fn fleet(cluster: &Cluster) -> JsonValue {
    let mut fields = vec![("listen", text(&cluster.listen.to_string()))];
    let advertise = cluster.advertise;
    fields.extend(advertise.map(|address| ("advertise", text(&address.to_string()))));
    fields.push(("key_file", text(&cluster.key_file)));
    fields.extend(cluster.zone.as_ref().map(|zone| ("zone", text(zone))));
    let region = cluster.region.as_ref();
    fields.extend(region.map(|region| ("region", text(region))));
    let replace_after = cluster.replace_after;
    fields.extend(replace_after.map(|time| ("replace_after_s", number(time / 1_000_000))));
    let seeds = cluster.seeds.iter().map(|seed| text(&seed.to_string()));
    fields.push(("seeds", list(seeds)));
    fields.push(("voters", list(cluster.voters.iter().map(|name| text(name)))));
    object(fields)
}

fn membership(source: &EngineSource) -> JsonValue {
    match source {
        EngineSource::File(path) => object(vec![("file", text(path))]),
        EngineSource::Etcd { address, prefix } => {
            object(vec![("etcd", text(address)), ("prefix", text(prefix))])
        }
    }
}

/// The listed engines as the first event of the platform's endpoint list.
fn known(engines: &[ListedEngine]) -> JsonValue {
    let endpoints = object(vec![
        ("reset", true.into()),
        ("instances", list(engines.iter().map(instance))),
    ]);
    let update = object(vec![("index", 1.0.into()), ("endpoints", endpoints)]);
    object(vec![("index", 1.0.into()), ("updates", list([update]))])
}

fn instance(engine: &ListedEngine) -> JsonValue {
    object(vec![
        ("instanceId", text(&engine.name)),
        ("hostPort", text(&engine.address.to_string())),
        ("zone", text(&engine.zone)),
        ("machineType", text(&engine.machine_kind)),
        ("cell", 0.0.into()),
        ("lifecycle", text("ready")),
        ("startedAtMs", 0.0.into()),
    ])
}

/// The scheduler's settings.
fn settings(config: &ValidConfig) -> JsonValue {
    let zones = config.engines.zones.iter().map(|zone| text(zone));
    let kinds = config.machine_kinds.iter().map(|kind| text(&kind.name));
    let load_report = object(vec![("How", text("off")), ("Fields", list([]))]);
    let reports_progress = config.frontend == Frontend::ClickHouse;
    object(vec![
        ("Balancers", 1.0.into()),
        ("Zone", 0.0.into()),
        ("FailureDomains", list(zones)),
        ("MachineTypes", list(kinds)),
        ("MembershipMode", text("push")),
        ("TickUs", 5000.0.into()),
        ("Caps", capabilities(config.limits.max_open_requests)),
        ("Contract", contract()),
        (
            "FamilyInfo",
            engine_family(&config.classes, &config.machine_kinds, reports_progress),
        ),
        ("LoadReport", load_report),
        ("Profiles", list(config.classes.iter().map(profile))),
    ])
}

fn capabilities(max_open_requests: f64) -> JsonValue {
    object(vec![
        ("Cancel", false.into()),
        ("MayProbe", true.into()),
        ("Peers", false.into()),
        ("ParallelTries", false.into()),
        ("MaxAttempts", 6.0.into()),
        ("RetryAfter", true.into()),
        ("MaxRetryAfterUs", 500_000.0.into()),
        ("MaxOpen", max_open_requests.into()),
        ("ConnectTimeoutUs", 250_000.0.into()),
        ("ConnIdleUs", 3_000_000.0.into()),
    ])
}

fn contract() -> JsonValue {
    object(vec![
        ("AnswerSlackUs", 20_000.0.into()),
        ("DrainGraceUs", 250_000.0.into()),
        ("SettleAfterDoubtUs", 500_000.0.into()),
        ("MinExtra", 5.0.into()),
        ("FurtherRatio", 0.1.into()),
        ("ExtraWindowUs", 10_000_000.0.into()),
        ("ColdFrom", 0.35.into()),
        ("WarmUpUs", 15_000_000.0.into()),
        ("FallMultiple", 4.0.into()),
        ("OverloadForUs", 1_500_000.0.into()),
    ])
}

fn engine_family(
    classes: &[QueryClass],
    kinds: &[MachineKind],
    reports_progress: bool,
) -> JsonValue {
    let progress_interval_micros = if reports_progress { 1_000_000.0 } else { 0.0 };
    object(vec![
        (
            "SizeCores",
            list(kinds.iter().map(|kind| kind.cores.into())),
        ),
        (
            "RamOfKindMb",
            list(kinds.iter().map(|kind| kind.memory_mb.into())),
        ),
        ("LargestShare", 0.4.into()),
        (
            "WidthByClass",
            list(classes.iter().map(|class| class.threads.into())),
        ),
        (
            "Loads",
            list(classes.iter().map(|class| class.holds_tables.into())),
        ),
        ("BlockedByLoads", list(classes.iter().map(|_| false.into()))),
        ("OutOfMemory", text("line_up")),
        ("TellsEveryUs", progress_interval_micros.into()),
    ])
}

fn profile(class: &QueryClass) -> JsonValue {
    object(vec![
        ("Name", text(&class.name)),
        ("Effect", text(class.effect())),
        ("KeyScope", text("all")),
        (
            "RepeatWindowUs",
            number(class.deduplication_window_or_default()),
        ),
        ("ByArrival", class.is_ordered.into()),
        ("OnTimeUs", number(class.latency_objective)),
        ("DeadlineUs", number(class.client_timeout)),
        ("AimStretch", class.objective_stretch.into()),
        ("Worth", class.priority_weight.into()),
        ("LateWorth", class.late_weight.into()),
    ])
}

fn object(fields: Vec<(&str, JsonValue)>) -> JsonValue {
    let fields = fields
        .into_iter()
        .map(|(name, value)| (name.to_string(), value));
    JsonValue::Object(fields.collect())
}

fn text(value: &str) -> JsonValue {
    JsonValue::String(value.into())
}

fn list(values: impl IntoIterator<Item = JsonValue>) -> JsonValue {
    JsonValue::Array(values.into_iter().collect())
}

fn number(value: u64) -> JsonValue {
    JsonValue::Number(value as f64)
}

fn millis(time: Micros) -> JsonValue {
    number(time / 1000)
}
