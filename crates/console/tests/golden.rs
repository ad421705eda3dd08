//! Compares all texts and screens for the snapshot in the protocol's golden files with golden files; see `golden/README.md`.
#![allow(clippy::too_many_lines, reason = "tests list their cases")]

use driftfront_console::app::{Action, App, Key, Tab, TABS};
use driftfront_console::messages;
use driftfront_console::screen::{draw, Theme};
use driftfront_control::snapshot::{Class, Consensus, Engine, Service, Snapshot, Voter};
use driftfront_control::{Reply, Request};
use driftfront_test_support::assert_golden;
use ratatui::buffer::Buffer;
use ratatui::layout::Rect;
use std::fmt::Write as _;

/// The snapshot with all members set.
fn snapshot() -> Snapshot {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../control/tests/golden/replies.jsonl"
    );
    let text = std::fs::read_to_string(path).expect("the protocol's golden replies");
    let line = text.lines().nth(3).expect("the snapshot with all members");
    match Reply::read(line) {
        Some((_, Reply::Snapshot(snapshot))) => *snapshot,
        other => panic!("no snapshot: {other:?}"),
    }
}

#[test]
fn plain_text_matches_golden_files() {
    for width in [20, 40, 80, 120, 200] {
        assert_golden!(
            &format!("plain-{width}.txt"),
            messages::plain_text(&snapshot(), width)
        );
    }
    assert_golden!(
        "plain-empty.txt",
        messages::plain_text(&Snapshot::default(), 80)
    );
    let healthy = Snapshot {
        name: "school".into(),
        engines: vec![Engine {
            name: "engine-1".into(),
            phase: "ready".into(),
            ..Engine::default()
        }],
        ..Snapshot::default()
    };
    assert_golden!("plain-well.txt", messages::plain_text(&healthy, 80));
}

fn write_table(text: &mut String, title: &str, table: &messages::Table) {
    let widths = messages::column_widths(table, 200);
    let heads: Vec<String> = table.heads.iter().map(ToString::to_string).collect();
    let _ = writeln!(text, "{title}:\n{}", messages::format_row(&heads, &widths));
    for row in &table.rows {
        let _ = writeln!(text, "{}", messages::format_row(row, &widths));
    }
}

#[test]
fn tables_match_golden_file() {
    let s = snapshot();
    let consensus = s.agreed.as_ref().expect("a consensus");
    let mut text = String::new();
    write_table(&mut text, "members", &messages::member_table(&s));
    write_table(&mut text, "holds", &messages::lease_table(consensus));
    write_table(&mut text, "engines", &messages::engine_table(&s));
    write_table(&mut text, "classes", &messages::class_table(&s));
    write_table(&mut text, "queries", &messages::query_table(&s));
    let _ = writeln!(text, "title: {}", messages::title(&s));
    let missing = Consensus {
        missing: vec!["coordinator-b".into(), "coordinator-c".into()],
        ..Consensus::default()
    };
    let no_leader = Consensus {
        leader: String::new(),
        ..consensus.clone()
    };
    for consensus in [consensus, &missing, &Consensus::default(), &no_leader] {
        let _ = write!(text, "agreed: {}", messages::consensus_summary(consensus));
    }
    for seconds in [0, 119, 120, 7_199, 7_200, 172_799, 172_800] {
        let _ = writeln!(
            text,
            "span {seconds}: {}",
            messages::format_seconds(seconds)
        );
    }
    for ms in [0.0, 9.96, 10.0, 999.4, 1_000.0, 9_999.0, 10_000.0] {
        let _ = writeln!(text, "millis {ms}: {}", messages::format_millis(ms));
    }
    assert_golden!("tables.txt", text);
}

fn write_alarms(text: &mut String, title: &str, change: impl FnOnce(&mut Snapshot)) {
    let mut s = snapshot();
    (s.roll, s.source_age_s) = (None, None);
    s.engines.truncate(1);
    s.members.clear();
    s.classes.clear();
    s.agreed = None;
    change(&mut s);
    let _ = writeln!(text, "{title}:");
    for alarm in messages::alarms(&s) {
        let _ = writeln!(text, "    {alarm}");
    }
}

