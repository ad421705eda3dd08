//! Processing of the output of `raft`.
//!
//! Order matters: messages that acknowledge entries or votes are sent only once these are persistent. Committed entries are
//! applied at once, since a majority has them.

use super::config::ELECTION_TICKS;
use super::{conf_change, Applied, Replica, WaitingMessages, Write};
use crate::consensus::leases::{Entry as LeaseEntry, RequestId};
use crate::consensus::state::State;
use crate::consensus::store;
use raft::eraftpb::{Entry, EntryType, Message, MessageType, Snapshot};
use raft::{ProgressState, Ready, SnapshotStatus};
use rand::Rng;

/// How many copies of a vote or vote request are sent: `raft` sends each once per election, and a lost one delays the election
/// by one or two seconds.
const VOTE_COPIES: usize = 3;
/// A snapshot that is not acknowledged within this many ticks is sent again.
const SNAPSHOT_TIMEOUT_TICKS: u64 = 30;

impl Replica {
    /// Processes all pending output of `raft`.
    pub(super) fn process_ready(&mut self) {
        self.draw_election_timeout();
        while self.raft.has_ready() {
            let ready = self.raft.ready();
            self.process_one(ready);
            self.draw_election_timeout();
        }
    }

    fn process_one(&mut self, mut ready: Ready) {
        self.send(ready.take_messages());
        let snapshot = ready.snapshot().clone();
        let has_snapshot = snapshot.get_metadata().index > 0;
        if has_snapshot {
            self.install_snapshot(snapshot);
        }
        let records = self.append_to_log(&mut ready);
        let messages = ready.take_persisted_messages();
        let committed = ready.take_committed_entries();
        let ready_number = ready.number();
        let must_wait = has_snapshot || ready.must_sync();
        self.raft.advance_append_async(ready);
        let write_number = if has_snapshot {
            self.write_file()
        } else if records.is_empty() {
            self.last_write
        } else {
            self.push_write(false, records)
        };
        if self.waiting.is_empty() && !must_wait {
            self.handle_persisted(ready_number, messages);
        } else {
            self.waiting.push_back(WaitingMessages {
                ready_number,
                write_number,
                messages,
            });
        }
        self.apply_committed(committed);
    }

    /// Adds entries and the hard state to the log; returns their records, to be appended to its file.
    fn append_to_log(&mut self, ready: &mut Ready) -> Vec<u8> {
        let mut records = Vec::new();
        let entries = ready.take_entries();
        for entry in &entries {
            records.extend(store::entry_record(entry));
        }
        let mut log = self.log.0.borrow_mut();
        if let Some(hard_state) = ready.hs() {
            records.extend(store::hard_state_record(hard_state));
            log.set_hard_state(hard_state.clone());
        }
        let appended = log.append(entries);
        assert!(appended.is_ok(), "raft appends without gaps: {appended:?}");
        records
    }

    fn apply_committed(&mut self, committed: Vec<Entry>) {
        let any = !committed.is_empty();
        let mut voters_changed = false;
        for entry in committed {
            voters_changed |= self.apply(&entry);
        }
        if any {
            self.raft.advance_apply();
        }
        let is_due = voters_changed || self.log.0.borrow().is_compaction_due();
        if is_due && !self.is_outdated {
            self.compact();
        }
    }

    /// Replaces the election timeout that `raft` draws from system randomness by one from the seeded generator.
    fn draw_election_timeout(&mut self) {
        let now = (self.raft.raft.term, self.raft.raft.state);
        if now != self.timeout_drawn_for {
            self.timeout_drawn_for = now;
            let ticks = self.rng.random_range(ELECTION_TICKS..2 * ELECTION_TICKS);
            self.raft.raft.set_randomized_election_timeout(ticks);
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let copies = if is_about_votes(&message) {
                VOTE_COPIES
            } else {
                1
            };
            for _ in 1..copies {
                self.outgoing.push_back(message.clone());
            }
            self.outgoing.push_back(message);
        }
    }

    /// Handles that the `raft` ready with this number is persistent: sends the messages that waited for it.
    pub(super) fn handle_persisted(&mut self, ready_number: u64, messages: Vec<Message>) {
        self.raft.on_persist_ready(ready_number);
        self.send(messages);
        // A snapshot counts as applied only once it is persistent.
        let log = &self.raft.raft.raft_log;
        let is_behind = log.applied() < self.applied_index;
        if is_behind && self.applied_index <= log.committed.min(log.persisted) {
            self.raft.advance_apply_to(self.applied_index);
        }
    }

