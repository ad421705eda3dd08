//! What engines were sent, in one order over all of them, and the rules counted on it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A wait that long means that something failed; nothing is decided by it.
pub const FOR_EVER: Duration = Duration::from_secs(60);

/// One run of a statement on an engine.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The engine, by its name.
    pub engine: String,
    /// The query's name there.
    pub id: String,
    /// The statement's beginning.
    pub statement: String,
    /// The session, if it named one.
    pub session: Option<String>,
    /// Its place in the order of all beginnings and ends.
    pub begun: u64,
    /// The place of its end, once it has ended.
    pub over: Option<u64>,
    /// When it began.
    pub at: Instant,
    /// When it ended.
    pub over_at: Option<Instant>,
    /// It may have run.
    pub ran: bool,
    /// It ended since its client had left.
    pub left: bool,
    /// Bytes of its body.
    pub bytes: u64,
}

/// A retry budget as the settings give it: within each window at most `free + ratio * requests taken` further attempts.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Allowed whatever the traffic.
    pub free: f64,
    /// Allowed for each request taken.
    pub ratio: f64,
    /// The time over which both are counted.
    pub window: Duration,
}

/// All that the engines of one test were sent.
#[derive(Default)]
pub struct RequestLog {
    entries: Mutex<Vec<Entry>>,
    changed: Condvar,
    clock: AtomicU64,
    forgets: bool,
}

/// What operators allow beyond a retry budget, as a multiple; one attempt comes on top.
const BUDGET_SLACK: f64 = 1.15;
/// Longest beginning of a statement that is kept.
const STATEMENT_MOST: usize = 400;

