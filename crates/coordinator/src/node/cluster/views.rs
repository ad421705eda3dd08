//! The cluster's members and counters, as shown to operators.

use super::ClusterRuntime;
use crate::node::Node;
use driftfront_cluster::{MemberStatus, MemberView};
use driftfront_control::snapshot::Member;

impl ClusterRuntime {
    /// The members known to this process.
    fn member_views(&self) -> Vec<Member> {
        let members = self.agent.members().into_iter();
        members.map(member_view).collect()
    }

    /// The cluster's counters, one per line.
    fn counters(&self) -> String {
        let counters = self.agent.counters();
        let lines = [
            ("members_there", self.agent.peer_count() as u64 + 1),
            ("datagrams_sent", counters.sent),
            ("bytes_sent", counters.sent_bytes),
            ("datagrams_taken", counters.accepted),
            ("bytes_taken", counters.received_bytes),
            (
                "datagrams_refused{why=\"foreign\"}",
                counters.unknown_protocol,
            ),
            (
                "datagrams_refused{why=\"version\"}",
                counters.unsupported_version,
            ),
            (
                "datagrams_refused{why=\"unknown key\"}",
                counters.unknown_key,
            ),
            ("datagrams_refused{why=\"spoilt\"}", counters.wrong_tag),
            ("datagrams_refused{why=\"replayed\"}", counters.replayed),
            ("datagrams_refused{why=\"stale\"}", counters.stale_session),
            ("datagrams_old_key", counters.old_key),
            ("datagrams_unknown_kind", counters.unknown_kind),
            ("datagrams_unreadable", counters.unreadable),
            ("datagrams_withheld", counters.rate_limited),
            ("datagrams_unsent", self.unsent_datagrams),
            ("facts_refused", counters.refused),
            ("sessions_forgotten", counters.sessions_evicted),
            ("members_up", counters.members_up),
            ("members_down", counters.members_down),
            ("came_back", counters.rejoins),
            ("started_over", counters.membership_resets),
            ("sessions_outdone", counters.sessions_raised),
            ("stumbles", counters.stalls),
            ("doubt", u64::from(self.agent.self_suspicion())),
            ("turns_cut_short", self.turns_cut_short),
            ("turn_longest_us", self.longest_turn_micros),
        ];
        lines
            .into_iter()
            .chain(self.consensus_counters())
            .map(|(name, count)| format!("fleet_{name} {count}\n"))
            .collect()
    }
}

impl Node {
    /// The members known to this process; empty without a cluster.
    pub(in crate::node) fn member_views(&self) -> Vec<Member> {
        let cluster = self.cluster.as_ref();
        cluster.map_or(Vec::new(), |cluster| cluster.member_views())
    }

    /// The cluster's counters, one per line; empty without a cluster.
    pub(in crate::node) fn cluster_counters(&self) -> String {
        let cluster = self.cluster.as_ref();
        cluster.map_or(String::new(), |cluster| cluster.counters())
    }
}

fn member_view(member: MemberView) -> Member {
    let (metadata, metadata_age) = member.metadata.unzip();
    let state = metadata
        .as_ref()
        .map_or("", |metadata| metadata.state.name());
    let metadata = metadata.unwrap_or_default();
    Member {
        name: member.name,
        addr: member.addr.to_string(),
        standing: status_name(member.status).into(),
        for_s: member.status_age / 1_000_000,
        zone: metadata.zone,
        region: metadata.region,
        build: metadata.build,
        state: state.into(),
        since_ms: metadata.since_ms,
        told_age_s: metadata_age.map(|age| age / 1_000_000),
        me: member.is_self,
    }
}

fn status_name(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "there",
        MemberStatus::Suspected => "doubted",
        MemberStatus::Down => "gone",
    }
}
