//! The agreed log's file and the messages about it, compared with golden files and read from them.
#![allow(clippy::too_many_lines, reason = "a scenario reads from top to bottom")]

mod voters;

use driftfront_cluster::consensus::leases::{Command, Entry, Outcome};
use driftfront_cluster::consensus::replica::Replica;
use driftfront_cluster::consensus::{store, Consensus, LogPosition, Notice};
use driftfront_test_support::{assert_golden, read_golden};
use std::fmt::Write;
use voters::{names, open, Sent, Voters, SECOND};

fn everywhere(sent: &Sent) -> Option<usize> {
    Some(sent.to)
}

fn take(resource: &str, amount: u32, duration: u64, stays: bool, note: &str) -> Command {
    Command::Acquire {
        resource: resource.into(),
        amount,
        limit: 3,
        duration,
        stays,
        note: note.into(),
    }
}

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

/// What became of a command, in words of this test.
fn outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Granted { fence } => format!("lent {fence}"),
        Outcome::Renewed => "renewed".into(),
        Outcome::Released => "given".into(),
        Outcome::LimitReached { granted, wait } => format!("full, {granted} lent, wait {wait:?}"),
        Outcome::NotOwner => "not yours".into(),
        Outcome::OutOfBounds => "beyond".into(),
        Outcome::TooEarly { wait } => format!("early, wait {wait}"),
        Outcome::Stale => "stale".into(),
    }
}

/// How things stand at a member, in words of this test.
fn standing(agreed: &Consensus) -> String {
    let view = agreed.view();
    let mut text = format!(
        "log {:x}, term {}, entry {}\n",
        view.cluster_id, view.term, view.index
    );
    for voter in view.voters {
        let _ = writeln!(text, "voter {}", voter.name);
    }
    for granted in view.leases {
        let (fence, lease, left) = (granted.fence, granted.lease, granted.time_left);
        let _ = writeln!(
            text,
            "{fence}: {} of {} to {} of {:x} until {}, stays {}, left {left:?}, {:?}",
            lease.amount,
            lease.resource,
            lease.owner,
            lease.session,
            lease.end,
            lease.stays,
            lease.note
        );
    }
    text
}

/// A site of three voters and two that read, with every kind of entry in its log, at some moments of its life.
struct Life {
    founded: Vec<u8>,
    entries: Vec<u8>,
    changed: Vec<u8>,
    /// What was written while a voter was replaced.
    changes: Vec<u8>,
    cut: Vec<u8>,
    outcomes: String,
    standing: String,
    /// One message of each kind, by the kind's number, and every request and its answer.
    messages: String,
}

fn live() -> Life {
    let kept = || Some(Vec::new());
    let mut site = Voters::start(vec![kept(), kept(), kept(), None, None]);
    site.play(5 * SECOND, everywhere);
    let leader = site.leader().expect("a leader after 5 s");
    let follower = (leader + 1) % 3;
    let founded = site.members[leader].file.clone().unwrap();
    let mut outcomes = String::new();
    let mut ask = |site: &mut Voters, who: usize, command: Command| {
        let became = site.ask(who, command);
        let _ = writeln!(outcomes, "{}: {}", names(5)[who], outcome(&became));
        became
    };
    ask(
        &mut site,
        3,
        take("out", 1, 60 * SECOND, false, "too early"),
    );
    site.play(10 * SECOND, everywhere);
    let Outcome::Granted { fence } =
        ask(&mut site, 3, take("out", 2, 60 * SECOND, false, "a while"))
    else {
        panic!("nothing lent");
    };
    ask(&mut site, 4, take("out", 2, 60 * SECOND, false, "full"));
    ask(&mut site, 4, take("stays", 3, 5 * SECOND, true, ""));
    ask(
        &mut site,
        follower,
        take("stays", 1, 5 * SECOND, false, "ü"),
    );
    ask(
        &mut site,
        follower,
        take("", 1, 5 * SECOND, false, "no pot"),
    );
    ask(
        &mut site,
        3,
        Command::Renew {
            fence,
            duration: 90 * SECOND,
        },
    );
    ask(
        &mut site,
        4,
        Command::Renew {
            fence,
            duration: 90 * SECOND,
        },
    );
    ask(&mut site, 3, Command::Renew { fence, duration: 0 });
    ask(&mut site, 3, Command::Release { fence });
    ask(&mut site, 3, Command::Release { fence });
    ask(&mut site, leader, Command::Revoke { fence: fence + 2 });
    ask(&mut site, leader, Command::Revoke { fence: 1 });
    // A request that reaches a voter which does not lead: it names the one that does.
    let clock = site.clock();
    site.members[3].agreed.submit(
        clock,
        take("sent on", 1, 70 * SECOND, true, "asked of the wrong one"),
        9 * SECOND,
    );
    let mut first = true;
    site.play(SECOND, |sent| {
        let astray = first && sent.from == 3 && sent.bytes[0] == ASK;
        first &= !astray;
        Some(if astray { follower } else { sent.to })
    });
    let entries = site.members[leader].file.clone().unwrap();
    // A voter that lost its log is let in again under another id.
    let third = (leader + 2) % 3;
    site.restart(third, kept());
    site.members[leader].written.clear();
    site.play(20 * SECOND, everywhere);
    let changes = site.members[leader].written.clone();
    let changed = site.members[leader].file.clone().unwrap();
    // Many rights, so that the state is longer than a datagram; every fourth part of it is lost.
    for n in 0..40 {
        ask(
            &mut site,
            n % 5,
            take(
                &format!("pot-{n}"),
                1,
                3_600 * SECOND,
                n % 2 == 0,
                &"long ".repeat(10),
            ),
        );
    }
    let mut parts = 0;
    site.play(3 * SECOND, |sent| {
        parts += u32::from(sent.bytes[0] == PART);
        (sent.bytes[0] != PART || parts % 4 != 0).then_some(sent.to)
    });
    let messages = messages(&site.sent);
    // So many entries that the log is cut.
    while !is_cut(site.members[leader].file.as_deref().unwrap()) {
        site.ask(leader, Command::Revoke { fence: 1 });
    }
    let cut = site.members[leader].file.clone().unwrap();
    let standing = standing(&site.members[leader].agreed);
    Life {
        founded,
        entries,
        changed,
        changes,
        cut,
        outcomes,
        standing,
        messages,
    }
}

