//! Datagrams, records and key files: what this build writes matches the golden files, and it reads those files.

use driftfront_cluster::gossip::{GossipState, CONSENSUS, METADATA};
use driftfront_cluster::membership::{Members, Output};
use driftfront_cluster::message_authentication::{
    AuthenticationError, MessageAuthenticator, Opened, Payload,
};
use driftfront_cluster::{Cluster, Identity, Key, Keyring, MemberMetadata, Options, State};
use driftfront_test_support::{assert_golden, read_golden};
use std::fmt::Write;
use std::net::SocketAddr;

const ONE: &str = "000102030405060708090a0b0c0d0e0f";
const TWO: &str = "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff";
const SECOND: u64 = 1_000_000;
const MAX_BYTES: usize = 1100;
const CLOCK: u64 = 1_764_600_000_000_000;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, b| {
        let _ = write!(text, "{b:02x}");
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

/// The lines of a golden file: a name and hex-encoded bytes.
fn lines(name: &str) -> Vec<(String, Vec<u8>)> {
    let text = String::from_utf8(match name {
        "datagrams-sealed.txt" => read_golden!("datagrams-sealed.txt"),
        "datagrams-of-a-conversation.txt" => read_golden!("datagrams-of-a-conversation.txt"),
        "membership.txt" => read_golden!("membership.txt"),
        _ => read_golden!("records.txt"),
    })
    .unwrap();
    let line = |line: &str| {
        let (name, bytes) = line.split_once(": ").unwrap();
        (name.to_string(), unhex(bytes))
    };
    text.lines().map(line).collect()
}

const PAYLOADS: [(&str, Payload); 6] = [
    ("members", Payload::Members),
    ("records", Payload::GossipState),
    ("versions", Payload::Versions),
    ("behind", Payload::StaleSession),
    ("agreed", Payload::Consensus),
    ("later build", Payload::Unknown(77)),
];

fn keyring(text: &str) -> Keyring {
    Keyring::parse(text).unwrap()
}

#[test]
fn sealed_datagrams_match_golden_bytes() {
    let mut text = String::new();
    let mut authenticator = MessageAuthenticator::new(keyring(ONE), 0x1234_5678_9abc);
    for (name, payload) in PAYLOADS {
        let sealed = authenticator
            .seal(payload, format!("payload of {name}").as_bytes(), 8)
            .unwrap();
        let _ = writeln!(text, "{name}: {}", hex(&sealed));
    }
    authenticator.change_keys(keyring(&format!("{TWO}\n{ONE}")));
    authenticator.change_session(0x1234_5678_9abd);
    let _ = writeln!(
        text,
        "second key: {}",
        hex(&authenticator.seal(Payload::GossipState, b"", 0).unwrap())
    );
    let longest = authenticator
        .seal(Payload::GossipState, &[7; 1155], 0)
        .unwrap();
    let _ = writeln!(text, "longest: {}", hex(&longest));
    assert_golden!("datagrams-sealed.txt", text);
    assert_eq!(longest.len(), 1200);
    assert_eq!(
        authenticator.seal(Payload::GossipState, &[7; 1156], 0),
        None
    );
}

#[test]
fn sealed_datagrams_of_an_earlier_build_are_opened() {
    let all = lines("datagrams-sealed.txt");
    let mut authenticator = MessageAuthenticator::new(keyring(&format!("{ONE}\n{TWO}")), 8);
    for ((name, bytes), (wanted, payload)) in all.iter().zip(PAYLOADS) {
        assert_eq!(name, wanted);
        let opened = authenticator.open(bytes).unwrap();
        let content = format!("payload of {name}");
        let expected = Opened {
            payload,
            bytes: content.as_bytes(),
            session: 0x1234_5678_9abc,
            old_key: false,
        };
        assert_eq!(opened, expected);
        assert_eq!(
            authenticator.open(bytes),
            Err(AuthenticationError::Replayed)
        );
    }
    let opened = authenticator.open(&all[6].1).unwrap();
    assert_eq!(
        (opened.session, opened.old_key, opened.bytes),
        (0x1234_5678_9abd, true, &b""[..])
    );
    assert_eq!(authenticator.open(&all[7].1).unwrap().bytes, [7; 1155]);
}

fn identity(name: &str, n: u8) -> Identity {
    let addr = if n == 3 {
        "[fd00::3]:7946".parse().unwrap()
    } else {
        SocketAddr::from(([10, 0, 0, n], 7946))
    };
    Identity {
        name: name.into(),
        addr,
        session: Identity::session_at(CLOCK + u64::from(n), 5),
        rejoins: u16::from(n),
    }
}

/// The messages of members that join, fail and leave.
#[test]
fn membership_messages_match_golden_bytes() {
    let mut text = String::new();
    let mut all = [
        Members::new(identity("m1", 1), 11),
        Members::new(identity("m2", 2), 12),
        Members::new(identity("room-c.m3", 3), 13),
    ];
    let mut in_flight: Vec<(usize, Identity, Vec<u8>)> = Vec::new();
    for now in (0..5_200_000).step_by(50_000) {
        for (n, member) in all.iter_mut().enumerate() {
            let mut output = Output::default();
            match now {
                0 if n > 0 => member.join(now, identity("m1", 1).addr, &mut output),
                5_000_000 if n == 1 => member.leave(now, &mut output),
                _ if n == 1 && now > 5_000_000 => {}
                _ => member.tick(now, &mut output),
            }
            in_flight.extend(
                output
                    .datagrams
                    .into_iter()
                    .map(|(to, bytes)| (n, to, bytes)),
            );
        }
        while let Some((from, to, bytes)) = in_flight.pop() {
            // After the first second all messages of the third are lost, so that it is suspected and declared down.
            let is_lost = from == 2 && now > 1_000_000;
            let _ = writeln!(text, "{now} m{} to {}: {}", from + 1, to.addr, hex(&bytes));
            let Some(to) = all
                .iter()
                .position(|m| m.own().addr == to.addr)
                .filter(|_| !is_lost)
            else {
                continue;
            };
            let mut output = Output::default();
            all[to].handle_datagram(now, &bytes, &mut output);
            in_flight.extend(
                output
                    .datagrams
                    .into_iter()
                    .map(|(next, bytes)| (to, next, bytes)),
            );
        }
    }
    assert_golden!("membership.txt", text);
}

#[test]
fn membership_messages_of_an_earlier_build_are_read() {
    let all = [
        identity("m1", 1),
        identity("m2", 2),
        identity("room-c.m3", 3),
    ];
    for (name, bytes) in lines("membership.txt") {
        let (_, to) = name.split_once(" to ").unwrap();
        let me = all.iter().find(|m| m.addr.to_string() == to).unwrap();
        let mut reader = Members::new(me.clone(), 1);
        reader.handle_datagram(0, &bytes, &mut Output::default());
        assert_eq!(reader.unreadable, 0, "{name}");
    }
}

fn state(state: State) -> &'static str {
    state.name()
}

