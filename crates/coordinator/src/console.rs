//! The output of `driftfront check` and `driftfront counters`.

use crate::config::{ClusterConfig, Config, DiscoverySource};
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{AddrParseError, SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for connecting to a coordinator, and for each read of its counters.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(5);

/// Describes a configuration, one line per setting.
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
        DiscoverySource::Fixed => "fixed list".into(),
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
            "stored in the state folder"
        } else {
            "not stored: no state folder"
        };
        let _ = writeln!(text, "voters      {voters}; the log is {storage}");
    }
    text
}

/// Why a coordinator's counters can't be read. `Display` gives the message that operators read.
#[derive(Debug, thiserror::Error)]
pub enum CountersError {
    /// The address is not a socket address.
    #[error("{address}: {source}")]
    InvalidAddress {
        /// The address as given.
        address: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// Connecting, sending the request or reading the response failed.
    #[error("{address}: {source}")]
    Io {
        /// The address as given.
        address: String,
        /// The system's error.
        source: io::Error,
    },
    /// The response is not a successful HTTP response.
    #[error("{address}: no counters in the response")]
    NoCounters {
        /// The address as given.
        address: String,
    },
}

/// Reads the counters of a running coordinator at its clients' address.
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

/// Requests `/counters` and reads the response until the connection closes.
fn get_counters(address: SocketAddr, host: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, COUNTERS_TIMEOUT)?;
    stream.set_read_timeout(Some(COUNTERS_TIMEOUT))?;
    let request = format!("GET /counters HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}