/// Whether it was written anew after more entries than are kept.
fn is_cut(file: &[u8]) -> bool {
    let log = store::read(file).unwrap().log.unwrap();
    log.snapshot().get_metadata().index > 256 && log.last_index() < 1_000
}

const RAFT: u8 = 0;
const PART: u8 = 1;
const ASK: u8 = 3;

/// Messages in the order in which they were sent: of those between replicas and of parts few, else all that differ.
fn messages(sent: &[Sent]) -> String {
    let mut text = String::new();
    let mut seen: Vec<(u8, &[u8])> = Vec::new();
    for Sent { bytes, .. } in sent {
        let kind = bytes[0];
        let limit = if kind == RAFT || kind == PART { 8 } else { 80 };
        let of_kind = seen.iter().filter(|s| s.0 == kind).count();
        if of_kind < limit && !seen.contains(&(kind, bytes)) {
            seen.push((kind, bytes));
            let _ = writeln!(text, "{kind} {}", hex(bytes));
        }
    }
    text
}

#[test]
fn log_files_and_messages_keep_their_bytes() {
    let life = live();
    assert_golden!("log-founded.bin", life.founded);
    assert_golden!("log-entries.bin", life.entries);
    assert_golden!("log-voter-replaced.bin", life.changed);
    assert_golden!("log-writes-of-a-replacement.bin", life.changes);
    assert_golden!("log-cut.bin", life.cut);
    assert_golden!("outcomes.txt", life.outcomes);
    assert_golden!("agreed-standing.txt", life.standing);
    assert_golden!("agreed-messages.txt", life.messages);
    for kind in 0..=6 {
        let line = format!("{kind} ");
        assert!(
            life.messages.lines().any(|l| l.starts_with(&line)),
            "no message of kind {kind}"
        );
    }
}

#[test]
fn golden_log_files_are_read_whole() {
    for (name, last) in [
        ("log-founded.bin", 2),
        ("log-entries.bin", 16),
        ("log-voter-replaced.bin", 18),
        ("log-cut.bin", 258),
    ] {
        let bytes = read_golden!(name);
        let loaded = store::read(&bytes).expect(name);
        assert_eq!(
            (loaded.valid_bytes, loaded.damage),
            (bytes.len(), None),
            "{name}"
        );
        let log = loaded.log.expect(name);
        assert_eq!(log.identity.initial_voters.len(), 3, "{name}");
        assert!(log.last_index() >= last, "{name}: {}", log.last_index());
        // A cut tail loses the last record and nothing before it.
        let torn = store::read(&bytes[..bytes.len() - 1]).expect(name);
        assert_eq!(
            torn.damage,
            Some("it ends in the middle of a record"),
            "{name}"
        );
        assert!(
            torn.valid_bytes < bytes.len() - 1 && torn.log.is_some(),
            "{name}"
        );
        // What an earlier build kept is written by this one to the letter, where it is written anew.
        if name == "log-cut.bin" {
            assert_eq!(
                store::encode_file(&store::read(&store::encode_file(&log)).unwrap().log.unwrap()),
                store::encode_file(&log)
            );
        }
        assert!(
            Replica::open(log, 1).is_some_and(|r| !r.is_outdated() && !r.has_failed()),
            "{name}"
        );
    }
}

