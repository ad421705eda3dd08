//! The state folder and the hand-over files: their names and bytes, and reading files with the current format.

use crate::{run_command, Folder};
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

/// State records of each kind.
fn sample_records() -> Vec<StateRecord> {
    let description = |name: &str, addr: Option<&str>| EngineDescription {
        name: name.into(),
        addr: addr.map(|a| a.parse().expect("a socket address")),
        zone: 0,
        kind: 0,
        cell: 2,
        started_at: None,
        phase: Phase::Ready,
    };
    let stages = ["next", "draining", "handed", "warming", "stopped", "done"];
    let rolling_restarts = stages.iter().map(|stage| {
        let text = format!("{stage}\t1764000000000000\t7\t995\te1\u{1f}e2\te0\tsomething fell");
        RollingRestart::from_text(&text).expect("a rolling restart")
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
    all.extend(rolling_restarts.map(|roll| StateRecord::RollingRestart { roll: Some(roll) }));
    all.push(StateRecord::RollingRestart { roll: None });
    all
}

#[test]
fn state_folder_format() {
    let folder = Folder::new("orders");
    let (sender, completions) = channel();
    let opened = StateFolder::open(&folder.0, move |w| drop(sender.send(w)));
    let mut state = opened.expect("the state folder opens").folder;
    let id = state
        .append(&sample_records())
        .expect("the write queue has room");
    let written = completions.recv().expect("a write completion");
    assert!(written.id == id && written.result.is_ok(), "{written:?}");
    drop(state);
    assert_eq!(names(&folder.0), ["orders"]);
    assert_golden!(
        "operators/orders",
        std::fs::read(folder.0.join("orders")).expect("the file is accessible")
    );
    // The same bytes are read back as the same records.
    std::fs::write(folder.0.join("orders"), read_golden!("operators/orders"))
        .expect("the file is accessible");
    let opened = StateFolder::open(&folder.0, |_| {}).expect("the state folder opens");
    assert_eq!(
        (opened.records, opened.warnings),
        (sample_records(), vec![])
    );
}

fn names(folder: &Path) -> Vec<String> {
    let mut names: Vec<String> = std::fs::read_dir(folder)
        .expect("the directory is read")
        .map(|e| {
            e.expect("a directory entry")
                .file_name()
                .into_string()
                .expect("a UTF-8 name")
        })
        .collect();
    names.sort();
    names
}

/// The text of each record in an `orders` file, with times replaced by a placeholder.
fn order_lines(bytes: &[u8]) -> String {
    let header = bytes
        .iter()
        .position(|&b| b == b'\n')
        .expect("a header line")
        + 1;
    let mut text = String::from_utf8_lossy(&bytes[..header]).into_owned();
    let mut rest = &bytes[header..];
    while let Some(head) = rest.get(..8) {
        let length = u32::from_le_bytes(head[..4].try_into().expect("four bytes")) as usize;
        let fields: Vec<String> = String::from_utf8_lossy(&rest[8..8 + length])
            .split('\t')
            .map(|w| {
                if w.len() > 12 && w.parse::<u64>().is_ok() {
                    "TIME".into()
                } else {
                    w.to_string()
                }
            })
            .collect();
        text += &(fields.join("|").escape_debug().to_string() + "\n");
        rest = &rest[8 + length..];
    }
    text
}

/// A configuration with three engines, a control socket and a state folder, followed by `more`.
fn configuration(folder: &Folder, more: &str) -> String {
    format!(
        "listen \"127.0.0.1:0\"\ncontrol \"{0}/control\"\nstate \"{0}/state\"\nengines {{\n  engine \"e0\" at=\"127.0.0.1:1\"\n  \
         engine \"e1\" at=\"127.0.0.1:2\"\n  engine \"e2\" at=\"127.0.0.1:3\"\n}}\n{more}",
        folder.0.display()
    )
}

/// A running coordinator process, killed when it is dropped.
struct RunningProcess {
    child: std::process::Child,
}

impl RunningProcess {
    fn start(folder: &Folder, config: &str) -> RunningProcess {
        folder.write("driftfront.kdl", config);
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_driftfront"))
            .args(["serve", "--config"])
            .arg(folder.0.join("driftfront.kdl"))
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = std::io::BufReader::new(child.stderr.take().expect("piped"));
        let (sender, listen_lines) = channel();
        std::thread::spawn(move || {
            for line in std::io::BufRead::lines(log).map_while(Result::ok) {
                if line.contains("listen=") {
                    let _ = sender.send(line);
                }
            }
        });
        listen_lines
            .recv_timeout(TEST_TIMEOUT)
            .expect("the program listens");
        RunningProcess { child }
    }

    /// Sends SIGTERM and waits for a successful exit.
    fn terminate(mut self) {
        let pid = self.child.id().to_string();
        assert!(std::process::Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .expect("kill")
            .success());
        assert!(self.child.wait().expect("the program exits").success());
    }
}

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn commands_and_the_state_folder_that_they_leave() {
    let folder = Folder::new("run");
    let running = RunningProcess::start(&folder, &configuration(&folder, ""));
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
        text += &run_command(&folder.0, &[args, &["--at", "control"]].concat());
        if args == ["pause"] {
            wait_until_drained(&folder.0);
        }
    }
    running.terminate();
    assert_golden!("operators/orders-said.txt", replace_times(&text));
    assert_eq!(names(&folder.0.join("state")), ["orders"]);
    let orders = std::fs::read(folder.0.join("state/orders")).expect("the file is accessible");
    assert_golden!("operators/orders-written.txt", order_lines(&orders));
}

/// Waits until a paused coordinator without clients is in the state `drained`. The next periodic check sets that state and records
/// the event.
fn wait_until_drained(folder: &Path) {
    let start = std::time::Instant::now();
    while !run_command(folder, &["status", "--json", "--at", "control"])
        .contains("\"state\":\"drained\"")
    {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "the coordinator did not reach the state drained"
        );
    }
}

