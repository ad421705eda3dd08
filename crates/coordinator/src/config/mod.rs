//! A coordinator's configuration: what the platform, or an operator's file, says.
//!
//! Three steps: `Document::parse` (types: what the file says), `Document::validate` (names that must exist, settings that
//! exclude each other) and `ValidDocument::into_config` (defaults and derived bounds, which cannot fail). An operator's file
//! is translated to the platform's JSON first, by [`crate::operator_config`].

mod document;
mod error;
mod resolve;

pub use error::{ConfigError, KeyPath};

use crate::frontends::clickhouse::ClickHouseConfig;
use crate::frontends::QueryClasses;
use crate::operator_config;
use document::Document;
use driftfront_core::{Limits, Micros};
use driftfront_scheduler::Settings;
use driftfront_settings::json::parse;
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

/// How a coordinator takes part in a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterConfig {
    /// Where datagrams come in.
    pub listen: SocketAddr,
    /// Where others send them, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// The file with the keys.
    pub key_file: PathBuf,
    /// Members that are asked to be let in.
    pub seeds: Vec<SocketAddr>,
    /// The coordinator's own zone; empty for none.
    pub zone: String,
    /// The coordinator's own region; empty for none.
    pub region: String,
    /// The initial voters of the consensus log, by name; none where there is no such log.
    pub voters: Vec<String>,
    /// A voter that is gone for so long is replaced.
    pub replace_after: Micros,
}

/// The port of operators on loopback.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlPort {
    /// Where it listens.
    pub address: SocketAddr,
    /// The key that operators must know there.
    pub key: Vec<u8>,
}

/// All that a coordinator is told at its start.
pub struct Config {
    /// The file it was read from, to be read again on SIGHUP.
    pub file: Option<PathBuf>,
    /// The coordinator's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The interface of clients and engines.
    pub protocol: Protocol,
    /// What the ClickHouse frontend holds to.
    pub clickhouse: ClickHouseConfig,
    /// A result of a ClickHouse engine that makes no progress for this long is given up.
    pub result_stall_timeout: Micros,
    /// Bytes of streamed results that may wait for their clients, all together.
    pub max_unread_bytes: usize,
    /// Where the list of engines comes from.
    pub discovery: DiscoverySource,
    /// Number of the last event in `known_updates`.
    pub known_index: u64,
    /// Events of the endpoint list so far.
    pub known_updates: Vec<JsonValue>,
    /// The scheduler's settings.
    pub settings: Settings,
    /// The classes as clients name them.
    pub classes: QueryClasses,
    /// The tenants' names, by index.
    pub tenants: Rc<[String]>,
    /// The zones' names, by index.
    pub zones: Vec<String>,
    /// The machine kinds' names, by index.
    pub kinds: Vec<String>,
    /// Names of a load report's values in the engines' protocol, in order.
    pub load_report_fields: Rc<[String]>,
    /// A connection to an engine that is not up by then has failed.
    pub connect_timeout: Micros,
    /// Engines close connections that are idle for this long.
    pub engine_idle_timeout: Micros,
    /// Attempts that one connection carries at once.
    pub max_streams_per_connection: usize,
    /// Bounds of the request lifecycle.
    pub limits: Limits,
    /// The Unix socket where operators find the program.
    pub control_socket: Option<PathBuf>,
    /// The same on loopback.
    pub control_port: Option<ControlPort>,
    /// The address of the operators' line protocol.
    pub management_address: Option<String>,
    /// The folder for what is to outlive a restart.
    pub state_folder: Option<PathBuf>,
    /// Other coordinators, where the operator's file names a cluster.
    pub cluster: Option<ClusterConfig>,
}

/// What the process's environment adds to a configuration.
#[derive(Clone, Debug, Default)]
struct Environment {
    /// `LB_MANAGEMENT`: the management address, where the file names none.
    management_address: Option<String>,
}

impl Environment {
    fn read() -> Environment {
        Environment {
            management_address: std::env::var("LB_MANAGEMENT").ok(),
        }
    }
}

impl Config {
    /// Reads a file: an operator's where its name ends in `.kdl`, else the platform's JSON.
    ///
    /// # Errors
    ///
    /// A file that can't be read, and the first mistake in it, both with the file's path.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let in_file = |source| ConfigError::InFile {
            path: path.into(),
            source: Box::new(source),
        };
        let text = std::fs::read(path).map_err(|source| ConfigError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        let config = if path.extension().is_some_and(|extension| extension == "kdl") {
            let text = String::from_utf8_lossy(&text);
            let json = operator_config::read(&text).map_err(|error| {
                ConfigError::OperatorFile(error.display_in_file(&path.display().to_string(), &text))
            })?;
            Config::from_json(&json)
        } else {
            Config::read(&text)
        };
        Ok(Config {
            file: Some(path.into()),
            ..config.map_err(in_file)?
        })
    }

    /// Reads the platform's JSON; keys that are not known are skipped.
    ///
    /// # Errors
    ///
    /// Text that is not JSON, and the first key that is missing or mistaken.
    pub fn read(text: &[u8]) -> Result<Config, ConfigError> {
        let json = parse(text).map_err(|e| ConfigError::NotJson(e.to_string()))?;
        Config::from_json(&json)
    }

    /// Reads an operator's text.
    ///
    /// # Errors
    ///
    /// The first mistake in it, with its position.
    pub fn of_operator(text: &str) -> Result<Config, ConfigError> {
        let json = operator_config::read(text)?;
        Config::from_json(&json)
    }

    fn from_json(json: &JsonValue) -> Result<Config, ConfigError> {
        let document = Document::parse(json)?;
        let document = document.validate()?;
        Ok(document.into_config(&Environment::read()))
    }
}
