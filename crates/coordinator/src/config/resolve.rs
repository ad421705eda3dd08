//! Applies defaults and safety margins, and derives bounds.

use super::document::ValidDocument;
use super::{Config, Environment, Protocol};
use crate::frontends::clickhouse::ClickHouseConfig;
use crate::frontends::QueryClasses;
use crate::memory::MemoryBudget;
use driftfront_core::{Limits, Micros};
use driftfront_scheduler::Settings;
use driftfront_settings::json::Json;
use std::path::PathBuf;
use std::rc::Rc;

/// Added to the settle time of an ordering key: the engine learns that an attempt has ended later than the coordinator does.
const SETTLE_MARGIN: Micros = 40_000;
/// Subtracted from the engines' deduplication window, which starts before the coordinator learns of the first attempt; a
/// repeat also takes time to reach the engine.
const DEDUPLICATION_MARGIN: Micros = 200_000;
/// Timeout of a health check.
const PROBE_TIMEOUT: Micros = 300_000;
/// An open request is answered this long before its client times out.
const ANSWER_MARGIN: Micros = 3_000;

const MIN_DESCRIPTORS: u64 = 64;
const DEFAULT_DESCRIPTORS: u64 = 1024;
const DEFAULT_MEMORY_MB: u64 = 192;
const MIN_MEMORY_MB: u64 = 16;
const MAX_MEMORY_MB: u64 = 64 * 1024;
/// Retained request bodies may take up to 1/6 of the memory.
const RETAINED_BODIES_DIVISOR: usize = 6;
/// Unread results may take up to 1/4 of the memory.
const UNREAD_RESULTS_DIVISOR: usize = 4;

const MAX_OPEN_REQUESTS: u64 = 4096;
/// Idempotency keys remembered at once. At most some tens arrive per second, and each is kept for less than a minute.
const MAX_IDEMPOTENCY_KEYS: usize = 8192;
/// Ids remembered because their clients left without an answer.
const MAX_DEPARTED_NAMES: usize = 1024;
/// Attempts with an unknown outcome whose query ids are remembered, so that a KILL finds them.
const MAX_UNKNOWN_OUTCOMES: usize = 1024;

const DEFAULT_CLIENT_TIMEOUT: Micros = 30_000_000;
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
const DEFAULT_ENGINE_IDLE_TIMEOUT: Micros = 15_000_000;
const DEFAULT_STREAMS_PER_CONNECTION: u64 = 32;
const DEFAULT_NAME: &str = "driftfront";

/// Load report fields whose name in the settings differs from that in the engines' protocol.
const LOAD_REPORT_FIELD_NAMES: [(&str, &str); 5] = [
    ("active", "inflight"),
    ("waiting", "queue"),
    ("cpu", "util"),
    ("avg_ms", "latency_ms"),
    ("rps", "qps"),
];

impl ValidDocument<'_> {
    /// Builds the configuration.
    pub(super) fn into_config(self, environment: &Environment) -> Config {
        let document = self.document;
        let root = document.root;
        let settings = root.get("settings");
        let caps = Caps(settings.get("Caps"));
        let memory = memory_bytes(root.get("limits"));
        let known = root.get("known");
        Config {
            file: None,
            name: root.get("name").text().unwrap_or(DEFAULT_NAME).into(),
            listen: document.listen,
            seed: seed(root.get("seed")),
            max_descriptors: max_descriptors(root.get("limits")),
            memory: MemoryBudget::new(memory),
            protocol: document.protocol,
            clickhouse: ClickHouseConfig {
                read_class: self.read_class,
                write_class: self.write_class,
                deduplicated_class: self.deduplicated_class,
                upload_timeout: self.upload_timeout,
                body_budget_bytes: memory / RETAINED_BODIES_DIVISOR,
            },
            result_stall_timeout: self.result_stall_timeout,
            max_unread_bytes: memory / UNREAD_RESULTS_DIVISOR,
            discovery: document.discovery,
            known_index: known.get("index").integer().unwrap_or(0),
            known_updates: known.get("updates").list().unwrap_or(&[]).to_vec(),
            classes: QueryClasses {
                names: self.classes.into(),
                default_timeouts: client_timeouts(settings),
            },
            tenants: tenant_names(settings),
            zones: texts(settings.get("FailureDomains")),
            kinds: texts(settings.get("MachineTypes")),
            load_report_fields: load_report_fields(settings),
            connect_timeout: caps.positive("ConnectTimeoutUs", DEFAULT_CONNECT_TIMEOUT),
            engine_idle_timeout: caps.positive("ConnIdleUs", DEFAULT_ENGINE_IDLE_TIMEOUT),
            max_streams_per_connection: to_usize(
                caps.positive("StreamsPerConn", DEFAULT_STREAMS_PER_CONNECTION),
            ),
            limits: limits(document.protocol, caps),
            settings: with_margins(document.settings),
            control_socket: root.get("control").text().map(PathBuf::from),
            control_port: document.control_port,
            management_address: management_address(root.get("management"), environment),
            state_folder: root.get("state").text().map(PathBuf::from),
            cluster: document.cluster,
        }
    }
}

