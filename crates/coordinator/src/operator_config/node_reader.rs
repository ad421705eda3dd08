//! Reads typed values from KDL nodes, with the position of each error in the file.

use super::error::{ErrorKind, OperatorConfigError, Position};
use driftfront_core::Micros;
use kdl::{KdlEntry, KdlNode, KdlValue};
use std::collections::BTreeMap;

/// A value, or the first error in the file.
pub(super) type Parsed<T> = Result<T, OperatorConfigError>;

/// Maximum of a time: one day.
const MAX_TIME_MICROS: f64 = 86_400e6;

/// Reads the nodes of one file.
#[derive(Clone, Copy)]
pub(super) struct NodeReader<'t> {
    text: &'t str,
}

impl<'t> NodeReader<'t> {
    pub(super) fn new(text: &'t str) -> NodeReader<'t> {
        NodeReader { text }
    }

    fn position(self, offset: usize) -> Position {
        let before = &self.text[..offset.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before
            .rsplit('\n')
            .next()
            .map_or(0, |line| line.chars().count())
            + 1;
        Position { line, column }
    }

    /// An error at a byte offset.
    pub(super) fn error_at_offset(self, offset: usize, kind: ErrorKind) -> OperatorConfigError {
        OperatorConfigError {
            position: self.position(offset),
            kind,
        }
    }

    /// An error at a property or argument.
    pub(super) fn error_at_entry(self, entry: &KdlEntry, kind: ErrorKind) -> OperatorConfigError {
        self.error_at_offset(entry.span().offset(), kind)
    }

    /// An error at a node's name.
    pub(super) fn error_at_node(self, node: &KdlNode, kind: ErrorKind) -> OperatorConfigError {
        // A node's span includes the white space before it.
        let offset = node.span().offset();
        let white_space = self.text[offset.min(self.text.len())..]
            .find(|c: char| !c.is_whitespace())
            .unwrap_or(0);
        self.error_at_offset(offset + white_space, kind)
    }

    /// Returns the node's only argument, a string.
    pub(super) fn text(self, node: &KdlNode) -> Parsed<String> {
        let name = || node.name().value().to_string();
        let arguments: Vec<&KdlEntry> = node
            .entries()
            .iter()
            .filter(|entry| entry.name().is_none())
            .collect();
        match arguments[..] {
            [argument] => match argument.value() {
                KdlValue::String(text) => Ok(text.clone()),
                other => {
                    let value = other.to_string();
                    let node = name();
                    Err(self.error_at_entry(argument, ErrorKind::NotString { node, value }))
                }
            },
            [] => Err(self.error_at_node(node, ErrorKind::MissingString { node: name() })),
            _ => Err(self.error_at_node(node, ErrorKind::SeveralStrings { node: name() })),
        }
    }

    /// Returns the node's properties, all of which must be in `known`.
    pub(super) fn properties<'n>(
        self,
        node: &'n KdlNode,
        known: &'static [&'static str],
    ) -> Parsed<Properties<'t, 'n>> {
        let mut entries = BTreeMap::new();
        for entry in node.entries() {
            let Some(name) = entry.name().map(|name| name.value()) else {
                continue;
            };
            if !known.contains(&name) {
                let kind = ErrorKind::UnknownProperty {
                    node: node.name().value().to_string(),
                    property: name.to_string(),
                    known,
                };
                return Err(self.error_at_entry(entry, kind));
            }
            entries.insert(name, entry);
        }
        Ok(Properties {
            reader: self,
            entries,
        })
    }

    fn number(self, entry: &KdlEntry, property: &'static str, range: (f64, f64)) -> Parsed<f64> {
        let value = entry.value();
        value
            .as_float()
            .or_else(|| value.as_integer().map(|number| number as f64))
            .filter(|number| (range.0..=range.1).contains(number))
            .ok_or_else(|| {
                let value = value.to_string();
                let kind = ErrorKind::NumberOutOfRange {
                    property,
                    value,
                    range,
                };
                self.error_at_entry(entry, kind)
            })
    }

    fn time(self, entry: &KdlEntry, property: &'static str) -> Parsed<Micros> {
        let micros = parse_time(entry.value().as_string().unwrap_or_default());
        if micros > 0.0 && micros <= MAX_TIME_MICROS {
            #[allow(clippy::cast_possible_truncation, reason = "a day at most")]
            let micros = micros as Micros;
            return Ok(micros);
        }
        let value = entry.value().to_string();
        Err(self.error_at_entry(entry, ErrorKind::NotTime { property, value }))
    }

    fn flag(self, entry: &KdlEntry, property: &'static str) -> Parsed<bool> {
        entry.value().as_bool().ok_or_else(|| {
            let value = entry.value().to_string();
            self.error_at_entry(entry, ErrorKind::NotBoolean { property, value })
        })
    }
}

/// Parses a time such as `500 ms` into microseconds; the result is zero or negative if the text is invalid.
fn parse_time(text: &str) -> f64 {
    let text = text.trim();
    let split = text.find(|c: char| c.is_alphabetic()).unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let micros_per_unit = match unit.trim() {
        "us" | "µs" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "min" => 60e6,
        _ => 0.0,
    };
    number.trim().parse::<f64>().unwrap_or(-1.0) * micros_per_unit
}

/// The properties of one node.
pub(super) struct Properties<'t, 'n> {
    reader: NodeReader<'t>,
    entries: BTreeMap<&'n str, &'n KdlEntry>,
}

impl<'n> Properties<'_, 'n> {
    pub(super) fn entry(&self, property: &str) -> Option<&'n KdlEntry> {
        self.entries.get(property).copied()
    }

    /// Returns a string property; a value of another type counts as missing.
    pub(super) fn text(&self, property: &str) -> Option<&'n str> {
        self.entry(property)?.value().as_string()
    }

    pub(super) fn number(&self, property: &'static str, range: (f64, f64)) -> Parsed<Option<f64>> {
        let entry = self.entry(property);
        entry
            .map(|entry| self.reader.number(entry, property, range))
            .transpose()
    }

    /// Returns a time such as `"500 ms"` in microseconds.
    pub(super) fn time(&self, property: &'static str) -> Parsed<Option<Micros>> {
        let entry = self.entry(property);
        entry
            .map(|entry| self.reader.time(entry, property))
            .transpose()
    }

    /// Returns a boolean property, `false` if it is missing.
    pub(super) fn flag(&self, property: &'static str) -> Parsed<bool> {
        self.entry(property)
            .map_or(Ok(false), |entry| self.reader.flag(entry, property))
    }
}
