//! A coordinator's configuration: what the platform, or an operator's file, says.

use crate::frontends::clickhouse::ClassRules;
use crate::frontends::QueryClasses;
use crate::operator_config;
use driftfront_core::{Limits, Micros};
use driftfront_scheduler::interface::Settings;
use driftfront_settings::json::{parse, Json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tinyjson::JsonValue;

/// Which interface clients and engines speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The platform's.
    Platform,
    /// ClickHouse's HTTP interface.
    ClickHouse,
}

/// Where the list of engines comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiscoverySource {
    /// The platform's event stream at this address.
    Stream(SocketAddr),
    /// etcd's JSON gateway at this address, and the prefix of the engines' keys.
    Etcd(SocketAddr, String),
    /// A file of the operator's.
    File(PathBuf),
    /// Only what the configuration lists.
    Fixed,
}

/// How a coordinator takes part in a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterConfig {
    /// Where datagrams come in.
    pub listen: SocketAddr,
    /// Where others send them, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// The file with the keys.
    pub key_file: PathBuf,
    /// Whom to ask to be let in.
    pub seeds: Vec<SocketAddr>,
    /// The coordinator's own zone and region; empty for none.
    pub zone: String,
    /// See `zone`.
    pub region: String,
    /// The first voters of what is agreed, by name; none where nothing is.
    pub voters: Vec<String>,
    /// A voter that is gone for so long is replaced, in microseconds.
    pub replace_after: u64,
}

/// All that a coordinator is told at its start.
pub struct Config {
    /// The file it was read from, to be read again on SIGHUP.
    pub file: Option<PathBuf>,
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Clients' and engines' interface.
    pub protocol: Protocol,
    /// What the ClickHouse front holds to.
    pub clickhouse: ClassRules,
    /// A result of a ClickHouse engine that stands still for this long is given up.
    pub result_stall_timeout: Micros,
    /// Bytes of results that wait for their clients, all together, where they come as they are made.
    pub max_unread_bytes: usize,
    /// Where the list of engines comes from.
    pub discovery: DiscoverySource,
    /// Number of the last event in `known`.
    pub known_index: u64,
    /// Events of the list so far.
    pub known_updates: Vec<JsonValue>,
    /// The module's settings.
    pub settings: Settings,
    /// The classes as clients name them.
    pub classes: QueryClasses,
    /// The tenants' names, by place.
    pub tenants: Rc<[String]>,
    /// Names of zones and of machine kinds, by place.
    pub zones: Vec<String>,
    /// See `zones`.
    pub kinds: Vec<String>,
    /// Names of a load report's values on the engines' wire, in order.
    pub load_report_fields: Rc<[String]>,
    /// A connection not up by then has failed.
    pub connect_timeout: Micros,
    /// Engines close connections idle for this long.
    pub engine_idle_timeout: Micros,
    /// Attempts that one connection carries.
    pub max_streams_per_connection: usize,
    /// Bounds for the core.
    pub limits: Limits,
    /// Where operators find the program: a Unix socket.
    pub control_socket: Option<PathBuf>,
    /// The same on loopback, and the key that has to be known there.
    pub control_port: Option<(SocketAddr, Vec<u8>)>,
    /// The second address, for the operators' line protocol.
    pub management_address: Option<String>,
    /// The folder for what is to outlive a restart.
    pub state_folder: Option<PathBuf>,
    /// Other coordinators, where the operator's file has a fleet.
    pub cluster: Option<ClusterConfig>,
}

/// A key's rest is lengthened by this: an attempt's end reaches the engine after we book it.
const SETTLE_MARGIN: Micros = 40_000;
/// Engines drop repeats for this much less than the settings say: their clock starts before the first attempt is known
/// there, and a repeat has its way to go.
const REPEAT_MARGIN: Micros = 200_000;
/// Probes that take longer have failed.
const PROBE_TIMEOUT: Micros = 300_000;
/// The guard of the last moment answers this long before the client gives up.
const ANSWER_MARGIN: Micros = 3_000;

/// Memory where the file tells none, MB; and the parts of it that kept bodies and unread results may fill.
const MEMORY_MB: u64 = 192;
const KEEP_PART: usize = 6;
const UNREAD_PART: usize = 4;
/// Idempotency keys remembered at once: a coordinator writes tens of them a second at most and keeps each for less than
/// a minute.
const TOKENS: usize = 8192;
/// Attempts of unknown fate that are remembered by name, so that a KILL finds them.
const DOUBTS: usize = 1024;

/// The wire's names for values of a load report, where the settings use others.
const GAUGES: [(&str, &str); 5] = [
    ("active", "inflight"),
    ("waiting", "queue"),
    ("cpu", "util"),
    ("avg_ms", "latency_ms"),
    ("rps", "qps"),
];

