//! Layout of tables and paragraphs for a given width.

/// Maximum width of a column, in characters.
const MAX_COLUMN_WIDTH: usize = 28;
/// Separator between two columns.
const COLUMN_GAP: &str = "  ";

/// A table, with its columns in order of importance: those at the right are omitted first if the width does not suffice.
pub struct Table {
    /// The column headings.
    pub heads: Vec<&'static str>,
    /// The rows, with one cell per column.
    pub rows: Vec<Vec<String>>,
}

/// The widths, in characters, of the columns that fit into a line. The first column is always included.
pub fn column_widths(table: &Table, width: usize) -> Vec<usize> {
    let mut widths = Vec::new();
    let mut left = width;
    for (column, head) in table.heads.iter().enumerate() {
        let cells = table.rows.iter().filter_map(|row| row.get(column));
        let longest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        let wanted = longest.max(head.chars().count()).min(MAX_COLUMN_WIDTH);
        let gap = if column == 0 { 0 } else { COLUMN_GAP.len() };
        if column > 0 && wanted + gap > left {
            break;
        }
        widths.push(wanted.min(left));
        left = left.saturating_sub(wanted + gap);
    }
    widths
}

/// Formats a row of a table, truncated to the columns that fit.
pub fn format_row(cells: &[String], widths: &[usize]) -> String {
    let columns = widths.iter().enumerate().map(|(column, &width)| {
        let cell = cells.get(column).map_or("", String::as_str);
        let truncated: String = cell.chars().take(width).collect();
        format!("{truncated:<width$}")
    });
    let columns: Vec<String> = columns.collect();
    columns.join(COLUMN_GAP).trim_end().into()
}

/// Wraps text to a width, at spaces where possible.
pub fn wrap_text(text: &str, width: usize) -> Vec<String> {
    let mut lines = Vec::new();
    let mut line = String::new();
    for word in text.split(' ') {
        let mut word = word.to_string();
        loop {
            let gap = usize::from(!line.is_empty());
            if line.chars().count() + gap + word.chars().count() <= width {
                line += if gap == 1 { " " } else { "" };
                line += &word;
                break;
            }
            if line.is_empty() {
                // A single word exceeds the line: split it.
                line = word.chars().take(width.max(1)).collect();
                word = word.chars().skip(width.max(1)).collect();
            }
            lines.push(std::mem::take(&mut line));
        }
    }
    lines.push(line);
    lines
}
