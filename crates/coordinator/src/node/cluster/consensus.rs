//! This process's participation in the consensus log: the log is opened with its file in the state folder, and closed when a
//! successor takes over.

use super::holds::PendingHold;
use super::log_file::{LockedLogFile, LogFileError, LogWriter};
use super::ClusterRuntime;
use crate::file_writer::{FileWriter, WriteCompleted};
use crate::node::Node;
use calloop::channel::{channel, Event};
use driftfront_cluster::consensus::{Options, Role};
use driftfront_cluster::State;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io;
use std::time::{Duration, Instant};

/// The interval of attempts to take the log's lock while another process of this coordinator holds it.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The state around the agent's consensus log: its writer, and the operators waiting for decisions.
#[derive(Default)]
pub(super) struct ConsensusHost {
    writer: LogWriter,
    /// Operators waiting for an outcome, by the number of their request to the log.
    pub(super) pending_holds: BTreeMap<u64, PendingHold>,
    /// When to try to take the lock again.
    next_lock_attempt: Option<Instant>,
    /// The log was released to a successor or at the end of the process, or a write failed. Nothing may be sent that depends
    /// on state which cannot be persisted.
    is_closed: bool,
    /// Failed operations on the file.
    failures: u64,
}

/// Why the log's file cannot be opened.
#[derive(Debug, thiserror::Error)]
enum OpenLogError {
    /// The file cannot be opened, locked or read.
    #[error(transparent)]
    File(#[from] LogFileError),
    /// The writer thread cannot be started.
    #[error("{0}")]
    Thread(#[source] io::Error),
    /// The channel of write completions cannot be registered with the event loop.
    #[error("event loop: error inserting event source: {0}")]
    WriteEvents(#[source] calloop::Error),
}

impl ConsensusHost {
    /// Whether an attempt to open the log is permitted now.
    fn may_open(&self) -> bool {
        !self.is_closed && self.next_lock_attempt.is_none_or(|at| Instant::now() >= at)
    }
}

/// The result of opening the log's file.
enum LogFile {
    /// There is no state folder.
    None,
    /// Another process of this coordinator holds the lock.
    LockedElsewhere,
    /// This process holds the lock.
    Open { bytes: Vec<u8>, writer: FileWriter },
}

impl ClusterRuntime {
    /// Whether the log is closed and may be opened now.
    fn should_open_log(&self) -> bool {
        self.agent.consensus().is_none() && self.consensus.may_open()
    }

    /// Closes the writer after a failed write: nothing more can be persisted, so nothing more may be sent.
    fn stop_log_writes(&mut self) {
        self.consensus.writer.close();
        self.consensus.is_closed = true;
    }

    /// Submits the agent's pending writes to the log's writer.
    pub(super) fn persist_log_writes(&mut self) {
        while let Some(write) = self.agent.next_write() {
            self.consensus.writer.push(write);
        }
        self.consensus.writer.submit();
    }

    /// Releases the log for the next process of this coordinator. Pending requests are not waited for.
    fn close_log(&mut self) {
        if std::mem::replace(&mut self.consensus.is_closed, true) {
            return;
        }
        self.persist_log_writes();
        self.agent.close_consensus();
        self.consensus.writer.close();
    }

    /// Counters of the consensus log, by name; empty if this process does not take part in it.
    pub(super) fn consensus_counters(&self) -> Vec<(&'static str, u64)> {
        let Some(consensus) = self.agent.consensus() else {
            return Vec::new();
        };
        let counters = consensus.counters();
        let view = consensus.view();
        let is_leader = consensus.replica().is_some_and(|replica| replica.leads());
        vec![
            ("agreed_votes", u64::from(view.role == Role::Voting)),
            ("agreed_leads", u64::from(is_leader)),
            ("agreed_index", view.index),
            ("agreed_lent_now", view.leases.len() as u64),
            ("agreed_asked", counters.requests_sent),
            ("agreed_unanswered", counters.timed_out),
            ("agreed_turned_away", counters.rejected),
            ("agreed_lent", counters.granted),
            ("agreed_ended", counters.ended),
            ("agreed_given_back_late", counters.released_late),
            ("agreed_leaders_seen", counters.leaders),
            ("agreed_replicas_lost", counters.replicas_lost),
            ("agreed_voters_changed", counters.voter_changes),
            ("agreed_words_unread", counters.malformed),
            ("agreed_words_foreign", counters.other_log),
            ("agreed_clock_back", counters.clock_set_back),
            ("agreed_disk_failed", self.consensus.failures),
        ]
    }
}

impl Node {
    /// Opens the consensus log, or schedules another attempt if another process of this coordinator still holds it.
    pub(super) fn open_log(&mut self) {
        let Some(config) = self.config.cluster.clone() else {
            return;
        };
        let cluster = self.cluster.as_ref();
        if !cluster.is_some_and(|cluster| cluster.should_open_log()) {
            return;
        }
        let opened = self.open_log_file();
        let Some(cluster) = self.cluster.as_mut() else {
            return;
        };
        let mut options = Options {
            initial_voters: config.voters,
            replace_after: config.replace_after,
            zone: config.zone,
            file: None,
        };
        let mut file_error = None;
        match opened {
            Ok(LogFile::None) => {}
            Ok(LogFile::LockedElsewhere) => {
                cluster.consensus.next_lock_attempt = Some(Instant::now() + LOCK_RETRY_INTERVAL);
                return;
            }
            Ok(LogFile::Open { bytes, writer }) => {
                options.file = Some(bytes);
                cluster.consensus.writer.open(writer);
            }
            Err(error) => {
                // Without its file this process only observes and sends requests: a voter must persist what it acknowledges.
                options.initial_voters.clear();
                cluster.consensus.writer.close();
                file_error = Some(error);
            }
        }
        let log_error = cluster.agent.open_consensus(options);
        if let Some(error) = file_error {
            self.report_log_failure(&error);
        }
        if let Some(error) = log_error {
            self.report_log_failure(&error);
        }
    }

    /// Opens the log's file, if there is a state folder, and starts its writer.
    fn open_log_file(&mut self) -> Result<LogFile, OpenLogError> {
        let Some(folder) = &self.config.state_folder else {
            return Ok(LogFile::None);
        };
        let Some(mut file) = LockedLogFile::open(folder)? else {
            return Ok(LogFile::LockedElsewhere);
        };
        let bytes = std::mem::take(&mut file.bytes);
        let writer = self.start_log_writer(file)?;
        Ok(LogFile::Open { bytes, writer })
    }

    fn start_log_writer(&mut self, file: LockedLogFile) -> Result<FileWriter, OpenLogError> {
        let (sender, completions) = channel();
        let writer = file
            .start_writer(move |completed| drop(sender.send(completed)))
            .map_err(OpenLogError::Thread)?;
        let on_written = |event: Event<WriteCompleted>, _: &mut (), node: &mut Node| {
            if let Event::Msg(completed) = event {
                node.catch_panic("a write completion", |node| {
                    node.handle_log_written(completed)
                });
            }
        };
        self.handle
            .insert_source(completions, on_written)
            .map_err(|refused| OpenLogError::WriteEvents(refused.error))?;
        Ok(writer)
    }

    fn report_log_failure(&mut self, error: &dyn Display) {
        if let Some(cluster) = &mut self.cluster {
            cluster.consensus.failures += 1;
        }
        tracing::error!(%error, "consensus log cannot be used");
        let message = format!("The consensus log cannot be stored: {error}");
        self.record_event(self.now, message);
    }

    fn handle_log_written(&mut self, completed: WriteCompleted) {
        let Some(cluster) = self.cluster.as_mut() else {
            return;
        };
        match completed.result {
            Ok(()) => {
                cluster.agent.confirm_write(completed.id);
                cluster.send_datagrams();
            }
            Err(error) => {
                cluster.stop_log_writes();
                self.report_log_failure(&error);
            }
        }
    }

    /// Periodic work: opens the log, or releases it if this process is ending, and reports outcomes to operators.
    pub(super) fn update_consensus(&mut self, state: State) {
        self.open_log();
        if state == State::Ending {
            if let Some(cluster) = &mut self.cluster {
                cluster.close_log();
            }
        }
        self.reply_to_decided_holds();
    }
}
