//! Draws the console: title, alarms, table, dialog, tabs and key help, from top to bottom.

use crate::app::{App, Tab, TABS};
use crate::messages::{self, column_widths, format_row, format_seconds, wrap_text, Table};
use ratatui::buffer::Buffer;
use ratatui::layout::Rect;
use ratatui::style::{Color, Modifier, Style};

/// Alarms take at most one part in this many of the height.
const ALARMS_FRACTION: usize = 3;
/// Number of alarm lines shown even on the smallest screen.
const MIN_ALARM_LINES: usize = 2;
/// Number of lines for the tabs and the key help.
const FOOTER_LINES: usize = 2;
/// Index of the state column in the table of engines.
const STATE_COLUMN: usize = 1;

const HELP: [&str; 10] = [
    "1 2 3 4, Tab  engines, service, queries, events",
    "up, down      select an engine",
    "d  drain it: nothing new goes there, what runs may end",
    "r  resume it: it takes work again",
    "R  roll: all engines, one after another",
    "b  confirm that the engine a roll handed over is back",
    "s, g  stop a roll, resume it",
    "q  close this console; the program keeps running",
    "",
    "Press any key to return.",
];

/// The styles of the screen.
#[derive(Clone, Copy, Debug)]
pub struct Theme {
    /// Whether to use colours; otherwise only text attributes are used.
    pub color: bool,
}

impl Theme {
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

    fn heading(self) -> Style {
        Style::default().add_modifier(Modifier::BOLD | Modifier::UNDERLINED)
    }

    fn selected(self) -> Style {
        Style::default().add_modifier(Modifier::REVERSED)
    }

    fn engine(self, state: &str) -> Style {
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

/// Writes lines from top to bottom, clipped to the area.
struct LineWriter<'a> {
    buffer: &'a mut Buffer,
    area: Rect,
    /// Index of the next line.
    line: u16,
}

impl LineWriter<'_> {
    fn width(&self) -> usize {
        usize::from(self.area.width)
    }

    fn lines_left(&self) -> usize {
        usize::from(self.area.height.saturating_sub(self.line))
    }

    /// Moves to the line that leaves this many lines to the bottom, but never upwards.
    fn skip_to_last(&mut self, lines: usize) {
        let lines = u16::try_from(lines).unwrap_or(u16::MAX);
        self.line = self.area.height.saturating_sub(lines).max(self.line);
    }

    fn write(&mut self, text: &str, style: Style) {
        if self.line < self.area.height {
            let text: String = text.chars().filter(|c| !c.is_control()).collect();
            let (x, y) = (self.area.x, self.area.y + self.line);
            self.buffer.set_stringn(x, y, text, self.width(), style);
            self.line += 1;
        }
    }
}

/// Draws the whole screen.
pub fn draw(app: &App, theme: Theme, area: Rect, buffer: &mut Buffer) {
    let line = 0;
    let mut writer = LineWriter { buffer, area, line };
    let title = app.snapshot.as_ref().map(messages::title);
    let title = title.unwrap_or_else(|| "driftfront".into());
    writer.write(&title, Style::default().add_modifier(Modifier::BOLD));
    if app.is_help_shown {
        draw_help(&mut writer);
        return;
    }
    draw_alarms(app, theme, &mut writer);
    let dialog = app
        .confirmation
        .as_ref()
        .map(|confirmation| &confirmation.text);
    let dialog = dialog.or(app.status_message.as_ref());
    let dialog = dialog.map_or(Vec::new(), |text| wrap_text(text, writer.width()));
    let bottom = dialog.len() + FOOTER_LINES;
    let table_lines = writer.lines_left().saturating_sub(bottom);
    draw_tab(app, theme, &mut writer, table_lines);
    writer.skip_to_last(bottom);
    let dialog_style = match app.confirmation {
        Some(_) => theme.alarm(),
        None => Style::default(),
    };
    for line in &dialog {
        writer.write(line, dialog_style);
    }
    writer.write(&tab_line(app.tab, writer.width()), theme.dim());
    writer.write(&app.key_line(writer.width()), theme.dim());
}

