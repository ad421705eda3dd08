//! Compares the registry's file formats and messages with golden files, byte for byte; see `golden/README.md`.
#![allow(
    clippy::too_many_lines,
    clippy::cast_possible_truncation,
    reason = "tests list their cases, and their sizes are small"
)]

use driftfront_engine_registry::handover::{self, HandoverState};
use driftfront_engine_registry::record::{self, StateRecord};
use driftfront_engine_registry::rolling_restart::{
    EngineSnapshot, ObservedState, RollingRestart, RollingRestartAction, Stage,
};
use driftfront_engine_registry::{describe_active_order, fnv1a_64, phase_name};
use driftfront_engine_registry::{
    ActiveOrder, Command, EngineDescription, EngineRegistry, Order, Refusal,
};
use driftfront_scheduler::{ListKind, Phase};
use driftfront_test_support::{assert_golden, read_golden};
use std::fmt::Write as _;

const SECOND: u64 = 1_000_000;

fn active_order(order: Order, by: &str) -> ActiveOrder {
    ActiveOrder {
        order,
        since: 1_764_000_000_000_000,
        by: by.into(),
    }
}

fn description(name: &str, addr: Option<&str>) -> EngineDescription {
    EngineDescription {
        name: name.into(),
        addr: addr.map(|a| a.parse().expect("an address")),
        zone: 1,
        kind: 2,
        cell: 3,
        started_at: None,
        phase: Phase::Ready,
    }
}

fn roll(stage: Stage) -> RollingRestart {
    RollingRestart {
        remaining: vec!["engine-1".into(), "engine 2".into()],
        completed: vec!["engine-0".into()],
        stage,
        since: 1_764_000_000_000_001,
        started_at: Some(1_763_999_999_000_000),
        service_level: 987,
        status: "engine-1 is drained: nothing new goes there".into(),
    }
}

fn records() -> Vec<StateRecord> {
    let mut all = vec![
        StateRecord::Ordered {
            engine: "engine-1".into(),
            active_order: active_order(Order::Drain, "operator"),
        },
        StateRecord::Ordered {
            engine: "engine-2".into(),
            active_order: active_order(Order::Remove, "a roll"),
        },
        StateRecord::Lifted {
            engine: "engine-1".into(),
        },
        StateRecord::Added {
            description: description("engine-9", Some("127.0.0.1:8123")),
        },
        StateRecord::Added {
            description: description("engine-é", Some("[::1]:8123")),
        },
        StateRecord::Added {
            description: description("engine-10", None),
        },
        StateRecord::RollingRestart { roll: None },
        StateRecord::RollingRestart {
            roll: Some(RollingRestart::new(7, vec!["a".into()], None)),
        },
    ];
    for stage in [
        Stage::Next,
        Stage::Draining,
        Stage::HandedOver,
        Stage::WarmingUp,
        Stage::Stopped,
        Stage::Done,
    ] {
        all.push(StateRecord::RollingRestart {
            roll: Some(roll(stage)),
        });
    }
    all
}

#[test]
fn state_file_matches_golden_file() {
    assert_golden!("orders.state", record::encode_file(&records()));
    let read = record::decode_file(&read_golden!("orders.state")).expect("a state file");
    assert_eq!(read.records, records());
    assert_eq!(read.valid_bytes, read_golden!("orders.state").len());
    assert_eq!(read.damage, None);
}

#[test]
fn state_file_errors_match_golden_file() {
    let complete = record::encode_file(&records());
    let changed = |at: usize| {
        let mut bytes = complete.clone();
        bytes[at] ^= 0x10;
        bytes
    };
    let unknown = {
        let text = b"dance\tengine-1";
        let mut bytes = complete.clone();
        bytes.extend((text.len() as u32).to_le_bytes());
        bytes.extend(crc(text).to_le_bytes());
        bytes.extend(text);
        bytes
    };
    let mut text = String::new();
    for (name, bytes) in [
        ("empty", Vec::new()),
        ("begun", complete[..5].to_vec()),
        ("header alone", complete[..19].to_vec()),
        ("length cut", complete[..22].to_vec()),
        ("text cut", complete[..40].to_vec()),
        ("length changed", changed(22)),
        ("checksum changed", changed(24)),
        ("text changed", changed(30)),
        ("unknown behind", unknown),
        ("newer", b"driftfront state 2\nwhatever".to_vec()),
        ("foreign", b"{\"instances\":[]}".to_vec()),
    ] {
        let line = match record::decode_file(&bytes) {
            Ok(read) => format!(
                "{} records, {} bytes, {}",
                read.records.len(),
                read.valid_bytes,
                read.damage.map_or(String::new(), |d| d.to_string())
            ),
            Err(error) => format!("unusable: {error}"),
        };
        let _ = writeln!(text, "{name}: {line}");
    }
    assert_golden!("orders-damaged.txt", text);
}

