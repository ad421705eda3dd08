//! Output formats of results.

use crate::engine::sql::{Column, Value};

/// The formats that the engine supports.
pub const FORMATS: &[&str] = &[
    "TabSeparated",
    "TSV",
    "TabSeparatedWithNames",
    "TSVWithNames",
    "TabSeparatedWithNamesAndTypes",
    "TSVWithNamesAndTypes",
    "CSV",
    "CSVWithNames",
    "JSON",
    "JSONCompact",
    "JSONEachRow",
    "JSONCompactEachRow",
    "Values",
    "RowBinary",
    "RowBinaryWithNamesAndTypes",
    "Null",
];

/// The content type of a format.
pub(in super::super) fn content_type(format: &str) -> &'static str {
    match format {
        "CSV" => "text/csv; charset=UTF-8; header=absent",
        "CSVWithNames" => "text/csv; charset=UTF-8; header=present",
        "JSON" | "JSONCompact" => "application/json; charset=UTF-8",
        "JSONEachRow" | "JSONCompactEachRow" => "application/x-ndjson; charset=UTF-8",
        "RowBinary" | "RowBinaryWithNamesAndTypes" => "application/octet-stream",
        f if f.starts_with('T') => "text/tab-separated-values; charset=UTF-8",
        _ => "text/plain; charset=UTF-8",
    }
}

/// Writes a result in one format.
pub(in super::super) struct Writer<'a> {
    format: &'a str,
    columns: &'a [Column],
    row_count: u64,
}

impl<'a> Writer<'a> {
    /// Creates a writer for a result with these columns.
    pub(in super::super) fn new(format: &'a str, columns: &'a [Column]) -> Writer<'a> {
        Writer {
            format,
            columns,
            row_count: 0,
        }
    }

    /// Whether the format has a key for an exception.
    pub(in super::super) fn has_exception_key(&self) -> bool {
        self.format.starts_with("JSON")
    }

    /// Writes the part before the rows.
    pub(in super::super) fn begin(&self, out: &mut Vec<u8>) {
        let names = || self.columns.iter().map(|column| column.name.as_str());
        let kinds = || self.columns.iter().map(|column| column.kind);
        match self.format {
            "TabSeparatedWithNames" | "TSVWithNames" => {
                out.extend(line(names(), "\t").bytes());
            }
            "TabSeparatedWithNamesAndTypes" | "TSVWithNamesAndTypes" => {
                out.extend(line(names(), "\t").bytes());
                out.extend(line(kinds(), "\t").bytes());
            }
            "CSVWithNames" => {
                let quoted = names().map(|name| format!("\"{name}\""));
                out.extend(line(quoted, ",").bytes());
            }
            "JSON" | "JSONCompact" => out.extend(self.json_head().bytes()),
            "RowBinaryWithNamesAndTypes" => {
                push_leb128(self.columns.len(), out);
                names().chain(kinds()).for_each(|text| push_text(text, out));
            }
            _ => {}
        }
    }

    fn json_head(&self) -> String {
        let column = |column: &Column| {
            let (name, kind) = (json_text(&column.name), column.kind);
            format!("\t\t{{\n\t\t\t\"name\": {name},\n\t\t\t\"type\": \"{kind}\"\n\t\t}}")
        };
        let columns: Vec<String> = self.columns.iter().map(column).collect();
        format!(
            "{{\n\t\"meta\":\n\t[\n{}\n\t],\n\n\t\"data\":\n\t[\n",
            columns.join(",\n")
        )
    }

    /// Writes one row.
    pub(in super::super) fn row(&mut self, row: &[Value], out: &mut Vec<u8>) {
        let is_first = self.row_count == 0;
        self.row_count += 1;
        let separator = |text: &'static str| if is_first { "" } else { text };
        let text = match self.format {
            "CSV" | "CSVWithNames" => line(row.iter().map(csv), ","),
            "JSON" => {
                let members = self.json_members(row, "\t\t\t", ": ").join(",\n");
                format!("{}\t\t{{\n{members}\n\t\t}}", separator(",\n"))
            }
            "JSONCompact" => format!("{}\t\t[{}]", separator(",\n"), json_list(row)),
            "JSONEachRow" => {
                let members = self.json_members(row, "", ":").join(",");
                format!("{{{members}}}\n")
            }
            "JSONCompactEachRow" => format!("[{}]\n", json_list(row)),
            "Values" => {
                let values: Vec<String> = row.iter().map(sql_literal).collect();
                format!("{}({})", separator(","), values.join(","))
            }
            "RowBinary" | "RowBinaryWithNamesAndTypes" => {
                row.iter().for_each(|value| push_binary(value, out));
                return;
            }
            "Null" => return,
            _ => line(row.iter().map(tab_separated), "\t"),
        };
        out.extend(text.bytes());
    }

    fn json_members(&self, row: &[Value], indent: &str, colon: &str) -> Vec<String> {
        let member = |(value, column): (&Value, &Column)| {
            format!("{indent}{}{colon}{}", json_text(&column.name), json(value))
        };
        row.iter().zip(self.columns).map(member).collect()
    }

    /// Writes the part after the rows, with the exception if the format has a key for it.
    pub(in super::super) fn end(&self, exception: Option<&str>, out: &mut Vec<u8>) {
        let exception = exception.map(json_text);
        let text = match (self.format, exception) {
            ("JSON" | "JSONCompact", exception) => {
                let exception = exception.map(|text| format!(",\n\n\t\"exception\": {text}"));
                let exception = exception.unwrap_or_default();
                format!("\n\t],\n\n\t\"rows\": {}{exception}\n}}\n", self.row_count)
            }
            (_, Some(text)) if self.has_exception_key() => {
                format!("{{\"exception\": {text}}}\n")
            }
            _ => return,
        };
        out.extend(text.bytes());
    }
}

