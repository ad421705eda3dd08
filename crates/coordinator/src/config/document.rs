//! Parses and validates the platform's JSON.

use super::error::{ConfigError, KeyPath};
use super::{ClusterConfig, ControlPort, DiscoverySource, Protocol};
use driftfront_core::Micros;
use driftfront_scheduler::Settings;
use driftfront_settings::json::Json;
use std::net::SocketAddr;

/// Minimum length of the control port's key.
pub(super) const MIN_CONTROL_KEY_CHARACTERS: usize = 16;

const DEFAULT_ETCD_PREFIX: &str = "/driftfront/engines/";
/// How long a voter may be down before it is replaced, unless the file sets another time.
const DEFAULT_REPLACE_AFTER_SECONDS: u64 = 300;
const DEFAULT_UPLOAD_TIMEOUT_MILLIS: u64 = 600_000;
const DEFAULT_STALL_TIMEOUT_MILLIS: u64 = 10_000;

/// A configuration's JSON. Values that can be invalid are parsed into their types; optional values with a default are read
/// from `root` when the configuration is built.
pub(super) struct Document<'j> {
    pub(super) root: Json<'j>,
    pub(super) listen: SocketAddr,
    pub(super) settings: Settings,
    pub(super) protocol: Protocol,
    pub(super) discovery: DiscoverySource,
    pub(super) control_port: Option<ControlPort>,
    pub(super) cluster: Option<ClusterConfig>,
}

impl<'j> Document<'j> {
    pub(super) fn parse(root: &'j tinyjson::JsonValue) -> Result<Document<'j>, ConfigError> {
        let root = Json(Some(root));
        let listen = required_text(root.get("listen"), "listen")?;
        let listen = parse_address("listen", listen)?;
        let settings = driftfront_settings::from_json(root.get("settings"))
            .map_err(|e| ConfigError::Settings(e.to_string()))?;
        Ok(Document {
            root,
            listen,
            settings,
            protocol: parse_protocol(root.get("front"))?,
            discovery: parse_discovery(root)?,
            control_port: parse_control_port(root.get("control_port"))?,
            cluster: parse_cluster(root.get("fleet"))?,
        })
    }

    /// Checks the values that depend on each other.
    pub(super) fn validate(self) -> Result<ValidDocument<'j>, ConfigError> {
        let is_platform = self.protocol == Protocol::Platform;
        if self.cluster.is_some() && is_platform && !self.settings.may_gossip {
            return Err(ConfigError::GossipForbidden);
        }
        let statements = self.root.get("clickhouse");
        let classes = self.class_names();
        let class_index = |json: Json, key| class_index(&classes, json.text(), key);
        Ok(ValidDocument {
            read_class: class_index(statements.get("read"), "clickhouse.read")?.unwrap_or(0),
            write_class: class_index(statements.get("write"), "clickhouse.write")?.unwrap_or(0),
            deduplicated_class: class_index(
                statements.get("deduplicated"),
                "clickhouse.deduplicated",
            )?,
            upload_timeout: parse_millis(
                statements.get("upload_ms"),
                "clickhouse.upload_ms",
                DEFAULT_UPLOAD_TIMEOUT_MILLIS,
            )?,
            result_stall_timeout: parse_millis(
                statements.get("stall_ms"),
                "clickhouse.stall_ms",
                DEFAULT_STALL_TIMEOUT_MILLIS,
            )?,
            classes,
            document: self,
        })
    }

    fn class_names(&self) -> Vec<String> {
        let profiles = self.root.get("settings").get("Profiles");
        profiles
            .each()
            .map(|profile| profile.get("Name").text().unwrap_or("").into())
            .collect()
    }
}

/// A document without errors. Classes are indexes into `classes`.
pub(super) struct ValidDocument<'j> {
    pub(super) document: Document<'j>,
    pub(super) classes: Vec<String>,
    pub(super) read_class: u16,
    pub(super) write_class: u16,
    pub(super) deduplicated_class: Option<u16>,
    pub(super) upload_timeout: Micros,
    pub(super) result_stall_timeout: Micros,
}

fn required_text<'j>(json: Json<'j>, key: KeyPath) -> Result<&'j str, ConfigError> {
    json.text().ok_or(ConfigError::MissingText(key))
}

fn parse_address(key: KeyPath, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|source| ConfigError::InvalidAddress { key, source })
}

