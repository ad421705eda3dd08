//! What `driftfront check` and `driftfront counters` show.

use crate::config::{ClusterConfig, Config, DiscoverySource};
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{AddrParseError, SocketAddr, TcpStream};
use std::time::Duration;

/// How long a running coordinator may take to accept a connection, and to send more of its counters.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(5);

/// Describes what a configuration means, a line for each setting.
pub fn describe(config: &Config) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "name        {}", config.name);
    let _ = writeln!(text, "listen      {}", config.listen);
    let _ = writeln!(text, "front       {:?}", config.protocol);
    let _ = writeln!(text, "classes     {}", config.classes.names.join(", "));
    let membership = match &config.discovery {
        DiscoverySource::Stream(addr) => format!("event stream at {addr}"),
        DiscoverySource::Etcd(addr, prefix) => format!("etcd at {addr}, keys under {prefix}"),
        DiscoverySource::File(path) => format!("file {}", path.display()),
        DiscoverySource::Fixed => "as listed".into(),
    };
    let known_updates = config.known_updates.len();
    let _ = writeln!(
        text,
        "membership  {membership}; {known_updates} updates known"
    );
    let _ = writeln!(text, "sockets     {}", config.max_descriptors);
    if let Some(cluster) = &config.cluster {
        text += &describe_cluster(cluster, config.state_folder.is_some());
    }
    text
}

fn describe_cluster(cluster: &ClusterConfig, has_state_folder: bool) -> String {
    let mut text = String::new();
    let keys = match crate::node::read_keys(&cluster.key_file) {
        Ok(keys) => format!("{} keys", keys.ids().len()),
        Err(error) => error.to_string(),
    };
    let (listen, seeds) = (cluster.listen, cluster.seeds.len());
    let _ = writeln!(text, "fleet       {listen}, {seeds} seeds, {keys}");
    if !cluster.voters.is_empty() {
        let voters = cluster.voters.join(", ");
        let storage = if has_state_folder {
            "kept in the state folder"
        } else {
            "not kept: no state folder"
        };
        let _ = writeln!(text, "voters      {voters}; the log is {storage}");
    }
    text
}

/// Why a coordinator's counters can't be had. `Display` is what staff read.
#[derive(Debug, thiserror::Error)]
pub enum CountersError {
    /// The address is no socket address.
    #[error("{address}: {source}")]
    InvalidAddress {
        /// As it was given.
        address: String,
        /// What the parser says.
        source: AddrParseError,
    },
    /// No coordinator answers there.
    #[error("{address}: {source}")]
    Io {
        /// As it was given.
        address: String,
        /// What the system says.
        source: io::Error,
    },
    /// Whatever answers there sends no counters.
    #[error("{address}: no counters in the answer")]
    NoCounters {
        /// As it was given.
        address: String,
    },
}

/// Reads the counters of a running coordinator from its clients' address.
///
/// # Errors
///
/// See [`CountersError`].
pub fn counters(address: &str) -> Result<String, CountersError> {
    let parsed: SocketAddr = address
        .parse()
        .map_err(|source| CountersError::InvalidAddress {
            address: address.into(),
            source,
        })?;
    let response = get_counters(parsed, address).map_err(|source| CountersError::Io {
        address: address.into(),
        source,
    })?;
    match response.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200 ") => Ok(body.into()),
        _ => Err(CountersError::NoCounters {
            address: address.into(),
        }),
    }
}

/// Sends `GET /counters` and reads the whole response.
fn get_counters(address: SocketAddr, host: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, COUNTERS_TIMEOUT)?;
    stream.set_read_timeout(Some(COUNTERS_TIMEOUT))?;
    let request = format!("GET /counters HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}
