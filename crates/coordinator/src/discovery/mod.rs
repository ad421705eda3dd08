//! Membership: who the engines are, where, and in which phase. Sources: the platform's event stream, an
//! operator's file, or etcd's watch API.

pub mod backoff;
pub mod etcd;
pub mod file;
pub mod stream;

use driftfront_core::{ListKind, Micros, Phase};
use driftfront_engine_registry::EngineDescription;
use driftfront_settings::json::Json;
use std::net::SocketAddr;
use tinyjson::JsonValue;

/// A list that is watched over one connection, which may be opened again and again.
pub trait EngineListWatch {
    /// A new connection is up: what to write on it.
    fn open(&mut self) -> Vec<u8>;
    /// Bytes have come: updates to the list, and what to write; an error ends the connection.
    fn feed(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        updates: &mut Vec<JsonValue>,
    ) -> Result<(), String>;
    /// A connection on which nothing comes for this long is broken.
    fn silence(&self) -> Micros;
    /// The same list is told at another address from now on: what was taken over stays taken over.
    fn moved(&mut self, host: String);
}

/// What an update says.
pub struct EngineListUpdate {
    /// The whole list, or changes to it.
    pub kind: ListKind,
    /// Engines.
    pub descriptions: Vec<EngineDescription>,
    /// Other coordinators, and where their datagrams go: lines with `coordinator` instead of `hostPort`.
    pub coordinators: Vec<(String, SocketAddr)>,
    /// What of it can't be used, in words.
    pub rejected_entries: Vec<String>,
}

/// What an update of the platform's form says.
pub fn read(zones: &[String], kinds: &[String], update: Json) -> Result<EngineListUpdate, String> {
    let body = update.get("endpoints");
    let listed = body
        .get("instances")
        .list()
        .ok_or("an update without instances")?;
    let kind = if body.get("reset").flag() {
        ListKind::Full
    } else {
        ListKind::Changes
    };
    let mut told = EngineListUpdate {
        kind,
        descriptions: Vec::new(),
        coordinators: Vec::new(),
        rejected_entries: Vec::new(),
    };
    for entry in listed {
        let entry = Json(Some(entry));
        // One bad line must not cost the others.
        let done = match entry.get("coordinator").text() {
            Some(addr) => coordinator(entry, addr).map(|c| told.coordinators.push(c)),
            None => description(zones, kinds, entry).map(|f| told.descriptions.push(f)),
        };
        told.rejected_entries.extend(done.err());
    }
    Ok(told)
}

fn coordinator(e: Json, addr: &str) -> Result<(String, SocketAddr), String> {
    let name = e
        .get("instanceId")
        .text()
        .ok_or("a coordinator without instanceId")?;
    Ok((
        name.into(),
        addr.parse()
            .map_err(|_| format!("{name}: coordinator {addr:?} is no address"))?,
    ))
}

fn description(zones: &[String], kinds: &[String], e: Json) -> Result<EngineDescription, String> {
    let name = e
        .get("instanceId")
        .text()
        .ok_or("an instance without instanceId")?;
    let phase = match e.get("lifecycle").text() {
        Some("ready") => Phase::Ready,
        Some("draining") => Phase::Draining,
        Some("gone") => Phase::Gone,
        other => return Err(format!("{name}: unknown lifecycle {other:?}")),
    };
    let place = |names: &[String], key: &str| {
        let at = e
            .get(key)
            .text()
            .and_then(|t| names.iter().position(|n| n == t));
        at.map_or(u16::MAX, |n| n as u16)
    };
    Ok(EngineDescription {
        name: name.into(),
        addr: e.get("hostPort").text().and_then(|a| a.parse().ok()),
        zone: place(zones, "zone"),
        kind: place(kinds, "machineType"),
        cell: e.get("cell").whole().unwrap_or(0) as u16,
        started_at: e
            .get("startedAtMs")
            .number()
            .filter(|&t| t > 0.0)
            .map(|t| (t * 1000.0) as u64),
        phase,
    })
}
