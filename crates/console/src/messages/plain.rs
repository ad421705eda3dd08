//! The complete state as plain text, for pipes and screen readers.

use super::units::format_seconds;
use super::{
    alarms, class_table, column_widths, engine_table, format_row, query_table, wrap_text, Table,
};
use driftfront_control::snapshot::Snapshot;

/// The title line: the name of the coordinator, the number of ready engines, and the load.
pub fn title(s: &Snapshot) -> String {
    let phases = || s.engines.iter().map(|engine| engine.phase.as_str());
    let ready = phases().filter(|&phase| phase == "ready").count();
    let listed = phases().filter(|&phase| phase != "gone").count();
    let a_minute: u64 = s.classes.iter().map(|class| class.minute.asked).sum();
    format!(
        "{}: {ready} of {listed} engines ready, {} open, {a_minute} a minute",
        s.name, s.open
    )
}

/// The complete state as text, wrapped to a width.
pub fn plain_text(s: &Snapshot, width: usize) -> String {
    let mut lines = vec![title(s)];
    lines.push(format!(
        "up {}, clients at {}, {}",
        format_seconds(s.up_s),
        s.listen,
        s.front
    ));
    let alarms = alarms(s);
    if alarms.is_empty() {
        lines.push("All is well.".into());
    }
    lines.extend(alarms.iter().flat_map(|alarm| wrap_text(alarm, width)));
    lines.extend(table_lines("Engines", &engine_table(s), width));
    lines.extend(table_lines("Service", &class_table(s), width));
    lines.extend(table_lines("What runs", &query_table(s), width));
    if let Some(roll) = &s.roll {
        let (left, through) = (roll.left.join(", "), roll.through.join(", "));
        lines.push(String::new());
        lines.push(format!(
            "Roll: {}, at {}; left: {left}; through: {through}",
            roll.stage, roll.engine
        ));
    }
    if let [held, sticky] = s.sessions[..] {
        lines.push(String::new());
        lines.push(format!(
            "Sessions: {held} held, {sticky} of them tied to their engine."
        ));
    }
    if !s.forgets.is_empty() {
        lines.push(String::new());
        lines.extend(wrap_text(&s.forgets, width));
    }
    lines.join("\n") + "\n"
}

/// The lines of a table under its name; none if it has no rows.
fn table_lines(name: &str, table: &Table, width: usize) -> Vec<String> {
    if table.rows.is_empty() {
        return Vec::new();
    }
    let widths = column_widths(table, width);
    let heads: Vec<String> = table.heads.iter().map(ToString::to_string).collect();
    let mut lines = vec![
        String::new(),
        format!("{name}:"),
        format_row(&heads, &widths),
    ];
    lines.extend(table.rows.iter().map(|row| format_row(row, &widths)));
    lines
}
