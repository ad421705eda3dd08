//! Faults that a statement requests.

use std::collections::BTreeMap;

/// The start of a comment that requests faults.
const COMMENT_START: &str = "/* standin:";

/// The faults of a statement by name, with their values or empty strings.
#[derive(Debug, Default)]
pub(super) struct Faults(BTreeMap<String, String>);

impl Faults {
    /// Parses the comment of a statement.
    pub(super) fn parse(statement: &str) -> Faults {
        let comment = statement.split(COMMENT_START).nth(1);
        let comment = comment.and_then(|text| text.split("*/").next());
        let items = comment.unwrap_or_default().split_whitespace();
        let faults = items.map(|item| item.split_once('=').unwrap_or((item, "")));
        Faults(
            faults
                .map(|(name, value)| (name.to_string(), value.to_string()))
                .collect(),
        )
    }

    pub(super) fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    pub(super) fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.0.get(name)?.parse().ok()
    }
}
