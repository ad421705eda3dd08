//! Engines from an operator's file: a JSON object with `instances`, read again when it changes.

use driftfront_core::Micros;
use driftfront_settings::json::{parse, Json};
use std::path::PathBuf;
use std::time::SystemTime;
use tinyjson::JsonValue;

/// The file is looked at this often.
const EVERY: Micros = 500_000;

/// The file and what was last read of it.
pub struct File {
    path: PathBuf,
    stamp: Option<(SystemTime, u64)>,
    next: Micros,
}

impl File {
    /// A file that has not been read yet.
    pub fn new(path: PathBuf) -> File {
        File {
            path,
            stamp: None,
            next: 0,
        }
    }

    /// The whole list, if the file has changed since; a file that can't be read leaves the list as it is.
    pub fn poll(&mut self, now: Micros) -> Option<JsonValue> {
        if now < self.next {
            return None;
        }
        self.next = now + EVERY;
        let about = std::fs::metadata(&self.path).and_then(|m| Ok((m.modified()?, m.len())));
        let stamp = about.map_err(|e| e.to_string());
        if stamp.is_ok() && self.stamp == stamp.as_ref().ok().copied() {
            return None;
        }
        let read = stamp.and_then(|stamp| {
            let text = std::fs::read(&self.path).map_err(|e| e.to_string())?;
            self.stamp = Some(stamp);
            parse(&text).map_err(String::from)
        });
        match read.and_then(|json| whole(&json)) {
            Ok(update) => Some(update),
            Err(e) => {
                tracing::warn!("{}: {e}", self.path.display());
                None
            }
        }
    }
}

fn whole(json: &JsonValue) -> Result<JsonValue, String> {
    let instances = Json(Some(json)).get("instances");
    let list = instances.list().ok_or("no list under instances")?.to_vec();
    let body = [
        ("reset".to_string(), true.into()),
        ("instances".to_string(), JsonValue::Array(list)),
    ];
    let update = [(
        "endpoints".to_string(),
        JsonValue::Object(body.into_iter().collect()),
    )];
    Ok(JsonValue::Object(update.into_iter().collect()))
}