fn handover_state(ready: bool) -> HandoverState {
    HandoverState {
        ready,
        orders: [
            ("engine 2".into(), active_order(Order::Remove, "a\troll")),
            (
                "engine-1".into(),
                active_order(Order::Drain, "the second address"),
            ),
        ]
        .into(),
        lifted: [
            ("engine-3".into(), 9),
            ("engine-é".into(), 1_764_000_000_000_002),
        ]
        .into(),
        names: vec!["engine-1".into(), "engine 2".into(), "engine-é".into()],
    }
}

#[test]
fn handover_file_matches_golden_files() {
    assert_golden!(
        "handover-ready.bin",
        handover::encode(&handover_state(true))
    );
    assert_golden!(
        "handover-starting.bin",
        handover::encode(&handover_state(false))
    );
    assert_golden!(
        "handover-empty.bin",
        handover::encode(&HandoverState::default())
    );
    for (name, ready) in [
        ("handover-ready.bin", true),
        ("handover-starting.bin", false),
    ] {
        let mut expected = handover_state(ready);
        // Control characters in the name of who gave an order are written as spaces.
        expected
            .orders
            .insert("engine 2".into(), active_order(Order::Remove, "a roll"));
        assert_eq!(handover::decode(&read_golden!(name)), Ok(expected));
    }
    assert_eq!(
        handover::decode(&read_golden!("handover-empty.bin")),
        Ok(HandoverState::default())
    );
}

#[test]
fn handover_file_errors_match_golden_file() {
    let complete = handover::encode(&handover_state(true));
    let with_header = |text: &[u8], sum: u32| {
        let mut bytes = handover::HEADER.to_vec();
        bytes.extend((text.len() as u32).to_le_bytes());
        bytes.extend(sum.to_le_bytes());
        bytes.extend(text);
        bytes
    };
    let mut changed = complete.clone();
    changed[40] ^= 0x10;
    let mut text = String::new();
    for (name, bytes) in [
        ("empty", Vec::new()),
        ("begun", complete[..5].to_vec()),
        ("header cut", complete[..21].to_vec()),
        ("length cut", complete[..24].to_vec()),
        ("text cut", complete[..50].to_vec()),
        ("text changed", changed),
        ("bytes behind", [&complete[..], b"x"].concat()),
        ("newer", b"driftfront handover 2\nwhatever".to_vec()),
        ("foreign", b"something else\n".to_vec()),
        (
            "unknown line",
            with_header(b"ready\ndance\te\n", crc(b"ready\ndance\te\n")),
        ),
        (
            "not text",
            with_header(b"ready\n\xff\n", crc(b"ready\n\xff\n")),
        ),
    ] {
        let line = match handover::decode(&bytes) {
            Ok(state) => format!("read, ready: {}", state.ready),
            Err(error) => error.to_string(),
        };
        let _ = writeln!(text, "{name}: {line}");
    }
    assert_golden!("handover-damaged.txt", text);
}

/// CRC-32 (IEEE), computed bit by bit, independently of the library in use.
fn crc(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0u32, |sum, &byte| {
        (0..8).fold(sum ^ u32::from(byte), |s, _| {
            (s >> 1) ^ (0xedb8_8320 & (s & 1).wrapping_neg())
        })
    })
}

#[test]
fn engine_ids_match_golden_file() {
    let mut text = String::new();
    for name in ["", "a", "engine-1", "engine-é", "s-00c41f7a"] {
        let _ = writeln!(text, "hash {name:?}: {:016x}", fnv1a_64(name.as_bytes()));
    }
    let mut registry = EngineRegistry::new();
    let addr = Some("127.0.0.1:1000");
    registry.apply_listing(
        ListKind::Full,
        vec![
            description("engine-1", addr),
            description("s-00c41f7a", addr),
        ],
    );
    for engine in registry.engines() {
        let _ = writeln!(text, "engine {:?}: {:012x}", engine.name, engine.id.0);
    }
    assert_golden!("engine-numbers.txt", text);
}