/// Replaces times by a placeholder: all numbers of at least ten characters, counting a decimal point.
fn replace_times(text: &str) -> String {
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
fn state_folder_of_the_current_format_is_read_at_start() {
    let folder = Folder::new("golden-state");
    std::fs::create_dir_all(folder.0.join("state")).expect("the directory is created");
    std::fs::write(
        folder.0.join("state/orders"),
        read_golden!("operators/orders"),
    )
    .expect("the file is accessible");
    let running = RunningProcess::start(&folder, &configuration(&folder, ""));
    let json = run_command(&folder.0, &["engines", "--json", "--at", "control"]);
    running.terminate();
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
        let field = |key: &str| {
            engine
                .get(key)
                .map_or("-".into(), |v| v.stringify().expect("JSON"))
        };
        text += &(keys.map(|k| format!("{k}={}", field(k))).join(" ") + "\n");
    }
    assert_golden!("operators/orders-read.txt", text);
}

#[test]
fn rolling_restart_of_the_current_format_is_read_at_start() {
    let folder = Folder::new("golden-roll");
    let text = "stopped\t1764000000000000\t7\t995\te1\u{1f}e2\te0\tsomething fell";
    let roll = RollingRestart::from_text(text).expect("a rolling restart");
    let bytes = driftfront_engine_registry::record::encode_file(&[StateRecord::RollingRestart {
        roll: Some(roll),
    }]);
    assert_golden!("operators/orders-roll", bytes);
    std::fs::create_dir_all(folder.0.join("state")).expect("the directory is created");
    std::fs::write(
        folder.0.join("state/orders"),
        read_golden!("operators/orders-roll"),
    )
    .expect("the file is accessible");
    let running = RunningProcess::start(&folder, &configuration(&folder, ""));
    let json = run_command(&folder.0, &["status", "--json", "--at", "control"]);
    let plan = run_command(&folder.0, &["roll", "--go-on", "--at", "control"]);
    running.terminate();
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
        crate::commands::sorted_json(&status["roll"]) + "\n" + &plan
    );
}

