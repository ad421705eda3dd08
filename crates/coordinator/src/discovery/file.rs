//! Reads engines from an operator's file, a JSON object with `instances`, whenever it changes.

use super::DiscoveryError;
use driftfront_core::Micros;
use driftfront_settings::json::{parse, Json};
use std::path::PathBuf;
use std::time::SystemTime;
use tinyjson::JsonValue;

/// Interval at which the file is checked for changes.
const POLL_INTERVAL: Micros = 500_000;

/// A watched file.
pub struct File {
    path: PathBuf,
    /// The modification time and the size of the version that was last read.
    version: Option<(SystemTime, u64)>,
    next_poll: Micros,
}

impl File {
    /// Creates a watch on a file that has not been read yet.
    pub fn new(path: PathBuf) -> File {
        File {
            path,
            version: None,
            next_poll: 0,
        }
    }

    /// Returns the full list if the file has changed since it was last read. If the file can't be read, the list is unchanged.
    pub fn poll(&mut self, now: Micros) -> Option<JsonValue> {
        if now < self.next_poll {
            return None;
        }
        self.next_poll = now + POLL_INTERVAL;
        self.read_if_changed().unwrap_or_else(|e| {
            tracing::warn!("{}: {e}", self.path.display());
            None
        })
    }

    fn read_if_changed(&mut self) -> Result<Option<JsonValue>, DiscoveryError> {
        let metadata = std::fs::metadata(&self.path)?;
        let version = (metadata.modified()?, metadata.len());
        if self.version == Some(version) {
            return Ok(None);
        }
        let text = std::fs::read(&self.path)?;
        self.version = Some(version);
        let json = parse(&text).map_err(|e| DiscoveryError::Json(e.to_string()))?;
        full_update(&json).map(Some)
    }
}

/// Builds an update with the full list, in the platform's format.
fn full_update(json: &JsonValue) -> Result<JsonValue, DiscoveryError> {
    let instances = Json(Some(json)).get("instances");
    let list = instances.list().ok_or(DiscoveryError::NoList)?.to_vec();
    let endpoints = [
        ("reset".to_string(), true.into()),
        ("instances".to_string(), JsonValue::Array(list)),
    ];
    let update = [(
        "endpoints".to_string(),
        JsonValue::Object(endpoints.into_iter().collect()),
    )];
    Ok(JsonValue::Object(update.into_iter().collect()))
}
