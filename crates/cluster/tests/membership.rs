//! Limits of the membership.
#![allow(
    clippy::cast_possible_truncation,
    reason = "numbers of a test are small"
)]

use driftfront_cluster::membership::{Identity, Members, Output, MAX_MEMBERS};
use std::net::SocketAddr;

fn id(name: &str, port: u16) -> Identity {
    Identity {
        name: name.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        session: 5,
        rejoins: 0,
    }
}

#[test]
fn member_count_is_limited_but_known_members_are_still_accepted() {
    let mut own = Members::new(id("own", 1), 1);
    let mut output = Output::default();
    // Each other member sends one datagram, a join request.
    let mut join = |own: &mut Members, name: &str, port: u16| {
        let mut other = Members::new(id(name, port), 2);
        let mut sent = Output::default();
        other.join(0, own.own().addr, &mut sent);
        own.handle_datagram(0, &sent.datagrams[0].1, &mut output);
    };
    for n in 0..MAX_MEMBERS + 10 {
        join(&mut own, &format!("m{n}"), n as u16 + 2);
    }
    assert_eq!((own.reachable_count(), own.unreadable), (MAX_MEMBERS, 10));
    join(&mut own, "m3", 5);
    assert_eq!(own.unreadable, 10);
}