/// All alarms, each with the condition that raises it.
fn all_alarms() -> String {
    let mut text = String::new();
    let t = &mut text;
    write_alarms(t, "nothing", |_| {});
    for open in [0, 1, 2, 3, 4] {
        write_alarms(t, "ending", |s| (s.stopping, s.open) = (true, open));
    }
    for state in ["draining", "drained", "handing over", "ending"] {
        write_alarms(t, state, |s| s.state = state.into());
    }
    write_alarms(t, "no engine", |s| s.engines.clear());
    for (running, imports) in [(1, 0), (2, 0), (1, 1), (2, 2), (3, 1), (5, 4)] {
        write_alarms(t, "silent", |s| {
            let engine = &mut s.engines[0];
            (engine.running, engine.imports, engine.heard_ms) = (running, imports, Some(3_000));
        });
    }
    for (order, running) in [("", 1), ("drain", 2), ("drain", 0)] {
        write_alarms(t, "drains", |s| {
            let mut engine = s.engines[0].clone();
            (engine.phase, engine.running) = ("draining".into(), running);
            (engine.order, engine.order_by) = (order.into(), "operator".into());
            s.engines.push(engine);
        });
    }
    write_alarms(t, "roll", |s| s.roll = snapshot().roll);
    for asked in [9, 10, 20] {
        write_alarms(t, "service", |s| {
            let minute = Service {
                asked,
                in_time: 5,
                ..Service::default()
            };
            s.classes = vec![Class {
                name: "lookup".into(),
                wanted_ms: 1_500,
                minute,
                ..Class::default()
            }];
        });
    }
    for age in [10, 11, 8_000] {
        write_alarms(t, "source", |s| s.source_age_s = Some(age));
    }
    for gone in [1, 2, 3, 6, 7] {
        write_alarms(t, "members of eight", |s| {
            for n in 0..8 {
                let mut member = snapshot().members[usize::from(n != 0)].clone();
                member.name = format!("coordinator-{n}");
                if (1..=gone).contains(&n) {
                    member.standing = "gone".into();
                }
                s.members.push(member);
            }
        });
    }
    write_alarms(t, "the other of two", |s| {
        s.members = snapshot().members;
        s.members.remove(1);
    });
    let voters = |there| {
        ["a", "b"].map(|name| Voter {
            name: name.into(),
            there,
        })
    };
    for (title, agreed) in [
        (
            "unfit",
            Consensus {
                part: "unfit".into(),
                ..Consensus::default()
            },
        ),
        (
            "missing",
            Consensus {
                missing: vec!["a".into(), "b".into()],
                ..Consensus::default()
            },
        ),
        (
            "no leader",
            Consensus {
                voters: voters(true).into(),
                ..Consensus::default()
            },
        ),
        (
            "no majority",
            Consensus {
                voters: voters(false).into(),
                ..Consensus::default()
            },
        ),
    ] {
        write_alarms(t, title, |s| s.agreed = Some(agreed));
    }
    text
}

#[test]
fn alarms_match_golden_file() {
    assert_golden!("alarms.txt", all_alarms());
}

#[test]
fn engine_states_match_golden_file() {
    let mut text = String::new();
    for phase in ["ready", "draining", "gone"] {
        for order in ["", "drain", "remove"] {
            for running in [0, 1] {
                for (heard_ms, warm_in_s) in [(0, 0), (0, 1), (3_000, 0)] {
                    let engine = Engine {
                        phase: phase.into(),
                        order: order.into(),
                        running,
                        heard_ms: Some(heard_ms),
                        warm_in_s,
                        ..Engine::default()
                    };
                    let _ = writeln!(
                        text,
                        "{phase}, order {order:?}, {running} run, heard {heard_ms}, warm in {warm_in_s}: {}",
                        messages::engine_state(&engine)
                    );
                }
            }
        }
    }
    assert_golden!("engine-states.txt", text);
}

/// The lines of a screen, optionally with their styles.
fn screen(app: &App, width: u16, height: u16, color: bool, styles: bool) -> String {
    let area = Rect::new(0, 0, width, height);
    let mut buffer = Buffer::empty(area);
    draw(app, Theme { color }, area, &mut buffer);
    let mut text = String::new();
    for y in 0..height {
        let line: String = (0..width).map(|x| buffer[(x, y)].symbol()).collect();
        let _ = writeln!(text, "|{line}|");
        if styles {
            let cell = &buffer[(0, y)];
            let _ = writeln!(text, "    {:?} {:?}", cell.fg, cell.modifier);
        }
    }
    text
}