impl Config {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Config, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let config = if path.extension().is_some_and(|e| e == "kdl") {
            let text = String::from_utf8_lossy(&text);
            let json = operator_config::read(&text).map_err(|mistake| {
                operator_config::shown(&path.display().to_string(), &text, &mistake)
            })?;
            Config::of_json(&json)
        } else {
            Config::read(&text)
        };
        let config = config.map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Config {
            file: Some(path.into()),
            ..config
        })
    }

    /// Reads a text; keys that are not known are skipped.
    pub fn read(text: &[u8]) -> Result<Config, String> {
        Config::of_json(&parse(text).map_err(|e| format!("not JSON: {e}"))?)
    }

    /// Reads an operator's text.
    pub fn of_operator(text: &str) -> Result<Config, String> {
        let json = operator_config::read(text).map_err(|mistake| mistake.to_string())?;
        Config::of_json(&json)
    }

    fn of_json(root: &JsonValue) -> Result<Config, String> {
        let root = Json(Some(root));
        let text = |key: &str| {
            root.get(key)
                .text()
                .ok_or(format!("{key} is missing or not a string"))
        };
        let listen = text("listen")?
            .parse()
            .map_err(|e| format!("listen: {e}"))?;
        let json = root.get("settings");
        let mut settings =
            driftfront_settings::from_json(json).map_err(|e| format!("settings: {e}"))?;
        settings.settle_time += SETTLE_MARGIN;
        for class in &mut settings.classes {
            class.deduplication_window = class.deduplication_window.saturating_sub(REPEAT_MARGIN);
        }
        let protocol = match root.get("front").text() {
            None | Some("platform") => Protocol::Platform,
            Some("clickhouse") => Protocol::ClickHouse,
            Some(other) => return Err(format!("front: unknown: {other}")),
        };
        let address = |text: &str| text.parse::<SocketAddr>().map_err(|e| e.to_string());
        let from = root.get("membership");
        let membership = match (
            root.get("coordinator").text(),
            from.get("etcd").text(),
            from.get("file").text(),
        ) {
            (Some(at), None, None) => {
                DiscoverySource::Stream(address(at).map_err(|e| format!("coordinator: {e}"))?)
            }
            (None, Some(at), None) => {
                let prefix = from.get("prefix").text().unwrap_or("/driftfront/engines/");
                DiscoverySource::Etcd(
                    address(at).map_err(|e| format!("membership.etcd: {e}"))?,
                    prefix.into(),
                )
            }
            (None, None, Some(path)) => DiscoverySource::File(path.into()),
            (None, None, None) => DiscoverySource::Fixed,
            _ => {
                return Err(
                    "coordinator, membership.etcd and membership.file exclude each other".into(),
                )
            }
        };
        let names = |list: Json| -> Vec<String> {
            list.each()
                .map(|n| n.text().unwrap_or_default().to_string())
                .collect()
        };
        let caps = json.get("Caps");
        let span = |key: &str, otherwise: u64| {
            caps.get(key)
                .whole()
                .filter(|&n| n > 0)
                .unwrap_or(otherwise)
        };
        let sockets = root
            .get("limits")
            .get("sockets")
            .whole()
            .filter(|&n| n >= 64)
            .unwrap_or(1024) as usize;
        let fields = names(json.get("LoadReport").get("Fields"));
        let gauge = |name: String| {
            GAUGES
                .iter()
                .find(|g| g.0 == name)
                .map_or(name, |g| g.1.to_string())
        };
        let profiles = || json.get("Profiles").each();
        let classes: Vec<String> = profiles()
            .map(|p| p.get("Name").text().unwrap_or("").into())
            .collect();
        let by_statement = |key: &str| match root.get("clickhouse").get(key).text() {
            None => Ok(None),
            Some(name) => {
                let place = classes.iter().position(|c| c == name);
                place
                    .map(|n| Some(n as u16))
                    .ok_or(format!("clickhouse.{key}: there is no class {name}"))
            }
        };
        let ms = |key: &str, otherwise: u64| match root.get("clickhouse").get(key) {
            Json(None) => Ok(otherwise * 1000),
            told => told
                .whole()
                .filter(|&n| n > 0)
                .map(|n| n * 1000)
                .ok_or(format!("clickhouse.{key}: no time")),
        };
        let memory = root
            .get("limits")
            .get("memory_mb")
            .whole()
            .unwrap_or(MEMORY_MB)
            .clamp(16, 64 * 1024);
        let memory = memory as usize * 1024 * 1024;
        let port = root.get("control_port");
        let control_port = match port.get("at").text() {
            None => None,
            Some(at) => {
                let addr = address(at).map_err(|e| format!("control_port.at: {e}"))?;
                if !addr.ip().is_loopback() {
                    return Err(format!("control_port.at: {addr} is not on loopback"));
                }
                let file = port
                    .get("key_file")
                    .text()
                    .ok_or("control_port.key_file is missing")?;
                let key = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
                if key.trim().len() < 16 {
                    return Err(format!("{file}: a key has 16 characters at least"));
                }
                Some((addr, key.trim().as_bytes().to_vec()))
            }
        };
        let told = || std::env::var("LB_MANAGEMENT").ok();
        let management = root
            .get("management")
            .text()
            .map(String::from)
            .or_else(told);
        let seed = root.get("seed").text().unwrap_or_default();
        let fleet = fleet(root.get("fleet"))?;
        if fleet.is_some() && protocol == Protocol::Platform && !settings.may_gossip {
            return Err("fleet: the settings bar talk among instances (Caps.Peers)".into());
        }
        Ok(Config {
            file: None,
            name: root.get("name").text().unwrap_or("driftfront").into(),
            listen,
            seed: u64::from_str_radix(seed, 16)
                .unwrap_or_else(|_| crate::net::fnv1a_64(seed.as_bytes())),
            max_descriptors: sockets,
            protocol,
            clickhouse: ClassRules {
                read: by_statement("read")?.unwrap_or(0),
                write: by_statement("write")?.unwrap_or(0),
                deduplicated: by_statement("deduplicated")?,
                upload: ms("upload_ms", 600_000)?,
                keep: memory / KEEP_PART,
            },
            result_stall_timeout: ms("stall_ms", 10_000)?,
            max_unread_bytes: memory / UNREAD_PART,
            discovery: membership,
            known_index: root.get("known").get("index").whole().unwrap_or(0),
            known_updates: root
                .get("known")
                .get("updates")
                .list()
                .unwrap_or(&[])
                .to_vec(),
            classes: QueryClasses {
                names: classes.into(),
                patience: profiles()
                    .map(|p| p.get("DeadlineUs").whole().unwrap_or(30_000_000))
                    .collect(),
            },
            tenants: json
                .get("Tenants")
                .each()
                .map(|t| t.get("Name").text().unwrap_or("").into())
                .collect(),
            zones: names(json.get("FailureDomains")),
            kinds: names(json.get("MachineTypes")),
            load_report_fields: fields.into_iter().map(gauge).collect(),
            connect_timeout: span("ConnectTimeoutUs", 250_000),
            engine_idle_timeout: span("ConnIdleUs", 15_000_000),
            max_streams_per_connection: span("StreamsPerConn", 32) as usize,
            limits: Limits {
                open: span("MaxOpen", 4096).min(4096) as usize,
                probe_timeout: PROBE_TIMEOUT,
                answer_margin: ANSWER_MARGIN,
                tells_each: protocol == Protocol::Platform,
                tokens: TOKENS,
                doubts: if protocol == Protocol::ClickHouse {
                    DOUBTS
                } else {
                    0
                },
            },
            settings,
            control_socket: root.get("control").text().map(PathBuf::from),
            control_port,
            management_address: management.filter(|at| !at.is_empty()),
            state_folder: root.get("state").text().map(PathBuf::from),
            cluster: fleet,
        })
    }
}

