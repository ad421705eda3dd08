//! The state folder and the hand-over files: names, bytes, and that today's bytes are read.

use crate::{type_in, Folder};
use driftfront::handover::{HandoverMailbox, ProcessNumber, ReceivedMessage};
use driftfront::state_folder::StateFolder;
use driftfront_engine_registry::handover::HandoverState;
use driftfront_engine_registry::record::StateRecord;
use driftfront_engine_registry::rolling_restart::RollingRestart;
use driftfront_engine_registry::{ActiveOrder, EngineDescription, Order};
use driftfront_scheduler::Phase;
use driftfront_test_support::coordinator::{example_configuration, write_temp_file, TEST_TIMEOUT};
use driftfront_test_support::{assert_golden, read_golden};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::mpsc::channel;

fn active_order(order: Order) -> ActiveOrder {
    ActiveOrder {
        order,
        since: 1_764_000_000_000_000,
        by: "operator".into(),
    }
}

/// One of each kind.
fn records() -> Vec<StateRecord> {
    let description = |name: &str, addr: Option<&str>| EngineDescription {
        name: name.into(),
        addr: addr.map(|a| a.parse().expect("an address")),
        zone: 0,
        kind: 0,
        cell: 2,
        started_at: None,
        phase: Phase::Ready,
    };
    let stages = ["next", "draining", "handed", "warming", "stopped", "done"];
    let rolls = stages.iter().map(|stage| {
        let text = format!("{stage}\t1764000000000000\t7\t995\te1\u{1f}e2\te0\tsomething fell");
        RollingRestart::of_text(&text).expect("a roll")
    });
    let mut all = vec![
        StateRecord::Ordered {
            engine: "e0".into(),
            active_order: active_order(Order::Drain),
        },
        StateRecord::Ordered {
            engine: "e1".into(),
            active_order: active_order(Order::Remove),
        },
        StateRecord::Added {
            description: description("added", Some("127.0.0.1:9")),
        },
        StateRecord::Added {
            description: description("added-without-address", None),
        },
        StateRecord::Ordered {
            engine: "e2".into(),
            active_order: active_order(Order::Drain),
        },
        StateRecord::Lifted {
            engine: "e2".into(),
        },
    ];
    all.extend(rolls.map(|roll| StateRecord::RollingRestart { roll: Some(roll) }));
    all.push(StateRecord::RollingRestart { roll: None });
    all
}

#[test]
fn orders_as_the_folder_keeps_them() {
    let folder = Folder::new("orders");
    let (told, ends) = channel();
    let opened = StateFolder::open(&folder.0, move |w| drop(told.send(w)));
    let mut state = opened.expect("a folder").folder;
    let number = state.append(&records()).expect("room");
    let written = ends.recv().expect("written");
    assert!(
        written.id == number && written.result.is_ok(),
        "{written:?}"
    );
    drop(state);
    assert_eq!(names(&folder.0), ["orders"]);
    assert_golden!(
        "operators/orders",
        std::fs::read(folder.0.join("orders")).expect("the file")
    );
    // And back.
    std::fs::write(folder.0.join("orders"), read_golden!("operators/orders")).expect("the file");
    let opened = StateFolder::open(&folder.0, |_| {}).expect("a folder");
    assert_eq!((opened.records, opened.warnings), (records(), vec![]));
}

fn names(folder: &Path) -> Vec<String> {
    let mut names: Vec<String> = std::fs::read_dir(folder)
        .expect("a folder")
        .map(|e| {
            e.expect("an entry")
                .file_name()
                .into_string()
                .expect("text")
        })
        .collect();
    names.sort();
    names
}

