//! The program itself: one thread, one event loop, and the request lifecycle's commands carried out on sockets.
//!
//! [`Node`] holds the state by owner. Each module below has the part of its methods that its owner needs:
//!
//! | module | its job |
//! | --- | --- |
//! | `event_loop` | readiness events, timers, periodic checks; panics end only what was at hand |
//! | `commands` | what the request lifecycle asks for, carried out |
//! | `clients`, `engines` | connections: reading, writing, endings |
//! | `discovery_client`, `registry` | the list of engines: where it comes from, and what its changes do |
//! | `lifecycle`, `upgrade` | ready, paused, handing over, ending; exchange with other processes of this coordinator |
//! | `control`, `management` | operators: the control socket, and the line protocol |
//! | `cluster` | other coordinators, and the consensus log |
//! | `start_error` | why a coordinator does not start |
//! | `counters` | what `/counters` shows |

mod clients;
mod cluster;
mod commands;
mod control;
mod counters;
mod discovery_client;
mod engines;
mod event_loop;
mod lifecycle;
mod management;
mod registry;
mod start_error;
mod upgrade;

pub use self::cluster::{read_keys, ClusterStartError, KeyFileError};
pub use self::control::ControlSocketError;
pub use self::start_error::StartError;
use crate::clock::{Clock, StepWatch};
use crate::config::{Config, Protocol};
use crate::discovery::backoff::Backoff;
use crate::frontends::clickhouse::ClickHouse;
use crate::frontends::{platform::Platform, Frontend};
use calloop::{EventLoop, LoopHandle};
use clients::{ClientListener, Clients};
use discovery_client::DiscoveryClient;
use driftfront_core::lifecycle::Lifecycle;
use driftfront_core::{Core, Micros};
use driftfront_engine_registry::EngineRegistry;
use engines::Engines;
use upgrade::{Handover, StartSockets};

/// A connection's number inside this program; never used twice.
type ConnectionId = u64;

/// The coordinator on its sockets.
pub struct Node {
    core: Core,
    config: Config,
    handle: LoopHandle<'static, Node>,
    clock: Clock,
    /// The time at the last look.
    now: Micros,
    wall: StepWatch,
    last_connection_id: ConnectionId,
    frontend: Box<dyn Frontend>,
    listener: ClientListener,
    clients: Clients,
    engines: Engines,
    registry: EngineRegistry,
    /// What is retained for operators, where the configuration asks for that.
    control: Option<control::Control>,
    discovery: DiscoveryClient,
    /// Other coordinators, where the configuration names a cluster.
    cluster: Option<Box<cluster::ClusterRuntime>>,
    next_check: Micros,
    /// Connections with more to do than one turn holds.
    deferred: Vec<EventSource>,
    /// Commands are being carried out.
    is_executing: bool,
    lifecycle: Lifecycle,
    management: management::Management,
    started: Micros,
    handover: Handover,
}

/// What a readiness event is for.
#[derive(Clone, Copy)]
enum EventSource {
    Listener,
    Client(ConnectionId),
    Engine(ConnectionId),
    DiscoveryClient(ConnectionId),
    Operators(usize),
    Operator(ConnectionId),
    Management,
    Caller(ConnectionId),
    Cluster,
}

impl Node {
    /// Binds, opens what the configuration names, and registers the sources of events.
    ///
    /// # Errors
    ///
    /// An address, a socket, a state folder or a key that can't be had.
    pub fn new(config: Config, events: &EventLoop<'static, Node>) -> Result<Node, StartError> {
        let start = upgrade::open_listener(&config)?;
        let is_passed = start.is_passed;
        let mut node = Node::with_sockets(config, start, events);
        // Before any thread is started: a signal goes to whichever thread does not block it, and would end the program there.
        event_loop::register_signals(events)?;
        // Orders come before the list: nothing may go to what an earlier process was told to leave alone.
        let now = node.now;
        node.poll_handover(now);
        let is_successor = node.handover.has_predecessor();
        node.lifecycle = new_lifecycle(&node.config, is_successor, is_passed);
        node.open_control()?;
        node.apply_configured_engines();
        node.open_management();
        node.join_cluster()?;
        if let Some(socket) = node.listener.socket.clone() {
            let token = node
                .register_source(socket, EventSource::Listener)
                .map_err(StartError::RegisterSocket)?;
            node.listener.token = Some(token);
        }
        Ok(node)
    }

    /// A node that has its sockets and knows nobody yet.
    fn with_sockets(
        config: Config,
        start: StartSockets,
        events: &EventLoop<'static, Node>,
    ) -> Node {
        let clock = Clock::start();
        let now = clock.now();
        let backoff = Backoff::new(config.seed);
        Node {
            core: Core::new(config.settings.clone(), config.limits, config.seed),
            handle: events.handle(),
            clock,
            now,
            wall: StepWatch::start(),
            last_connection_id: 0,
            frontend: new_frontend(&config),
            listener: ClientListener::new(start.listener, start.is_passed),
            clients: Clients::default(),
            engines: Engines::default(),
            registry: EngineRegistry::new(),
            control: None,
            discovery: DiscoveryClient::new(&config.discovery, config.known_index, backoff),
            cluster: None,
            next_check: now,
            deferred: Vec::new(),
            is_executing: false,
            lifecycle: new_lifecycle(&config, false, false),
            management: management::Management::default(),
            started: now,
            handover: Handover::new(start.mailbox),
            config,
        }
    }

    /// Reads the clock; `now` is what it said last.
    fn clock(&mut self) -> Micros {
        self.now = self.clock.now();
        self.now
    }

    /// A time of the program's as people read it off the wall clock now.
    fn wall_time(&self, time: Micros) -> Micros {
        time.saturating_add_signed(self.wall.stepped_by)
    }

    /// For the log, and for operators.
    fn notify_operators(&mut self, now: Micros, words: String) {
        match self.control {
            Some(_) => self.record_event(now, words),
            None => tracing::info!("{words}"),
        }
    }
}

fn new_frontend(config: &Config) -> Box<dyn Frontend> {
    let classes = config.classes.clone();
    match config.protocol {
        Protocol::Platform => Box::new(Platform {
            classes,
            tenants: config.tenants.clone(),
        }),
        Protocol::ClickHouse => Box::new(ClickHouse::new(classes, config.clickhouse, config.seed)),
    }
}

fn new_lifecycle(config: &Config, is_successor: bool, is_passed: bool) -> Lifecycle {
    let timeouts = config.classes.patience.iter().copied();
    // An operator's service manager has rules of its own.
    let is_killed = config.protocol == Protocol::Platform;
    Lifecycle::new(
        is_successor,
        is_passed,
        timeouts.max().unwrap_or(0),
        is_killed,
    )
}
