//! This process's membership in the cluster of coordinators, if the configuration has one.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `key_file` | the keys shared by the members |
//! | `datagrams` | receiving and sending datagrams |
//! | `consensus`, `log_file` | the consensus log and its file in the state folder |
//! | `start_error` | errors of joining the cluster |
//! | `holds` | operators' holds, granted through the log |
//! | `views` | members and counters for operators |

mod consensus;
mod datagrams;
mod holds;
mod key_file;
mod log_file;
mod start_error;
mod views;

pub(super) use holds::{HoldError, HoldRequest};
pub use key_file::{read_keys, KeyFileError};
pub use start_error::ClusterStartError;

use super::{EventSource, Node};
use crate::clock::elapsed_micros;
use crate::config::ClusterConfig;
use crate::discovery::EngineListUpdate;
use consensus::ConsensusHost;
use driftfront_cluster::{Cluster, Identity, Keyring, MemberMetadata, Options, State};
use driftfront_core::{lifecycle, ListKind, Micros, Phase};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Instant;

/// The maximum number of coordinators from the engine list that are retained as seeds.
const MAX_DISCOVERED_SEEDS: usize = 256;
/// The socket's receive buffer, which holds datagrams while the event loop is busy.
const RECEIVE_BUFFER_BYTES: usize = 1024 * 1024;

/// The cluster agent with its socket.
pub(super) struct ClusterRuntime {
    socket: Rc<UdpSocket>,
    agent: Cluster,
    /// The metadata that this process publishes about itself.
    metadata: MemberMetadata,
    started: Instant,
    started_at: Micros,
    /// Coordinators named by the engine list, by name. They are seeds in addition to the configured ones.
    discovered_seeds: BTreeMap<String, SocketAddr>,
    consensus: ConsensusHost,
    /// Turns that ended before all datagrams were read.
    turns_cut_short: u64,
    /// Datagrams that could not be sent.
    unsent_datagrams: u64,
    longest_turn_micros: u64,
}

impl ClusterRuntime {
    /// The cluster's time in microseconds. It is monotonic, so setting the wall clock does not affect it.
    fn clock(&self) -> Micros {
        self.started_at + elapsed_micros(self.started)
    }

    /// Publishes this process's state if it has changed.
    fn update_state(&mut self, now: Micros, state: State) {
        if self.metadata.state != state {
            self.metadata.state = state;
            self.metadata.since_ms = now / 1000;
            self.agent.update_metadata(&self.metadata);
        }
    }

    /// Runs the agent's timers.
    fn tick(&mut self) {
        let clock = self.clock();
        self.agent.tick(clock);
    }

    /// Applies the coordinators named by the engine list. Returns whether the discovered seeds changed.
    fn update_discovered_seeds(&mut self, update: &EngineListUpdate) -> bool {
        let before = self.discovered_seeds.clone();
        let seeds = &mut self.discovered_seeds;
        if update.kind == ListKind::Full {
            seeds.clear();
        }
        // A departed coordinator is listed in the same form as a departed engine.
        let lines = update.descriptions.iter();
        for gone in lines.filter(|line| line.phase == Phase::Gone) {
            seeds.remove(&gone.name);
        }
        let named = update.coordinators.iter().take(MAX_DISCOVERED_SEEDS);
        seeds.extend(named.cloned());
        while seeds.len() > MAX_DISCOVERED_SEEDS {
            seeds.pop_last();
        }
        *seeds != before
    }

    /// Passes the configured seeds and those of the engine list to the agent.
    fn apply_seeds(&mut self, configured: &[SocketAddr]) {
        let discovered = self.discovered_seeds.values();
        let seeds = configured.iter().chain(discovered).copied();
        self.agent.change_seeds(seeds.collect());
    }

    /// Leaves the cluster, so that the other members do not have to detect that this process has ended.
    fn leave(&mut self) {
        let clock = self.clock();
        self.agent.leave(clock);
        self.send_datagrams();
    }
}

fn member_state(state: lifecycle::State) -> State {
    match state {
        lifecycle::State::Starting => State::Starting,
        lifecycle::State::Ready => State::Serving,
        lifecycle::State::Draining | lifecycle::State::Drained => State::Paused,
        lifecycle::State::HandingOver | lifecycle::State::ShuttingDown => State::Ending,
    }
}

fn open_socket(listen: SocketAddr) -> Result<UdpSocket, ClusterStartError> {
    let socket = UdpSocket::bind(listen).map_err(|source| ClusterStartError::Bind {
        address: listen,
        source,
    })?;
    socket
        .set_nonblocking(true)
        .map_err(ClusterStartError::Socket)?;
    // Datagrams that arrive while this process is delayed should not be lost.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    Ok(socket)
}