fn parse_protocol(json: Json) -> Result<Protocol, ConfigError> {
    match json.text() {
        None | Some("platform") => Ok(Protocol::Platform),
        Some("clickhouse") => Ok(Protocol::ClickHouse),
        Some(other) => Err(ConfigError::UnknownFrontend(other.into())),
    }
}

fn parse_discovery(root: Json) -> Result<DiscoverySource, ConfigError> {
    let membership = root.get("membership");
    let stream = root.get("coordinator").text();
    let etcd = membership.get("etcd").text();
    let file = membership.get("file").text();
    match (stream, etcd, file) {
        (Some(address), None, None) => {
            let address = parse_address("coordinator", address)?;
            Ok(DiscoverySource::Stream(address))
        }
        (None, Some(address), None) => {
            let prefix = membership.get("prefix").text();
            let prefix = prefix.unwrap_or(DEFAULT_ETCD_PREFIX);
            let address = parse_address("membership.etcd", address)?;
            Ok(DiscoverySource::Etcd(address, prefix.into()))
        }
        (None, None, Some(path)) => Ok(DiscoverySource::File(path.into())),
        (None, None, None) => Ok(DiscoverySource::Fixed),
        _ => Err(ConfigError::SeveralSources),
    }
}

fn parse_control_port(json: Json) -> Result<Option<ControlPort>, ConfigError> {
    let Some(address) = json.get("at").text() else {
        return Ok(None);
    };
    let address = parse_address("control_port.at", address)?;
    if !address.ip().is_loopback() {
        return Err(ConfigError::NotLoopback(address));
    }
    let file = json.get("key_file").text();
    let file = file.ok_or(ConfigError::MissingControlKey)?.to_string();
    let key = match std::fs::read_to_string(&file) {
        Ok(key) => key,
        Err(source) => return Err(ConfigError::Unreadable { path: file, source }),
    };
    let key = key.trim().as_bytes().to_vec();
    if key.len() < MIN_CONTROL_KEY_CHARACTERS {
        return Err(ConfigError::ShortControlKey { file });
    }
    Ok(Some(ControlPort { address, key }))
}

fn parse_cluster(json: Json) -> Result<Option<ClusterConfig>, ConfigError> {
    if json.is_null() {
        return Ok(None);
    }
    let optional_text = |key: &str| json.get(key).text().unwrap_or_default().to_string();
    let listen = required_text(json.get("listen"), "fleet.listen")?;
    let listen = parse_cluster_address("fleet.listen", listen)?;
    let advertise = json
        .get("advertise")
        .text()
        .map(|address| parse_cluster_address("fleet.advertise", address))
        .transpose()?;
    let key_file = required_text(json.get("key_file"), "fleet.key_file")?;
    let seeds = json
        .get("seeds")
        .each()
        .map(|seed| parse_cluster_address("fleet.seeds", seed.text().unwrap_or_default()));
    let voters = json.get("voters").each().filter_map(|voter| voter.text());
    let replace_after_seconds = json.get("replace_after_s").integer();
    Ok(Some(ClusterConfig {
        listen,
        advertise,
        key_file: key_file.into(),
        seeds: seeds.collect::<Result<_, _>>()?,
        zone: optional_text("zone"),
        region: optional_text("region"),
        voters: voters.map(String::from).collect(),
        replace_after: replace_after_seconds.unwrap_or(DEFAULT_REPLACE_AFTER_SECONDS) * 1_000_000,
    }))
}

fn parse_cluster_address(key: KeyPath, address: &str) -> Result<SocketAddr, ConfigError> {
    address
        .parse()
        .map_err(|source| ConfigError::InvalidClusterAddress {
            key,
            address: address.into(),
            source,
        })
}

fn class_index(
    classes: &[String],
    class: Option<&str>,
    key: KeyPath,
) -> Result<Option<u16>, ConfigError> {
    let Some(class) = class else {
        return Ok(None);
    };
    let index = classes.iter().position(|known| known == class);
    let index = index.and_then(|index| u16::try_from(index).ok());
    index.map(Some).ok_or_else(|| ConfigError::UnknownClass {
        key,
        class: class.into(),
    })
}

/// Parses a positive whole number of milliseconds into microseconds.
fn parse_millis(json: Json, key: KeyPath, default: u64) -> Result<Micros, ConfigError> {
    if json.0.is_none() {
        return Ok(default * 1000);
    }
    let millis = json.integer().filter(|&millis| millis > 0);
    millis
        .map(|millis| millis * 1000)
        .ok_or(ConfigError::InvalidTime(key))
}
