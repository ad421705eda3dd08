//! Rules that show from the engines.

use super::{Budget, Entry};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Attempts that one request may have.
const MAX_ATTEMPTS: usize = 6;
/// Further attempts that are allowed whatever the traffic.
const FREE_FURTHER_ATTEMPTS: f64 = 5.0;
/// Further attempts that are allowed for each request.
const FURTHER_ATTEMPTS_RATIO: f64 = 0.1;
/// What operators allow beyond a retry budget, as a multiple; one attempt comes on top.
const BUDGET_SLACK: f64 = 1.15;

/// Checks all rules but retry budgets.
pub(super) fn check_all(entries: &[Entry], requests: usize) -> Vec<String> {
    let mut by_statement: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    let mut by_table: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in entries {
        let statement = entry.statement.as_str();
        by_statement.entry(statement).or_default().push(entry);
        if let Some(insert) = statement.strip_prefix("INSERT INTO ") {
            let table = insert.split([' ', '(']).next().unwrap_or_default();
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
    if statement.starts_with("INSERT") && may_have_run().count() > 1 {
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

/// Whether an attempt began before the one before it had ended. One that was given up ended when its connection was closed,
/// which its engine sees a moment later.
fn has_overlap(attempts: &[&Entry]) -> bool {
    let overlaps = |earlier: &Entry, later: &Entry| {
        let has_ended = earlier.end_seq.is_some_and(|end| end < later.start_seq);
        !earlier.client_left && !has_ended
    };
    attempts.windows(2).any(|pair| overlaps(pair[0], pair[1]))
}

/// Checks a retry budget at each further attempt.
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
        let made = further
            .iter()
            .filter(|other| is_in_window(&other.at))
            .count();
        let taken = requests.iter().filter(|at| is_in_window(at)).count();
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