impl Node {
    /// Joins the cluster if the configuration has one.
    pub(super) fn join_cluster(&mut self) -> Result<(), ClusterStartError> {
        let Some(config) = self.config.cluster.clone() else {
            return Ok(());
        };
        let keys = read_keys(&config.key_file)?;
        let socket = open_socket(config.listen)?;
        let local_addr = socket.local_addr().map_err(ClusterStartError::Socket)?;
        let socket = Rc::new(socket);
        self.register_source(socket.clone(), EventSource::Cluster)
            .map_err(ClusterStartError::Register)?;
        tracing::info!(here = %local_addr, "fleet");
        self.cluster = Some(Box::new(self.new_runtime(config, keys, socket, local_addr)));
        self.open_log();
        Ok(())
    }

    fn new_runtime(
        &mut self,
        config: ClusterConfig,
        keys: Keyring,
        socket: Rc<UdpSocket>,
        local_addr: SocketAddr,
    ) -> ClusterRuntime {
        let now = self.clock();
        let entropy = self.config.seed ^ now.rotate_left(32) ^ u64::from(std::process::id());
        #[allow(
            clippy::cast_possible_truncation,
            reason = "a 32-bit random number is needed"
        )]
        let random = crate::net::fnv1a_64(&entropy.to_le_bytes()) as u32;
        let session = Identity::session_at(now, random);
        let metadata = MemberMetadata {
            zone: config.zone,
            region: config.region,
            build: env!("CARGO_PKG_VERSION").into(),
            state: State::Starting,
            since_ms: now / 1000,
        };
        let options = Options {
            identity: Identity {
                name: self.config.name.clone(),
                addr: config.advertise.unwrap_or(local_addr),
                session,
                rejoins: 0,
            },
            metadata: metadata.clone(),
            keys,
            seeds: config.seeds,
            seed: crate::net::fnv1a_64(&session.to_le_bytes()),
            consensus: None,
        };
        ClusterRuntime {
            socket,
            agent: Cluster::new(now, options),
            metadata,
            started: Instant::now(),
            started_at: now,
            discovered_seeds: BTreeMap::new(),
            consensus: ConsensusHost::default(),
            turns_cut_short: 0,
            unsent_datagrams: 0,
            longest_turn_micros: 0,
        }
    }

    /// Periodic work: runs the agent's timers once all received datagrams have been read.
    pub(super) fn update_cluster(&mut self) {
        if self.cluster.is_none() {
            return;
        }
        self.read_datagrams();
        if self.has_unread_datagrams() {
            // A member must not be suspected while its datagrams may still be unread.
            return;
        }
        let state = member_state(self.lifecycle.state());
        let now = self.now;
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        cluster.update_state(now, state);
        // Called on every check: an agent that ticks rarely could not distinguish the interval between ticks from a stall.
        cluster.tick();
        self.update_consensus(state);
        if let Some(cluster) = &mut self.cluster {
            cluster.send_datagrams();
        }
    }

    /// Handles an engine list update, which may add coordinators or remove them.
    pub(super) fn update_discovered_seeds(&mut self, update: &EngineListUpdate) {
        let cluster = self.cluster.as_mut();
        if cluster.is_some_and(|cluster| cluster.update_discovered_seeds(update)) {
            self.apply_seeds();
        }
    }

    /// Passes the configured seeds and those of the engine list to the agent.
    fn apply_seeds(&mut self) {
        if let (Some(cluster), Some(config)) = (&mut self.cluster, &self.config.cluster) {
            cluster.apply_seeds(&config.seeds);
        }
    }

    /// Leaves the cluster when this process ends.
    pub(super) fn leave_cluster(&mut self) {
        if let Some(cluster) = &mut self.cluster {
            cluster.leave();
        }
    }

    /// Reloads keys and seeds on SIGHUP. If the key file is invalid, the old keys and seeds remain.
    pub(super) fn reload_cluster(&mut self, new: Option<&ClusterConfig>) {
        let (Some(cluster), Some(new)) = (&mut self.cluster, new) else {
            return;
        };
        match read_keys(&new.key_file) {
            Ok(keys) => {
                tracing::info!(keys = ?keys.ids(), "fleet: keys reloaded");
                cluster.agent.change_keys(keys);
                if let Some(config) = &mut self.config.cluster {
                    config.seeds = new.seeds.clone();
                }
                self.apply_seeds();
            }
            Err(error) => tracing::error!("fleet: keeping the old keys: {error}"),
        }
    }
}