fn line(cells: impl Iterator<Item = impl AsRef<str>>, separator: &str) -> String {
    let mut line = String::new();
    for (index, cell) in cells.enumerate() {
        line += if index == 0 { "" } else { separator };
        line += cell.as_ref();
    }
    line + "\n"
}

fn tab_separated(value: &Value) -> String {
    match value {
        Value::Number(n) => n.to_string(),
        Value::Text(text) => text
            .replace('\\', "\\\\")
            .replace('\t', "\\t")
            .replace('\n', "\\n"),
    }
}

fn csv(value: &Value) -> String {
    match value {
        Value::Number(n) => n.to_string(),
        Value::Text(text) => format!("\"{}\"", text.replace('"', "\"\"")),
    }
}

fn sql_literal(value: &Value) -> String {
    match value {
        Value::Number(n) => n.to_string(),
        Value::Text(text) => {
            let text = text.replace('\\', "\\\\").replace('\'', "\\'");
            format!("'{text}'")
        }
    }
}

fn json(value: &Value) -> String {
    match value {
        // 64-bit numbers are quoted, as older servers do by default.
        Value::Number(n) => format!("\"{n}\""),
        Value::Text(text) => json_text(text),
    }
}

fn json_text(text: &str) -> String {
    let text = text
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n");
    format!("\"{text}\"")
}

fn json_list(row: &[Value]) -> String {
    let values: Vec<String> = row.iter().map(json).collect();
    values.join(", ")
}

fn push_binary(value: &Value, out: &mut Vec<u8>) {
    match value {
        Value::Number(n) => out.extend(n.to_le_bytes()),
        Value::Text(text) => push_text(text, out),
    }
}

/// Writes a string with its length as prefix.
fn push_text(text: &str, out: &mut Vec<u8>) {
    push_leb128(text.len(), out);
    out.extend(text.bytes());
}

/// Writes a number in unsigned LEB128.
fn push_leb128(mut n: usize, out: &mut Vec<u8>) {
    loop {
        let [group, ..] = (n & 0x7f).to_le_bytes();
        n >>= 7;
        if n == 0 {
            out.push(group);
            return;
        }
        out.push(group | 0x80);
    }
}
