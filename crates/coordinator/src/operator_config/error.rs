//! Errors in an operator's file, with their position and a suggested correction.

use super::document::{example_of, node_names};
use std::fmt::{self, Write as _};

/// A position in a file; both numbers start at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

/// An error in an operator's file, with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfigError {
    /// The position of the error.
    pub position: Position,
    /// The kind of error.
    pub kind: ErrorKind,
}

impl fmt::Display for OperatorConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "line {line}, column {column}: {}", self.kind)?;
        let suggestion = self.kind.suggestion();
        if !suggestion.is_empty() {
            write!(f, "; {suggestion}")?;
        }
        Ok(())
    }
}

impl std::error::Error for OperatorConfigError {}

impl OperatorConfigError {
    /// Formats the error as compilers do: file and position, the line with a mark under the column, and the suggestion.
    pub fn display_in_file(&self, file: &str, text: &str) -> String {
        let Position { line, column } = self.position;
        let source_line = text.lines().nth(line - 1).unwrap_or_default();
        let mut out = format!("{file}:{line}:{column}: {}\n", self.kind);
        let _ = writeln!(out, "  | {source_line}\n  | {}^", " ".repeat(column - 1));
        let suggestion = self.kind.suggestion();
        if !suggestion.is_empty() {
            let _ = writeln!(out, "  = {suggestion}");
        }
        out
    }
}

/// The kinds of errors in an operator's file. `Display` gives the message that operators read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ErrorKind {
    /// The text is not KDL; both strings come from the parser.
    #[error("{message}")]
    Syntax {
        /// What the parser expected.
        message: String,
        /// How to correct it.
        help: String,
    },
    /// A top-level node has an unknown name.
    #[error("unknown node {name}")]
    UnknownNode {
        /// The name.
        name: String,
        /// A known name with a similar spelling.
        similar: Option<&'static str>,
    },
    /// A node that may occur only once is repeated.
    #[error("duplicate node {name}")]
    RepeatedNode {
        /// The name.
        name: String,
    },
    /// A node's argument is not a string.
    #[error("{node} takes a string, not {value}")]
    NotString {
        /// The node.
        node: String,
        /// The argument, as written.
        value: String,
    },
    /// A node has no argument.
    #[error("{node} requires a string")]
    MissingString {
        /// The node.
        node: String,
    },
    /// A node has more than one argument.
    #[error("{node} takes a single string")]
    SeveralStrings {
        /// The node.
        node: String,
    },
    /// A node has an unknown property.
    #[error("{node} has no property {property}")]
    UnknownProperty {
        /// The node.
        node: String,
        /// The property.
        property: String,
        /// The node's known properties.
        known: &'static [&'static str],
    },
    /// A property is not a number, or outside its range.
    #[error("{property} is {value}, which is not a number in its range")]
    NumberOutOfRange {
        /// The property.
        property: &'static str,
        /// The value, as written.
        value: String,
        /// The minimum and the maximum.
        range: (f64, f64),
    },
    /// A property is not a time, or not above zero and at most a day.
    #[error("{property} is {value}, which is not a valid time")]
    NotTime {
        /// The property.
        property: &'static str,
        /// The value, as written.
        value: String,
    },
    /// A property is neither `#true` nor `#false`.
    #[error("{property} is {value}, which is not a boolean")]
    NotBoolean {
        /// The property.
        property: &'static str,
        /// The value, as written.
        value: String,
    },
    /// `listen` is not a socket address.
    #[error("listen is {address:?}, which is not a socket address")]
    InvalidListenAddress {
        /// The value as written.
        address: String,
    },
    /// `front` is not a known interface.
    #[error("unknown front {name:?}")]
    UnknownFrontend {
        /// The value as written.
        name: String,
    },
    /// `reads`, `writes` or `deduplicated` names a class that the file does not define.
    #[error("unknown class {class}")]
    UnknownClass {
        /// The value as written.
        class: String,
        /// The defined classes.
        known: Vec<String>,
    },
    /// A class lacks a required time.
    #[error("class {class} has no {property}")]
    MissingTime {
        /// The class.
        class: String,
        /// The missing property.
        property: &'static str,
    },
    /// A class's client timeout is below its latency objective.
    #[error("class {class}: patience is shorter than wanted")]
    TimeoutBelowObjective {
        /// The class.
        class: String,
    },
    /// `fleet` lacks its address.
    #[error("fleet has no listen")]
    MissingClusterAddress,
    /// `fleet` lacks its key file.
    #[error("fleet has no key-file")]
    MissingKeyFile,
    /// An address in `fleet` is not a socket address.
    #[error("{property} is {address:?}, which is not a socket address")]
    InvalidClusterAddress {
        /// `listen`, `advertise` or `seed`.
        property: &'static str,
        /// The value as written.
        address: String,
    },
    /// A node inside `fleet` has an unknown name.
    #[error("unknown node {name} in fleet")]
    UnknownClusterNode {
        /// The name.
        name: String,
    },
    /// The number of voters is not allowed, or a voter is listed twice.
    #[error("fleet lists {voters} voters, {distinct} of them distinct")]
    VoterCount {
        /// The number of listed voters.
        voters: usize,
        /// The number of distinct names among them.
        distinct: usize,
    },
    /// Two engines have the same name.
    #[error("duplicate engine {engine}")]
    RepeatedEngine {
        /// The engine.
        engine: String,
    },
    /// An engine's `at` is not a socket address.
    #[error("engine {engine}: at is {address:?}, which is not a socket address")]
    InvalidEngineAddress {
        /// The engine.
        engine: String,
        /// The value as written.
        address: String,
    },
    /// A node inside `engines` has an unknown name.
    #[error("unknown node {name} in engines")]
    UnknownEnginesNode {
        /// The name.
        name: String,
    },
    /// The file has neither engines nor a source of engines.
    #[error("no engines and no engine source")]
    NoEngines,
}

