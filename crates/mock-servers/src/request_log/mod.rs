//! Records the statements sent to all engines of a test in a single order, and checks rules on them.

mod rules;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Timeout after which a wait fails the test. It is long enough that no passing test depends on it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// One run of a statement on an engine.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The engine's name.
    pub engine: String,
    /// The query's id on the engine.
    pub id: String,
    /// The start of the statement.
    pub statement: String,
    /// The session, if the request names one.
    pub session: Option<String>,
    /// The position of the start among all starts and ends.
    pub start_seq: u64,
    /// The position of the end, once the run has ended.
    pub end_seq: Option<u64>,
    /// When the run started.
    pub at: Instant,
    /// When the run ended.
    pub ended_at: Option<Instant>,
    /// Whether the statement may have run.
    pub may_have_run: bool,
    /// Whether the run ended because its client had disconnected.
    pub client_left: bool,
    /// Bytes of the request's body.
    pub bytes: u64,
}

/// A retry budget as in the settings: at most `free + ratio * requests` further attempts within each window.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Further attempts that are allowed regardless of the traffic.
    pub free: f64,
    /// Further attempts that are allowed per request.
    pub ratio: f64,
    /// The window over which attempts and requests are counted.
    pub window: Duration,
}

/// All statements that the engines of one test received.
#[derive(Default)]
pub struct RequestLog {
    entries: Mutex<Vec<Entry>>,
    changed: Condvar,
    next_seq: AtomicU64,
    /// Whether entries are discarded.
    is_discarding: bool,
}

/// Maximum length of a logged statement, in characters.
const MAX_STATEMENT_CHARS: usize = 400;
/// Longest interval between two checks of a waiting test.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);

impl RequestLog {
    /// Creates a log that discards all entries, for benchmarks.
    pub fn discarding() -> RequestLog {
        RequestLog {
            is_discarding: true,
            ..RequestLog::default()
        }
    }

    fn take_seq(&self) -> u64 {
        self.next_seq.fetch_add(1, Ordering::SeqCst)
    }

    fn with_entries<T>(&self, work: impl FnOnce(&mut Vec<Entry>) -> T) -> T {
        let result = work(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_all();
        result
    }

    /// Logs the start of a statement and returns the index of its entry.
    pub fn begin(&self, engine: &str, id: &str, statement: &str, session: Option<&str>) -> usize {
        if self.is_discarding {
            return usize::MAX;
        }
        self.with_entries(|entries| {
            entries.push(Entry {
                engine: engine.into(),
                id: id.into(),
                statement: statement.chars().take(MAX_STATEMENT_CHARS).collect(),
                session: session.map(String::from),
                start_seq: self.take_seq(),
                end_seq: None,
                at: Instant::now(),
                ended_at: None,
                may_have_run: true,
                client_left: false,
                bytes: 0,
            });
            entries.len() - 1
        })
    }

    /// Logs the end of a statement. Only the first call for an entry has an effect.
    pub fn end(&self, entry: usize, may_have_run: bool) {
        if self.is_discarding {
            return;
        }
        self.with_entries(|entries| {
            if let Some(e) = entries.get_mut(entry).filter(|e| e.end_seq.is_none()) {
                (e.end_seq, e.ended_at, e.may_have_run) =
                    (Some(self.take_seq()), Some(Instant::now()), may_have_run);
            }
        });
    }

    /// Updates an entry.
    pub fn update(&self, entry: usize, change: impl FnOnce(&mut Entry)) {
        self.with_entries(|entries| entries.get_mut(entry).map(change));
    }

    /// Whether this statement has started before.
    pub fn has_started(&self, statement: &str) -> bool {
        let statement: String = statement.chars().take(MAX_STATEMENT_CHARS).collect();
        self.with_entries(|entries| entries.iter().any(|e| e.statement == statement))
    }

    /// Returns the entries whose statement contains this text.
    pub fn of(&self, text: &str) -> Vec<Entry> {
        self.with_entries(|entries| {
            entries
                .iter()
                .filter(|e| e.statement.contains(text))
                .cloned()
                .collect()
        })
    }

    /// Waits until a condition on the entries holds. `what` describes it in the panic's message.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold within a minute.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&[Entry]) -> bool) {
        let start = Instant::now();
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        while !condition(&entries) {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for {what}: {entries:#?}"
            );
            let waited = self.changed.wait_timeout(entries, WAIT_INTERVAL);
            entries = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until statements that contain this text have started `times` times.
    ///
    /// # Panics
    ///
    /// Panics as [`RequestLog::wait_until`] does.
    pub fn wait_for(&self, text: &str, times: usize) {
        let have_started = |entries: &[Entry]| {
            entries
                .iter()
                .filter(|e| e.statement.contains(text))
                .count()
                >= times
        };
        self.wait_until(text, have_started);
    }

    /// Checks all rules that are visible to the engines and returns a message for each breach. `requests` is the number of
    /// requests that clients sent.
    ///
    /// A statement has one attempt at a time and at most six in total; an insert must not run twice; inserts into a table must
    /// not overlap; and the number of further attempts is limited. Each request must have a different statement.
    pub fn breaches(&self, requests: usize) -> Vec<String> {
        let entries = self.with_entries(|entries| entries.clone());
        rules::check_all(&entries, requests)
    }

    /// Checks a retry budget as operators count it: for each further attempt, over the window that ends with it, with the
    /// operators' tolerance. Returns a message for each attempt that exceeds it. `requests` are the times at which clients sent
    /// requests.
    pub fn budget_breaches(&self, budget: &Budget, requests: &[Instant]) -> Vec<String> {
        self.budget_breaches_of("", budget, requests)
    }

    /// Checks a retry budget on the entries whose statement contains this text.
    pub fn budget_breaches_of(
        &self,
        text: &str,
        budget: &Budget,
        requests: &[Instant],
    ) -> Vec<String> {
        rules::check_budget(&self.of(text), budget, requests)
    }

    /// Asserts that [`RequestLog::breaches`] finds none.
    ///
    /// # Panics
    ///
    /// Panics with all breaches if there are any.
    pub fn assert_rules(&self, requests: usize) {
        let breaches = self.breaches(requests);
        assert!(breaches.is_empty(), "{breaches:#?}");
    }
}
