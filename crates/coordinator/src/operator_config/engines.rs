//! The `engines` node: a list of engines, or the source that lists them.

use super::class::MachineKind;
use super::error::ErrorKind;
use super::node_reader::{NodeReader, Parsed};
use kdl::KdlNode;
use std::net::SocketAddr;

const DEFAULT_ETCD_PREFIX: &str = "/driftfront/engines/";
const DEFAULT_ZONE: &str = "main";
const DEFAULT_MACHINE_KIND: &str = "std-8";

/// The engines of a file, or their source.
#[derive(Default)]
pub(super) struct Engines {
    pub(super) listed: Vec<ListedEngine>,
    pub(super) source: Option<EngineSource>,
    /// The zones of the listed engines, in order of first use.
    pub(super) zones: Vec<String>,
}

/// An `engine` node.
pub(super) struct ListedEngine {
    pub(super) name: String,
    /// `at`.
    pub(super) address: SocketAddr,
    /// `building`.
    pub(super) zone: String,
    pub(super) machine_kind: String,
}

/// A source of engines outside the file.
pub(super) enum EngineSource {
    File(String),
    Etcd { address: String, prefix: String },
}

impl Engines {
    /// Parses the node, if the file has one. Machine kinds that engines use but no node defines are added to `machine_kinds`.
    pub(super) fn parse(
        reader: NodeReader,
        node: Option<&KdlNode>,
        machine_kinds: &mut Vec<MachineKind>,
    ) -> Parsed<Engines> {
        let mut engines = Engines::default();
        let children = node.and_then(|node| node.children());
        for child in children.map_or(&[][..], |children| children.nodes()) {
            engines.add(reader, child, machine_kinds)?;
        }
        if engines.listed.is_empty() && engines.source.is_none() {
            return Err(match node {
                Some(node) => reader.error_at_node(node, ErrorKind::NoEngines),
                None => reader.error_at_offset(0, ErrorKind::NoEngines),
            });
        }
        if engines.zones.is_empty() {
            engines.zones = vec!["building-a".into(), "building-b".into()];
        }
        if machine_kinds.is_empty() {
            *machine_kinds = MachineKind::defaults();
        }
        Ok(engines)
    }

    fn add(
        &mut self,
        reader: NodeReader,
        child: &KdlNode,
        machine_kinds: &mut Vec<MachineKind>,
    ) -> Parsed<()> {
        match child.name().value() {
            "file" => self.source = Some(EngineSource::File(reader.text(child)?)),
            "etcd" => {
                let properties = reader.properties(child, &["prefix"])?;
                let prefix = properties.text("prefix").unwrap_or(DEFAULT_ETCD_PREFIX);
                self.source = Some(EngineSource::Etcd {
                    address: reader.text(child)?,
                    prefix: prefix.into(),
                });
            }
            "engine" => {
                let engine = self.parse_engine(reader, child)?;
                if !self.zones.contains(&engine.zone) {
                    self.zones.push(engine.zone.clone());
                }
                if !machine_kinds
                    .iter()
                    .any(|kind| kind.name == engine.machine_kind)
                {
                    machine_kinds.push(MachineKind::from_name(&engine.machine_kind));
                }
                self.listed.push(engine);
            }
            other => {
                let name = other.to_string();
                return Err(reader.error_at_node(child, ErrorKind::UnknownEnginesNode { name }));
            }
        }
        Ok(())
    }

    fn parse_engine(&self, reader: NodeReader, node: &KdlNode) -> Parsed<ListedEngine> {
        let name = reader.text(node)?;
        if self.listed.iter().any(|engine| engine.name == name) {
            return Err(reader.error_at_node(node, ErrorKind::RepeatedEngine { engine: name }));
        }
        let properties = reader.properties(node, &["at", "building", "kind"])?;
        let address = properties.text("at").unwrap_or_default();
        let address = address.parse().map_err(|_| {
            let kind = ErrorKind::InvalidEngineAddress {
                engine: name.clone(),
                address: address.into(),
            };
            reader.error_at_node(node, kind)
        })?;
        Ok(ListedEngine {
            name,
            address,
            zone: properties.text("building").unwrap_or(DEFAULT_ZONE).into(),
            machine_kind: properties
                .text("kind")
                .unwrap_or(DEFAULT_MACHINE_KIND)
                .into(),
        })
    }
}
