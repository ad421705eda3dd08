//! The `fleet` node: the cluster of coordinators.

use super::error::ErrorKind;
use super::node_reader::{NodeReader, Parsed, Properties};
use driftfront_core::Micros;
use kdl::KdlNode;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The allowed numbers of voters.
const VOTER_COUNTS: [usize; 3] = [0, 3, 5];

/// The coordinator's membership in a cluster.
pub(super) struct Cluster {
    pub(super) listen: SocketAddr,
    pub(super) advertise: Option<SocketAddr>,
    pub(super) key_file: String,
    pub(super) zone: Option<String>,
    pub(super) region: Option<String>,
    /// How long a voter may be down before it is replaced.
    pub(super) replace_after: Option<Micros>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) voters: Vec<String>,
}

impl Cluster {
    pub(super) fn parse(reader: NodeReader, node: &KdlNode) -> Parsed<Cluster> {
        const PROPERTIES: &[&str] = &[
            "listen",
            "advertise",
            "key-file",
            "zone",
            "region",
            "replace-after",
        ];
        let properties = reader.properties(node, PROPERTIES)?;
        let Some(listen) = address_property(reader, &properties, "listen")? else {
            return Err(reader.error_at_node(node, ErrorKind::MissingClusterAddress));
        };
        let advertise = address_property(reader, &properties, "advertise")?;
        let Some(key_file) = properties.text("key-file") else {
            return Err(reader.error_at_node(node, ErrorKind::MissingKeyFile));
        };
        let mut cluster = Cluster {
            listen,
            advertise,
            key_file: key_file.into(),
            zone: properties.text("zone").map(String::from),
            region: properties.text("region").map(String::from),
            replace_after: properties.time("replace-after")?,
            seeds: Vec::new(),
            voters: Vec::new(),
        };
        for child in node.children().map_or(&[][..], |children| children.nodes()) {
            cluster.add(reader, child)?;
        }
        cluster.check_voters(reader, node)?;
        Ok(cluster)
    }

    fn add(&mut self, reader: NodeReader, child: &KdlNode) -> Parsed<()> {
        match child.name().value() {
            "seed" => {
                let address = reader.text(child)?;
                let offset = child.span().offset();
                self.seeds
                    .push(parse_address(reader, "seed", &address, offset)?);
            }
            "voter" => self.voters.push(reader.text(child)?),
            other => {
                let name = other.to_string();
                return Err(reader.error_at_node(child, ErrorKind::UnknownClusterNode { name }));
            }
        }
        Ok(())
    }

    fn check_voters(&self, reader: NodeReader, node: &KdlNode) -> Parsed<()> {
        let voters = self.voters.len();
        let distinct = self.voters.iter().collect::<BTreeSet<_>>().len();
        if distinct == voters && VOTER_COUNTS.contains(&voters) {
            return Ok(());
        }
        Err(reader.error_at_node(node, ErrorKind::VoterCount { voters, distinct }))
    }
}

fn address_property(
    reader: NodeReader,
    properties: &Properties,
    property: &'static str,
) -> Parsed<Option<SocketAddr>> {
    let Some(entry) = properties.entry(property) else {
        return Ok(None);
    };
    let address = properties.text(property).unwrap_or_default();
    parse_address(reader, property, address, entry.span().offset()).map(Some)
}

fn parse_address(
    reader: NodeReader,
    property: &'static str,
    address: &str,
    offset: usize,
) -> Parsed<SocketAddr> {
    address.parse().map_err(|_| {
        let address = address.to_string();
        reader.error_at_offset(
            offset,
            ErrorKind::InvalidClusterAddress { property, address },
        )
    })
}
