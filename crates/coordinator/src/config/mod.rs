//! A coordinator's configuration, read from the platform's JSON or from an operator's file.
//!
//! Loading has three steps: `Document::parse` checks types, `Document::validate` checks that referenced names exist and that
//! settings don't contradict each other, and `ValidDocument::into_config`, which cannot fail, applies defaults and derives
//! bounds. [`crate::operator_config`] first translates an operator's file to the platform's JSON.

mod document;
mod error;
mod resolve;

pub use error::{ConfigError, KeyPath};

use crate::frontends::clickhouse::ClickHouseConfig;
use crate::frontends::QueryClasses;
use crate::memory::MemoryBudget;
use crate::operator_config;
use document::Document;
use driftfront_core::{Limits, Micros};
use driftfront_scheduler::Settings;
use driftfront_settings::json::parse;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tinyjson::JsonValue;

/// The interface that clients and engines use.
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
    /// A file that the operator maintains.
    File(PathBuf),
    /// Only the engines listed in the configuration.
    Fixed,
}

/// A coordinator's membership in a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterConfig {
    /// The address that receives datagrams.
    pub listen: SocketAddr,
    /// The address that other members send to, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The file with the keys.
    pub key_file: PathBuf,
    /// Members that are contacted to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// The coordinator's own zone; empty for none.
    pub zone: String,
    /// The coordinator's own region; empty for none.
    pub region: String,
    /// The names of the consensus log's initial voters; empty if there is no such log.
    pub voters: Vec<String>,
    /// How long a voter may be down before it is replaced.
    pub replace_after: Micros,
}

/// The operators' control port, on loopback.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlPort {
    /// The listening address.
    pub address: SocketAddr,
    /// The key that operators authenticate with.
    pub key: Vec<u8>,
}

/// A coordinator's complete configuration.
pub struct Config {
    /// The file it was read from, which SIGHUP reloads.
    pub file: Option<PathBuf>,
    /// The coordinator's name.
    pub name: String,
    /// The clients' address.
    pub listen: SocketAddr,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The limit of open file descriptors.
    pub max_descriptors: usize,
    /// The budget for the memory of this process.
    pub memory: MemoryBudget,
    /// The interface of clients and engines.
    pub protocol: Protocol,
    /// The ClickHouse frontend's rules for classes and bodies.
    pub clickhouse: ClickHouseConfig,
    /// A result of a ClickHouse engine is abandoned after this long without progress.
    pub result_stall_timeout: Micros,
    /// Total bytes of streamed results that may be buffered for slow clients.
    pub max_unread_bytes: usize,
    /// Where the list of engines comes from.
    pub discovery: DiscoverySource,
    /// Number of the last event in `known_updates`.
    pub known_index: u64,
    /// The endpoint list's events up to `known_index`.
    pub known_updates: Vec<JsonValue>,
    /// The scheduler's settings.
    pub settings: Settings,
    /// The names and client timeouts of the classes.
    pub classes: QueryClasses,
    /// The tenants' names, by index.
    pub tenants: Rc<[String]>,
    /// The zones' names, by index.
    pub zones: Vec<String>,
    /// The machine kinds' names, by index.
    pub kinds: Vec<String>,
    /// The fields of a load report by their names in the engines' protocol, in order.
    pub load_report_fields: Rc<[String]>,
    /// Timeout for opening a connection to an engine.
    pub connect_timeout: Micros,
    /// The idle time after which engines close a connection.
    pub engine_idle_timeout: Micros,
    /// Concurrent attempts on one connection.
    pub max_streams_per_connection: usize,
    /// Bounds of the request lifecycle.
    pub limits: Limits,
    /// The path of the operators' control socket.
    pub control_socket: Option<PathBuf>,
    /// The operators' control port.
    pub control_port: Option<ControlPort>,
    /// The address of the operators' line protocol.
    pub management_address: Option<String>,
    /// The folder for state that survives a restart.
    pub state_folder: Option<PathBuf>,
    /// The cluster that the coordinator belongs to, if any.
    pub cluster: Option<ClusterConfig>,
}

/// Configuration that comes from environment variables.
#[derive(Clone, Debug, Default)]
struct Environment {
    /// `LB_MANAGEMENT`: the management address if the file has none.
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
    /// Reads a file: an operator's file if its name ends in `.kdl`, otherwise the platform's JSON.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file if it can't be read, or for the first error in it.
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

    /// Reads the platform's JSON; unknown keys are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, or on the first missing or invalid key.
    pub fn read(text: &[u8]) -> Result<Config, ConfigError> {
        let json = parse(text).map_err(|e| ConfigError::NotJson(e.to_string()))?;
        Config::from_json(&json)
    }

    /// Reads the text of an operator's file.
    ///
    /// # Errors
    ///
    /// Returns the first error in it, with its position.
    pub fn from_operator_text(text: &str) -> Result<Config, ConfigError> {
        let json = operator_config::read(text)?;
        Config::from_json(&json)
    }

    fn from_json(json: &JsonValue) -> Result<Config, ConfigError> {
        let document = Document::parse(json)?;
        let document = document.validate()?;
        Ok(document.into_config(&Environment::read()))
    }
}