/// The text of each record in a file of orders, its times made the same.
fn order_lines(bytes: &[u8]) -> String {
    let header = bytes.iter().position(|&b| b == b'\n').expect("a header") + 1;
    let mut text = String::from_utf8_lossy(&bytes[..header]).into_owned();
    let mut rest = &bytes[header..];
    while let Some(head) = rest.get(..8) {
        let length = u32::from_le_bytes(head[..4].try_into().expect("four bytes")) as usize;
        let words: Vec<String> = String::from_utf8_lossy(&rest[8..8 + length])
            .split('\t')
            .map(|w| {
                if w.len() > 12 && w.parse::<u64>().is_ok() {
                    "TIME".into()
                } else {
                    w.to_string()
                }
            })
            .collect();
        text += &(words.join("|").escape_debug().to_string() + "\n");
        rest = &rest[8 + length..];
    }
    text
}

fn operated(folder: &Folder, more: &str) -> String {
    format!(
        "listen \"127.0.0.1:0\"\ncontrol \"{0}/control\"\nstate \"{0}/state\"\nengines {{\n  engine \"e0\" at=\"127.0.0.1:1\"\n  \
         engine \"e1\" at=\"127.0.0.1:2\"\n  engine \"e2\" at=\"127.0.0.1:3\"\n}}\n{more}",
        folder.0.display()
    )
}

struct Running {
    child: std::process::Child,
}

impl Running {
    fn start(folder: &Folder, config: &str) -> Running {
        folder.write("driftfront.kdl", config);
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_driftfront"))
            .args(["serve", "--config"])
            .arg(folder.0.join("driftfront.kdl"))
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("it starts");
        let log = std::io::BufReader::new(child.stderr.take().expect("piped"));
        let (told, listens) = channel();
        std::thread::spawn(move || {
            for line in std::io::BufRead::lines(log).map_while(Result::ok) {
                if line.contains("listen=") {
                    let _ = told.send(line);
                }
            }
        });
        listens.recv_timeout(TEST_TIMEOUT).expect("it listens");
        Running { child }
    }

