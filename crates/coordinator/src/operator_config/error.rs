//! What can be wrong with an operator's file, where it stands, and what to write instead.

use super::document::{example_of, node_names};
use std::fmt::{self, Write as _};

/// A place in a file; both numbers count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

/// A mistake in an operator's file, and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfigError {
    /// Where it stands.
    pub position: Position,
    /// What is wrong.
    pub mistake: Mistake,
}

impl fmt::Display for OperatorConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "line {line}, column {column}: {}", self.mistake)?;
        let advice = self.mistake.advice();
        if !advice.is_empty() {
            write!(f, "; {advice}")?;
        }
        Ok(())
    }
}

impl std::error::Error for OperatorConfigError {}

impl OperatorConfigError {
    /// The mistake as a compiler would show it: file and position, the line with a mark under the place, and the advice.
    pub fn display_in_file(&self, file: &str, text: &str) -> String {
        let Position { line, column } = self.position;
        let source_line = text.lines().nth(line - 1).unwrap_or_default();
        let mut out = format!("{file}:{line}:{column}: {}\n", self.mistake);
        let _ = writeln!(out, "  | {source_line}\n  | {}^", " ".repeat(column - 1));
        let advice = self.mistake.advice();
        if !advice.is_empty() {
            let _ = writeln!(out, "  = {advice}");
        }
        out
    }
}

/// What is wrong with an operator's file. `Display` says it in the words that staff read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Mistake {
    /// The text is not KDL; both texts come from the parser.
    #[error("{message}")]
    Syntax {
        /// What the parser expected.
        message: String,
        /// How it may be mended.
        help: String,
    },
    /// A node at the top level has no known name.
    #[error("nothing is called {name} here")]
    UnknownNode {
        /// Its name.
        name: String,
        /// A known name that is spelt alike.
        similar: Option<&'static str>,
    },
    /// A node that may stand once stands twice.
    #[error("{name} stands here a second time")]
    RepeatedNode {
        /// Its name.
        name: String,
    },
    /// A node's argument is of another type.
    #[error("{node} takes a text, not {value}")]
    NotText {
        /// The node.
        node: String,
        /// The argument, as written.
        value: String,
    },
    /// A node lacks its argument.
    #[error("{node} needs a text")]
    MissingText {
        /// The node.
        node: String,
    },
    /// A node has more than one argument.
    #[error("{node} takes one text")]
    SeveralTexts {
        /// The node.
        node: String,
    },
    /// A node has a property that is not known.
    #[error("{node} has no property {property}")]
    UnknownProperty {
        /// The node.
        node: String,
        /// The property.
        property: String,
        /// The node's known properties.
        known: &'static [&'static str],
    },
    /// A property is no number, or outside its range.
    #[error("{property} is {value}")]
    NumberOutOfRange {
        /// The property.
        property: &'static str,
        /// The value, as written.
        value: String,
        /// The least and the greatest that are allowed.
        range: (f64, f64),
    },
    /// A property is no time, or none above zero and up to a day.
    #[error("{property} is {value}, which is no time")]
    NotTime {
        /// The property.
        property: &'static str,
        /// The value, as written.
        value: String,
    },
    /// A property is neither `#true` nor `#false`.
    #[error("{property} is {value}")]
    NotFlag {
        /// The property.
        property: &'static str,
        /// The value, as written.
        value: String,
    },
    /// `listen` is no socket address.
    #[error("listen is {address:?}, which is no address")]
    InvalidListenAddress {
        /// As written.
        address: String,
    },
    /// `front` names no known interface.
    #[error("front is {name:?}")]
    UnknownFrontend {
        /// As written.
        name: String,
    },
    /// `reads`, `writes` or `deduplicated` names no class of the file.
    #[error("there is no class {class}")]
    UnknownClass {
        /// As written.
        class: String,
        /// The classes that there are.
        known: Vec<String>,
    },
    /// A class lacks a time that it must have.
    #[error("class {class} says nothing of {property}")]
    MissingTime {
        /// The class.
        class: String,
        /// The property that it lacks.
        property: &'static str,
    },
    /// A class's client timeout is below its latency objective.
    #[error("class {class}: patience is shorter than what is wanted")]
    TimeoutBelowObjective {
        /// The class.
        class: String,
    },
    /// `fleet` lacks its address.
    #[error("fleet says nothing of listen")]
    MissingClusterAddress,
    /// `fleet` lacks its key file.
    #[error("fleet says nothing of key-file")]
    MissingKeyFile,
    /// An address of `fleet` is no socket address.
    #[error("{property} is {address:?}, which is no address")]
    InvalidClusterAddress {
        /// `listen`, `advertise` or `seed`.
        property: &'static str,
        /// As written.
        address: String,
    },
    /// A node inside `fleet` has no known name.
    #[error("fleet holds no {name}")]
    UnknownClusterNode {
        /// Its name.
        name: String,
    },
    /// The voters are not 3 or 5 different ones.
    #[error("fleet names {voters} voters, {distinct} of them different")]
    VoterCount {
        /// How many are named.
        voters: usize,
        /// How many of them are different.
        distinct: usize,
    },
    /// Two engines have the same name.
    #[error("engine {engine} stands here a second time")]
    RepeatedEngine {
        /// The engine.
        engine: String,
    },
    /// An engine's `at` is no socket address.
    #[error("engine {engine} is at {address:?}, which is no address")]
    InvalidEngineAddress {
        /// The engine.
        engine: String,
        /// As written.
        address: String,
    },
    /// A node inside `engines` has no known name.
    #[error("engines holds no {name}")]
    UnknownEnginesNode {
        /// Its name.
        name: String,
    },
    /// No engine is listed and no source of engines is named.
    #[error("no engine is named, and no place that they come from")]
    NoEngines,
}

