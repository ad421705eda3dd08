//! What an operator calls from a terminal.

use crate::config::{Config, DiscoverySource};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a configuration means, for reading.
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
    let _ = writeln!(
        text,
        "membership  {membership}; {} updates known",
        config.known_updates.len()
    );
    let _ = writeln!(text, "sockets     {}", config.max_descriptors);
    if let Some(fleet) = &config.cluster {
        let keys = crate::node::read_keys(&fleet.key_file);
        let keys = keys.map_or_else(
            |error| error.to_string(),
            |keys| format!("{} keys", keys.ids().len()),
        );
        let _ = writeln!(
            text,
            "fleet       {}, {} seeds, {keys}",
            fleet.listen,
            fleet.seeds.len()
        );
        if !fleet.voters.is_empty() {
            let kept = if config.state_folder.is_some() {
                "kept in the state folder"
            } else {
                "not kept: no state folder"
            };
            let _ = writeln!(
                text,
                "voters      {}; the log is {kept}",
                fleet.voters.join(", ")
            );
        }
    }
    text
}

/// Asks a running coordinator for its counters.
pub fn counters(at: &str) -> Result<String, String> {
    let addr: SocketAddr = at.parse().map_err(|e| format!("{at}: {e}"))?;
    let say = |e: std::io::Error| format!("{at}: {e}");
    let wait = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&addr, wait).map_err(say)?;
    stream.set_read_timeout(Some(wait)).map_err(say)?;
    stream
        .write_all(
            format!("GET /counters HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n").as_bytes(),
        )
        .map_err(say)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(say)?;
    match answer.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200 ") => Ok(body.into()),
        _ => Err(format!("{at}: no counters in the answer")),
    }
}
