//! Formats parts of a snapshot as text or JSON.

use driftfront_console::{messages, run as console};
use driftfront_control::snapshot::Snapshot;
use driftfront_control::Field;

/// Minimum width of a table, in characters.
const MIN_TABLE_WIDTH: usize = 40;
/// Width of the output if neither `COLUMNS` nor the terminal gives one, in characters.
const DEFAULT_WIDTH: usize = 80;

/// A part of a snapshot that a sub-command shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum View {
    Status,
    Engines,
    Classes,
    Queries,
    Members,
    Holds,
}

impl View {
    /// Returns the view that a sub-command shows.
    pub(super) fn of_command(name: &str) -> Option<View> {
        match name {
            "status" => Some(View::Status),
            "engines" => Some(View::Engines),
            "classes" => Some(View::Classes),
            "queries" => Some(View::Queries),
            "members" => Some(View::Members),
            "holds" => Some(View::Holds),
            _ => None,
        }
    }

    /// The view as one line of JSON.
    pub(super) fn as_json(self, snapshot: &Snapshot) -> String {
        let value = match self {
            View::Status => snapshot.to_json(),
            View::Engines => snapshot.engines.to_json(),
            View::Classes => snapshot.classes.to_json(),
            View::Queries => snapshot.queries.to_json(),
            View::Members => snapshot.members.to_json(),
            View::Holds => snapshot.agreed.to_json(),
        };
        value.stringify().unwrap_or_default() + "\n"
    }

    /// The view as lines for a terminal.
    pub(super) fn as_text(self, snapshot: &Snapshot) -> String {
        match self {
            View::Status => messages::plain_text(snapshot, width()),
            View::Engines => table(&messages::engine_table(snapshot)),
            View::Classes => table(&messages::class_table(snapshot)),
            View::Queries => table(&messages::query_table(snapshot)),
            View::Members if snapshot.members.is_empty() => "No fleet is configured.\n".into(),
            View::Members => table(&messages::member_table(snapshot)),
            View::Holds => match &snapshot.agreed {
                Some(consensus) => {
                    messages::consensus_summary(consensus)
                        + &table(&messages::lease_table(consensus))
                }
                None => "No fleet is configured, so there are no holds.\n".into(),
            },
        }
    }
}

fn table(table: &messages::Table) -> String {
    let widths = messages::column_widths(table, width().max(MIN_TABLE_WIDTH));
    let heads: Vec<String> = table.heads.iter().map(|head| head.to_string()).collect();
    let rows = table
        .rows
        .iter()
        .map(|row| messages::format_row(row, &widths));
    let lines: Vec<String> = std::iter::once(messages::format_row(&heads, &widths))
        .chain(rows)
        .collect();
    lines.join("\n") + "\n"
}

/// Returns the width of the output in characters; `COLUMNS` takes precedence over the terminal.
pub(super) fn width() -> usize {
    let named = std::env::var("COLUMNS").ok();
    named
        .and_then(|columns| columns.parse().ok())
        .or_else(console::terminal_width)
        .unwrap_or(DEFAULT_WIDTH)
}
