//! The hands of what is agreed: its file in the state folder, written by a thread of its own, and operators' holds.
//!
//! In an upgrade two processes of one name run. The log is one process's: whoever has its lock. The one that hands over lets
//! go of it as soon as it does, and the next takes it up then.

use super::ClusterRuntime;
use crate::file_writer::{Disk, Job};
use crate::node::{ConnectionId, Node};
use driftfront_cluster::consensus::leases::{Command, Outcome, MAX_TEXT_BYTES};
use driftfront_cluster::consensus::replica::Write;
use driftfront_cluster::consensus::{store, Options, RequestError, Role};
use driftfront_cluster::State;
use driftfront_control::snapshot::{Consensus as Shown, Held, Voter};
use driftfront_control::Reply;
use driftfront_core::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::Read;
use std::path::Path;
use std::time::{Duration, Instant};

/// The file's name in the state folder, and its lock's.
const NAME: &str = "agreed";
const LOCK: &str = "agreed.lock";
/// Another process of ours has the lock: it is tried again this often.
const LOCK_AGAIN: Duration = Duration::from_millis(500);
/// An operator's hold, as a pot: others' rights have other names.
const HOLD: &str = "hold/";
/// An operator waits so long for a majority.
const PATIENCE: Micros = 5_000_000;

/// What of it is the host's.
#[derive(Default)]
pub(super) struct Log {
    disk: Option<Disk>,
    /// What waits for room at the disk.
    writes: VecDeque<Write>,
    /// Operators that wait for an outcome, by request: the hold's name, and what to say when it is done.
    waiting: BTreeMap<u64, (ConnectionId, u64, String)>,
    /// When to try the lock again.
    again: Option<Instant>,
    /// It was let go for a successor, or for good.
    closed: bool,
    /// The disk failed: what is not kept is not said, so that this replica stands still.
    failed: u64,
}

/// An open log: its file for appending, what it holds, its lock.
type Opened = (File, Vec<u8>, File);

/// Opens the file under its lock; `None` while another process has it.
fn open(folder: &Path) -> Result<Option<Opened>, String> {
    let say = |e: std::io::Error| format!("{}: {e}", folder.join(NAME).display());
    std::fs::create_dir_all(folder).map_err(say)?;
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(folder.join(LOCK))
        .map_err(say)?;
    match lock.try_lock() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => return Ok(None),
        Err(TryLockError::Error(e)) => return Err(say(e)),
    }
    let mut file = OpenOptions::new()
        .read(true)
        .append(true)
        .create(true)
        .open(folder.join(NAME))
        .map_err(say)?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes).map_err(say)?;
    if let Ok(loaded) = store::read(&bytes) {
        if let Some(why) = loaded.damage {
            tracing::warn!(
                "{}: {why}; {} bytes are cut",
                folder.join(NAME).display(),
                bytes.len() - loaded.valid_bytes
            );
            file.set_len(loaded.valid_bytes as u64).map_err(say)?;
            bytes.truncate(loaded.valid_bytes);
        }
    }
    Ok(Some((file, bytes, lock)))
}

impl Node {
    /// Takes part in what is agreed, or waits for another process of ours to let go of the log.
    pub(super) fn open_consensus(&mut self) {
        let Some(config) = self.config.cluster.clone() else {
            return;
        };
        let Some(fleet) = self.cluster.as_mut() else {
            return;
        };
        if fleet.unit.agreed().is_some()
            || fleet.log.closed
            || fleet.log.again.is_some_and(|at| Instant::now() < at)
        {
            return;
        }
        let mut options = Options {
            initial_voters: config.voters,
            replace_after: config.replace_after,
            zone: config.zone,
            file: None,
        };
        let folder = self.config.state_folder.clone();
        let (mut opened, mut fails) = (None, None);
        match folder.as_deref().map(open).transpose() {
            Ok(None) => {}
            Ok(Some(None)) => {
                fleet.log.again = Some(Instant::now() + LOCK_AGAIN);
                return;
            }
            Ok(Some(Some((file, bytes, lock)))) => {
                let path = folder.unwrap_or_default().join(NAME);
                match self.disk(path, file, lock) {
                    Ok(disk) => {
                        options.file = Some(bytes);
                        opened = Some(disk);
                    }
                    Err(why) => fails = Some(why),
                }
            }
            Err(why) => fails = Some(why),
        }
        if let Some(why) = fails {
            // It reads and asks: one that can't keep what it was told to must not decide as if it did.
            options.initial_voters.clear();
            self.log_fails(&why);
        }
        let Some(fleet) = self.cluster.as_mut() else {
            return;
        };
        fleet.log.disk = opened;
        if let Some(wrong) = fleet.unit.open_consensus(options) {
            self.log_fails(&wrong.to_string());
        }
    }

