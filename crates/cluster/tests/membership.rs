//! Who is there.
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
fn members_are_bounded_and_known_ones_heard_beyond() {
    let mut me = Members::new(id("me", 1), 1);
    let mut output = Output::default();
    // Each sends one datagram of its own: it asks to be let in.
    let mut join = |me: &mut Members, name: &str, port: u16| {
        let mut other = Members::new(id(name, port), 2);
        let mut sent = Output::default();
        other.join(0, me.own().addr, &mut sent);
        me.handle_datagram(0, &sent.datagrams[0].1, &mut output);
    };
    for n in 0..MAX_MEMBERS + 10 {
        join(&mut me, &format!("m{n}"), n as u16 + 2);
    }
    assert_eq!((me.reachable_count(), me.unreadable), (MAX_MEMBERS, 10));
    join(&mut me, "m3", 5);
    assert_eq!(me.unreadable, 10);
}