    /// Makes `raft` resend snapshots that were not acknowledged in time.
    pub(super) fn resend_late_snapshots(&mut self) {
        let now = self.ticks;
        let is_late = |since: u64| now > since + SNAPSHOT_TIMEOUT_TICKS;
        let late: Vec<u64> = self
            .snapshots_sent
            .iter()
            .filter(|(_, &since)| is_late(since))
            .map(|(&id, _)| id)
            .collect();
        for id in late {
            self.snapshots_sent.remove(&id);
            let progress = self.raft.raft.prs().get(id);
            if progress.is_some_and(|p| p.state == ProgressState::Snapshot) {
                self.raft.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    fn push_write(&mut self, replaces_file: bool, bytes: Vec<u8>) -> u64 {
        self.last_write += 1;
        self.writes.push_back(Write {
            number: self.last_write,
            replaces_file,
            bytes,
        });
        self.last_write
    }

    /// Queues a write of the complete file; returns its number.
    pub(super) fn write_file(&mut self) -> u64 {
        let bytes = store::encode_file(&self.log.0.borrow());
        self.push_write(true, bytes)
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        match State::decode(snapshot.get_data()) {
            Some(state) => self.state = state,
            None => self.is_outdated = true,
        }
        self.applied_index = snapshot.get_metadata().index;
        self.log.0.borrow_mut().install_snapshot(snapshot);
    }

    /// Takes a snapshot of the applied state, and compacts the log.
    fn compact(&mut self) {
        let mut snapshot = Snapshot {
            data: self.state.encode().into(),
            ..Snapshot::default()
        };
        let term = self.log.0.borrow().term_at(self.applied_index);
        let metadata = snapshot.mut_metadata();
        metadata.index = self.applied_index;
        metadata.term = term.unwrap_or(0);
        metadata.set_conf_state(self.raft.raft.prs().conf().to_conf_state());
        self.log.0.borrow_mut().compact(snapshot);
        self.write_file();
    }

    /// Applies an entry; true if it changed the voters.
    fn apply(&mut self, entry: &Entry) -> bool {
        if self.is_outdated {
            return false;
        }
        match entry.get_entry_type() {
            EntryType::EntryNormal => {
                self.apply_command(entry);
                false
            }
            EntryType::EntryConfChangeV2 | EntryType::EntryConfChange => self.apply_change(entry),
        }
    }

    fn apply_command(&mut self, entry: &Entry) {
        // A leader's first entry is empty.
        if !entry.data.is_empty() {
            let Ok(command) = postcard::from_bytes::<LeaseEntry>(&entry.data) else {
                // Applying later entries without this one would make the state diverge from other replicas.
                self.is_outdated = true;
                return;
            };
            let owner = command.owner.clone();
            let request = RequestId {
                session: command.session,
                number: command.request,
            };
            let outcome = self.state.leases.apply(entry.index, command);
            self.applied.push_back(Applied {
                owner,
                request,
                outcome,
            });
        }
        self.applied_index = entry.index;
    }

    /// Applies a change of voters; true if `raft` accepted it.
    fn apply_change(&mut self, entry: &Entry) -> bool {
        let (change, new_names) = conf_change::decode(entry);
        let conf = self.raft.apply_conf_change(&change);
        self.applied_index = entry.index;
        let Ok(conf) = conf else {
            return false;
        };
        let names = &mut self.state.voters;
        names.extend(new_names.into_iter().map(|v| (v.id, v.name)));
        let sets = [
            &conf.voters,
            &conf.learners,
            &conf.voters_outgoing,
            &conf.learners_next,
        ];
        names.retain(|id, _| sets.iter().any(|set| set.contains(id)));
        true
    }
}

fn is_about_votes(message: &Message) -> bool {
    matches!(
        message.get_msg_type(),
        MessageType::MsgRequestVote
            | MessageType::MsgRequestVoteResponse
            | MessageType::MsgRequestPreVote
            | MessageType::MsgRequestPreVoteResponse
    )
}
