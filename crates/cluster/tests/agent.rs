//! The agent of a member without peers.

use driftfront_cluster::{Cluster, Identity, Key, Keyring, MemberMetadata, Options};
use std::net::SocketAddr;

#[test]
fn lone_member_recovers_from_stalls_and_keeps_sending_join_requests() {
    let keys = Keyring::from_key(Key::parse("000102030405060708090a0b0c0d0e0f").unwrap());
    let addr = |n: u8| SocketAddr::from(([127, 0, 0, n], 1));
    let identity = Identity {
        name: "m1".into(),
        addr: addr(1),
        session: 7,
        rejoins: 0,
    };
    let options = Options {
        identity,
        metadata: MemberMetadata::default(),
        keys,
        seeds: vec![addr(2)],
        seed: 1,
        consensus: None,
    };
    let mut clock = 1_000_000_000;
    let mut cluster = Cluster::new(clock, options);
    cluster.tick(clock);
    // Two stalls of 8 s, then a host that ticks only at `next_due`. If that asked for a tick only every 0.3 s, each tick would
    // count as a stall, and local time would almost stand still.
    for _ in 0..2 {
        clock += 8_000_000;
        cluster.tick(clock);
    }
    assert_eq!(cluster.self_suspicion(), 2);
    let end = clock + 20_000_000;
    let mut join_requests = 0;
    while clock < end {
        clock = cluster.next_due().max(clock + 1);
        cluster.tick(clock);
        while cluster.next_outgoing().is_some() {
            join_requests += 1;
        }
    }
    assert_eq!(
        (cluster.self_suspicion(), cluster.counters().stalls),
        (0, 2)
    );
    assert!(join_requests > 30, "{join_requests} requests in 20 s");
}
