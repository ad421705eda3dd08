//! Rules that can be checked on the statements that engines received.

use super::{Budget, Entry};
use crate::engine::inserted_table;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: usize = 6;
/// Further attempts that are allowed regardless of the traffic.
const FREE_FURTHER_ATTEMPTS: f64 = 5.0;
/// Further attempts that are allowed per request.
const FURTHER_ATTEMPTS_RATIO: f64 = 0.1;
/// The operators' tolerance for a retry budget: this factor on the allowed number of attempts, plus one attempt.
const BUDGET_TOLERANCE: f64 = 1.15;

/// Checks all rules except retry budgets.
pub(super) fn check_all(entries: &[Entry], requests: usize) -> Vec<String> {
    let mut by_statement: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    let mut by_table: BTreeMap<String, Vec<&Entry>> = BTreeMap::new();
    for entry in entries {
        let statement = entry.statement.as_str();
        by_statement.entry(statement).or_default().push(entry);
        if let Some(table) = inserted_table(statement) {
            by_table.entry(table).or_default().push(entry);
        }
    }
    let mut breaches = Vec::new();
    for (statement, attempts) in &by_statement {
        breaches.extend(check_attempts(statement, attempts));
    }
    for (table, inserts) in &by_table {
        if has_overlap(inserts) {
            breaches.push(format!("loads into {table} overlap"));
        }
    }
    let further = entries.len() - by_statement.len();
    let allowed = FREE_FURTHER_ATTEMPTS + FURTHER_ATTEMPTS_RATIO * requests as f64;
    if further as f64 > allowed {
        breaches.push(format!(
            "{further} further attempts for {requests} requests"
        ));
    }
    breaches
}

/// Checks all attempts of one statement.
fn check_attempts(statement: &str, attempts: &[&Entry]) -> Vec<String> {
    let mut breaches = Vec::new();
    if attempts.len() > MAX_ATTEMPTS {
        breaches.push(format!("{} attempts of {statement}", attempts.len()));
    }
    if has_overlap(attempts) {
        breaches.push(format!("two attempts at once of {statement}"));
    }
    let may_have_run = || attempts.iter().filter(|attempt| attempt.may_have_run);
    let is_insert = statement.starts_with("INSERT") || inserted_table(statement).is_some();
    if is_insert && may_have_run().count() > 1 {
        breaches.push(format!("may have run twice: {statement}"));
    }
    let ids: BTreeSet<&String> = may_have_run().map(|attempt| &attempt.id).collect();
    if ids.len() < may_have_run().count() {
        breaches.push(format!(
            "a further attempt under an id that may still run: {statement}"
        ));
    }
    breaches
}

/// Whether an attempt started before the previous one had ended. An attempt whose client disconnected is taken to have ended
/// then, since its engine notices the disconnect with a delay.
fn has_overlap(attempts: &[&Entry]) -> bool {
    let overlaps = |earlier: &Entry, later: &Entry| {
        let has_ended = earlier.end_seq.is_some_and(|end| end < later.start_seq);
        !earlier.client_left && !has_ended
    };
    attempts.windows(2).any(|pair| overlaps(pair[0], pair[1]))
}

/// Checks a retry budget for each further attempt.
pub(super) fn check_budget(
    entries: &[Entry],
    budget: &Budget,
    requests: &[Instant],
) -> Vec<String> {
    let mut seen = BTreeSet::new();
    let further = entries
        .iter()
        .filter(|entry| !seen.insert(&entry.statement));
    let further: Vec<&Entry> = further.collect();
    let mut breaches = Vec::new();
    for attempt in &further {
        let is_in_window =
            |at: &Instant| *at <= attempt.at && attempt.at.duration_since(*at) < budget.window;
        let attempts = further
            .iter()
            .filter(|other| is_in_window(&other.at))
            .count();
        let requests = requests.iter().filter(|at| is_in_window(at)).count();
        let allowed = (budget.free + budget.ratio * requests as f64) * BUDGET_TOLERANCE + 1.0;
        if attempts as f64 > allowed {
            let statement = &attempt.statement;
            breaches.push(format!(
                "{statement}: attempt {attempts} in a window where {requests} requests allow {allowed:.1}"
            ));
        }
    }
    breaches
}
