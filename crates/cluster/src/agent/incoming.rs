//! Handling of received datagrams.

use super::Cluster;
use crate::membership::{Change, Identity};
use crate::message_authentication::{AuthenticationError, Payload, MAX_PAYLOAD_BYTES};
use crate::Micros;

/// Datagrams with missing records that are sent per comparison.
const MAX_DATAGRAMS_PER_COMPARISON: usize = 2;

impl Cluster {
    /// Handles a received datagram. All pending datagrams must be handled before [`Cluster::tick`], so that messages that
    /// arrived while this process was stalled are known before any timer runs.
    pub fn handle_datagram(&mut self, clock: Micros, datagram: &[u8]) {
        let now = self.clock.update(clock);
        let opened = match self.authenticator.open(datagram) {
            Ok(opened) => opened,
            Err(error) => return self.count_refused(error),
        };
        self.counters.accepted += 1;
        self.counters.received_bytes += datagram.len() as u64;
        self.counters.old_key += u64::from(opened.old_key);
        if self.has_left {
            return;
        }
        let (bytes, session) = (opened.bytes, opened.session);
        match opened.payload {
            Payload::Members => self.handle_membership(now, bytes),
            Payload::StaleSession => self.handle_stale_session(now, bytes),
            Payload::GossipState => {
                let rounds = self.gossip_rounds();
                self.gossip.receive(now, bytes, rounds);
            }
            Payload::Versions => self.handle_versions(now, session, bytes),
            Payload::Consensus => self.handle_consensus(now, clock, session, bytes),
            Payload::Unknown(_) => self.counters.unknown_kind += 1,
        }
    }

    fn count_refused(&mut self, error: AuthenticationError) {
        let count = match error {
            AuthenticationError::UnknownProtocol => &mut self.counters.unknown_protocol,
            AuthenticationError::UnsupportedVersion => &mut self.counters.unsupported_version,
            AuthenticationError::UnknownKey => &mut self.counters.unknown_key,
            AuthenticationError::WrongTag => &mut self.counters.wrong_tag,
            AuthenticationError::Replayed => &mut self.counters.replayed,
            AuthenticationError::StaleSession => &mut self.counters.stale_session,
        };
        *count += 1;
    }

    fn handle_membership(&mut self, now: Micros, bytes: &[u8]) {
        let outdated = self.members.later_session(bytes);
        if let Some((sender, later)) = outdated.filter(|_| self.timers.may_report_stale(now)) {
            self.send(now, &sender, Payload::StaleSession, &later.to_be_bytes());
        }
        self.with_members(now, |members, output| {
            members.handle_datagram(now, bytes, output);
        });
    }

    /// Raises this member's session above that of an earlier process of its name, whose session is later because the host's
    /// clock was set back.
    fn handle_stale_session(&mut self, now: Micros, bytes: &[u8]) {
        let Ok(later) = bytes.try_into().map(u64::from_be_bytes) else {
            return;
        };
        let is_raised = self.with_members(now, |members, output| {
            members.raise_session(now, later, output)
        });
        if !is_raised {
            return;
        }
        self.counters.sessions_raised += 1;
        let (session, rounds) = (self.local_identity().session, self.gossip_rounds());
        self.authenticator.change_session(session);
        self.gossip.raise_session(now, session, rounds);
        if let Some(consensus) = &mut self.consensus {
            consensus.change_session(session);
        }
        self.timers.join_at_once(now);
    }

    fn handle_versions(&mut self, now: Micros, session: u64, bytes: &[u8]) {
        let compared = self.gossip.compare_versions(
            now,
            bytes,
            MAX_PAYLOAD_BYTES,
            MAX_DATAGRAMS_PER_COMPARISON,
        );
        let mut reachable = self.members.reachable();
        let Some(sender) = reachable.find(|m| m.session == session).cloned() else {
            return;
        };
        drop(reachable);
        for records in compared.records {
            self.send(now, &sender, Payload::GossipState, &records);
        }
        if let Some(reply) = compared.reply {
            self.send(now, &sender, Payload::Versions, &reply);
        }
    }

    fn handle_consensus(&mut self, now: Micros, clock: Micros, session: u64, bytes: &[u8]) {
        let Some(sender) = self.known_by_session(session).map(|m| m.name.clone()) else {
            return;
        };
        if let Some(consensus) = &mut self.consensus {
            consensus.handle_message(now, clock, &sender, bytes);
        }
        self.send_consensus_messages(now);
    }

    /// The member with this session, also if it is down.
    fn known_by_session(&self, session: u64) -> Option<&Identity> {
        let mut known = self.members.known(self.clock.now());
        let member = known.find(|m| m.identity.session == session)?;
        Some(member.identity)
    }

    /// Counts a membership change, and schedules an update of the reachability of gossip records.
    pub(super) fn record_change(&mut self, now: Micros, change: &Change) {
        match change {
            Change::Up(_) => self.counters.members_up += 1,
            Change::Down(_) => self.counters.members_down += 1,
            Change::Rejoined(_) => {
                self.counters.rejoins += 1;
                self.clock.record_accusation();
            }
        }
        self.timers.update_reachability_at_once(now);
    }
}
