//! Key handling and state of the console.

use driftfront_console::app::{Action, App, Key, MAX_EVENTS};
use driftfront_control::snapshot::Engine;
use driftfront_control::snapshot::Snapshot;
use driftfront_control::{Reply, Request};

fn app(phases: &[&str]) -> App {
    let engine = |(n, phase): (usize, &&str)| Engine {
        name: format!("engine-{n}"),
        phase: phase.to_string(),
        ..Engine::default()
    };
    let engines = phases.iter().enumerate().map(engine).collect();
    let mut app = App::new();
    app.handle_reply(Reply::Snapshot(Box::new(Snapshot {
        engines,
        ..Snapshot::default()
    })));
    app
}

#[test]
fn drain_is_sent_only_after_confirmation() {
    let mut app = app(&["ready", "ready"]);
    app.handle_key(Key::Down);
    assert_eq!(app.handle_key(Key::Char('d')), Action::Nothing);
    assert!(app
        .confirmation
        .as_ref()
        .is_some_and(|q| q.text.starts_with("Drain engine-1?")));
    assert_eq!(app.handle_key(Key::Char('x')), Action::Nothing);
    app.handle_key(Key::Char('d'));
    let drain = Request::Drain {
        engine: "engine-1".into(),
        force: false,
    };
    assert_eq!(app.handle_key(Key::Char('y')), Action::Send(drain));
}

#[test]
fn drain_of_the_last_ready_engine_shows_a_warning() {
    let mut app = app(&["ready", "draining"]);
    app.handle_key(Key::Char('d'));
    assert!(app
        .confirmation
        .as_ref()
        .is_some_and(|q| q.text.contains("LAST engine")));
    let drain = Request::Drain {
        engine: "engine-0".into(),
        force: true,
    };
    assert_eq!(app.handle_key(Key::Char('y')), Action::Send(drain));
}

#[test]
fn selection_stays_in_range_and_events_are_bounded() {
    let mut app = app(&["ready", "ready", "ready"]);
    (0..9).for_each(|_| drop(app.handle_key(Key::Down)));
    assert_eq!(app.selected_row, 2);
    app.handle_reply(Reply::Snapshot(Box::default()));
    assert_eq!(app.selected_row, 0);
    (0..2000).for_each(|n| app.handle_reply(Reply::Event(n, "x".into())));
    assert_eq!(app.events.len(), MAX_EVENTS);
    app.handle_disconnect("refused");
    assert!(app.alarms()[0].contains("can't be reached"));
    assert_eq!(app.handle_key(Key::Char('q')), Action::Quit);
}

#[test]
fn key_line_fits_every_width() {
    let app = App::new();
    assert!((0..200).all(|width| app.key_line(width).len() <= width));
    assert!(app.key_line(40).contains("d drain") && app.key_line(120).contains("R roll"));
}
