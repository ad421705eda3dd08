//! Query classes and machine kinds of an operator's file.

use super::error::ErrorKind;
use super::node_reader::{NodeReader, Parsed};
use super::EXAMPLE;
use driftfront_core::Micros;
use kdl::{KdlDocument, KdlNode};

/// How long engines drop repeats of an import, unless the file sets another time.
const DEFAULT_DEDUPLICATION_WINDOW: Micros = 5_000_000;

/// A `class` node: the properties of a class of queries.
pub(super) struct QueryClass {
    pub(super) name: String,
    /// `wanted`.
    pub(super) latency_objective: Micros,
    /// `patience`: the time after which clients give up.
    pub(super) client_timeout: Micros,
    /// `worth`.
    pub(super) priority_weight: f64,
    /// `late-worth`: the fraction of the weight that a late answer retains.
    pub(super) late_weight: f64,
    /// `stretch`.
    pub(super) objective_stretch: f64,
    /// `threads`: the threads that one query uses on an engine.
    pub(super) threads: f64,
    /// `once`: a query must not run twice.
    pub(super) is_single_shot: bool,
    /// `in-order`: queries on one table run one at a time, in order of arrival.
    pub(super) is_ordered: bool,
    /// `holds-tables`: a query locks the tables that it writes.
    pub(super) holds_tables: bool,
    /// `repeats-dropped`: how long engines drop repeats of an idempotency key.
    pub(super) deduplication_window: Option<Micros>,
}

impl QueryClass {
    const PROPERTIES: &'static [&'static str] = &[
        "wanted",
        "patience",
        "worth",
        "threads",
        "once",
        "in-order",
        "holds-tables",
        "repeats-dropped",
        "stretch",
        "late-worth",
    ];

    pub(super) fn parse(reader: NodeReader, node: &KdlNode) -> Parsed<QueryClass> {
        let name = reader.text(node)?;
        let properties = reader.properties(node, Self::PROPERTIES)?;
        let required_time = |property| {
            properties.time(property)?.ok_or_else(|| {
                let class = name.clone();
                reader.error_at_node(node, ErrorKind::MissingTime { class, property })
            })
        };
        let latency_objective = required_time("wanted")?;
        let client_timeout = required_time("patience")?;
        if client_timeout < latency_objective {
            return Err(
                reader.error_at_node(node, ErrorKind::TimeoutBelowObjective { class: name })
            );
        }
        Ok(QueryClass {
            latency_objective,
            client_timeout,
            is_single_shot: properties.flag("once")?,
            holds_tables: properties.flag("holds-tables")?,
            deduplication_window: properties.time("repeats-dropped")?,
            threads: properties.number("threads", (1.0, 256.0))?.unwrap_or(1.0),
            is_ordered: properties.flag("in-order")?,
            objective_stretch: properties.number("stretch", (0.0, 100.0))?.unwrap_or(2.0),
            priority_weight: properties.number("worth", (0.001, 1e6))?.unwrap_or(1.0),
            late_weight: properties.number("late-worth", (0.0, 1.0))?.unwrap_or(0.4),
            name,
        })
    }

    /// The classes of [`EXAMPLE`], for files that define none.
    pub(super) fn defaults() -> Vec<QueryClass> {
        let document = KdlDocument::parse(EXAMPLE).expect("the example is KDL");
        let reader = NodeReader::new(EXAMPLE);
        let classes = document
            .nodes()
            .iter()
            .filter(|node| node.name().value() == "class");
        classes
            .map(|node| QueryClass::parse(reader, node).expect("the example's classes are valid"))
            .collect()
    }

    /// The platform's name for whether a query of this class may run again.
    pub(super) fn effect(&self) -> &'static str {
        match (self.is_single_shot, self.deduplication_window) {
            (_, Some(_)) => "guarded",
            (true, None) => "single_shot",
            (false, None) => "free",
        }
    }

    pub(super) fn deduplication_window_or_default(&self) -> Micros {
        self.deduplication_window
            .unwrap_or(DEFAULT_DEDUPLICATION_WINDOW)
    }
}

/// A `kind` node: a machine type that engines run on.
pub(super) struct MachineKind {
    pub(super) name: String,
    pub(super) cores: f64,
    pub(super) memory_mb: f64,
}

impl MachineKind {
    pub(super) fn parse(reader: NodeReader, node: &KdlNode) -> Parsed<MachineKind> {
        let properties = reader.properties(node, &["cores", "memory-mb"])?;
        Ok(MachineKind {
            name: reader.text(node)?,
            cores: properties.number("cores", (1.0, 1024.0))?.unwrap_or(8.0),
            memory_mb: properties
                .number("memory-mb", (64.0, 1e8))?
                .unwrap_or(16_384.0),
        })
    }

    /// Derives a kind that has no node from its name: the number after the last dash is the number of cores, each with 2 GB.
    pub(super) fn from_name(name: &str) -> MachineKind {
        let cores = name
            .rsplit('-')
            .next()
            .and_then(|number| number.parse().ok())
            .unwrap_or(8.0);
        MachineKind {
            name: name.into(),
            cores,
            memory_mb: cores * 2048.0,
        }
    }

    /// The kinds for files that have neither engines nor kinds.
    pub(super) fn defaults() -> Vec<MachineKind> {
        vec![
            MachineKind::from_name("std-8"),
            MachineKind::from_name("std-16"),
        ]
    }
}
