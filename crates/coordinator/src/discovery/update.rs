//! Parses updates in the platform's format: `{"endpoints": {"reset": bool, "instances": [...]}}`.

use super::{DiscoveryError, EntryError};
use driftfront_core::{ListKind, Phase};
use driftfront_engine_registry::EngineDescription;
use driftfront_settings::json::Json;
use std::net::SocketAddr;

/// Index of a zone or a machine kind that is not in the settings.
const UNKNOWN_INDEX: u16 = u16::MAX;

/// A parsed update.
pub struct EngineListUpdate {
    /// Whether this is the full list or changes to it.
    pub kind: ListKind,
    /// The engines.
    pub descriptions: Vec<EngineDescription>,
    /// Other coordinators, which have `coordinator` instead of `hostPort`, with the address of their datagrams.
    pub coordinators: Vec<(String, SocketAddr)>,
    /// The errors of the entries that were skipped.
    pub rejected_entries: Vec<EntryError>,
}

/// Parses an update. Zones and machine kinds become indexes into `zones` and `kinds`.
///
/// # Errors
///
/// Fails if the update has no list of instances.
pub fn read(
    zones: &[String],
    kinds: &[String],
    update: Json,
) -> Result<EngineListUpdate, DiscoveryError> {
    let endpoints = update.get("endpoints");
    let entries = endpoints
        .get("instances")
        .list()
        .ok_or(DiscoveryError::NoInstances)?;
    let kind = if endpoints.get("reset").flag() {
        ListKind::Full
    } else {
        ListKind::Changes
    };
    let mut read = EngineListUpdate {
        kind,
        descriptions: Vec::new(),
        coordinators: Vec::new(),
        rejected_entries: Vec::new(),
    };
    for entry in entries {
        let entry = Json(Some(entry));
        // An invalid entry is skipped without affecting the others.
        let added = match entry.get("coordinator").text() {
            Some(address) => read_coordinator(entry, address).map(|c| read.coordinators.push(c)),
            None => read_engine(zones, kinds, entry).map(|d| read.descriptions.push(d)),
        };
        read.rejected_entries.extend(added.err());
    }
    Ok(read)
}

fn read_coordinator(entry: Json, address: &str) -> Result<(String, SocketAddr), EntryError> {
    let name = entry
        .get("instanceId")
        .text()
        .ok_or(EntryError::NoCoordinatorId)?;
    match address.parse() {
        Ok(address) => Ok((name.into(), address)),
        Err(_) => Err(EntryError::BadCoordinatorAddress {
            name: name.into(),
            address: address.into(),
        }),
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "cells are small numbers; a time in milliseconds after 1970 fits in microseconds"
)]
fn read_engine(
    zones: &[String],
    kinds: &[String],
    entry: Json,
) -> Result<EngineDescription, EntryError> {
    let name = entry
        .get("instanceId")
        .text()
        .ok_or(EntryError::NoInstanceId)?;
    let phase = match entry.get("lifecycle").text() {
        Some("ready") => Phase::Ready,
        Some("draining") => Phase::Draining,
        Some("gone") => Phase::Gone,
        other => {
            return Err(EntryError::UnknownLifecycle {
                name: name.into(),
                lifecycle: other.map(String::from),
            })
        }
    };
    let started_at_ms = entry.get("startedAtMs").number().filter(|&ms| ms > 0.0);
    Ok(EngineDescription {
        name: name.into(),
        addr: entry.get("hostPort").text().and_then(|a| a.parse().ok()),
        zone: index_of(zones, entry.get("zone")),
        kind: index_of(kinds, entry.get("machineType")),
        cell: entry.get("cell").integer().unwrap_or(0) as u16,
        started_at: started_at_ms.map(|ms| (ms * 1000.0) as u64),
        phase,
    })
}

fn index_of(names: &[String], name: Json) -> u16 {
    let index = name
        .text()
        .and_then(|text| names.iter().position(|n| n == text));
    index
        .and_then(|index| u16::try_from(index).ok())
        .unwrap_or(UNKNOWN_INDEX)
}