#[test]
fn member_goes_on_from_a_log_file_of_an_earlier_build() {
    let bytes = read_golden!("log-cut.bin");
    let id = store::read(&bytes)
        .unwrap()
        .log
        .unwrap()
        .identity
        .replica_id;
    let agreed = open(0, 5_000, Some(bytes.clone()));
    assert_eq!(agreed.notice().replica_id, id);
    let replica = agreed.replica().expect("a replica");
    let rights = replica.state().leases.all().count();
    assert_eq!(rights, 41);
    // The whole of it as it stood, but for what was agreed after the snapshot.
    let golden = String::from_utf8(read_golden!("agreed-standing.txt")).unwrap();
    let lent: Vec<&str> = golden.lines().filter(|l| l.contains(" of pot-")).collect();
    let now = standing(&agreed);
    assert_eq!(lent.len(), 40);
    assert!(
        lent.iter()
            .all(|l| now.contains(l.split(", left").next().unwrap())),
        "{now}"
    );
}

#[test]
fn messages_of_an_earlier_build_are_read() {
    let text = String::from_utf8(read_golden!("agreed-messages.txt")).unwrap();
    let mut reader = open(3, 0, None);
    for line in text.lines() {
        let (kind, bytes) = line.split_once(' ').unwrap();
        reader.handle_message(SECOND, SECOND, "a", &unhex(bytes));
        assert_eq!(reader.counters().malformed, 0, "kind {kind}: {bytes}");
    }
    // One that nobody sends.
    reader.handle_message(SECOND, SECOND, "a", &[7, 0, 0]);
    assert_eq!(reader.counters().malformed, 1);
}

#[test]
fn log_errors_keep_their_words() {
    let whole = read_golden!("log-entries.bin");
    let mut damage = whole.clone();
    *damage.last_mut().unwrap() ^= 1;
    let mut endless = whole.clone();
    endless.extend([0; 9]);
    // Entries behind a hole.
    let mut hole = read_golden!("log-founded.bin");
    let tail = whole.len() - 60;
    hole.extend(&whole[tail..]);
    let files: [(&str, &[u8]); 8] = [
        ("empty", b""),
        ("begun", b"driftfr"),
        ("newer", b"driftfront agreed 2\nand so on"),
        ("foreign", b"another file\n"),
        ("header alone", b"driftfront agreed 1\n"),
        ("spoilt byte", &damage),
        ("endless record", &endless),
        ("tail of another", &hole),
    ];
    let mut text = String::new();
    for (what, bytes) in files {
        let said = match store::read(bytes) {
            Ok(loaded) => format!(
                "{} bytes well, {:?}, log {}",
                loaded.valid_bytes,
                loaded.damage,
                loaded.log.is_some()
            ),
            Err(why) => why.to_string(),
        };
        let _ = writeln!(text, "{what}: {said}");
    }
    assert_golden!("log-wrong.txt", text);
}

#[test]
fn commands_outcomes_and_notices_keep_their_bytes() {
    let mut text = String::new();
    let commands = [
        take("pot", 2, 60 * SECOND, true, "why"),
        Command::Renew {
            fence: 300,
            duration: 5,
        },
        Command::Release { fence: 301 },
        Command::Revoke { fence: 302 },
    ];
    for command in commands {
        let entry = Entry {
            time: 1_000,
            owner: "m1".into(),
            session: 1 << 40,
            request: 7,
            command,
        };
        let bytes = postcard::to_stdvec(&entry).unwrap();
        assert_eq!(postcard::from_bytes::<Entry>(&bytes).unwrap(), entry);
        let _ = writeln!(text, "entry {}", hex(&bytes));
    }
    let outcomes = [
        Outcome::Granted { fence: 300 },
        Outcome::Renewed,
        Outcome::Released,
        Outcome::LimitReached {
            granted: 3,
            wait: Some(400),
        },
        Outcome::LimitReached {
            granted: 3,
            wait: None,
        },
        Outcome::NotOwner,
        Outcome::OutOfBounds,
        Outcome::TooEarly { wait: 500 },
        Outcome::Stale,
    ];
    for one in outcomes {
        let bytes = postcard::to_stdvec(&one).unwrap();
        assert_eq!(postcard::from_bytes::<Outcome>(&bytes).unwrap(), one);
        let _ = writeln!(text, "outcome {}", hex(&bytes));
    }
    let notice = Notice {
        replica_id: 1 << 30,
        cluster_id: 2 << 30,
        promised: 3 << 30,
        known: LogPosition {
            cluster_id: 4 << 30,
            index: 5,
        },
        term: 6,
        leader: "m1".into(),
        is_voter: true,
        is_persistent: false,
        is_unfit: true,
    };
    assert_eq!(Notice::decode(&notice.encode()), Some(notice.clone()));
    let _ = writeln!(text, "notice {}", hex(&notice.encode()));
    assert_golden!("agreed-bytes.txt", text);
}