fn write_outcome(
    text: &mut String,
    outcome: Result<driftfront_engine_registry::RegistryUpdate, Refusal>,
) {
    match outcome {
        Ok((change, records)) => {
            for message in &change.messages {
                let _ = writeln!(text, "  change: {message}");
            }
            for record in &records {
                let bytes = record::encode(record);
                let _ = writeln!(text, "  record: {}", bytes[8..].escape_ascii());
            }
        }
        Err(error) => {
            let _ = writeln!(text, "  refused: {error}");
        }
    }
}

#[test]
fn command_results_match_golden_file() {
    let mut registry = EngineRegistry::new();
    let mut text = String::new();
    let addr = Some("127.0.0.1:1000");
    let change = registry.apply_listing(
        ListKind::Full,
        vec![
            description("engine-1", addr),
            description("engine-2", addr),
            description("engine-4", None),
            description("", addr),
            EngineDescription {
                phase: Phase::Draining,
                ..description("engine-3", addr)
            },
        ],
    );
    for message in &change.messages {
        let _ = writeln!(text, "list: {message}");
    }
    let drain = |engine: &str, force| Command::Drain {
        engine: engine.into(),
        force,
    };
    let resume = |engine: &str| Command::Resume {
        engine: engine.into(),
    };
    let remove = |engine: &str, force| Command::Remove {
        engine: engine.into(),
        force,
    };
    let add = |description: EngineDescription| Command::Add { description };
    for (n, (title, command)) in [
        ("drain unknown, one near", drain("engine-5", false)),
        ("drain unknown", drain("nothing-like-it", false)),
        ("drain", drain("engine-1", false)),
        ("drain again", drain("engine-1", false)),
        ("drain the last", drain("engine-2", false)),
        ("drain the last by force", drain("engine-2", true)),
        ("resume", resume("engine-1")),
        ("resume again", resume("engine-1")),
        ("remove a ready one", remove("engine-1", false)),
        ("remove by force", remove("engine-1", true)),
        ("remove again", remove("engine-1", true)),
        ("resume a removed one", resume("engine-1")),
        ("drain a removed one", drain("engine-1", false)),
        ("add without an address", add(description("engine-7", None))),
        ("add", add(description("engine-7", addr))),
        ("add again", add(description("engine-7", addr))),
        ("add a removed one", add(description("engine-1", None))),
        ("add with a tab", add(description("engine\t8", addr))),
    ]
    .into_iter()
    .enumerate()
    {
        let _ = writeln!(text, "{title}:");
        let outcome = registry.execute_command(1_000 + n as u64, "operator", command);
        write_outcome(&mut text, outcome);
    }
    let _ = writeln!(text, "gone:");
    let change = registry.apply_listing(ListKind::Full, vec![description("engine-2", addr)]);
    write_outcome(&mut text, Ok((change, Vec::new())));
    for refusal in [
        Refusal::TooMany,
        Refusal::StillReady("e".into()),
        Refusal::UnknownEngine {
            engine: "e".into(),
            nearest: Some("f".into()),
        },
    ] {
        let _ = writeln!(text, "refusal: {refusal}");
    }
    for order in [Order::Drain, Order::Remove] {
        let description = describe_active_order(&active_order(order, "operator"));
        let _ = writeln!(text, "standing: {description}");
    }
    for phase in [Phase::Ready, Phase::Draining, Phase::Gone] {
        let _ = writeln!(text, "phase: {}", phase_name(phase));
    }
    assert_golden!("commands.txt", text);
}

fn engine(name: &str, zone: u16) -> EngineSnapshot {
    EngineSnapshot {
        name: name.into(),
        is_ready: true,
        is_drained: false,
        running_queries: 0,
        running_imports: 0,
        started_at: Some(1),
        is_reachable: true,
        zone,
        capacity_share: 0.25,
    }
}

fn observed() -> ObservedState {
    ObservedState {
        engines: vec![
            engine("a", 0),
            engine("b", 0),
            engine("c", 1),
            engine("d", 1),
        ],
        service_level: Some(0.95),
        load: 0.4,
    }
}

/// Drives a rolling restart, and records its transcript.
struct Script {
    roll: RollingRestart,
    observed: ObservedState,
    text: String,
}