fn app() -> App {
    let mut app = App::new();
    app.handle_reply(Reply::Snapshot(Box::new(snapshot())));
    for n in 0..3 {
        app.handle_reply(Reply::Event(
            1_763_999_000_000_000 + n * 400_000_000,
            format!("engine-{n}: ready -> draining"),
        ));
    }
    app
}

#[test]
fn screens_match_golden_files() {
    for (width, height) in [(40, 12), (80, 24), (120, 40)] {
        let mut text = String::new();
        for key in ['1', '2', '3', '4', '?'] {
            let mut app = app();
            app.handle_key(Key::Char(key));
            let _ = writeln!(text, "== {key}");
            text += &screen(&app, width, height, false, false);
        }
        assert_golden!(&format!("screen-{width}.txt"), text);
    }
    let mut text = String::new();
    for color in [true, false] {
        text += &screen(&app(), 80, 24, color, true);
    }
    text += &screen(&App::new(), 40, 6, true, true);
    assert_golden!("screen-styles.txt", text);
}

#[test]
fn key_handling_matches_golden_file() {
    let mut text = String::new();
    let mut app = app();
    let names: Vec<&str> = TABS.iter().map(|t| t.1).collect();
    let _ = writeln!(text, "tabs: {}", names.join(", "));
    for key in [
        Key::Char('d'),
        Key::Char('x'),
        Key::Char('d'),
        Key::Char('y'),
        Key::Down,
        Key::Char('r'),
        Key::Char('b'),
        Key::Char('s'),
        Key::Char('g'),
        Key::Char('R'),
        Key::Char('Y'),
        Key::Char('2'),
        Key::Char('d'),
        Key::Char('r'),
        Key::Tab,
        Key::Tab,
        Key::Tab,
        Key::Char('?'),
        Key::Char('q'),
        Key::Enter,
        Key::Escape,
    ] {
        let done = match app.handle_key(key) {
            Action::Nothing => "nothing".to_string(),
            Action::Quit => "quit".into(),
            Action::Send(Request::Drain { engine, force }) => {
                format!("send drain {engine} force {force}")
            }
            Action::Send(Request::Resume(engine)) => format!("send resume {engine}"),
            Action::Send(Request::Roll(engines, dry)) => format!("send roll {engines:?} {dry}"),
            Action::Send(Request::EngineReturned) => "send back".into(),
            Action::Send(Request::RollStop) => "send roll stop".into(),
            Action::Send(Request::RollResume) => "send roll go on".into(),
            Action::Send(_) => panic!("no key sends this"),
        };
        let tab = TABS.iter().position(|t| t.0 == app.tab).expect("a tab");
        let _ = writeln!(
            text,
            "{key:?}: {done}; tab {}, row {}, help {}, said {:?}, asked {:?}",
            tab + 1,
            app.selected_row,
            app.is_help_shown,
            app.status_message.as_deref().unwrap_or(""),
            app.confirmation.as_ref().map_or("", |q| &q.text)
        );
    }
    app.tab = Tab::Engines;
    app.selected_row = 0;
    if let Some(s) = &mut app.snapshot {
        s.engines.truncate(1);
    }
    app.handle_key(Key::Char('d'));
    let _ = writeln!(
        text,
        "the last: {}",
        app.confirmation.as_ref().map_or("", |q| &q.text)
    );
    app.handle_reply(Reply::Refused("no".into()));
    let _ = writeln!(
        text,
        "said {:?}",
        app.status_message.as_deref().unwrap_or("")
    );
    for width in [10, 14, 37, 40, 84, 120] {
        let _ = writeln!(text, "keys {width}: {}", app.key_line(width));
    }
    app.handle_disconnect("connection refused");
    let _ = writeln!(text, "gone: {}", app.alarms().join(" | "));
    let _ = writeln!(text, "new: {}", App::new().alarms().join(" | "));
    assert_golden!("keys.txt", text);
}