fn draw_help(writer: &mut LineWriter) {
    let width = writer.width();
    for line in HELP.iter().flat_map(|line| wrap_text(line, width)) {
        writer.write(&line, Style::default());
    }
}

fn draw_alarms(app: &App, theme: Theme, writer: &mut LineWriter) {
    let alarms = app.alarms();
    let max_lines = (usize::from(writer.area.height) / ALARMS_FRACTION).max(MIN_ALARM_LINES);
    let width = writer.width();
    let lines: Vec<String> = alarms.iter().flat_map(|a| wrap_text(a, width)).collect();
    for line in lines.iter().take(max_lines) {
        writer.write(line, theme.alarm());
    }
    if lines.len() > max_lines {
        let more = format!("... {} in total; --plain shows all", alarms.len());
        writer.write(&more, theme.dim());
    }
    if alarms.is_empty() {
        writer.write("All is well.", Style::default());
    }
}

/// The tab line, with the shown tab in brackets; spacing is reduced if the width is too small.
fn tab_line(shown: Tab, width: usize) -> String {
    let tab = |(index, (tab, name)): (usize, &(Tab, &str))| {
        let number = index + 1;
        if *tab == shown {
            format!("[{number} {name}]")
        } else {
            format!(" {number} {name} ")
        }
    };
    let tabs: String = TABS.iter().enumerate().map(tab).collect();
    if tabs.chars().count() > width {
        tabs.replace("  ", " ")
    } else {
        tabs
    }
}

fn draw_tab(app: &App, theme: Theme, writer: &mut LineWriter, max_lines: usize) {
    let Some(s) = &app.snapshot else { return };
    let table = match app.tab {
        Tab::Engines => messages::engine_table(s),
        Tab::Service => messages::class_table(s),
        Tab::Queries => messages::query_table(s),
        Tab::Events => return draw_events(app, theme, writer, max_lines),
    };
    if max_lines == 0 {
        return;
    }
    let widths = column_widths(&table, writer.width());
    let heads: Vec<String> = table.heads.iter().map(ToString::to_string).collect();
    writer.write(&format_row(&heads, &widths), theme.heading());
    draw_rows(app, theme, writer, &table, &widths, max_lines - 1);
}

/// Draws the rows around the selected one.
fn draw_rows(
    app: &App,
    theme: Theme,
    writer: &mut LineWriter,
    table: &Table,
    widths: &[usize],
    max_lines: usize,
) {
    let has_selection = app.tab == Tab::Engines;
    let first = first_visible_row(app.selected_row, table.rows.len(), max_lines);
    let shown = table.rows.iter().enumerate().skip(first).take(max_lines);
    for (index, row) in shown {
        let text = format_row(row, widths);
        if has_selection && index == app.selected_row {
            // The mark makes the selection visible on terminals without colours and inversion.
            writer.write(&format!("{text} <"), theme.selected());
        } else if has_selection {
            let state = row.get(STATE_COLUMN).map_or("", String::as_str);
            writer.write(&text, theme.engine(state));
        } else {
            writer.write(&text, Style::default());
        }
    }
}

/// Index of the first row to show, so that the selected one is near the middle.
fn first_visible_row(selected: usize, rows: usize, max_lines: usize) -> usize {
    selected
        .saturating_sub(max_lines / 2)
        .min(rows.saturating_sub(max_lines))
}

fn draw_events(app: &App, theme: Theme, writer: &mut LineWriter, max_lines: usize) {
    let now = app.snapshot.as_ref().map_or(0, |s| s.at);
    let first = first_visible_row(app.selected_row, app.events.len(), max_lines);
    for (at, text) in app.events.iter().skip(first).take(max_lines) {
        let ago = format_seconds(now.saturating_sub(*at) / 1_000_000);
        writer.write(&format!("{ago:>7} ago  {text}"), Style::default());
    }
    if app.events.is_empty() && max_lines > 0 {
        writer.write("No events yet.", theme.dim());
    }
}
