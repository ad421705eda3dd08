//! Parses the KDL syntax and checks the top-level nodes.

use super::class::{MachineKind, QueryClass};
use super::error::ErrorKind;
use super::node_reader::{NodeReader, Parsed};
use super::valid_config::ValidConfig;
use driftfront_engine_registry::edit_distance;
use kdl::{KdlDocument, KdlNode};
use std::collections::BTreeMap;

/// A known top-level node.
struct TopLevelNode {
    name: &'static str,
    /// An example for error messages.
    example: &'static str,
}

/// All top-level nodes, in the order in which error messages list them.
const TOP_LEVEL: &[TopLevelNode] = &[
    TopLevelNode {
        name: "name",
        example: r#"name "school""#,
    },
    TopLevelNode {
        name: "listen",
        example: r#"listen "127.0.0.1:8123""#,
    },
    TopLevelNode {
        name: "front",
        example: r#"front "clickhouse""#,
    },
    TopLevelNode {
        name: "engines",
        example: r#"engines { engine "engine-1" at="127.0.0.1:18123" }"#,
    },
    TopLevelNode {
        name: "class",
        example: r#"class "lookup" wanted="500 ms" patience="2.5 s""#,
    },
    TopLevelNode {
        name: "reads",
        example: r#"reads "lookup""#,
    },
    TopLevelNode {
        name: "writes",
        example: r#"writes "import""#,
    },
    TopLevelNode {
        name: "deduplicated",
        example: r#"deduplicated "keyed-import""#,
    },
    TopLevelNode {
        name: "limits",
        example: "limits memory-mb=192 sockets=1024 open=2000",
    },
    TopLevelNode {
        name: "results",
        example: r#"results stall="10 s" upload="10 min""#,
    },
    TopLevelNode {
        name: "state",
        example: r#"state "/var/lib/driftfront""#,
    },
    TopLevelNode {
        name: "control",
        example: r#"control "/run/driftfront.sock""#,
    },
    TopLevelNode {
        name: "kind",
        example: r#"kind "std-8" cores=8 memory-mb=16384"#,
    },
    TopLevelNode {
        name: "fleet",
        example: r#"fleet listen="127.0.0.1:7946" key-file="/etc/driftfront/fleet.key" { seed "127.0.0.1:7947" }"#,
    },
];

/// Maximum edit distance at which a known name is suggested for an unknown one.
const MAX_TYPO_DISTANCE: usize = 2;

/// The names of all top-level nodes.
pub(super) fn node_names() -> impl Iterator<Item = &'static str> {
    TOP_LEVEL.iter().map(|node| node.name)
}

/// Returns an example of a top-level node, or `None` if there is no such node.
pub(super) fn example_of(name: &str) -> Option<&'static str> {
    let node = TOP_LEVEL.iter().find(|node| node.name == name)?;
    Some(node.example)
}

fn similar_name(name: &str) -> Option<&'static str> {
    node_names()
        .min_by_key(|known| edit_distance(known, name))
        .filter(|known| edit_distance(known, name) <= MAX_TYPO_DISTANCE)
}

/// An operator's file whose top-level nodes are known and not repeated, except for `class` and `kind`.
pub(super) struct Document<'t> {
    pub(super) reader: NodeReader<'t>,
    pub(super) classes: Vec<QueryClass>,
    pub(super) machine_kinds: Vec<MachineKind>,
    /// The other nodes, by name.
    nodes: BTreeMap<String, KdlNode>,
}

impl<'t> Document<'t> {
    pub(super) fn parse(text: &'t str) -> Parsed<Document<'t>> {
        let reader = NodeReader::new(text);
        let mut document = Document {
            reader,
            classes: Vec::new(),
            machine_kinds: Vec::new(),
            nodes: BTreeMap::new(),
        };
        for node in parse_kdl(reader, text)?.nodes() {
            document.add(node)?;
        }
        if document.classes.is_empty() {
            document.classes = QueryClass::defaults();
        }
        Ok(document)
    }

    fn add(&mut self, node: &KdlNode) -> Parsed<()> {
        let name = node.name().value();
        if example_of(name).is_none() {
            let similar = similar_name(name);
            let name = name.to_string();
            let kind = ErrorKind::UnknownNode { name, similar };
            return Err(self.reader.error_at_node(node, kind));
        }
        match name {
            "class" => self.classes.push(QueryClass::parse(self.reader, node)?),
            "kind" => self
                .machine_kinds
                .push(MachineKind::parse(self.reader, node)?),
            _ => {
                let earlier = self.nodes.insert(name.to_string(), node.clone());
                if earlier.is_some() {
                    let name = name.to_string();
                    let kind = ErrorKind::RepeatedNode { name };
                    return Err(self.reader.error_at_node(node, kind));
                }
            }
        }
        Ok(())
    }

    pub(super) fn node(&self, name: &str) -> Option<&KdlNode> {
        self.nodes.get(name)
    }

    /// Returns the argument of a top-level node, or `None` if the file does not have the node.
    pub(super) fn text(&self, name: &str) -> Parsed<Option<String>> {
        self.node(name)
            .map(|node| self.reader.text(node))
            .transpose()
    }

    /// Checks types, ranges and names.
    pub(super) fn validate(self) -> Parsed<ValidConfig> {
        ValidConfig::from_document(self)
    }
}

fn parse_kdl(reader: NodeReader, text: &str) -> Parsed<KdlDocument> {
    KdlDocument::parse(text).map_err(|e| {
        let first = e.diagnostics.first();
        let offset = first.map_or(0, |diagnostic| diagnostic.span.offset());
        let message = first.and_then(|diagnostic| diagnostic.message.clone());
        let help = first.and_then(|diagnostic| diagnostic.help.clone());
        let kind = ErrorKind::Syntax {
            message: message.unwrap_or("not KDL".into()),
            help: help.unwrap_or("strings are written in quotes, blocks in { }".into()),
        };
        reader.error_at_offset(offset, kind)
    })
}