#[test]
fn records_match_golden_bytes_and_are_read() {
    let mut text = String::new();
    for (state_of, word) in [
        (State::Starting, "starting"),
        (State::Serving, "serving"),
        (State::Paused, "paused"),
        (State::Ending, "ending"),
        (State::Other, "in a state of a later build"),
    ] {
        assert_eq!(state(state_of), word);
        let metadata = MemberMetadata {
            zone: "room-a".into(),
            region: "north".into(),
            build: "0.2.0".into(),
            state: state_of,
            since_ms: 1_764_600_000_123,
        };
        assert_eq!(
            MemberMetadata::decode(&metadata.encode()),
            Some(metadata.clone())
        );
        let _ = writeln!(text, "about, {word}: {}", hex(&metadata.encode()));
    }
    assert_eq!((METADATA, CONSENSUS), (1, 2));
    let mut gossip = GossipState::new("m1", 7 << 20);
    gossip.publish(0, METADATA, b"about m1", 5);
    gossip.publish(SECOND, CONSENSUS, b"its part", 2);
    gossip.publish(SECOND, 9, b"a kind of its own", 3);
    let rumors = gossip.next_rumors(3 * SECOND, MAX_BYTES).unwrap();
    let _ = writeln!(text, "records: {}", hex(&rumors));
    let mut other = GossipState::new("m2", 8 << 20);
    other.publish(0, METADATA, b"about m2", 5);
    assert_eq!(other.receive(3 * SECOND, &rumors, 4), 3);
    let _ = writeln!(
        text,
        "records passed on: {}",
        hex(&other.next_rumors(5 * SECOND, MAX_BYTES).unwrap())
    );
    let versions = other.next_versions(MAX_BYTES);
    let _ = writeln!(text, "versions: {}", hex(&versions));
    gossip.publish(6 * SECOND, 9, b"a later word", 3);
    let compared = gossip.compare_versions(7 * SECOND, &versions, MAX_BYTES, 2);
    let _ = writeln!(text, "what the other lacks: {}", hex(&compared.records[0]));
    let _ = writeln!(
        text,
        "what is lacking here: {}",
        hex(&compared.reply.unwrap())
    );
    assert_golden!("records.txt", text);
}

