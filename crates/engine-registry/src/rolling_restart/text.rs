//! The text form of a rolling restart, as stored in a state record.

use super::{RollingRestart, Stage};

/// Separates engine names: the ASCII unit separator, a control character and therefore not part of any name.
const NAME_SEPARATOR: char = '\u{1f}';
/// Denotes an absent value or an empty list.
const NONE: &str = "-";

impl RollingRestart {
    /// Formats it as one line of tab-separated fields: stage, since, start time of the engine, service level, remaining,
    /// completed, status.
    pub fn to_text(&self) -> String {
        let started_at = self.started_at.map_or(NONE.into(), |at| at.to_string());
        format!(
            "{}\t{}\t{started_at}\t{}\t{}\t{}\t{}",
            self.stage.name(),
            self.since,
            self.service_level,
            join_names(&self.remaining),
            join_names(&self.completed),
            self.status.to_string().replace(['\t', '\n'], " ")
        )
    }

    /// Parses [`RollingRestart::to_text`]; `None` if the text is malformed.
    pub fn from_text(text: &str) -> Option<RollingRestart> {
        let mut fields = text.split('\t');
        let stage = Stage::from_name(fields.next()?)?;
        let since = fields.next()?.parse().ok()?;
        let started_at = match fields.next()? {
            NONE => None,
            at => Some(at.parse().ok()?),
        };
        Some(RollingRestart {
            stage,
            since,
            started_at,
            service_level: fields.next()?.parse().ok()?,
            remaining: split_names(fields.next()?),
            completed: split_names(fields.next()?),
            status: fields.next().unwrap_or_default().into(),
        })
    }
}

fn join_names(names: &[String]) -> String {
    if names.is_empty() {
        return NONE.into();
    }
    names.join(&NAME_SEPARATOR.to_string())
}

fn split_names(text: &str) -> Vec<String> {
    match text {
        NONE => Vec::new(),
        names => names.split(NAME_SEPARATOR).map(String::from).collect(),
    }
}
