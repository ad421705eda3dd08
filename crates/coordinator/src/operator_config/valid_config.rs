//! Checks the types, ranges and references of an operator's file.
//!
//! Sections are checked in a fixed order that does not depend on their order in the file, so that reordering a file does not
//! change which error is reported.

use super::class::{MachineKind, QueryClass};
use super::cluster::Cluster;
use super::document::Document;
use super::engines::Engines;
use super::error::ErrorKind;
use super::node_reader::Parsed;
use driftfront_core::Micros;
use std::net::SocketAddr;

const DEFAULT_LISTEN: &str = "127.0.0.1:8123";
const DEFAULT_MAX_DESCRIPTORS: f64 = 1024.0;
const DEFAULT_MAX_OPEN_REQUESTS: f64 = 2000.0;

/// The content of a valid operator's file.
pub(super) struct ValidConfig {
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    pub(super) frontend: Frontend,
    pub(super) statements: StatementClasses,
    pub(super) results: Results,
    pub(super) limits: Limits,
    pub(super) state: Option<String>,
    pub(super) control: Option<String>,
    pub(super) cluster: Option<Cluster>,
    pub(super) engines: Engines,
    pub(super) classes: Vec<QueryClass>,
    pub(super) machine_kinds: Vec<MachineKind>,
}

/// The interface that clients and engines use.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Frontend {
    ClickHouse,
    Platform,
}

impl Frontend {
    /// The frontend's name in configuration files.
    pub(super) fn name(self) -> &'static str {
        match self {
            Frontend::ClickHouse => "clickhouse",
            Frontend::Platform => "platform",
        }
    }
}

/// The default classes of statements, by what they do.
pub(super) struct StatementClasses {
    pub(super) read: String,
    pub(super) write: String,
    pub(super) deduplicated: Option<String>,
}

/// `results`: timeouts of result and request bodies.
#[derive(Default)]
pub(super) struct Results {
    pub(super) stall: Option<Micros>,
    pub(super) upload: Option<Micros>,
}

/// `limits`: resource limits of the coordinator.
pub(super) struct Limits {
    pub(super) max_descriptors: f64,
    pub(super) memory_mb: Option<f64>,
    pub(super) max_open_requests: f64,
}

impl ValidConfig {
    pub(super) fn from_document(mut document: Document) -> Parsed<ValidConfig> {
        let listen = parse_listen(&document)?;
        let name = document.text("name")?.unwrap_or("driftfront".into());
        let frontend = parse_frontend(&document)?;
        let statements = StatementClasses::parse(&document)?;
        let results = Results::parse(&document)?;
        let limits = Limits::parse(&document)?;
        let state = document.text("state")?;
        let control = document.text("control")?;
        let cluster = match document.node("fleet") {
            Some(node) => Some(Cluster::parse(document.reader, node)?),
            None => None,
        };
        let mut machine_kinds = std::mem::take(&mut document.machine_kinds);
        let engines = document.node("engines");
        let engines = Engines::parse(document.reader, engines, &mut machine_kinds)?;
        Ok(ValidConfig {
            name,
            listen,
            frontend,
            statements,
            results,
            limits,
            state,
            control,
            cluster,
            engines,
            classes: document.classes,
            machine_kinds,
        })
    }
}

fn parse_listen(document: &Document) -> Parsed<SocketAddr> {
    let address = document.text("listen")?.unwrap_or(DEFAULT_LISTEN.into());
    address.parse().map_err(|_| {
        let kind = ErrorKind::InvalidListenAddress { address };
        error_at_top_level(document, "listen", kind)
    })
}

fn parse_frontend(document: &Document) -> Parsed<Frontend> {
    let name = document.text("front")?;
    match name.as_deref() {
        None | Some("clickhouse") => Ok(Frontend::ClickHouse),
        Some("platform") => Ok(Frontend::Platform),
        Some(name) => {
            let kind = ErrorKind::UnknownFrontend { name: name.into() };
            Err(error_at_top_level(document, "front", kind))
        }
    }
}

/// An error at a top-level node, or at the start of the file if the value is a default.
fn error_at_top_level(
    document: &Document,
    name: &str,
    kind: ErrorKind,
) -> super::OperatorConfigError {
    match document.node(name) {
        Some(node) => document.reader.error_at_node(node, kind),
        None => document.reader.error_at_offset(0, kind),
    }
}

impl StatementClasses {
    fn parse(document: &Document) -> Parsed<StatementClasses> {
        let classes = &document.classes;
        let first_single_shot = classes.iter().position(|class| class.is_single_shot);
        let default_write = first_single_shot.unwrap_or(classes.len() - 1);
        Ok(StatementClasses {
            read: class_named_by(document, "reads")?.unwrap_or(classes[0].name.clone()),
            write: class_named_by(document, "writes")?
                .unwrap_or(classes[default_write].name.clone()),
            deduplicated: class_named_by(document, "deduplicated")?,
        })
    }
}

fn class_named_by(document: &Document, node: &str) -> Parsed<Option<String>> {
    let Some(class) = document.text(node)? else {
        return Ok(None);
    };
    if document.classes.iter().any(|known| known.name == class) {
        return Ok(Some(class));
    }
    let known = document.classes.iter().map(|known| known.name.clone());
    let known = known.collect();
    let kind = ErrorKind::UnknownClass { class, known };
    Err(error_at_top_level(document, node, kind))
}

impl Results {
    fn parse(document: &Document) -> Parsed<Results> {
        let Some(node) = document.node("results") else {
            return Ok(Results::default());
        };
        let properties = document.reader.properties(node, &["stall", "upload"])?;
        Ok(Results {
            stall: properties.time("stall")?,
            upload: properties.time("upload")?,
        })
    }
}

impl Limits {
    fn parse(document: &Document) -> Parsed<Limits> {
        let mut limits = Limits {
            max_descriptors: DEFAULT_MAX_DESCRIPTORS,
            memory_mb: None,
            max_open_requests: DEFAULT_MAX_OPEN_REQUESTS,
        };
        let Some(node) = document.node("limits") else {
            return Ok(limits);
        };
        let known = &["memory-mb", "sockets", "open"];
        let properties = document.reader.properties(node, known)?;
        if let Some(descriptors) = properties.number("sockets", (64.0, 1e6))? {
            limits.max_descriptors = descriptors;
        }
        limits.memory_mb = properties.number("memory-mb", (16.0, 65_536.0))?;
        if let Some(open) = properties.number("open", (1.0, 4096.0))? {
            limits.max_open_requests = open;
        }
        Ok(limits)
    }
}
