//! Other coordinators: this process's part in the cluster, where the operator's file names one.
//!
//! | module | its job |
//! | --- | --- |
//! | `key_file` | the keys that members share |
//! | `datagrams` | reading and sending |
//! | `consensus`, `log_file` | the consensus log, and its file in the state folder |
//! | `start_error` | why a process can't take part |
//! | `holds` | operators' holds, granted by the log |
//! | `views` | members and counters, for operators |

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

/// Coordinators of the engines' list that are retained as seeds.
const MAX_DISCOVERED_SEEDS: usize = 256;
/// Bytes that the socket holds while the event loop is elsewhere.
const RECEIVE_BUFFER_BYTES: usize = 1024 * 1024;

/// The cluster as this process takes part in it.
pub(super) struct ClusterRuntime {
    socket: Rc<UdpSocket>,
    agent: Cluster,
    /// What this process says of itself.
    metadata: MemberMetadata,
    started: Instant,
    started_at: Micros,
    /// Coordinators that the engines' list names, by name: seeds as those of the operator's file.
    discovered_seeds: BTreeMap<String, SocketAddr>,
    consensus: ConsensusHost,
    /// Turns that ended with more to read.
    turns_cut_short: u64,
    /// Datagrams that the system would not send.
    unsent_datagrams: u64,
    longest_turn_micros: u64,
}

impl ClusterRuntime {
    /// The cluster's time in microseconds. It does not jump with the wall clock: nobody can set it.
    fn clock(&self) -> Micros {
        self.started_at + elapsed_micros(self.started)
    }

    /// Publishes this process's state, where it has changed.
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

    /// Applies the coordinators that the engines' list names; returns whether that has changed them.
    fn update_discovered_seeds(&mut self, update: &EngineListUpdate) -> bool {
        let before = self.discovered_seeds.clone();
        let seeds = &mut self.discovered_seeds;
        if update.kind == ListKind::Full {
            seeds.clear();
        }
        // A line that takes a coordinator out looks as one that takes an engine out.
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

    /// Gives the agent its seeds: those of the operator's file, and those of the engines' list.
    fn apply_seeds(&mut self, configured: &[SocketAddr]) {
        let discovered = self.discovered_seeds.values();
        let seeds = configured.iter().chain(discovered).copied();
        self.agent.change_seeds(seeds.collect());
    }

    /// Leaves the cluster: the others need not find out that this process ends.
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
    // What others say while this process is held up should be there when it goes on.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    Ok(socket)
}

impl Node {
    /// Takes part in the cluster, where the configuration names one.
    pub(super) fn join_cluster(&mut self) -> Result<(), ClusterStartError> {
        let Some(config) = self.config.cluster.clone() else {
            return Ok(());
        };
        let keys = read_keys(&config.key_file)?;
        let socket = open_socket(config.listen)?;
        let here = socket.local_addr().map_err(ClusterStartError::Socket)?;
        let socket = Rc::new(socket);
        self.register_source(socket.clone(), EventSource::Cluster)
            .map_err(ClusterStartError::Register)?;
        tracing::info!(%here, "fleet");
        self.cluster = Some(Box::new(self.new_runtime(config, keys, socket, here)));
        self.open_log();
        Ok(())
    }

    fn new_runtime(
        &mut self,
        config: ClusterConfig,
        keys: Keyring,
        socket: Rc<UdpSocket>,
        here: SocketAddr,
    ) -> ClusterRuntime {
        let now = self.clock();
        let entropy = self.config.seed ^ now.rotate_left(32) ^ u64::from(std::process::id());
        #[allow(
            clippy::cast_possible_truncation,
            reason = "a random number of 32 bits is wanted"
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
                addr: config.advertise.unwrap_or(here),
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

    /// Periodic work: the agent's timers, once all that has come is read.
    pub(super) fn update_cluster(&mut self) {
        if self.cluster.is_none() {
            return;
        }
        self.read_datagrams();
        if self.has_unread_datagrams() {
            // Nobody is suspected before all is read.
            return;
        }
        let state = member_state(self.lifecycle.state());
        let now = self.now;
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        cluster.update_state(now, state);
        // With each check: an agent that ticks seldom could not tell that from being held up.
        cluster.tick();
        self.update_consensus(state);
        if let Some(cluster) = &mut self.cluster {
            cluster.send_datagrams();
        }
    }

    /// The engines' list has named coordinators, or some that are gone.
    pub(super) fn update_discovered_seeds(&mut self, update: &EngineListUpdate) {
        let cluster = self.cluster.as_mut();
        if cluster.is_some_and(|cluster| cluster.update_discovered_seeds(update)) {
            self.apply_seeds();
        }
    }

    /// Gives the agent the seeds of the operator's file and of the engines' list.
    fn apply_seeds(&mut self) {
        if let (Some(cluster), Some(config)) = (&mut self.cluster, &self.config.cluster) {
            cluster.apply_seeds(&config.seeds);
        }
    }

    /// Leaves the cluster, at the end of this process.
    pub(super) fn leave_cluster(&mut self) {
        if let Some(cluster) = &mut self.cluster {
            cluster.leave();
        }
    }

    /// SIGHUP: keys and seeds are read again; a mistaken file leaves the old ones.
    pub(super) fn reload_cluster(&mut self, new: Option<&ClusterConfig>) {
        let (Some(cluster), Some(new)) = (&mut self.cluster, new) else {
            return;
        };
        match read_keys(&new.key_file) {
            Ok(keys) => {
                tracing::info!(keys = ?keys.ids(), "fleet: keys read again");
                cluster.agent.change_keys(keys);
                if let Some(config) = &mut self.config.cluster {
                    config.seeds = new.seeds.clone();
                }
                self.apply_seeds();
            }
            Err(error) => tracing::error!("fleet: the old keys stay: {error}"),
        }
    }
}