#[test]
fn records_of_an_earlier_build_are_read() {
    let all = lines("records.txt");
    let of = |name: &str| &all.iter().find(|l| l.0 == name).unwrap().1;
    let metadata = MemberMetadata::decode(of("about, paused")).unwrap();
    assert_eq!(
        (
            metadata.zone.as_str(),
            metadata.region.as_str(),
            metadata.build.as_str()
        ),
        ("room-a", "north", "0.2.0")
    );
    assert_eq!(
        (metadata.state, metadata.since_ms),
        (State::Paused, 1_764_600_000_123)
    );
    let mut reader = GossipState::new("m3", 1);
    assert_eq!(reader.receive(0, of("records passed on"), 1), 4);
    let record = reader.get(SECOND, "m1", METADATA).unwrap();
    assert_eq!(
        (record.value, record.age, record.version),
        (&b"about m1"[..], 3 * SECOND, 1)
    );
    assert_eq!(reader.get(0, "m1", 9).unwrap().value, b"a kind of its own");
    assert_eq!(reader.receive(0, of("what the other lacks"), 1), 1);
    assert_eq!(reader.get(0, "m1", 9).unwrap().value, b"a later word");
    let compared = reader.compare_versions(0, of("versions"), MAX_BYTES, 2);
    assert_eq!((compared.records.len(), compared.reply), (1, None));
    assert_eq!(reader.refused.malformed, 0);
}

/// All datagrams between two members that find each other. One restarts with its clock set back, raises its session and leaves.
#[test]
fn datagrams_of_a_conversation_match_golden_bytes() {
    let mut text = String::new();
    let member = |name: &str, n: u8, clock: u64| {
        let identity_of_member = Identity {
            rejoins: 0,
            session: Identity::session_at(clock, u32::from(n)),
            ..identity(name, n)
        };
        let options = Options {
            identity: identity_of_member,
            metadata: MemberMetadata {
                zone: "z0".into(),
                state: State::Serving,
                ..MemberMetadata::default()
            },
            keys: keyring(&format!("{ONE}\n{TWO}")),
            seeds: vec![identity("", 1).addr, identity("", 2).addr],
            seed: u64::from(n),
            consensus: None,
        };
        Cluster::new(clock, options)
    };
    let mut all = [member("m1", 1, CLOCK), member("m2", 2, CLOCK)];
    for step in 0..200u64 {
        let clock = CLOCK + step * 25_000;
        if step == 100 {
            // The second member restarts with its clock set back by an hour.
            all[1] = member("m2", 2, CLOCK - 3_600 * SECOND);
        }
        if step == 180 {
            all[1].leave(clock - 3_600 * SECOND);
        }
        let clocks = [
            clock,
            if step >= 100 {
                clock - 3_600 * SECOND
            } else {
                clock
            },
        ];
        for n in 0..2 {
            all[n].tick(clocks[n]);
            while let Some((to, bytes)) = all[n].next_outgoing() {
                let _ = writeln!(text, "{step} m{} to {to}: {}", n + 1, hex(&bytes));
                all[1 - n].handle_datagram(clocks[1 - n], &bytes);
            }
        }
    }
    assert!(
        all[1].counters().sessions_raised == 1,
        "{:?}",
        all[1].counters()
    );
    assert_golden!("datagrams-of-a-conversation.txt", text);
    let kinds: std::collections::BTreeSet<u8> = lines("datagrams-of-a-conversation.txt")
        .iter()
        .map(|l| l.1[28])
        .collect();
    assert_eq!(kinds.into_iter().collect::<Vec<_>>(), [1, 2, 3, 4]);
}

#[test]
fn key_files_are_parsed_and_rejected_as_before() {
    let mut text = String::new();
    let files = [
        ("one key", format!("{ONE}\n")),
        (
            "two keys and remarks",
            format!("# the site's keys\n\n{TWO}  # new\n  {ONE}\n"),
        ),
        ("capitals", TWO.to_uppercase()),
        ("nothing", String::new()),
        ("remarks alone", "# none\n".into()),
        ("too short", format!("{ONE}\n{}\n", &TWO[1..])),
        ("no digits", "g".repeat(32)),
        ("three keys", format!("{ONE}\n{TWO}\n{}\n", "ab".repeat(16))),
        ("twice the same", format!("{ONE}\n{ONE}\n")),
    ];
    for (name, file) in files {
        let read = match Keyring::parse(&file) {
            Ok(keys) => format!("keys {:02x?}, shown as {keys:?}", keys.ids()),
            Err(why) => why.to_string(),
        };
        let _ = writeln!(text, "{name}: {read}");
    }
    let _ = writeln!(text, "alone: {:?}", Key::parse(ONE).unwrap());
    assert_golden!("key-files.txt", text);
}
