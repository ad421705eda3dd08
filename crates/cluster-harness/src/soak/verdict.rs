//! The rules, counted from outside: at the clients by what they got, at the engines by their ledger.

use super::client::{Asked, End, CROSSES, LATE};
use super::coordinator::Ended;
use super::list::List;
use super::plan::Plan;
use driftfront_mock_servers::ledger::{Entry, RequestLog};
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Drains are told within this time to all, a new connection to the list included, and heeded within the settings' grace.
const DRAIN_WITHIN: Duration = Duration::from_millis(1_000);
/// An answer may come so much behind its time: the rules' slack, and what a busy machine takes.
const SLACK: Duration = Duration::from_millis(100);

/// A broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// Taken and never answered, or answered by what is none.
    Lost,
    /// What must not run twice was sent twice.
    Duplicate,
    /// Sent to an engine that drains.
    Drain,
    /// More further attempts than the budget allows.
    RetryBudget,
    /// A process ended badly.
    Crash,
    /// A process that was told to end had to be killed.
    Killed,
}

/// What a soak showed.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests asked.
    pub asked: usize,
    /// Those that were served, refused, and failed.
    pub ends: BTreeMap<u16, usize>,
    /// Answers that came behind their time, within the half second in which they only earn nothing.
    pub late: usize,
    /// Requests that crossed the close of their connection: their clients send them again.
    pub crossed: usize,
    /// Attempts beyond a request's first.
    pub further: usize,
    /// Processes that ended.
    pub processes: usize,
    /// Broken rules, in words.
    pub breaches: Vec<(Breach, String)>,
    /// Logs of all processes, for whoever traces a breach.
    pub logs: Vec<((usize, u32), String)>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, {} further attempts, by status {:?}, {} late, {} crossed a close, {} processes ended, \
             {} broken rules",
            self.asked,
            self.further,
            self.ends,
            self.late,
            self.crossed,
            self.processes,
            self.breaches.len()
        )?;
        self.breaches
            .iter()
            .try_for_each(|(breach, words)| write!(f, "\n  {breach:?}: {words}"))
    }
}

/// Judges a soak that is over.
pub(super) fn judge(
    plan: &Plan,
    asked: &[Asked],
    ledger: &RequestLog,
    list: &List,
    lives: Vec<Vec<Ended>>,
) -> Report {
    let entries = ledger.of("");
    let mut by_statement: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in &entries {
        by_statement
            .entry(&entry.statement)
            .or_default()
            .push(entry);
    }
    let ended: Vec<Ended> = lives.into_iter().flatten().collect();
    let mut report = Report {
        asked: asked.len(),
        processes: ended.len(),
        ..Report::default()
    };
    report.further = entries.len() - by_statement.len();
    judge_answers(asked, &by_statement, &ended, &mut report);
    judge_repeats(&by_statement, &mut report);
    judge_drains(&entries, list, &mut report);
    judge_budgets(plan, asked, ledger, &mut report);
    for end in &ended {
        let words = |why: &str| format!("{:?} {why}", end.process);
        if let Some(status) = &end.crashed {
            report.breaches.push((Breach::Crash, words(status)));
        }
        if end.killed {
            report
                .breaches
                .push((Breach::Killed, words("did not end by itself")));
        }
    }
    report.logs = ended.into_iter().map(|e| (e.process, e.log)).collect();
    report.breaches.sort();
    report
}

/// Each request gets one answer in time. One that crosses the close of its connection does not count, if it was not sent on.
fn judge_answers(
    asked: &[Asked],
    sent: &BTreeMap<&str, Vec<&Entry>>,
    ended: &[Ended],
    report: &mut Report,
) {
    for a in asked {
        match a.end {
            End::Answered(status) => {
                *report.ends.entry(status).or_default() += 1;
                report.late += usize::from(a.took > a.patience + SLACK);
            }
            End::Unanswered if a.took < CROSSES && !sent.contains_key(&*a.statement) => {
                report.crossed += 1
            }
            End::Unanswered | End::Wrong => report
                .breaches
                .push((Breach::Lost, describe(a, sent, ended))),
        }
    }
}

fn describe(a: &Asked, sent: &BTreeMap<&str, Vec<&Entry>>, ended: &[Ended]) -> String {
    let told = ended
        .iter()
        .find(|e| e.process == a.process)
        .and_then(|e| e.told);
    let behind = |told: Instant| {
        a.at.checked_duration_since(told)
            .map(|d| format!("{} ms behind SIGTERM", d.as_millis()))
    };
    let when = told.and_then(behind).unwrap_or("before any SIGTERM".into());
    let at = sent.get(&*a.statement).map_or(0, Vec::len);
    format!(
        "{:?} {} ({when}, {at} attempts): {:?} after {} ms of {} and {}",
        a.process,
        a.statement,
        a.end,
        a.took.as_millis(),
        a.patience.as_millis(),
        LATE.as_millis()
    )
}

fn judge_repeats(sent: &BTreeMap<&str, Vec<&Entry>>, report: &mut Report) {
    for (statement, entries) in sent {
        let may_have_run = entries.iter().filter(|e| e.ran).count();
        if statement.starts_with("INSERT") && may_have_run > 1 {
            report.breaches.push((
                Breach::Duplicate,
                format!("{statement}: {may_have_run} times"),
            ));
        }
    }
}

fn judge_drains(entries: &[Entry], list: &List, report: &mut Report) {
    for (engine, told) in list.drained() {
        let engine = engine.to_string();
        let late = |e: &&Entry| e.engine == engine && e.at > told + DRAIN_WITHIN;
        for entry in entries.iter().filter(late) {
            let after = entry.at.duration_since(told).as_millis();
            report.breaches.push((
                Breach::Drain,
                format!("{} {after} ms behind the word", entry.statement),
            ));
        }
    }
}

/// The budget is each process's own: its name stands in the statement.
fn judge_budgets(plan: &Plan, asked: &[Asked], ledger: &RequestLog, report: &mut Report) {
    let mut taken: BTreeMap<(usize, u32), Vec<Instant>> = BTreeMap::new();
    for a in asked {
        taken.entry(a.process).or_default().push(a.at);
    }
    for ((coordinator, process), taken) in taken {
        let of = format!(" c{coordinator}p{process}n");
        for words in ledger.budget_breaches_of(&of, &plan.budget, &taken) {
            report.breaches.push((Breach::RetryBudget, words));
        }
    }
}
