//! Checks the rules of a soak test from outside the processes: by what clients received and by the engines' request log.

use super::client::{Outcome, RequestRecord, CLOSE_RACE_TIME, LATE_RESPONSE_TIME};
use super::coordinator::{EndedProcess, ProcessEnd};
use super::list::EngineList;
use super::plan::Plan;
use super::ProcessId;
use driftfront_mock_servers::request_log::{Entry, RequestLog};
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// A drain must reach all coordinators and take effect within this time. This includes a new connection to the list and the drain
/// grace period of the settings.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How late a response may be: the slack that the rules allow, and scheduling delays of a busy machine.
const LATE_SLACK: Duration = Duration::from_millis(100);

/// A rule that every soak test checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An accepted request got no response, or one that does not belong to it.
    Lost,
    /// An insert ran more than once.
    Duplicate,
    /// An attempt was sent to a draining engine.
    Drain,
    /// There were more retries than the retry budget allows.
    RetryBudget,
    /// A process crashed or exited with an error.
    Crash,
    /// A process did not exit in time after SIGTERM and was killed.
    Killed,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What happened.
    pub description: String,
}

/// The log of a process.
#[derive(Clone, Debug)]
pub struct ProcessLog {
    /// The process.
    pub process: ProcessId,
    /// Its log.
    pub text: String,
}

/// The results of a soak test.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of responses by status.
    pub statuses: BTreeMap<u16, usize>,
    /// Number of responses that came after the client's timeout but within half a second of it. These don't violate a rule.
    pub late: usize,
    /// Number of requests that raced with the close of their connection. Clients have to retry these.
    pub close_races: usize,
    /// Number of attempts beyond the first of each request.
    pub retries: usize,
    /// Number of processes that ended.
    pub processes: usize,
    /// Rule violations.
    pub violations: Vec<Violation>,
    /// Logs of all processes, to analyze violations.
    pub logs: Vec<ProcessLog>,
}

impl Report {
    fn add_violation(&mut self, rule: Rule, description: String) {
        self.violations.push(Violation { rule, description });
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests, {} retries, by status {:?}, {} late, {} raced with a close, {} processes ended, \
             {} violations",
            self.requests,
            self.retries,
            self.statuses,
            self.late,
            self.close_races,
            self.processes,
            self.violations.len()
        )?;
        for Violation { rule, description } in &self.violations {
            write!(f, "\n  {rule:?}: {description}")?;
        }
        Ok(())
    }
}

/// Attempts received by engines, by statement.
type AttemptsByStatement<'a> = BTreeMap<&'a str, Vec<&'a Entry>>;

/// Checks the rules after a soak test, and returns its report.
pub(super) fn check(
    plan: &Plan,
    requests: &[RequestRecord],
    request_log: &RequestLog,
    list: &EngineList,
    ended_processes: Vec<EndedProcess>,
) -> Report {
    let entries = request_log.of("");
    let mut attempts = AttemptsByStatement::new();
    for entry in &entries {
        attempts.entry(&entry.statement).or_default().push(entry);
    }
    let mut report = Report {
        requests: requests.len(),
        processes: ended_processes.len(),
        retries: entries.len() - attempts.len(),
        ..Report::default()
    };
    check_responses(requests, &attempts, &ended_processes, &mut report);
    check_duplicates(&attempts, &mut report);
    check_drains(&entries, list, &mut report);
    check_retry_budgets(plan, requests, request_log, &mut report);
    check_processes(&ended_processes, &mut report);
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

/// Checks that each request got one response in time. A request that raced with the close of its connection is excepted if no engine
/// received it.
fn check_responses(
    requests: &[RequestRecord],
    attempts: &AttemptsByStatement,
    ended_processes: &[EndedProcess],
    report: &mut Report,
) {
    for request in requests {
        let was_sent = attempts.contains_key(request.statement.as_str());
        match request.outcome {
            Outcome::Answered(status) => {
                *report.statuses.entry(status).or_default() += 1;
                report.late += usize::from(request.duration > request.timeout + LATE_SLACK);
            }
            Outcome::Unanswered if request.duration < CLOSE_RACE_TIME && !was_sent => {
                report.close_races += 1;
            }
            Outcome::Unanswered | Outcome::Mismatched => {
                report.add_violation(Rule::Lost, describe(request, attempts, ended_processes));
            }
        }
    }
}

fn describe(
    request: &RequestRecord,
    attempts: &AttemptsByStatement,
    ended_processes: &[EndedProcess],
) -> String {
    let time_after_sigterm = ended_processes
        .iter()
        .find(|ended| ended.id == request.process)
        .and_then(|ended| request.sent_at.checked_duration_since(ended.terminated_at));
    let when = match time_after_sigterm {
        Some(time) => format!("{} ms after SIGTERM", time.as_millis()),
        None => "before any SIGTERM".into(),
    };
    let attempts = attempts.get(request.statement.as_str()).map_or(0, Vec::len);
    format!(
        "{} {} ({when}, {attempts} attempts): {:?} after {} ms of {} and {}",
        request.process,
        request.statement,
        request.outcome,
        request.duration.as_millis(),
        request.timeout.as_millis(),
        LATE_RESPONSE_TIME.as_millis()
    )
}

/// Checks that no insert ran more than once.
fn check_duplicates(attempts: &AttemptsByStatement, report: &mut Report) {
    for (statement, entries) in attempts {
        let may_have_run = entries.iter().filter(|entry| entry.may_have_run).count();
        if statement.starts_with("INSERT") && may_have_run > 1 {
            report.add_violation(
                Rule::Duplicate,
                format!("{statement}: {may_have_run} times"),
            );
        }
    }
}

/// Checks that draining engines received no further requests.
fn check_drains(entries: &[Entry], list: &EngineList, report: &mut Report) {
    for drain in list.drains() {
        let engine = drain.engine.to_string();
        let is_late =
            |entry: &&Entry| entry.engine == engine && entry.at > drain.reported_at + DRAIN_TIMEOUT;
        for entry in entries.iter().filter(is_late) {
            let after = entry.at.duration_since(drain.reported_at).as_millis();
            report.add_violation(
                Rule::Drain,
                format!(
                    "{} {after} ms after the drain was reported",
                    entry.statement
                ),
            );
        }
    }
}

/// Checks the retry budget of each process. Statements contain the number of the process.
fn check_retry_budgets(
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
            report.add_violation(Rule::RetryBudget, description);
        }
    }
}

/// Checks that each process exited successfully before it would have been killed.
fn check_processes(ended_processes: &[EndedProcess], report: &mut Report) {
    for ended in ended_processes {
        match ended.end {
            ProcessEnd::Success => {}
            ProcessEnd::Crash(status) => {
                report.add_violation(Rule::Crash, format!("{} {status}", ended.id));
            }
            ProcessEnd::Killed => {
                let description = format!("{} did not exit in time", ended.id);
                report.add_violation(Rule::Killed, description);
            }
        }
    }
}
