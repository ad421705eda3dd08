//! The log file and the consensus messages: what this build writes matches the golden files, and it reads those files.
#![allow(clippy::too_many_lines, reason = "a scenario reads from top to bottom")]

mod test_cluster;

use driftfront_cluster::consensus::leases::{Command, Entry, Outcome};
use driftfront_cluster::consensus::replica::Replica;
use driftfront_cluster::consensus::{store, Consensus, LogPosition, Notice};
use driftfront_test_support::{assert_golden, read_golden};
use std::fmt::Write;
use test_cluster::{names, open, Sent, TestCluster, SECOND};

fn deliver_all(sent: &Sent) -> Option<usize> {
    Some(sent.to)
}

fn acquire(resource: &str, amount: u32, duration: u64, stays: bool, note: &str) -> Command {
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

/// Formats an outcome in the words of the golden files.
fn describe_outcome(outcome: &Outcome) -> String {
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

/// Formats a member's state in the words of the golden files.
fn describe_state(consensus: &Consensus) -> String {
    let view = consensus.view();
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

/// Log files and messages of a cluster of three voters and two observers whose log gets every kind of entry.
struct Scenario {
    bootstrapped: Vec<u8>,
    entries: Vec<u8>,
    voter_replaced: Vec<u8>,
    /// All writes of the leader while a voter was replaced.
    replacement_writes: Vec<u8>,
    compacted: Vec<u8>,
    outcomes: String,
    state: String,
    /// Messages of each kind, each after its kind's number; includes all requests and responses.
    messages: String,
}

fn run_scenario() -> Scenario {
    let empty_file = || Some(Vec::new());
    let mut cluster =
        TestCluster::start(vec![empty_file(), empty_file(), empty_file(), None, None]);
    cluster.run_for(5 * SECOND, deliver_all);
    let leader = cluster.leader().expect("a leader after 5 s");
    let follower = (leader + 1) % 3;
    let bootstrapped = cluster.members[leader].file.clone().unwrap();
    let mut outcomes = String::new();
    let mut execute = |cluster: &mut TestCluster, who: usize, command: Command| {
        let result = cluster.execute(who, command);
        let _ = writeln!(outcomes, "{}: {}", names(5)[who], describe_outcome(&result));
        result
    };
    execute(
        &mut cluster,
        3,
        acquire("out", 1, 60 * SECOND, false, "too early"),
    );
    cluster.run_for(10 * SECOND, deliver_all);
    let Outcome::Granted { fence } = execute(
        &mut cluster,
        3,
        acquire("out", 2, 60 * SECOND, false, "a while"),
    ) else {
        panic!("no lease was granted");
    };
    execute(
        &mut cluster,
        4,
        acquire("out", 2, 60 * SECOND, false, "full"),
    );
    execute(&mut cluster, 4, acquire("stays", 3, 5 * SECOND, true, ""));
    execute(
        &mut cluster,
        follower,
        acquire("stays", 1, 5 * SECOND, false, "ü"),
    );
    execute(
        &mut cluster,
        follower,
        acquire("", 1, 5 * SECOND, false, "no pot"),
    );
    execute(
        &mut cluster,
        3,
        Command::Renew {
            fence,
            duration: 90 * SECOND,
        },
    );
    execute(
        &mut cluster,
        4,
        Command::Renew {
            fence,
            duration: 90 * SECOND,
        },
    );
    execute(&mut cluster, 3, Command::Renew { fence, duration: 0 });
    execute(&mut cluster, 3, Command::Release { fence });
    execute(&mut cluster, 3, Command::Release { fence });
    execute(&mut cluster, leader, Command::Revoke { fence: fence + 2 });
    execute(&mut cluster, leader, Command::Revoke { fence: 1 });
    // A request that reaches a voter which is not the leader is redirected to the leader.
    let clock = cluster.clock();
    cluster.members[3].consensus.submit(
        clock,
        acquire("sent on", 1, 70 * SECOND, true, "asked of the wrong one"),
        9 * SECOND,
    );
    let mut first = true;
    cluster.run_for(SECOND, |sent| {
        let is_misdirected = first && sent.from == 3 && sent.bytes[0] == REQUEST;
        first &= !is_misdirected;
        Some(if is_misdirected { follower } else { sent.to })
    });
    let entries = cluster.members[leader].file.clone().unwrap();
    // A voter that lost its log is admitted again under another id.
    let third = (leader + 2) % 3;
    cluster.restart(third, empty_file());
    cluster.members[leader].written.clear();
    cluster.run_for(20 * SECOND, deliver_all);
    let replacement_writes = cluster.members[leader].written.clone();
    let voter_replaced = cluster.members[leader].file.clone().unwrap();
    // Many leases make the state longer than a datagram; every fourth fragment of it is lost.
    for n in 0..40 {
        execute(
            &mut cluster,
            n % 5,
            acquire(
                &format!("pot-{n}"),
                1,
                3_600 * SECOND,
                n % 2 == 0,
                &"long ".repeat(10),
            ),
        );
    }
    let mut fragments = 0;
    cluster.run_for(3 * SECOND, |sent| {
        fragments += u32::from(sent.bytes[0] == FRAGMENT);
        (sent.bytes[0] != FRAGMENT || fragments % 4 != 0).then_some(sent.to)
    });
    let messages = messages(&cluster.sent);
    // Enough entries for a compaction of the log.
    while !is_compacted(cluster.members[leader].file.as_deref().unwrap()) {
        cluster.execute(leader, Command::Revoke { fence: 1 });
    }
    let compacted = cluster.members[leader].file.clone().unwrap();
    let state = describe_state(&cluster.members[leader].consensus);
    Scenario {
        bootstrapped,
        entries,
        voter_replaced,
        replacement_writes,
        compacted,
        outcomes,
        state,
        messages,
    }
}

/// Whether the file was rewritten after a compaction.
fn is_compacted(file: &[u8]) -> bool {
    let log = store::read(file).unwrap().log.unwrap();
    log.snapshot().get_metadata().index > 256 && log.last_index() < 1_000
}

const RAFT: u8 = 0;
const FRAGMENT: u8 = 1;
const REQUEST: u8 = 3;

/// Distinct messages in the order in which they were sent, with only a few `raft` messages and fragments.
fn messages(sent: &[Sent]) -> String {
    let mut text = String::new();
    let mut seen: Vec<(u8, &[u8])> = Vec::new();
    for Sent { bytes, .. } in sent {
        let kind = bytes[0];
        let limit = if kind == RAFT || kind == FRAGMENT {
            8
        } else {
            80
        };
        let of_kind = seen.iter().filter(|s| s.0 == kind).count();
        if of_kind < limit && !seen.contains(&(kind, bytes)) {
            seen.push((kind, bytes));
            let _ = writeln!(text, "{kind} {}", hex(bytes));
        }
    }
    text
}

#[test]
fn log_files_and_messages_match_golden_bytes() {
    let scenario = run_scenario();
    assert_golden!("log-founded.bin", scenario.bootstrapped);
    assert_golden!("log-entries.bin", scenario.entries);
    assert_golden!("log-voter-replaced.bin", scenario.voter_replaced);
    assert_golden!(
        "log-writes-of-a-replacement.bin",
        scenario.replacement_writes
    );
    assert_golden!("log-cut.bin", scenario.compacted);
    assert_golden!("outcomes.txt", scenario.outcomes);
    assert_golden!("agreed-standing.txt", scenario.state);
    assert_golden!("agreed-messages.txt", scenario.messages);
    for kind in 0..=6 {
        let line = format!("{kind} ");
        assert!(
            scenario.messages.lines().any(|l| l.starts_with(&line)),
            "no message of kind {kind}"
        );
    }
}

#[test]
fn golden_log_files_are_read_completely() {
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
        // A truncated tail loses only the last record.
        let truncated = store::read(&bytes[..bytes.len() - 1]).expect(name);
        assert_eq!(
            truncated.damage,
            Some("it ends in the middle of a record"),
            "{name}"
        );
        assert!(
            truncated.valid_bytes < bytes.len() - 1 && truncated.log.is_some(),
            "{name}"
        );
        // Rewriting the log of an earlier build is stable: encoding it again yields the same bytes.
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
fn member_resumes_from_a_log_file_of_an_earlier_build() {
    let bytes = read_golden!("log-cut.bin");
    let id = store::read(&bytes)
        .unwrap()
        .log
        .unwrap()
        .identity
        .replica_id;
    let consensus = open(0, 5_000, Some(bytes.clone()));
    assert_eq!(consensus.notice().replica_id, id);
    let replica = consensus.replica().expect("a replica");
    let lease_count = replica.state().leases.all().count();
    assert_eq!(lease_count, 41);
    // All leases of the golden state, apart from the remaining time, which entries after the snapshot change.
    let golden = String::from_utf8(read_golden!("agreed-standing.txt")).unwrap();
    let golden_leases: Vec<&str> = golden.lines().filter(|l| l.contains(" of pot-")).collect();
    let current = describe_state(&consensus);
    assert_eq!(golden_leases.len(), 40);
    assert!(
        golden_leases
            .iter()
            .all(|l| current.contains(l.split(", left").next().unwrap())),
        "{current}"
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
    // A message of an unknown kind.
    reader.handle_message(SECOND, SECOND, "a", &[7, 0, 0]);
    assert_eq!(reader.counters().malformed, 1);
}

#[test]
fn log_error_messages_are_unchanged() {
    let undamaged = read_golden!("log-entries.bin");
    let mut flipped = undamaged.clone();
    *flipped.last_mut().unwrap() ^= 1;
    let mut endless = undamaged.clone();
    endless.extend([0; 9]);
    // Entries after a gap.
    let mut gap = read_golden!("log-founded.bin");
    let tail = undamaged.len() - 60;
    gap.extend(&undamaged[tail..]);
    let files: [(&str, &[u8]); 8] = [
        ("empty", b""),
        ("begun", b"driftfr"),
        ("newer", b"driftfront agreed 2\nand so on"),
        ("foreign", b"another file\n"),
        ("header alone", b"driftfront agreed 1\n"),
        ("spoilt byte", &flipped),
        ("endless record", &endless),
        ("tail of another", &gap),
    ];
    let mut text = String::new();
    for (what, bytes) in files {
        let result = match store::read(bytes) {
            Ok(loaded) => format!(
                "{} bytes well, {:?}, log {}",
                loaded.valid_bytes,
                loaded.damage,
                loaded.log.is_some()
            ),
            Err(why) => why.to_string(),
        };
        let _ = writeln!(text, "{what}: {result}");
    }
    assert_golden!("log-wrong.txt", text);
}

#[test]
fn commands_outcomes_and_notices_match_golden_bytes() {
    let mut text = String::new();
    let commands = [
        acquire("pot", 2, 60 * SECOND, true, "why"),
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
