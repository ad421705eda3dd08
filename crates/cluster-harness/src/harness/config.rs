//! Generates the configuration file of each member.

use super::ClusterHarness;
use driftfront_cluster_simulation::Script;
use std::fmt::Write;

/// Maximum number of members that a configuration lists as seeds.
const MAX_SEEDS: u32 = 3;
const MICROS_PER_SECOND: u64 = 1_000_000;

impl ClusterHarness {
    /// Returns the text of a member's configuration file.
    pub(super) fn config(&self, member: u32) -> String {
        let state = match self.script.persists_log {
            true => format!("state \"{}\"\n", self.state_folder(member).display()),
            false => String::new(),
        };
        format!(
            "name \"m{member}\"\nlisten \"127.0.0.1:0\"\ncontrol \"{}\"\n\
             engines {{ {}}}\n\
             fleet listen=\"127.0.0.1:0\" advertise=\"{}\" key-file=\"{}\" zone=\"z{}\" \
             replace-after=\"{} s\" {{ {}{}}}\n{state}",
            self.folder.join(format!("m{member}.sock")).display(),
            self.engine_nodes(member),
            self.net.public_addr(member),
            self.key_file().display(),
            member % self.script.zones,
            self.script.replace_after / MICROS_PER_SECOND,
            self.seed_nodes(),
            voter_nodes(&self.script),
        )
    }

    /// Returns the engine nodes, with the addresses at which this member reaches the engines.
    fn engine_nodes(&self, member: u32) -> String {
        let mut nodes = String::new();
        for (number, engine) in self.engines.iter().enumerate() {
            let links = self.engine_links.as_ref();
            let addr = links.map_or(engine.addr, |links| links.addr(member, number));
            let _ = write!(nodes, "engine \"{}\" at=\"{addr}\"; ", engine.name);
        }
        nodes
    }

    fn seed_nodes(&self) -> String {
        (0..self.script.members.min(MAX_SEEDS))
            .map(|member| format!("seed \"{}\"; ", self.net.public_addr(member)))
            .collect()
    }
}

fn voter_nodes(script: &Script) -> String {
    (0..script.voters)
        .map(|member| format!("voter \"m{member}\"; "))
        .collect()
}