    fn disk(&mut self, path: std::path::PathBuf, file: File, lock: File) -> Result<Disk, String> {
        let (sender, written) = calloop::channel::channel();
        let disk = Disk::open(path, file, Some(lock), move |w| drop(sender.send(w)))
            .map_err(|e| e.to_string())?;
        let on_written = |event: calloop::channel::Event<crate::file_writer::Written>,
                          _: &mut (),
                          node: &mut Node| {
            if let calloop::channel::Event::Msg((number, end)) = event {
                node.guard("a write's end", |node| node.agreed_written(number, end));
            }
        };
        self.handle
            .insert_source(written, on_written)
            .map_err(|e| format!("event loop: {e}"))?;
        Ok(disk)
    }

    fn log_fails(&mut self, why: &str) {
        let now = self.now;
        if let Some(fleet) = self.cluster.as_mut() {
            fleet.log.failed += 1;
        }
        tracing::error!("what is agreed: {why}");
        self.event(now, format!("What is agreed can't be kept: {why}"));
    }

    fn agreed_written(&mut self, number: u64, end: Result<(), String>) {
        match end {
            Ok(()) => {
                if let Some(fleet) = self.cluster.as_mut() {
                    fleet.unit.kept(number);
                }
                self.fleet_sends();
            }
            Err(why) => {
                if let Some(fleet) = self.cluster.as_mut() {
                    // What stands behind a write that failed is of no use: nothing more is kept, and so nothing more said.
                    (fleet.log.disk, fleet.log.closed) = (None, true);
                }
                self.log_fails(&why);
            }
        }
    }

    /// What is to be kept goes to the disk.
    pub(super) fn keep_agreed(&mut self) {
        let Some(fleet) = self.cluster.as_mut() else {
            return;
        };
        while let Some(write) = fleet.unit.next_write() {
            fleet.log.writes.push_back(write);
        }
        let Some(disk) = &fleet.log.disk else {
            return fleet.log.writes.clear();
        };
        while let Some(Write {
            number,
            replaces_file,
            bytes,
        }) = fleet.log.writes.pop_front()
        {
            if let Err(Job {
                number,
                replaces_file,
                bytes,
            }) = disk.ask(Job {
                number,
                replaces_file,
                bytes,
            }) {
                fleet.log.writes.push_front(Write {
                    number,
                    replaces_file,
                    bytes,
                });
                break;
            }
        }
    }

    /// With each sweep.
    pub(super) fn tend_agreed(&mut self, state: State) {
        self.open_consensus();
        let Some(fleet) = self.cluster.as_mut() else {
            return;
        };
        if state == State::Ending && !fleet.log.closed {
            // The next process of this name needs the log; what was asked here is not waited for.
            fleet.log.closed = true;
            self.keep_agreed();
            let Some(fleet) = self.cluster.as_mut() else {
                return;
            };
            fleet.unit.close_consensus();
            fleet.log.disk = None;
        }
        self.tell_outcomes();
    }

    fn tell_outcomes(&mut self) {
        loop {
            let Some(fleet) = self.cluster.as_mut() else {
                return;
            };
            let clock = fleet.clock();
            let Some((request, outcome)) = fleet
                .unit
                .with_consensus(clock, |a, _| a.outcome())
                .flatten()
            else {
                break;
            };
            let Some((conn, id, name)) = fleet.log.waiting.remove(&request) else {
                continue;
            };
            let now = self.now;
            let reply = match words(&name, outcome) {
                Ok(done) => {
                    self.event(now, format!("{done}, by an operator"));
                    Reply::Done(done)
                }
                Err(why) => Reply::Refused(why),
            };
            self.tell_operator(conn, &reply.line(id));
        }
        let Some(fleet) = self.cluster.as_mut() else {
            return;
        };
        if fleet.unit.agreed().is_none() {
            for (conn, id, name) in std::mem::take(&mut fleet.log.waiting).into_values() {
                let why = format!("this coordinator ends; whether {name} is held, see on another");
                self.tell_operator(conn, &Reply::Refused(why).line(id));
            }
        }
    }

    /// An operator takes a hold; told once it is agreed.
    pub(in crate::node) fn hold(
        &mut self,
        to: (ConnectionId, u64),
        name: String,
        for_s: u64,
        stays: bool,
        note: String,
    ) {
        let resource = format!("{HOLD}{name}");
        if resource.len() > MAX_TEXT_BYTES || note.len() > MAX_TEXT_BYTES {
            let why = format!(
                "a name has {} bytes at most, a note {MAX_TEXT_BYTES}",
                MAX_TEXT_BYTES - HOLD.len()
            );
            return self.tell_operator(to.0, &Reply::Refused(why).line(to.1));
        }
        let duration = for_s.saturating_mul(1_000_000);
        self.ask_for(to, name, |_| {
            Ok(Command::Acquire {
                resource,
                amount: 1,
                limit: 1,
                duration,
                stays,
                note,
            })
        });
    }

    /// An operator gives a hold back, whoever took it.
    pub(in crate::node) fn unhold(&mut self, to: (ConnectionId, u64), name: &str) {
        let resource = format!("{HOLD}{name}");
        self.ask_for(to, name.into(), |fleet| {
            let lent = fleet
                .unit
                .agreed()
                .map(|a| a.view().lent)
                .unwrap_or_default();
            let held = lent
                .into_iter()
                .find(|(_, right, _)| right.resource == resource);
            held.map(|(fence, ..)| Command::Revoke { fence })
                .ok_or_else(|| format!("{name} is not held"))
        });
    }