    fn end(mut self) {
        let pid = self.child.id().to_string();
        assert!(std::process::Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .expect("kill")
            .success());
        assert!(self.child.wait().expect("it ends").success());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn the_state_folder_as_a_run_of_the_program_leaves_it() {
    let folder = Folder::new("run");
    let running = Running::start(&folder, &operated(&folder, ""));
    let mut text = String::new();
    for args in [
        &["drain", "e0"][..],
        &["drain", "e0"],
        &["drain", "e-0"],
        &["add", "e9", "127.0.0.1:9"],
        &["add", "e9", "127.0.0.1:9"],
        &["add", "e8"],
        &["remove", "e1"],
        &["remove", "e1", "--force"],
        &["resume", "e0"],
        &["resume", "e0"],
        &["roll", "--dry-run"],
        &["roll", "--dry-run", "e0", "e7"],
        &["roll", "--back"],
        &["roll", "--stop"],
        &["roll", "--go-on"],
        &["hold", "a"],
        &["unhold", "a"],
        &["holds"],
        &["members"],
        &["pause"],
        &["unpause"],
        &["events"],
    ] {
        text += &type_in(&folder.0, &[args, &["--at", "control"]].concat());
        if args == ["pause"] {
            wait_until_drained(&folder.0);
        }
    }
    running.end();
    assert_golden!("operators/orders-said.txt", times_out(&text));
    assert_eq!(names(&folder.0.join("state")), ["orders"]);
    let orders = std::fs::read(folder.0.join("state/orders")).expect("the file");
    assert_golden!("operators/orders-written.txt", order_lines(&orders));
}

/// A pause with no client ends in the state `drained`, and in an event, with the next periodic check.
fn wait_until_drained(folder: &Path) {
    let begin = std::time::Instant::now();
    while !type_in(folder, &["status", "--json", "--at", "control"])
        .contains("\"state\":\"drained\"")
    {
        assert!(begin.elapsed() < TEST_TIMEOUT, "never drained");
    }
}

/// Numbers of at least ten digits, and those with a point in them, are times.
fn times_out(text: &str) -> String {
    text.split_inclusive([' ', '\n'])
        .map(|word| {
            let plain = word.trim_end();
            let is_time = plain.len() > 9 && plain.chars().all(|c| c.is_ascii_digit() || c == '.');
            if is_time {
                word.replace(plain, "TIME")
            } else {
                word.to_string()
            }
        })
        .collect()
}

#[test]
fn a_state_folder_of_today_is_read_when_the_program_starts() {
    let folder = Folder::new("golden-state");
    std::fs::create_dir_all(folder.0.join("state")).expect("a folder");
    std::fs::write(
        folder.0.join("state/orders"),
        read_golden!("operators/orders"),
    )
    .expect("the file");
    let running = Running::start(&folder, &operated(&folder, ""));
    let json = type_in(&folder.0, &["engines", "--json", "--at", "control"]);
    running.end();
    let engines = json
        .splitn(3, '\n')
        .nth(2)
        .expect("JSON")
        .parse::<tinyjson::JsonValue>()
        .expect("JSON");
    let mut text = String::new();
    for engine in engines.get::<Vec<tinyjson::JsonValue>>().expect("a list") {
        let engine: &std::collections::HashMap<String, tinyjson::JsonValue> =
            engine.get().expect("an object");
        let keys = ["name", "addr", "phase", "order", "order_by"];
        let of = |key: &str| {
            engine
                .get(key)
                .map_or("-".into(), |v| v.stringify().expect("JSON"))
        };
        text += &(keys.map(|k| format!("{k}={}", of(k))).join(" ") + "\n");
    }
    assert_golden!("operators/orders-read.txt", text);
}

#[test]
fn a_roll_of_today_s_state_folder_is_read_when_the_program_starts() {
    let folder = Folder::new("golden-roll");
    let text = "stopped\t1764000000000000\t7\t995\te1\u{1f}e2\te0\tsomething fell";
    let roll = RollingRestart::of_text(text).expect("a roll");
    let bytes = driftfront_engine_registry::record::file(&[StateRecord::RollingRestart {
        roll: Some(roll),
    }]);
    assert_golden!("operators/orders-roll", bytes);
    std::fs::create_dir_all(folder.0.join("state")).expect("a folder");
    std::fs::write(
        folder.0.join("state/orders"),
        read_golden!("operators/orders-roll"),
    )
    .expect("the file");
    let running = Running::start(&folder, &operated(&folder, ""));
    let json = type_in(&folder.0, &["status", "--json", "--at", "control"]);
    let plan = type_in(&folder.0, &["roll", "--go-on", "--at", "control"]);
    running.end();
    let status = json
        .splitn(3, '\n')
        .nth(2)
        .expect("JSON")
        .parse::<tinyjson::JsonValue>()
        .expect("JSON");
    let status: &std::collections::HashMap<String, tinyjson::JsonValue> =
        status.get().expect("an object");
    assert_golden!(
        "operators/orders-roll-read.txt",
        crate::commands::ordered(&status["roll"]) + "\n" + &plan
    );
}

#[test]
fn names_of_the_files_of_what_is_agreed() {
    let folder = Folder::new("agreed");
    folder.write("key", "0123456789abcdef0123456789abcdef\n");
    std::fs::set_permissions(folder.0.join("key"), std::fs::Permissions::from_mode(0o600))
        .expect("a mode");
    let fleet = format!(
        "name \"a\"\nfleet listen=\"127.0.0.1:0\" key-file=\"{}/key\" {{\n  voter \"a\"\n  voter \"b\"\n  voter \"c\"\n}}\n",
        folder.0.display()
    );
    Running::start(&folder, &operated(&folder, &fleet)).end();
    assert_eq!(
        names(&folder.0.join("state")),
        ["agreed", "agreed.lock", "orders"]
    );
}

fn word() -> HandoverState {
    HandoverState {
        ready: true,
        orders: [
            ("e0".to_string(), active_order(Order::Drain)),
            ("e1".to_string(), active_order(Order::Remove)),
        ]
        .into(),
        lifted: [("e2".to_string(), 1_764_000_000_000_001)].into(),
        names: vec!["e0".into(), "e1".into(), "e2".into()],
    }
}

#[test]
fn hand_over_files() {
    let tmp = Folder::new("handover");
    let mut post = HandoverMailbox::open(&tmp.0, "region/coordinator 1").expect("a folder");
    let mut other = HandoverMailbox::open(&tmp.0, "region/coordinator 1").expect("a folder");
    post.publish(word()).expect("written");
    let folder = names(&tmp.0);
    let pid = format!("-{}.", std::process::id());
    let inside = tmp.0.join(&folder[0]);
    let text = format!("{folder:?}\n{:?}\n", names(&inside)).replace(&pid, "-PID.");
    assert_golden!("operators/handover-names.txt", text);
    let bytes = std::fs::read(inside.join(format!("000000000001{pid}word"))).expect("the word");
    assert_golden!("operators/handover-ready", &bytes);
    post.publish(HandoverState {
        ready: false,
        ..HandoverState::default()
    })
    .expect("written");
    let bytes = std::fs::read(inside.join(format!("000000000001{pid}word"))).expect("the word");
    assert_golden!("operators/handover-starting", &bytes);
    // A file of today is read, also when its writer has ended.
    std::fs::write(
        inside.join("000000000007-1.word"),
        read_golden!("operators/handover-ready"),
    )
    .expect("a word");
    std::fs::write(inside.join("000000000007-1.lock"), "").expect("a lock");
    let seven = ReceivedMessage {
        from: ProcessNumber {
            sequence: 7,
            pid: 1,
        },
        message: word(),
    };
    let news = other.poll();
    assert!(
        news.errors.is_empty() && news.received.contains(&seven),
        "{news:?}"
    );
}

#[test]
fn the_line_that_says_where_it_listens() {
    let config = example_configuration()
        .replace("127.0.0.1:8123", "127.0.0.1:0")
        .replacen('{', "{\"management\": \"127.0.0.1:0\",", 1);
    let path = write_temp_file(&config);
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_driftfront"))
        .args(["serve", "--config"])
        .arg(&path)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut log = std::io::BufReader::new(child.stderr.take().expect("piped"));
    let mut line = String::new();
    while !line.contains("listen=") {
        line.clear();
        assert!(
            std::io::BufRead::read_line(&mut log, &mut line).expect("a log") > 0,
            "it ended"
        );
    }
    child.kill().expect("it runs");
    child.wait().expect("it ended");
    let _ = std::fs::remove_file(path);
    let line: String = line
        .chars()
        .map(|c| if c.is_ascii_digit() { 'n' } else { c })
        .collect();
    let mut short = line;
    while short.contains("nn") {
        short = short.replace("nn", "n");
    }
    assert_golden!("operators/listen-line.txt", short);
}

#[test]
fn first_line_of_the_log_of_what_is_agreed() {
    let engine = driftfront_mock_servers::engine::Engine::start(
        driftfront_mock_servers::engine::Options {
            name: "engine-1".into(),
            ..Default::default()
        },
        std::sync::Arc::default(),
    );
    let harness = driftfront_cluster_harness::ClusterHarness::start(
        env!("CARGO_BIN_EXE_driftfront"),
        &engine.addr().to_string(),
        "members 3\nvoters 3 keeps=#true",
    );
    harness.wait_for_leader(&[0, 1, 2], None);
    let folder = harness.state_folder(0);
    assert_eq!(names(&folder), ["agreed", "agreed.lock", "orders"]);
    let bytes = std::fs::read(folder.join("agreed")).expect("the file");
    let header = bytes.iter().position(|&b| b == b'\n').expect("a header");
    assert_golden!("operators/agreed-header", &bytes[..=header]);
    let lock = std::fs::read(folder.join("agreed.lock")).expect("the file");
    assert!(lock.is_empty());
}