#[test]
fn file_names_in_the_state_folder_of_a_voter() {
    let folder = Folder::new("agreed");
    folder.write("key", "0123456789abcdef0123456789abcdef\n");
    std::fs::set_permissions(folder.0.join("key"), std::fs::Permissions::from_mode(0o600))
        .expect("the file mode is set");
    let cluster_settings = format!(
        "name \"a\"\nfleet listen=\"127.0.0.1:0\" key-file=\"{}/key\" {{\n  voter \"a\"\n  voter \"b\"\n  voter \"c\"\n}}\n",
        folder.0.display()
    );
    RunningProcess::start(&folder, &configuration(&folder, &cluster_settings)).terminate();
    assert_eq!(
        names(&folder.0.join("state")),
        ["agreed", "agreed.lock", "orders"]
    );
}

fn handover_state() -> HandoverState {
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
fn handover_file_format() {
    let tmp = Folder::new("handover");
    let mut mailbox =
        HandoverMailbox::open(&tmp.0, "region/coordinator 1").expect("the mailbox opens");
    let mut reader =
        HandoverMailbox::open(&tmp.0, "region/coordinator 1").expect("the mailbox opens");
    mailbox
        .publish(handover_state())
        .expect("the state is published");
    let mailbox_names = names(&tmp.0);
    let pid = format!("-{}.", std::process::id());
    let mailbox_folder = tmp.0.join(&mailbox_names[0]);
    let text = format!("{mailbox_names:?}\n{:?}\n", names(&mailbox_folder)).replace(&pid, "-PID.");
    assert_golden!("operators/handover-names.txt", text);
    let bytes = std::fs::read(mailbox_folder.join(format!("000000000001{pid}word")))
        .expect("the hand-over file is read");
    assert_golden!("operators/handover-ready", &bytes);
    mailbox
        .publish(HandoverState {
            ready: false,
            ..HandoverState::default()
        })
        .expect("the state is published");
    let bytes = std::fs::read(mailbox_folder.join(format!("000000000001{pid}word")))
        .expect("the hand-over file is read");
    assert_golden!("operators/handover-starting", &bytes);
    // A file with the current format is read, even if the process that wrote it has exited.
    std::fs::write(
        mailbox_folder.join("000000000007-1.word"),
        read_golden!("operators/handover-ready"),
    )
    .expect("the hand-over file is written");
    std::fs::write(mailbox_folder.join("000000000007-1.lock"), "")
        .expect("the lock file is written");
    let expected = ReceivedMessage {
        from: ProcessNumber {
            sequence: 7,
            pid: 1,
        },
        message: handover_state(),
    };
    let polled = reader.poll();
    assert!(
        polled.errors.is_empty() && polled.received.contains(&expected),
        "{polled:?}"
    );
}

#[test]
fn log_line_with_the_listen_addresses() {
    let config = example_configuration()
        .replace("127.0.0.1:8123", "127.0.0.1:0")
        .replacen('{', "{\"management\": \"127.0.0.1:0\",", 1);
    let path = write_temp_file(&config);
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_driftfront"))
        .args(["serve", "--config"])
        .arg(&path)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut log = std::io::BufReader::new(child.stderr.take().expect("piped"));
    let mut line = String::new();
    while !line.contains("listen=") {
        line.clear();
        assert!(
            std::io::BufRead::read_line(&mut log, &mut line).expect("the log is read") > 0,
            "the program exited"
        );
    }
    child.kill().expect("the program is running");
    child.wait().expect("the program exits");
    let _ = std::fs::remove_file(path);
    let line: String = line
        .chars()
        .map(|c| if c.is_ascii_digit() { 'n' } else { c })
        .collect();
    let mut normalized = line;
    while normalized.contains("nn") {
        normalized = normalized.replace("nn", "n");
    }
    assert_golden!("operators/listen-line.txt", normalized);
}

#[test]
fn header_of_the_consensus_log() {
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
    let bytes = std::fs::read(folder.join("agreed")).expect("the file is accessible");
    let header = bytes
        .iter()
        .position(|&b| b == b'\n')
        .expect("a header line");
    assert_golden!("operators/agreed-header", &bytes[..=header]);
    let lock = std::fs::read(folder.join("agreed.lock")).expect("the file is accessible");
    assert!(lock.is_empty());
}
