//! A shared, ordered log of the events of a scenario, printed when a test fails.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The events of a scenario. Clones share the same log.
#[derive(Clone)]
pub struct EventLog {
    started: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

#[derive(Clone)]
struct Entry {
    /// Time since the log was started.
    at: Duration,
    message: String,
}

impl EventLog {
    /// Creates an empty log whose timestamps are relative to now.
    pub(crate) fn start() -> EventLog {
        EventLog {
            started: Instant::now(),
            entries: Arc::default(),
        }
    }

    /// Time since the log was started.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Appends an event with the current time.
    pub(crate) fn record(&self, message: String) {
        if let Ok(mut entries) = self.entries.lock() {
            let at = self.elapsed();
            entries.push(Entry { at, message });
        }
    }

    /// Returns all events, one per line.
    pub fn text(&self) -> String {
        let entries = self.entries.lock().map(|e| e.clone()).unwrap_or_default();
        entries
            .iter()
            .map(|entry| format!("{:9.3} s  {}\n", entry.at.as_secs_f64(), entry.message))
            .collect()
    }
}
