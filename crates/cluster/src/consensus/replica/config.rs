//! The `raft` configuration. Times are in ticks of [`TICK`](super::TICK).

use raft::Config;

/// Ticks between a leader's heartbeats: 200 ms.
const HEARTBEAT_TICKS: usize = 2;
/// Minimum ticks without a heartbeat before a voter starts an election. The maximum is twice as many: one to two seconds.
pub(super) const ELECTION_TICKS: usize = 10;
/// Most bytes of entries per message, which must fit one datagram with its header.
const MAX_ENTRY_BYTES_PER_MESSAGE: u64 = 600;
/// Most unacknowledged messages with entries per replica.
const MAX_IN_FLIGHT_MESSAGES: usize = 32;
/// Most bytes of uncommitted entries; further proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 64 * 1024;

/// The configuration of a replica that has applied entries up to this index.
pub(super) fn raft_config(id: u64, applied: u64) -> Config {
    Config {
        id,
        applied,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        max_size_per_msg: MAX_ENTRY_BYTES_PER_MESSAGE,
        max_inflight_msgs: MAX_IN_FLIGHT_MESSAGES,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        // A leader without responses from a majority steps down, and a voter that was cut off does not disrupt a working leader.
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}
