//! Draws the console: a title, what needs an eye, a table, the keys.

use crate::app::{App, Tab, TABS};
use crate::messages::{self, row_text, span, widths, wrapped, Table};
use ratatui::buffer::Buffer;
use ratatui::layout::Rect;
use ratatui::style::{Color, Modifier, Style};

/// Lines that alarms take at most, as a part of the height.
const ALARMS_PART: usize = 3;

/// How things are set off from each other.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    /// With colours; else by weight and inversion alone.
    pub color: bool,
}

impl Look {
    fn alarm(self) -> Style {
        let style = Style::default().add_modifier(Modifier::BOLD);
        if self.color {
            style.fg(Color::Yellow)
        } else {
            style
        }
    }
    fn dim(self) -> Style {
        Style::default().add_modifier(Modifier::DIM)
    }
    fn head(self) -> Style {
        Style::default().add_modifier(Modifier::BOLD | Modifier::UNDERLINED)
    }
    fn chosen(self) -> Style {
        Style::default().add_modifier(Modifier::REVERSED)
    }
    fn row(self, state: &str) -> Style {
        match (self.color, state) {
            (true, "silent") => Style::default().fg(Color::Red),
            (true, "ready") => Style::default().fg(Color::Green),
            (true, "gone" | "removed") => self.dim(),
            (true, _) => Style::default().fg(Color::Yellow),
            (false, "silent") => Style::default().add_modifier(Modifier::BOLD),
            (false, _) => Style::default(),
        }
    }
}

/// A pen on the screen: one line after another, never past its edges.
struct Pen<'a> {
    buffer: &'a mut Buffer,
    area: Rect,
    line: u16,
}

impl Pen<'_> {
    fn left(&self) -> usize {
        usize::from(self.area.height.saturating_sub(self.line))
    }
    fn write(&mut self, text: &str, style: Style) {
        if self.line < self.area.height {
            let text: String = text.chars().filter(|c| !c.is_control()).collect();
            let (x, y) = (self.area.x, self.area.y + self.line);
            self.buffer
                .set_stringn(x, y, text, usize::from(self.area.width), style);
            self.line += 1;
        }
    }
}

/// Draws all of it.
pub fn draw(app: &App, look: Look, area: Rect, buffer: &mut Buffer) {
    let width = usize::from(area.width);
    let mut pen = Pen {
        buffer,
        area,
        line: 0,
    };
    let title = app
        .snapshot
        .as_ref()
        .map_or("driftfront".to_string(), messages::title);
    pen.write(&title, Style::default().add_modifier(Modifier::BOLD));
    if app.help {
        help(&mut pen, width);
        return;
    }
    let alarms = app.alarms();
    let most = (usize::from(area.height) / ALARMS_PART).max(2);
    let lines: Vec<String> = alarms.iter().flat_map(|a| wrapped(a, width)).collect();
    for line in lines.iter().take(most) {
        pen.write(line, look.alarm());
    }
    if lines.len() > most {
        let more = alarms.len();
        pen.write(
            &format!("... {more} in all; --plain tells them"),
            look.dim(),
        );
    }
    if alarms.is_empty() {
        pen.write("All is well.", Style::default());
    }
    // The last lines: what was said or asked, the tabs, the keys.
    let talk = app
        .question
        .as_ref()
        .map(|q| q.words.clone())
        .or(app.said.clone());
    let talk: Vec<String> = talk.map(|t| wrapped(&t, width)).unwrap_or_default();
    let bottom = talk.len() + 2;
    let room = pen.left().saturating_sub(bottom);
    body(app, look, &mut pen, width, room);
    pen.line = area.height.saturating_sub(bottom as u16).max(pen.line);
    for line in &talk {
        let style = if app.question.is_some() {
            look.alarm()
        } else {
            Style::default()
        };
        pen.write(line, style);
    }
    let tab = |(n, t): (usize, &(Tab, &str))| {
        if t.0 == app.tab {
            format!("[{} {}]", n + 1, t.1)
        } else {
            format!(" {} {} ", n + 1, t.1)
        }
    };
    let tabs: Vec<String> = TABS.iter().enumerate().map(tab).collect();
    let tabs = tabs.join("");
    let tabs = if tabs.chars().count() > width {
        tabs.replace("  ", " ")
    } else {
        tabs
    };
    pen.write(&tabs, look.dim());
    pen.write(&app.keys(width), look.dim());
}

