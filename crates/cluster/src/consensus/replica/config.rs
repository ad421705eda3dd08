//! How `raft` is set up. Its time goes on by [`TICK`](super::TICK).

use raft::Config;

/// Ticks between a leader's heartbeats: 200 ms.
const HEARTBEAT_TICKS: usize = 2;
/// Least ticks without a heartbeat after which a voter becomes a candidate; at most twice as many: one to two seconds.
pub(super) const ELECTION_TICKS: usize = 10;
/// Entries of one message: it must fit one datagram with its head.
const MAX_ENTRY_BYTES_PER_MESSAGE: u64 = 600;
/// Messages with entries on their way to one replica at once.
const MAX_IN_FLIGHT_MESSAGES: usize = 32;
/// Entries that are not committed yet: beyond, proposals are refused.
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
        // A leader without a majority's responses steps down, and a voter that was cut off does not unseat a working leader.
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}
