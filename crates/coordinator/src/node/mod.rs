//! The program itself: one thread, one event loop, and the request lifecycle's commands carried out on sockets.
//!
//! `Node` holds the state by owner. An owner's methods need its own state and what they are passed; they return what has come of
//! it. Each module's methods of `Node` connect owners: an event goes to the owner that it concerns, and the outcome to the core, whose
//! commands go back to connections.
//!
//! | module | owner | events that its methods of `Node` handle |
//! | --- | --- | --- |
//! | `event_loop` | | readiness, timers, periodic checks; a panic ends only the work it came from |
//! | `commands` | | the core's commands |
//! | `clients` | `ClientListener`, `Clients` | clients connect, send requests, read responses, leave |
//! | `engines` | `Engines` | engines answer, fall silent, close; attempts start and stop |
//! | `discovery_client` | `DiscoveryClient` | |
//! | `engine_list` | | the source of the engine list sends updates, or the configuration names another one |
//! | `registry` | | the engine registry has changed |
//! | `lifecycle` | | the process becomes ready, pauses, ends |
//! | `upgrade` | `Handover` | another process of this coordinator starts, orders, ends |
//! | `control` | `Control` | operators connect to the control socket or port |
//! | `management` | `Management` | operators call the management address |
//! | `cluster` | `ClusterRuntime` | datagrams of other coordinators |
//! | `start_error` | | a coordinator does not start |
//! | `counters` | | `/counters` is requested, or the process ends |

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

/// A connection's number inside this program; never used twice.
type ConnectionId = u64;

/// The coordinator on its sockets.
pub struct Node {
    core: Core,
    config: Config,
    handle: LoopHandle<'static, Node>,
    clock: Clock,
    /// The time when the clock was last read.
    now: Micros,
    wall: WallClockMonitor,
    last_connection_id: ConnectionId,
    frontend: Box<dyn Frontend>,
    listener: ClientListener,
    clients: Clients,
    engines: Engines,
    registry: EngineRegistry,
    /// What is retained for operators, where the configuration names a control socket, a control port or a state folder.
    control: Option<control::Control>,
    discovery: DiscoveryClient,
    /// Other coordinators, where the configuration names a cluster.
    cluster: Option<Box<cluster::ClusterRuntime>>,
    next_check: Micros,
    /// Connections with more to do than one turn holds.
    deferred: Vec<EventSource>,
    /// The core's commands are being carried out further up the stack.
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
    ControlListener(usize),
    ControlConnection(ConnectionId),
    ManagementListener,
    ManagementConnection(ConnectionId),
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
        // Orders come before the list: nothing may go to an engine that an earlier process was ordered to drain.
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

    /// A node that has its sockets and knows no engine yet.
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

    /// A time of the program's clock as the wall clock shows it now.
    fn wall_time(&self, time: Micros) -> Micros {
        time.saturating_add_signed(self.wall.stepped_by)
    }

    /// Logs a message, and sends it to operators who follow events.
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
    // An operator's service manager has rules of its own.
    let is_killed_after_sigterm = config.protocol == Protocol::Platform;
    Lifecycle::new(
        is_successor,
        is_passed,
        timeouts.max().unwrap_or(0),
        is_killed_after_sigterm,
    )
}
