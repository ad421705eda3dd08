//! The rules, counted from outside: at the clients by what they got, at the engines by their request log.

use super::client::{End, RequestRecord, CLOSE_CROSSING_TIME, LATE_TIME};
use super::coordinator::{EndedProcess, ProcessEnd};
use super::list::EngineList;
use super::plan::Plan;
use super::ProcessId;
use driftfront_mock_servers::request_log::{Entry, RequestLog};
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// A drain is known within this time to all, a new connection to the list included, and heeded within the settings' grace.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A response may come so much behind its time: the rules' slack, and what a busy machine takes.
const LATE_SLACK: Duration = Duration::from_millis(100);

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// A request was accepted and got no response, or something that is none.
    Lost,
    /// What must not run twice was sent twice.
    Duplicate,
    /// A request was sent to an engine that drains.
    Drain,
    /// There were more retries than the budget allows.
    RetryBudget,
    /// A process ended badly.
    Crash,
    /// A process that got a SIGTERM had to be killed.
    Killed,
}

/// One case of a broken rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleBreach {
    /// The rule.
    pub rule: Breach,
    /// The case, in words.
    pub description: String,
}

/// What a process logged.
#[derive(Clone, Debug)]
pub struct ProcessLog {
    /// Which process.
    pub process: ProcessId,
    /// Its log.
    pub text: String,
}

/// What a soak showed.
#[derive(Debug, Default)]
pub struct Report {
    /// How many requests were sent.
    pub requests: usize,
    /// How many got each status.
    pub statuses: BTreeMap<u16, usize>,
    /// Responses that came behind their time, within the half second in which they only earn nothing.
    pub late: usize,
    /// Requests that crossed the close of their connection: their clients send them again.
    pub crossed_a_close: usize,
    /// Attempts beyond a request's first.
    pub retries: usize,
    /// How many processes ended.
    pub processes: usize,
    /// Broken rules.
    pub violations: Vec<RuleBreach>,
    /// Logs of all processes, to trace a breach.
    pub logs: Vec<ProcessLog>,
}

impl Report {
    fn add_breach(&mut self, rule: Breach, description: String) {
        self.violations.push(RuleBreach { rule, description });
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, {} further attempts, by status {:?}, {} late, {} crossed a close, {} processes ended, \
             {} broken rules",
            self.requests,
            self.retries,
            self.statuses,
            self.late,
            self.crossed_a_close,
            self.processes,
            self.violations.len()
        )?;
        for RuleBreach { rule, description } in &self.violations {
            write!(f, "\n  {rule:?}: {description}")?;
        }
        Ok(())
    }
}

/// What engines were sent, by statement.
type SentStatements<'a> = BTreeMap<&'a str, Vec<&'a Entry>>;

/// Judges a soak that is over.
pub(super) fn judge(
    plan: &Plan,
    requests: &[RequestRecord],
    request_log: &RequestLog,
    list: &EngineList,
    ended_processes: Vec<EndedProcess>,
) -> Report {
    let entries = request_log.of("");
    let mut sent = SentStatements::new();
    for entry in &entries {
        sent.entry(&entry.statement).or_default().push(entry);
    }
    let mut report = Report {
        requests: requests.len(),
        processes: ended_processes.len(),
        retries: entries.len() - sent.len(),
        ..Report::default()
    };
    judge_responses(requests, &sent, &ended_processes, &mut report);
    judge_duplicates(&sent, &mut report);
    judge_drains(&entries, list, &mut report);
    judge_retry_budgets(plan, requests, request_log, &mut report);
    judge_processes(&ended_processes, &mut report);
    report.logs = ended_processes
        .into_iter()
        .map(|ended| ProcessLog {
            process: ended.id,
            text: ended.log,
        })
        .collect();
    report.violations.sort();
    report
}

/// Each request gets one response in time. One that crosses the close of its connection does not count, if no engine got it.
fn judge_responses(
    requests: &[RequestRecord],
    sent: &SentStatements,
    ended_processes: &[EndedProcess],
    report: &mut Report,
) {
    for request in requests {
        let was_sent = sent.contains_key(request.statement.as_str());
        match request.end {
            End::Answered(status) => {
                *report.statuses.entry(status).or_default() += 1;
                report.late += usize::from(request.duration > request.timeout + LATE_SLACK);
            }
            End::Unanswered if request.duration < CLOSE_CROSSING_TIME && !was_sent => {
                report.crossed_a_close += 1;
            }
            End::Unanswered | End::Wrong => {
                report.add_breach(Breach::Lost, describe(request, sent, ended_processes));
            }
        }
    }
}

fn describe(
    request: &RequestRecord,
    sent: &SentStatements,
    ended_processes: &[EndedProcess],
) -> String {
    let time_after_sigterm = ended_processes
        .iter()
        .find(|ended| ended.id == request.process)
        .and_then(|ended| request.sent_at.checked_duration_since(ended.terminated_at));
    let when = match time_after_sigterm {
        Some(time) => format!("{} ms behind SIGTERM", time.as_millis()),
        None => "before any SIGTERM".into(),
    };
    let attempts = sent.get(request.statement.as_str()).map_or(0, Vec::len);
    format!(
        "{} {} ({when}, {attempts} attempts): {:?} after {} ms of {} and {}",
        request.process,
        request.statement,
        request.end,
        request.duration.as_millis(),
        request.timeout.as_millis(),
        LATE_TIME.as_millis()
    )
}

/// An insert runs at most once.
fn judge_duplicates(sent: &SentStatements, report: &mut Report) {
    for (statement, entries) in sent {
        let may_have_run = entries.iter().filter(|entry| entry.ran).count();
        if statement.starts_with("INSERT") && may_have_run > 1 {
            report.add_breach(
                Breach::Duplicate,
                format!("{statement}: {may_have_run} times"),
            );
        }
    }
}

/// An engine that drains gets nothing more.
fn judge_drains(entries: &[Entry], list: &EngineList, report: &mut Report) {
    for drain in list.drains() {
        let engine = drain.engine.to_string();
        let is_late =
            |entry: &&Entry| entry.engine == engine && entry.at > drain.reported_at + DRAIN_TIMEOUT;
        for entry in entries.iter().filter(is_late) {
            let after = entry.at.duration_since(drain.reported_at).as_millis();
            report.add_breach(
                Breach::Drain,
                format!("{} {after} ms behind the word", entry.statement),
            );
        }
    }
}

/// Each process keeps to a retry budget of its own: statements name the process.
fn judge_retry_budgets(
    plan: &Plan,
    requests: &[RequestRecord],
    request_log: &RequestLog,
    report: &mut Report,
) {
    let mut accepted: BTreeMap<ProcessId, Vec<Instant>> = BTreeMap::new();
    for request in requests {
        let times = accepted.entry(request.process).or_default();
        times.push(request.sent_at);
    }
    for (id, times) in accepted {
        let name = format!(" c{}p{}n", id.coordinator, id.process);
        for description in request_log.budget_breaches_of(&name, &plan.budget, &times) {
            report.add_breach(Breach::RetryBudget, description);
        }
    }
}

/// A process ends with success before the platform's kill.
fn judge_processes(ended_processes: &[EndedProcess], report: &mut Report) {
    for ended in ended_processes {
        match ended.end {
            ProcessEnd::Success => {}
            ProcessEnd::Crash(status) => {
                report.add_breach(Breach::Crash, format!("{} {status}", ended.id));
            }
            ProcessEnd::Killed => {
                let description = format!("{} did not end by itself", ended.id);
                report.add_breach(Breach::Killed, description);
            }
        }
    }
}