impl RequestLog {
    /// One that keeps nothing, for measurements.
    pub fn forgetful() -> RequestLog {
        RequestLog {
            forgets: true,
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

    /// A statement begins; the number names it from here on.
    pub fn begin(&self, engine: &str, id: &str, statement: &str, session: Option<&str>) -> usize {
        if self.forgets {
            return usize::MAX;
        }
        self.with(|entries| {
            entries.push(Entry {
                engine: engine.into(),
                id: id.into(),
                statement: statement.chars().take(STATEMENT_MOST).collect(),
                session: session.map(String::from),
                begun: self.tick(),
                over: None,
                at: Instant::now(),
                over_at: None,
                ran: true,
                left: false,
                bytes: 0,
            });
            entries.len() - 1
        })
    }

    /// It has ended, however that came; only the first end counts.
    pub fn end(&self, entry: usize, ran: bool) {
        if self.forgets {
            return;
        }
        self.with(|entries| {
            if let Some(e) = entries.get_mut(entry).filter(|e| e.over.is_none()) {
                (e.over, e.over_at, e.ran) = (Some(self.tick()), Some(Instant::now()), ran);
            }
        });
    }

    /// Something more is known of it.
    pub fn note(&self, entry: usize, how: impl FnOnce(&mut Entry)) {
        self.with(|entries| entries.get_mut(entry).map(how));
    }

    /// Whether this statement has begun before.
    pub fn knows(&self, statement: &str) -> bool {
        let statement: String = statement.chars().take(STATEMENT_MOST).collect();
        self.with(|entries| entries.iter().any(|e| e.statement == statement))
    }

    /// Those whose statement holds this text.
    pub fn of(&self, text: &str) -> Vec<Entry> {
        self.with(|entries| {
            entries
                .iter()
                .filter(|e| e.statement.contains(text))
                .cloned()
                .collect()
        })
    }

    /// Waits until a condition holds on the entries; gives up, with a panic, only when the test has failed.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&[Entry]) -> bool) {
        let begin = Instant::now();
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        while !holds(&entries) {
            assert!(
                begin.elapsed() < FOR_EVER,
                "{what} never came: {entries:#?}"
            );
            let waited = self
                .changed
                .wait_timeout(entries, Duration::from_millis(200));
            entries = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until a statement with this text has begun so many times.
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

    /// Counts every rule that can be seen from the engines: one attempt at a time, six at most, what must not run
    /// twice, the order of a key, and the ration of further attempts. Statements have to differ from each other;
    /// a key is what stands behind `INSERT INTO`.
    pub fn breaches(&self, taken: usize) -> Vec<String> {
        let entries = self.with(|e| e.clone());
        let mut breaches = Vec::new();
        // One that was given up was so when its connection was closed, which its engine sees a moment later.
        let apart = |a: &Entry, b: &Entry| a.left || a.over.is_some_and(|over| over < b.begun);
        let mut by_statement: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
        let mut by_table: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
        for entry in &entries {
            by_statement
                .entry(&entry.statement)
                .or_default()
                .push(entry);
            if let Some(table) = entry.statement.strip_prefix("INSERT INTO ") {
                by_table
                    .entry(table.split([' ', '(']).next().unwrap_or_default())
                    .or_default()
                    .push(entry);
            }
        }
        for (statement, tries) in &by_statement {
            if tries.len() > 6 {
                breaches.push(format!("{} attempts of {statement}", tries.len()));
            }
            if !tries.windows(2).all(|t| apart(t[0], t[1])) {
                breaches.push(format!("two attempts at once of {statement}"));
            }
            if statement.starts_with("INSERT") && tries.iter().filter(|t| t.ran).count() > 1 {
                breaches.push(format!("may have run twice: {statement}"));
            }
            let mut ids: Vec<_> = tries.iter().filter(|t| t.ran).map(|t| &t.id).collect();
            ids.sort();
            if ids.windows(2).any(|w| w[0] == w[1]) {
                breaches.push(format!(
                    "a further attempt under an id that may still run: {statement}"
                ));
            }
        }
        for (table, loads) in &by_table {
            if !loads.windows(2).all(|t| apart(t[0], t[1])) {
                breaches.push(format!("loads into {table} overlap"));
            }
        }
        let further = entries.len() - by_statement.len();
        if further as f64 > 5.0 + 0.1 * taken as f64 {
            breaches.push(format!("{further} further attempts for {taken} requests"));
        }
        breaches
    }

    /// Counts the retry budget as operators do, at each further attempt over the window that ends there, with their slack of 15
    /// in 100 and one attempt: each attempt that goes beyond it, in words. `taken`: when requests were handed in.
    pub fn budget_breaches(&self, budget: &Budget, taken: &[Instant]) -> Vec<String> {
        self.budget_breaches_of("", budget, taken)
    }

    /// The same of those alone whose statement holds this text.
    pub fn budget_breaches_of(
        &self,
        text: &str,
        budget: &Budget,
        taken: &[Instant],
    ) -> Vec<String> {
        let entries = self.of(text);
        let mut seen = BTreeSet::new();
        let further: Vec<&Entry> = entries
            .iter()
            .filter(|e| !seen.insert(&e.statement))
            .collect();
        let mut breaches = Vec::new();
        for attempt in &further {
            let within =
                |at: &Instant| *at <= attempt.at && attempt.at.duration_since(*at) < budget.window;
            let made = further.iter().filter(|f| within(&f.at)).count();
            let taken = taken.iter().filter(|t| within(t)).count();
            let allowed = (budget.free + budget.ratio * taken as f64) * BUDGET_SLACK + 1.0;
            if made as f64 > allowed {
                let statement = &attempt.statement;
                breaches.push(format!(
                    "{statement}: attempt {made} where {taken} taken allow {allowed:.1}"
                ));
            }
        }
        breaches
    }

    /// Panics with all breaches, if there are any.
    pub fn assert_rules(&self, taken: usize) {
        let breaches = self.breaches(taken);
        assert!(breaches.is_empty(), "{breaches:#?}");
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_breach_is_counted() {
        let ledger = RequestLog::default();
        let run = |statement: &str, id: &str, ran| {
            let entry = ledger.begin("e", id, statement, None);
            ledger.end(entry, ran);
        };
        run("INSERT INTO t VALUES (1)", "a", false);
        run("INSERT INTO t VALUES (1)", "a", true);
        run("SELECT 1", "b", true);
        run("SELECT 1", "b~1", true);
        assert_eq!(ledger.breaches(20), Vec::<String>::new());
        run("INSERT INTO t VALUES (1)", "a~2", true);
        run("SELECT 1", "b~1", true);
        let open = ledger.begin("e", "c", "INSERT INTO u VALUES (2)", None);
        run("INSERT INTO u VALUES (3)", "d", true);
        ledger.end(open, true);
        (0..7).for_each(|n| run("SELECT 7", &format!("s{n}"), true));
        let breaches = ledger.breaches(20).join("; ");
        for words in [
            "run twice",
            "overlap",
            "under an id",
            "7 attempts",
            "further attempts for",
        ] {
            assert!(breaches.contains(words), "{words}: {breaches}");
        }
    }
}
