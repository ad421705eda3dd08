//! The coordinator that a sub-command connects to, and requests to it.

use super::error::CommandError;
use driftfront_console::remote::{Endpoint, Remote};
use driftfront_control::snapshot::Snapshot;
use driftfront_control::{Reply, Request};
use pico_args::Arguments;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The control socket if neither `--at` nor `DRIFTFRONT_CONTROL` is given.
const DEFAULT_CONTROL_SOCKET: &str = "/tmp/driftfront.sock";

/// Parses `--at` and `--key-file`: the path of a control socket, or a loopback address with a key.
pub(super) fn parse_target(arguments: &mut Arguments) -> Result<Endpoint, CommandError> {
    let named: Option<String> = arguments.opt_value_from_str("--at")?;
    let key_file: Option<PathBuf> = arguments.opt_value_from_str("--key-file")?;
    let target = named
        .or_else(|| std::env::var("DRIFTFRONT_CONTROL").ok())
        .unwrap_or(DEFAULT_CONTROL_SOCKET.into());
    if target.parse::<SocketAddr>().is_err() {
        return Ok(Endpoint::Socket(target.into()));
    }
    let Some(key_file) = key_file else {
        return Err(CommandError::NoKeyFile(target));
    };
    let key = std::fs::read_to_string(&key_file).map_err(|source| CommandError::File {
        path: key_file.display().to_string(),
        source,
    })?;
    Ok(Endpoint::Port(target, key.trim().as_bytes().to_vec()))
}

/// Connects to the coordinator.
pub(super) fn connect(target: &Endpoint) -> Result<Remote, CommandError> {
    Remote::connect(target).map_err(|source| {
        let address = match target {
            Endpoint::Socket(path) => path.display().to_string(),
            Endpoint::Port(address, _) => address.clone(),
        };
        match source.kind() {
            ErrorKind::NotFound | ErrorKind::ConnectionRefused => {
                CommandError::Unreachable { address, source }
            }
            _ => CommandError::File {
                path: address,
                source,
            },
        }
    })
}

/// Sends an order and returns the message of the reply.
pub(super) fn send_order(remote: &mut Remote, request: &Request) -> Result<String, CommandError> {
    match remote.ask(request)? {
        Reply::Done(message) => Ok(message),
        other => Err(unexpected(other)),
    }
}

/// Requests a snapshot of the coordinator's state.
pub(super) fn request_snapshot(remote: &mut Remote) -> Result<Snapshot, CommandError> {
    match remote.ask(&Request::Snapshot)? {
        Reply::Snapshot(snapshot) => Ok(*snapshot),
        other => Err(unexpected(other)),
    }
}

fn unexpected(reply: Reply) -> CommandError {
    match reply {
        Reply::Refused(reason) => CommandError::Refused(reason),
        other => CommandError::UnexpectedReply(format!("{other:?}")),
    }
}