/// The `Caps` object of the settings.
#[derive(Clone, Copy)]
struct Caps<'j>(Json<'j>);

impl Caps<'_> {
    /// Returns a positive whole number, or the default if the value is anything else.
    fn positive(self, key: &str, default: u64) -> u64 {
        let number = self.0.get(key).integer();
        number.filter(|&number| number > 0).unwrap_or(default)
    }
}

fn limits(protocol: Protocol, caps: Caps) -> Limits {
    let is_clickhouse = protocol == Protocol::ClickHouse;
    Limits {
        max_open_requests: to_usize(
            caps.positive("MaxOpen", MAX_OPEN_REQUESTS)
                .min(MAX_OPEN_REQUESTS),
        ),
        probe_timeout: PROBE_TIMEOUT,
        answer_margin: ANSWER_MARGIN,
        engines_report_attempts: protocol == Protocol::Platform,
        max_idempotency_keys: MAX_IDEMPOTENCY_KEYS,
        // Clients of the platform never use an id again; query ids may be used again once nothing runs under them.
        max_departed_names: if is_clickhouse { 0 } else { MAX_DEPARTED_NAMES },
        max_unknown_outcomes: if is_clickhouse {
            MAX_UNKNOWN_OUTCOMES
        } else {
            0
        },
    }
}

/// Adjusts the scheduler's settings for the latency between coordinator and engines.
fn with_margins(mut settings: Settings) -> Settings {
    settings.settle_time += SETTLE_MARGIN;
    for class in &mut settings.classes {
        class.deduplication_window = class
            .deduplication_window
            .saturating_sub(DEDUPLICATION_MARGIN);
    }
    settings
}

/// Parses the seed as hexadecimal; any other string is hashed.
fn seed(json: Json) -> u64 {
    let text = json.text().unwrap_or_default();
    u64::from_str_radix(text, 16).unwrap_or_else(|_| crate::net::fnv1a_64(text.as_bytes()))
}

fn max_descriptors(limits: Json) -> usize {
    let descriptors = limits.get("sockets").integer();
    let descriptors = descriptors.filter(|&number| number >= MIN_DESCRIPTORS);
    to_usize(descriptors.unwrap_or(DEFAULT_DESCRIPTORS))
}

fn memory_bytes(limits: Json) -> usize {
    let megabytes = limits
        .get("memory_mb")
        .integer()
        .unwrap_or(DEFAULT_MEMORY_MB)
        .clamp(MIN_MEMORY_MB, MAX_MEMORY_MB);
    to_usize(megabytes * 1024 * 1024)
}

/// The file takes precedence over the environment; an empty address counts as none.
fn management_address(json: Json, environment: &Environment) -> Option<String> {
    let address = json.text().map(String::from);
    address
        .or_else(|| environment.management_address.clone())
        .filter(|address| !address.is_empty())
}

fn client_timeouts(settings: Json) -> Rc<[Micros]> {
    let timeout = |profile: Json| profile.get("DeadlineUs").integer();
    settings
        .get("Profiles")
        .each()
        .map(|profile| timeout(profile).unwrap_or(DEFAULT_CLIENT_TIMEOUT))
        .collect()
}

fn tenant_names(settings: Json) -> Rc<[String]> {
    settings
        .get("Tenants")
        .each()
        .map(|tenant| tenant.get("Name").text().unwrap_or("").into())
        .collect()
}

fn load_report_fields(settings: Json) -> Rc<[String]> {
    let in_protocol = |name: String| {
        let renamed = LOAD_REPORT_FIELD_NAMES.iter().find(|names| names.0 == name);
        renamed.map_or(name, |names| names.1.to_string())
    };
    texts(settings.get("LoadReport").get("Fields"))
        .into_iter()
        .map(in_protocol)
        .collect()
}

/// The strings of a list, with an empty one in place of any other value.
fn texts(list: Json) -> Vec<String> {
    list.each()
        .map(|value| value.text().unwrap_or_default().to_string())
        .collect()
}

/// Converts a bound to `usize`, saturating.
fn to_usize(bound: u64) -> usize {
    usize::try_from(bound).unwrap_or(usize::MAX)
}