impl Mistake {
    /// What to write instead; empty where nothing can be said.
    pub fn advice(&self) -> String {
        match self {
            Mistake::Syntax { help, .. } => help.clone(),
            Mistake::UnknownNode {
                similar: Some(similar),
                ..
            } => format!("did you mean {similar}?"),
            Mistake::UnknownNode { similar: None, .. } => {
                let known: Vec<&str> = node_names().collect();
                format!("it may hold {}", known.join(", "))
            }
            Mistake::NotText { node, .. }
            | Mistake::MissingText { node }
            | Mistake::SeveralTexts { node } => {
                example_of(node).map_or(String::new(), |example| format!("write it as {example}"))
            }
            Mistake::UnknownProperty { known, .. } => format!("it takes {}", known.join(", ")),
            Mistake::NumberOutOfRange {
                range: (min, max), ..
            } => format!("write a number from {min} to {max}"),
            Mistake::UnknownClass { known, .. } => format!("the classes are {}", known.join(", ")),
            Mistake::MissingTime { property, .. } => format!(r#"add {property}="500 ms""#),
            Mistake::InvalidClusterAddress { property, .. } => {
                format!(r#"write {property}="127.0.0.1:7946""#)
            }
            other => other.fixed_advice().into(),
        }
    }

    /// The advice where it is the same whatever the file says.
    fn fixed_advice(&self) -> &'static str {
        match self {
            Mistake::RepeatedNode { .. } => "leave one of the two out",
            Mistake::NotTime { .. } => r#"write it as "500 ms", "2.5 s" or "10 min""#,
            Mistake::NotFlag { .. } => "write #true or #false",
            Mistake::InvalidListenAddress { .. } => r#"write it as "127.0.0.1:8123""#,
            Mistake::UnknownFrontend { .. } => r#"write "clickhouse" or "platform""#,
            Mistake::TimeoutBelowObjective { .. } => {
                "clients must wait at least as long as the answer is wanted in"
            }
            Mistake::MissingClusterAddress => r#"add listen="127.0.0.1:7946""#,
            Mistake::MissingKeyFile => {
                r#"add key-file="/etc/driftfront/fleet.key", a file of mode 600 with 32 hex digits"#
            }
            Mistake::UnknownClusterNode { .. } => {
                r#"it holds seed "127.0.0.1:7947" and voter "coordinator-a""#
            }
            Mistake::VoterCount { .. } => {
                "name 3 or 5 coordinators, the same in all files, or none"
            }
            Mistake::RepeatedEngine { .. } => "give it another name",
            Mistake::InvalidEngineAddress { .. } => r#"write at="127.0.0.1:18123""#,
            Mistake::UnknownEnginesNode { .. } => "it holds engine, file or etcd",
            Mistake::NoEngines => r#"add engines { engine "engine-1" at="127.0.0.1:18123" }"#,
            // Depends on what the file says: `advice` has it.
            Mistake::Syntax { .. }
            | Mistake::UnknownNode { .. }
            | Mistake::NotText { .. }
            | Mistake::MissingText { .. }
            | Mistake::SeveralTexts { .. }
            | Mistake::UnknownProperty { .. }
            | Mistake::NumberOutOfRange { .. }
            | Mistake::UnknownClass { .. }
            | Mistake::MissingTime { .. }
            | Mistake::InvalidClusterAddress { .. } => "",
        }
    }
}
