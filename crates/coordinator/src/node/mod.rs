//! The coordinator process: a single-threaded event loop that executes the core's commands on sockets.
//!
//! `Node` is composed of components that own their state. A component's methods depend only on its own state and their
//! arguments, and return their results. The methods of `Node` in each module connect the components: they pass an event to the
//! component concerned, pass the result to the core, and execute the core's commands on connections.
//!
//! | module | component | events that its methods of `Node` handle |
//! | --- | --- | --- |
//! | `event_loop` | | readiness, timers, periodic checks; a panic ends only the handler in which it occurs |
//! | `commands` | | the core's commands |
//! | `clients` | `ClientListener`, `Clients` | clients connect, send requests, read responses, disconnect |
//! | `engines` | `Engines` | engines answer, become silent, close; attempts start and stop |
//! | `discovery_client` | `DiscoveryClient` | |
//! | `engine_list` | | the source of the engine list sends updates, or the configuration changes the source |
//! | `registry` | | the engine registry has changed |
//! | `lifecycle` | | the process becomes ready, pauses, exits |
//! | `upgrade` | `Handover` | another process of this coordinator starts, sends orders, exits |
//! | `control` | `Control` | operators connect to the control socket or port |
//! | `management` | `Management` | operators call the management address |
//! | `cluster` | `ClusterRuntime` | datagrams of other coordinators |
//! | `start_error` | | the process fails to start |
//! | `counters` | | `/counters` is requested, or the process exits |

mod clients;
mod cluster;
mod commands;
mod control;
mod counters;
mod discovery_client;
mod engine_list;
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
use crate::clock::{Clock, WallClockMonitor};
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

/// Identifies a connection within this process; never reused.
type ConnectionId = u64;

/// A coordinator process.
pub struct Node {
    core: Core,
    config: Config,
    handle: LoopHandle<'static, Node>,
    clock: Clock,
    /// The time at which the clock was last read.
    now: Micros,
    wall: WallClockMonitor,
    last_connection_id: ConnectionId,
    frontend: Box<dyn Frontend>,
    listener: ClientListener,
    clients: Clients,
    engines: Engines,
    registry: EngineRegistry,
    /// The operators' interface, if a control socket, a control port or a state folder is configured.
    control: Option<control::Control>,
    discovery: DiscoveryClient,
    /// This process's membership in a cluster of coordinators, if one is configured.
    cluster: Option<Box<cluster::ClusterRuntime>>,
    next_check: Micros,
    /// Sources whose turn ended with work left; the next loop iteration continues with them.
    deferred: Vec<EventSource>,
    /// Whether a caller further up the stack is executing the core's commands.
    is_executing: bool,
    lifecycle: Lifecycle,
    management: management::Management,
    started: Micros,
    handover: Handover,
}

/// The socket that a readiness event belongs to.
#[derive(Clone, Copy)]
enum EventSource {
    Listener,
    Client(ConnectionId),
    Engine(ConnectionId),
    DiscoveryClient(ConnectionId),
    ControlListener(usize),
    ControlConnection(ConnectionId),
    ManagementListener,
    ManagementConnection(ConnectionId),
    Cluster,
}

impl Node {
    /// Opens the configured sockets and files, and registers all event sources.
    ///
    /// # Errors
    ///
    /// An address, a socket, a state folder or a key is not available.
    pub fn new(config: Config, events: &EventLoop<'static, Node>) -> Result<Node, StartError> {
        let start = upgrade::open_listener(&config)?;
        let is_passed = start.is_passed;
        let mut node = Node::with_sockets(config, start, events);
        // Signals are blocked before any thread is started: a thread that does not block them would receive them, and their default
        // action ends the process.
        event_loop::register_signals(events)?;
        // Operators' orders are applied before the engine list: no request may go to an engine that an earlier process was ordered
        // to drain.
        let now = node.now;
        node.poll_handover(now);
        let is_successor = node.handover.has_predecessor();
        node.lifecycle = new_lifecycle(&node.config, is_successor, is_passed);
        node.open_control()?;
        node.apply_configured_engines();
        node.open_management();
        node.join_cluster()?;
        if let Some(socket) = node.listener.socket() {
            let registration = node
                .register_source(socket, EventSource::Listener)
                .map_err(StartError::RegisterSocket)?;
            node.listener.set_registration(registration);
        }
        Ok(node)
    }

    /// A node with open sockets, and no engines yet.
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
            wall: WallClockMonitor::start(),
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

    /// Reads the clock into `now`.
    fn clock(&mut self) -> Micros {
        self.now = self.clock.now();
        self.now
    }

    /// Converts a time of the monotonic clock to what the wall clock, with its steps so far, shows for it.
    fn wall_time(&self, time: Micros) -> Micros {
        time.saturating_add_signed(self.wall.stepped_by)
    }

    /// Logs a message, and sends it to operators that follow events.
    fn notify_operators(&mut self, now: Micros, message: String) {
        match self.control {
            Some(_) => self.record_event(now, message),
            None => tracing::info!("{message}"),
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
    let timeouts = config.classes.default_timeouts.iter().copied();
    // The platform sends SIGKILL after SIGTERM; other service managers have rules of their own.
    let is_killed_after_sigterm = config.protocol == Protocol::Platform;
    Lifecycle::new(
        is_successor,
        is_passed,
        timeouts.max().unwrap_or(0),
        is_killed_after_sigterm,
    )
}
