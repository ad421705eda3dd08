//! One member's agent.

use driftfront_cluster::{Cluster, Identity, Key, Keyring, MemberMetadata, Options};
use std::net::SocketAddr;

#[test]
fn lone_member_recovers_from_stalls_and_goes_on_joining() {
    let keys = Keyring::from_key(Key::parse("000102030405060708090a0b0c0d0e0f").unwrap());
    let addr = |n: u8| SocketAddr::from(([127, 0, 0, n], 1));
    let me = Identity {
        name: "m1".into(),
        addr: addr(1),
        session: 7,
        rejoins: 0,
    };
    let options = Options {
        identity: me,
        metadata: MemberMetadata::default(),
        keys,
        seeds: vec![addr(2)],
        seed: 1,
        consensus: None,
    };
    let mut clock = 1_000_000_000;
    let mut fleet = Cluster::new(clock, options);
    fleet.tick(clock);
    // Stopped for 8 s, and again; then a host that looks at its timers only when it is told to. A look each 0.3 s would
    // pass for a stumble each, and its time all but stand still.
    for _ in 0..2 {
        clock += 8_000_000;
        fleet.tick(clock);
    }
    assert_eq!(fleet.self_suspicion(), 2);
    let end = clock + 20_000_000;
    let mut asked = 0;
    while clock < end {
        clock = fleet.next_due().max(clock + 1);
        fleet.tick(clock);
        while fleet.next_outgoing().is_some() {
            asked += 1;
        }
    }
    assert_eq!((fleet.self_suspicion(), fleet.counters().stalls), (0, 2));
    assert!(asked > 30, "asked {asked} times in 20 s");
}