    fn ask_for(
        &mut self,
        to: (ConnectionId, u64),
        name: String,
        command: impl FnOnce(&ClusterRuntime) -> Result<Command, String>,
    ) {
        let refuse = |node: &mut Node, why: String| {
            node.tell_operator(to.0, &Reply::Refused(why).line(to.1))
        };
        let Some(fleet) = self.cluster.as_mut().filter(|f| f.unit.agreed().is_some()) else {
            return refuse(self, "there is no fleet here that could agree on it".into());
        };
        match command(fleet) {
            Ok(command) => {
                let clock = fleet.clock();
                if let Some(request) = fleet
                    .unit
                    .with_consensus(clock, |a, clock| a.ask(clock, command, PATIENCE))
                {
                    fleet.log.waiting.insert(request, (to.0, to.1, name));
                }
                self.tell_outcomes();
                self.fleet_sends();
            }
            Err(why) => refuse(self, why),
        }
    }

    /// What is agreed, for operators.
    pub(in crate::node) fn fleet_agreed(&self) -> Option<Shown> {
        let view = self.cluster.as_ref()?.unit.agreed()?.view();
        let part = match view.part {
            Role::Bootstrapping => "founds",
            Role::Voting => "votes",
            Role::Learning => "learns",
            Role::Observing => "reads",
            Role::Failed => "unfit",
        };
        let held = |(fence, right, left): (
            u64,
            driftfront_cluster::consensus::leases::Lease,
            Option<Micros>,
        )| Held {
            name: right
                .resource
                .strip_prefix(HOLD)
                .unwrap_or(&right.resource)
                .into(),
            fence,
            owner: right.owner,
            amount: right.amount.into(),
            left_s: left.map(|l| l / 1_000_000),
            stays: right.stays,
            note: right.note,
        };
        Some(Shown {
            part: part.into(),
            leader: view.leader.unwrap_or_default(),
            term: view.term,
            index: view.index,
            voters: view
                .voters
                .into_iter()
                .map(|(name, there)| Voter { name, there })
                .collect(),
            missing: view.missing,
            holds: view.lent.into_iter().map(held).collect(),
        })
    }
}

/// What became of a hold, in words.
fn words(name: &str, outcome: Result<Outcome, RequestError>) -> Result<String, String> {
    let seconds = |t: Micros| t.div_ceil(1_000_000);
    match outcome {
        Ok(Outcome::Granted { fence }) => Ok(format!("{name} is held, under number {fence}")),
        Ok(Outcome::Released) => Ok(format!("{name} is given back")),
        Ok(Outcome::Renewed) => Ok(format!("{name} is held for longer")),
        Ok(Outcome::LimitReached { wait: Some(wait), .. }) => {
            Err(format!("{name} is held already, for {} s more", seconds(wait)))
        }
        Ok(Outcome::LimitReached { wait: None, .. }) => Err(format!("{name} is held already, until it is given back")),
        Ok(Outcome::NotOwner) => Err(format!("{name} is not held any more")),
        Ok(Outcome::OutOfBounds) => Err(format!(
            "{name} can't be held so: too many are, or it is for over 10 s where not all who decide keep their log in a \
             state folder, or for over a day"
        )),
        Ok(Outcome::TooEarly { wait }) => {
            Err(format!("nothing is lent for {} s yet: what an earlier log lent must have ended", seconds(wait)))
        }
        Ok(Outcome::Stale) => Err("this process is behind a later one of its name".into()),
        Err(RequestError::TimedOut) => {
            Err(format!("no majority of those who decide answered in time: {name} is not held by this"))
        }
        Err(RequestError::TooManyPending) => Err("too many wait already".into()),
    }
}

/// Counts, by name.
pub(super) fn counters(fleet: &ClusterRuntime) -> Vec<(&'static str, u64)> {
    let Some(agreed) = fleet.unit.agreed() else {
        return Vec::new();
    };
    let c = agreed.counters();
    let view = agreed.view();
    vec![
        ("agreed_votes", u64::from(view.part == Role::Voting)),
        (
            "agreed_leads",
            u64::from(agreed.replica().is_some_and(|r| r.leads())),
        ),
        ("agreed_index", view.index),
        ("agreed_lent_now", view.lent.len() as u64),
        ("agreed_asked", c.asked),
        ("agreed_unanswered", c.unanswered),
        ("agreed_turned_away", c.turned_away),
        ("agreed_lent", c.lent),
        ("agreed_ended", c.ended),
        ("agreed_given_back_late", c.given_back),
        ("agreed_leaders_seen", c.leaders),
        ("agreed_replicas_lost", c.replicas_lost),
        ("agreed_voters_changed", c.changes),
        ("agreed_words_unread", c.unread),
        ("agreed_words_foreign", c.foreign),
        ("agreed_clock_back", c.clock_back),
        ("agreed_disk_failed", fleet.log.failed),
    ]
}