fn body(app: &App, look: Look, pen: &mut Pen, width: usize, room: usize) {
    let Some(s) = &app.snapshot else { return };
    let table = match app.tab {
        Tab::Engines => messages::engines(s),
        Tab::Service => messages::classes(s),
        Tab::Queries => messages::queries(s),
        Tab::Events => return events(app, look, pen, room),
    };
    if room == 0 {
        return;
    }
    let widths = widths(&table, width);
    let heads: Vec<String> = table.heads.iter().map(|h| h.to_string()).collect();
    pen.write(&row_text(&heads, &widths), look.head());
    rows(app, look, pen, &table, &widths, room.saturating_sub(1));
}

/// The rows round the chosen one.
fn rows(app: &App, look: Look, pen: &mut Pen, table: &Table, widths: &[usize], room: usize) {
    let first = first_shown(app.chosen, table.rows.len(), room);
    for (n, row) in table.rows.iter().enumerate().skip(first).take(room) {
        let chosen = n == app.chosen && app.tab == Tab::Engines;
        let state = if app.tab == Tab::Engines {
            row.get(1).map_or("", String::as_str)
        } else {
            "-"
        };
        let style = match (chosen, app.tab) {
            (true, _) => look.chosen(),
            (false, Tab::Engines) => look.row(state),
            _ => Style::default(),
        };
        // The mark shows the choice without colours or inversion as well.
        let text = row_text(row, widths);
        pen.write(&if chosen { format!("{text} <") } else { text }, style);
    }
}

fn first_shown(chosen: usize, rows: usize, room: usize) -> usize {
    chosen
        .saturating_sub(room / 2)
        .min(rows.saturating_sub(room))
}

fn events(app: &App, look: Look, pen: &mut Pen, room: usize) {
    let now = app.snapshot.as_ref().map_or(0, |s| s.at);
    let first = first_shown(app.chosen, app.events.len(), room);
    for (at, words) in app.events.iter().skip(first).take(room) {
        let ago = span(now.saturating_sub(*at) / 1_000_000);
        pen.write(&format!("{ago:>7} ago  {words}"), Style::default());
    }
    if app.events.is_empty() && room > 0 {
        pen.write("Nothing has happened yet.", look.dim());
    }
}

fn help(pen: &mut Pen, width: usize) {
    for line in [
        "1 2 3 4, Tab  engines, service, queries, events",
        "up, down      choose an engine",
        "d  drain it: nothing new goes there, what runs may end",
        "r  resume it: it takes work again",
        "R  roll: all engines, one after another",
        "b  the engine that a roll handed over is back",
        "s, g  stop a roll, let it go on",
        "q  close this console; the program goes on",
        "",
        "Any key goes back.",
    ] {
        for line in wrapped(line, width) {
            pen.write(&line, Style::default());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use driftfront_control::snapshot::{Class, Engine, Service, Snapshot};
    use driftfront_control::Reply;

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
        app.reply(Reply::Snapshot(Box::new(snapshot)));
        app
    }

    fn text(app: &App, width: u16, height: u16) -> Vec<String> {
        let area = Rect::new(0, 0, width, height);
        let mut buffer = Buffer::empty(area);
        draw(app, Look { color: false }, area, &mut buffer);
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
    fn the_alarm_the_engines_and_the_keys_are_there_at_every_size() {
        for (width, height) in [(40, 12), (80, 24), (120, 40), (200, 60)] {
            let screen = text(&app(), width, height);
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
    fn no_size_panics_and_the_chosen_row_is_always_shown() {
        let mut app = app();
        for (width, height) in [(0, 0), (1, 1), (5, 3), (10, 60), (200, 2)] {
            text(&app, width, height);
        }
        app.chosen = 11;
        assert!(text(&app, 40, 14)
            .iter()
            .any(|l| l.starts_with("engine-12") && l.ends_with('<')));
        app.key(crate::app::Key::Char('d'));
        assert!(text(&app, 40, 12).join(" ").contains("Drain engine-12?"));
        app.question = None;
        app.key(crate::app::Key::Char('2'));
        assert!(text(&app, 80, 24).join(" ").contains("lookup"));
        app.key(crate::app::Key::Char('?'));
        assert!(text(&app, 80, 24)
            .join(" ")
            .contains("nothing new goes there"));
    }
}