/// A voter that is gone for so long is replaced, in seconds, where the operator's file says nothing.
const REPLACE_AFTER_S: u64 = 300;

fn fleet(json: Json) -> Result<Option<ClusterConfig>, String> {
    if json.is_null() {
        return Ok(None);
    }
    let address = |key: &str, text: &str| {
        text.parse::<SocketAddr>()
            .map_err(|e| format!("fleet.{key}: {text}: {e}"))
    };
    let need = |key: &str| {
        json.get(key)
            .text()
            .ok_or(format!("fleet.{key} is missing or not a string"))
    };
    let told = |key: &str| json.get(key).text().unwrap_or_default().to_string();
    let seeds = json
        .get("seeds")
        .each()
        .map(|s| address("seeds", s.text().unwrap_or_default()));
    Ok(Some(ClusterConfig {
        listen: address("listen", need("listen")?)?,
        advertise: json
            .get("advertise")
            .text()
            .map(|a| address("advertise", a))
            .transpose()?,
        key_file: need("key_file")?.into(),
        seeds: seeds.collect::<Result<_, _>>()?,
        zone: told("zone"),
        region: told("region"),
        voters: json
            .get("voters")
            .each()
            .filter_map(|v| v.text())
            .map(String::from)
            .collect(),
        replace_after: json
            .get("replace_after_s")
            .whole()
            .unwrap_or(REPLACE_AFTER_S)
            * 1_000_000,
    }))
}
