//! What happened in a scenario, to all processes, in one order: shown where a test fails.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The events of a scenario; clones share them.
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
    /// An empty log; its times count from now.
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

    pub(crate) fn record(&self, message: String) {
        if let Ok(mut entries) = self.entries.lock() {
            let at = self.elapsed();
            entries.push(Entry { at, message });
        }
    }

    /// All events, a line each.
    pub fn text(&self) -> String {
        let entries = self.entries.lock().map(|e| e.clone()).unwrap_or_default();
        entries
            .iter()
            .map(|entry| format!("{:9.3} s  {}\n", entry.at.as_secs_f64(), entry.message))
            .collect()
    }
}