impl ErrorKind {
    /// Suggests a correction; empty if there is none.
    pub fn suggestion(&self) -> String {
        match self {
            ErrorKind::Syntax { help, .. } => help.clone(),
            ErrorKind::UnknownNode {
                similar: Some(similar),
                ..
            } => format!("did you mean {similar}?"),
            ErrorKind::UnknownNode { similar: None, .. } => {
                let known: Vec<&str> = node_names().collect();
                format!("known nodes: {}", known.join(", "))
            }
            ErrorKind::NotString { node, .. }
            | ErrorKind::MissingString { node }
            | ErrorKind::SeveralStrings { node } => {
                example_of(node).map_or(String::new(), |example| format!("write it as {example}"))
            }
            ErrorKind::UnknownProperty { known, .. } => {
                format!("known properties: {}", known.join(", "))
            }
            ErrorKind::NumberOutOfRange {
                range: (min, max), ..
            } => format!("write a number from {min} to {max}"),
            ErrorKind::UnknownClass { known, .. } => format!("known classes: {}", known.join(", ")),
            ErrorKind::MissingTime { property, .. } => format!(r#"add {property}="500 ms""#),
            ErrorKind::InvalidClusterAddress { property, .. } => {
                format!(r#"write {property}="127.0.0.1:7946""#)
            }
            other => other.fixed_suggestion().into(),
        }
    }

    /// The suggestions that don't depend on the file.
    fn fixed_suggestion(&self) -> &'static str {
        match self {
            ErrorKind::RepeatedNode { .. } => "remove one of the two",
            ErrorKind::NotTime { .. } => r#"write it as "500 ms", "2.5 s" or "10 min""#,
            ErrorKind::NotBoolean { .. } => "write #true or #false",
            ErrorKind::InvalidListenAddress { .. } => r#"write it as "127.0.0.1:8123""#,
            ErrorKind::UnknownFrontend { .. } => r#"write "clickhouse" or "platform""#,
            ErrorKind::TimeoutBelowObjective { .. } => {
                "patience must be at least as long as wanted"
            }
            ErrorKind::MissingClusterAddress => r#"add listen="127.0.0.1:7946""#,
            ErrorKind::MissingKeyFile => {
                r#"add key-file="/etc/driftfront/fleet.key", a file of mode 600 with 32 hex digits"#
            }
            ErrorKind::UnknownClusterNode { .. } => {
                r#"known nodes: seed "127.0.0.1:7947", voter "coordinator-a""#
            }
            ErrorKind::VoterCount { .. } => {
                "list 3 or 5 coordinators, the same in all files, or none"
            }
            ErrorKind::RepeatedEngine { .. } => "give it another name",
            ErrorKind::InvalidEngineAddress { .. } => r#"write at="127.0.0.1:18123""#,
            ErrorKind::UnknownEnginesNode { .. } => "known nodes: engine, file, etcd",
            ErrorKind::NoEngines => r#"add engines { engine "engine-1" at="127.0.0.1:18123" }"#,
            // These depend on the file; `suggestion` formats them.
            ErrorKind::Syntax { .. }
            | ErrorKind::UnknownNode { .. }
            | ErrorKind::NotString { .. }
            | ErrorKind::MissingString { .. }
            | ErrorKind::SeveralStrings { .. }
            | ErrorKind::UnknownProperty { .. }
            | ErrorKind::NumberOutOfRange { .. }
            | ErrorKind::UnknownClass { .. }
            | ErrorKind::MissingTime { .. }
            | ErrorKind::InvalidClusterAddress { .. } => "",
        }
    }
}
