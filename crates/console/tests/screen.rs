//! Screens of the console, drawn without a terminal.

use driftfront_console::app::{App, Key};
use driftfront_console::screen::{draw, Theme};
use driftfront_control::snapshot::{Class, Engine, Service, Snapshot};
use driftfront_control::Reply;
use ratatui::buffer::Buffer;
use ratatui::layout::Rect;

fn app() -> App {
    let engine = |n: usize| Engine {
        name: format!("engine-{n}"),
        addr: "127.0.0.1:8123".into(),
        zone: "building-a".into(),
        phase: "ready".into(),
        running: 1,
        heard_ms: Some(if n == 2 { 12_000 } else { 5 }),
        imports: u64::from(n == 2),
        ..Engine::default()
    };
    let minute = Service {
        asked: 9,
        served: 9,
        in_time: 9,
        p50_ms: 12.0,
        p99_ms: 80.0,
        ..Service::default()
    };
    let class = Class {
        name: "lookup".into(),
        wanted_ms: 500,
        minute,
        ..Class::default()
    };
    let engines = (1..=12).map(engine).collect();
    let mut app = App::new();
    let snapshot = Snapshot {
        name: "school".into(),
        engines,
        classes: vec![class],
        ..Snapshot::default()
    };
    app.handle_reply(Reply::Snapshot(Box::new(snapshot)));
    app
}

fn screen_lines(app: &App, width: u16, height: u16) -> Vec<String> {
    let area = Rect::new(0, 0, width, height);
    let mut buffer = Buffer::empty(area);
    draw(app, Theme { color: false }, area, &mut buffer);
    let line = |y| {
        (0..width)
            .map(|x| buffer[(x, y)].symbol())
            .collect::<String>()
    };
    (0..height)
        .map(|y| line(y).trim_end().to_string())
        .collect()
}

#[test]
fn alarms_engines_and_keys_are_shown_at_every_size() {
    for (width, height) in [(40, 12), (80, 24), (120, 40), (200, 60)] {
        let screen = screen_lines(&app(), width, height);
        let all = screen.join(" ");
        assert!(
            all.contains("engine-2 has said nothing for 12 s."),
            "{screen:#?}"
        );
        assert!(all.contains("will not be sent again"), "{screen:#?}");
        assert!(
            all.contains("engine-1") && all.contains("silent") || height == 12,
            "{screen:#?}"
        );
        assert!(
            screen.last().is_some_and(|l| l.contains("q quit")),
            "{screen:#?}"
        );
    }
}

#[test]
fn any_size_can_be_drawn_and_shows_the_selected_row() {
    let mut app = app();
    for (width, height) in [(0, 0), (1, 1), (5, 3), (10, 60), (200, 2)] {
        screen_lines(&app, width, height);
    }
    app.selected_row = 11;
    assert!(screen_lines(&app, 40, 14)
        .iter()
        .any(|l| l.starts_with("engine-12") && l.ends_with('<')));
    app.handle_key(Key::Char('d'));
    assert!(screen_lines(&app, 40, 12)
        .join(" ")
        .contains("Drain engine-12?"));
    app.confirmation = None;
    app.handle_key(Key::Char('2'));
    assert!(screen_lines(&app, 80, 24).join(" ").contains("lookup"));
    app.handle_key(Key::Char('?'));
    assert!(screen_lines(&app, 80, 24)
        .join(" ")
        .contains("nothing new goes there"));
}
