//! What engines were sent, in one order over all of them, and the rules checked on it.

mod rules;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A wait of this length means that the test has failed; nothing is decided by it.
pub const FOR_EVER: Duration = Duration::from_secs(60);

/// One run of a statement on an engine.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The engine, by its name.
    pub engine: String,
    /// The query's id there.
    pub id: String,
    /// The statement's beginning.
    pub statement: String,
    /// The session, if it named one.
    pub session: Option<String>,
    /// Its position in the order of all beginnings and ends.
    pub start_seq: u64,
    /// The position of its end, once it has ended.
    pub end_seq: Option<u64>,
    /// When it began.
    pub at: Instant,
    /// When it ended.
    pub ended_at: Option<Instant>,
    /// It may have run.
    pub may_have_run: bool,
    /// It ended because its client had left.
    pub client_left: bool,
    /// Bytes of its body.
    pub bytes: u64,
}

/// A retry budget as the settings give it: within each window at most `free + ratio * requests` further attempts.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Allowed whatever the traffic.
    pub free: f64,
    /// Allowed for each request.
    pub ratio: f64,
    /// The period over which both are counted.
    pub window: Duration,
}

/// Everything that the engines of one test were sent.
#[derive(Default)]
pub struct RequestLog {
    entries: Mutex<Vec<Entry>>,
    changed: Condvar,
    clock: AtomicU64,
    /// Nothing is kept.
    is_discarding: bool,
}

/// Characters of a statement that are kept.
const MAX_STATEMENT_CHARS: usize = 400;
/// A waiting test looks at the log at least this often.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);

impl RequestLog {
    /// A log that keeps nothing, for measurements.
    pub fn discarding() -> RequestLog {
        RequestLog {
            is_discarding: true,
            ..RequestLog::default()
        }
    }

    fn tick(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::SeqCst)
    }

    fn with<T>(&self, work: impl FnOnce(&mut Vec<Entry>) -> T) -> T {
        let done = work(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_all();
        done
    }

    /// A statement begins; returns the index of its entry.
    pub fn begin(&self, engine: &str, id: &str, statement: &str, session: Option<&str>) -> usize {
        if self.is_discarding {
            return usize::MAX;
        }
        self.with(|entries| {
            entries.push(Entry {
                engine: engine.into(),
                id: id.into(),
                statement: statement.chars().take(MAX_STATEMENT_CHARS).collect(),
                session: session.map(String::from),
                start_seq: self.tick(),
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

    /// A statement has ended, in whatever way; only its first end counts.
    pub fn end(&self, entry: usize, may_have_run: bool) {
        if self.is_discarding {
            return;
        }
        self.with(|entries| {
            if let Some(e) = entries.get_mut(entry).filter(|e| e.end_seq.is_none()) {
                (e.end_seq, e.ended_at, e.may_have_run) =
                    (Some(self.tick()), Some(Instant::now()), may_have_run);
            }
        });
    }

    /// Changes an entry.
    pub fn note(&self, entry: usize, change: impl FnOnce(&mut Entry)) {
        self.with(|entries| entries.get_mut(entry).map(change));
    }

    /// Whether this statement has begun before.
    pub fn knows(&self, statement: &str) -> bool {
        let statement: String = statement.chars().take(MAX_STATEMENT_CHARS).collect();
        self.with(|entries| entries.iter().any(|e| e.statement == statement))
    }

    /// The entries whose statement holds this text.
    pub fn of(&self, text: &str) -> Vec<Entry> {
        self.with(|entries| {
            entries
                .iter()
                .filter(|e| e.statement.contains(text))
                .cloned()
                .collect()
        })
    }

    /// Waits until a condition holds on the entries.
    ///
    /// # Panics
    ///
    /// Panics after [`FOR_EVER`]: the test has failed.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&[Entry]) -> bool) {
        let begin = Instant::now();
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        while !holds(&entries) {
            assert!(
                begin.elapsed() < FOR_EVER,
                "{what} never came: {entries:#?}"
            );
            let waited = self.changed.wait_timeout(entries, WAIT_INTERVAL);
            entries = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until statements with this text have begun so many times.
    ///
    /// # Panics
    ///
    /// As [`RequestLog::wait_until`].
    pub fn wait_for(&self, text: &str, times: usize) {
        let begun = |entries: &[Entry]| {
            entries
                .iter()
                .filter(|e| e.statement.contains(text))
                .count()
                >= times
        };
        self.wait_until(text, begun);
    }

    /// Checks every rule that shows from the engines, for so many requests that were handed in; a message for each breach.
    ///
    /// One attempt at a time, six at most; what must not run twice; the order of a key; and the share of further attempts.
    /// Statements have to differ from each other; a key is what follows `INSERT INTO`.
    pub fn breaches(&self, requests: usize) -> Vec<String> {
        let entries = self.with(|entries| entries.clone());
        rules::check_all(&entries, requests)
    }

    /// Checks a retry budget as operators count it, at each further attempt over the window that ends there, with their slack;
    /// a message for each attempt beyond it. `requests`: when requests were handed in.
    pub fn budget_breaches(&self, budget: &Budget, requests: &[Instant]) -> Vec<String> {
        self.budget_breaches_of("", budget, requests)
    }

    /// The same for those alone whose statement holds this text.
    pub fn budget_breaches_of(
        &self,
        text: &str,
        budget: &Budget,
        requests: &[Instant],
    ) -> Vec<String> {
        rules::check_budget(&self.of(text), budget, requests)
    }

    /// Checks every rule.
    ///
    /// # Panics
    ///
    /// Panics with all breaches, if there are any.
    pub fn assert_rules(&self, requests: usize) {
        let breaches = self.breaches(requests);
        assert!(breaches.is_empty(), "{breaches:#?}");
    }
}