impl Script {
    fn new(title: &str, engines: &[&str]) -> Script {
        let engines = engines.iter().map(ToString::to_string).collect();
        Script {
            roll: RollingRestart::new(0, engines, Some(0.95)),
            observed: observed(),
            text: format!("== {title}\n"),
        }
    }

    fn set(&mut self, name: &str, change: impl FnOnce(&mut EngineSnapshot)) {
        let engine = self.observed.engines.iter_mut().find(|e| e.name == name);
        change(engine.expect("known"));
    }

    fn note(&mut self, now: u64, actions: Vec<RollingRestartAction>) {
        let _ = writeln!(
            self.text,
            "{} s: {}; {}",
            now / SECOND,
            self.roll.stage.name(),
            self.roll.status
        );
        for action in actions {
            let line = match &action {
                RollingRestartAction::Drain(name) => format!("drain {name}"),
                RollingRestartAction::Resume(name) => format!("resume {name}"),
                RollingRestartAction::Persist => "write".into(),
                RollingRestartAction::Announce(message) => format!("say {message}"),
            };
            let _ = writeln!(self.text, "    {line}");
            if let RollingRestartAction::Drain(name) | RollingRestartAction::Resume(name) = &action
            {
                let drained = matches!(action, RollingRestartAction::Drain(_));
                self.set(name, |e| (e.is_drained, e.is_ready) = (drained, !drained));
            }
        }
        let _ = writeln!(self.text, "    {}", self.roll.to_text().escape_debug());
    }

    fn step(&mut self, now: u64) {
        let actions = self.roll.step(now * SECOND, &self.observed);
        self.note(now * SECOND, actions);
    }

    fn plan(&mut self) {
        for line in self.roll.plan(&self.observed) {
            let _ = writeln!(self.text, "    plan {line}");
        }
    }
}

#[test]
fn rolling_restart_transcript_matches_golden_file() {
    let mut s = Script::new("two engines, one restarted, one handed back", &["a", "b"]);
    s.plan();
    s.set("a", |e| (e.running_queries, e.running_imports) = (3, 1));
    s.step(1);
    s.step(2);
    s.set("a", |e| (e.running_queries, e.running_imports) = (2, 0));
    s.step(3);
    s.step(70);
    s.set("a", |e| e.running_queries = 0);
    s.step(71);
    s.step(72);
    s.set("a", |e| e.started_at = Some(9));
    s.step(73);
    s.step(74);
    s.set("a", |e| e.is_ready = false);
    s.step(75);
    s.set("a", |e| e.is_ready = true);
    s.step(90);
    s.step(91);
    s.step(92);
    let actions = s.roll.confirm_engine_returned(93 * SECOND);
    s.note(93 * SECOND, actions);
    let actions = s.roll.confirm_engine_returned(94 * SECOND);
    s.note(94 * SECOND, actions);
    s.step(120);
    s.step(121);
    let mut text = s.text;

    let mut s = Script::new(
        "what bars an engine, and one that is not listed",
        &["a", "x"],
    );
    s.observed.load = 0.7;
    s.step(1);
    s.plan();
    s.observed.load = 0.4;
    s.set("b", |e| e.is_drained = true);
    s.step(2);
    s.set("b", |e| e.is_drained = false);
    s.set("c", |e| e.is_ready = false);
    s.step(3);
    s.observed.engines.truncate(1);
    s.step(4);
    s.observed.engines.clear();
    s.step(5);
    s.observed = observed();
    s.roll.remaining = vec!["x".into()];
    s.step(6);
    s.step(7);
    text += &s.text;

    let mut s = Script::new("stops: service, resumed, operator", &["a"]);
    s.step(1);
    s.observed.service_level = Some(0.8);
    s.step(2);
    s.step(3);
    let actions = s.roll.resume(4 * SECOND, &s.observed);
    s.note(4 * SECOND, actions);
    s.set("a", |e| (e.is_drained, e.is_ready) = (false, true));
    s.step(5);
    let actions = s.roll.resume(6 * SECOND, &s.observed);
    s.note(6 * SECOND, actions);
    s.step(7);
    s.step(8);
    s.set("a", |e| (e.is_drained, e.is_ready) = (false, true));
    s.step(9);
    let actions = s.roll.stop(10 * SECOND, "by an operator");
    s.note(10 * SECOND, actions);
    text += &s.text;
    assert_golden!("roll.txt", text);
}
