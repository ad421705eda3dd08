//! The program itself: one thread, one calloop event loop, and the core's commands carried out on sockets.

mod clients;
mod cluster;
mod control;
mod counters;
mod discovery_client;
mod engines;
mod management;
mod upgrade;

pub use self::cluster::read_keys;
use crate::backends::{clickhouse::HttpSession, engine_protocol::LineSession, EngineSession};
use crate::clock::{Clock, Step, StepWatch};
use crate::config::{Config, Protocol};
use crate::discovery::backoff::{Backoff, Disconnect};
use crate::discovery::read;
use crate::frontends::clickhouse::ClickHouse;
use crate::frontends::{platform::Platform, ConnectionAction, Frontend};
use crate::service_window::RequestOutcome;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use clients::{ClientListener, Clients};
use driftfront_core::lifecycle::Lifecycle;
use driftfront_core::{AttemptKey, Command, Core, EngineId, ListKind, Micros, Phase, RequestId};
use driftfront_engine_registry::{EngineRegistry, RegistryChange};
use driftfront_scheduler::interface::Idempotency;
use driftfront_settings::json::Json;
use engines::Engines;
use std::net::{SocketAddr, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;
use upgrade::Handover;

/// Connections are looked over this often: connect time-outs, idle ends, accepts that were put off.
const SWEEP: Micros = 25_000;

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
    operators: Vec<control::OperatorListener>,
    discovery: discovery_client::DiscoveryClient,
    /// Other coordinators, where the configuration names a cluster.
    cluster: Option<Box<cluster::ClusterRuntime>>,
    next_sweep: Micros,
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
    /// Binds, takes the first list over and registers the sources of events.
    pub fn new(config: Config, events: &EventLoop<'static, Node>) -> Result<Node, String> {
        let start = upgrade::open_listener(&config)?;
        let is_passed = start.is_passed;
        let classes = config.classes.clone();
        let front: Box<dyn Frontend> = match config.protocol {
            Protocol::Platform => Box::new(Platform {
                classes,
                tenants: config.tenants.clone(),
            }),
            Protocol::ClickHouse => {
                Box::new(ClickHouse::new(classes, config.clickhouse, config.seed))
            }
        };
        let clock = Clock::start();
        let now = clock.now();
        let longest = config.classes.patience.iter().copied().max().unwrap_or(0);
        // An operator's service manager has rules of its own.
        let killed = config.protocol == Protocol::Platform;
        let mut node = Node {
            core: Core::new(config.settings.clone(), config.limits, config.seed),
            handle: events.handle(),
            clock,
            now,
            wall: StepWatch::start(),
            last_connection_id: 0,
            frontend: front,
            listener: ClientListener::new(start.listener, start.is_passed),
            clients: Clients::default(),
            engines: Engines::default(),
            registry: EngineRegistry::new(),
            control: None,
            operators: Vec::new(),
            discovery: discovery_client::DiscoveryClient::new(
                &config.discovery,
                config.known_index,
                Backoff::new(config.seed),
            ),
            cluster: None,
            next_sweep: now,
            deferred: Vec::new(),
            is_executing: false,
            lifecycle: Lifecycle::new(false, false, longest, killed),
            management: management::Management::default(),
            started: now,
            handover: Handover::new(start.mailbox),
            config,
        };
        // Before any thread is started: a signal goes to whichever thread does not block it, and would end the program there.
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
            .map_err(|e| format!("signals: {e}"))?;
        let on_signal = |event: calloop::signals::Event, _: &mut (), node: &mut Node| {
            if event.signal() == Signal::SIGHUP {
                node.guard("a new configuration", Node::reload);
                return;
            }
            tracing::info!(signal = ?event.signal(), "stopping once all taken is answered");
            let now = node.clock();
            node.lifecycle.end(now);
        };
        events
            .handle()
            .insert_source(signals, on_signal)
            .map_err(|e| format!("signals: {e}"))?;
        // Orders come before the list: nothing may go to what an earlier process was told to leave alone.
        node.poll_handover(now);
        let succeeds = node.handover.has_predecessor();
        node.lifecycle = Lifecycle::new(succeeds, is_passed, longest, killed);
        node.open_control()?;
        node.apply_configured_engines();
        node.open_management();
        node.open_fleet()?;
        if let Some(socket) = node.listener.socket.clone() {
            let token = node
                .watch(socket, EventSource::Listener)
                .map_err(|e| format!("event loop: {e}"))?;
            node.listener.token = Some(token);
        }
        Ok(node)
    }

    /// Runs until a signal has asked for the end and all that was taken is answered.
    pub fn run(mut self, mut events: EventLoop<'static, Node>) -> Result<(), String> {
        let listen = self.listening_at();
        let management = self.management.addr().map(tracing::field::display);
        tracing::info!(name = %self.config.name, management, %listen, "serving");
        loop {
            self.guard("timers", Node::on_time);
            if self.may_end() {
                break;
            }
            let due = self
                .core
                .next_due()
                .unwrap_or(u64::MAX)
                .min(self.next_sweep);
            let due = if self.deferred.is_empty() { due } else { 0 };
            let wait = Duration::from_micros(due.saturating_sub(self.clock()).min(1_000_000));
            match events.dispatch(wait, &mut self) {
                Ok(()) => {}
                Err(calloop::Error::IoError(e)) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => tracing::error!("event loop: {e}"),
            }
        }
        self.leave_fleet();
        tracing::info!("all taken is answered\n{}", self.counters());
        Ok(())
    }

    fn clock(&mut self) -> Micros {
        self.now = self.clock.now();
        self.now
    }

    /// A time of the program's as people read it off the wall clock now.
    fn wall_time(&self, time: Micros) -> Micros {
        time.saturating_add_signed(self.wall.stepped_by)
    }

    fn next_connection_id(&mut self) -> ConnectionId {
        self.last_connection_id += 1;
        self.last_connection_id
    }

    /// Lets no panic end the program: it ends what was at hand.
    fn guard(&mut self, what: &str, work: impl FnOnce(&mut Node)) -> bool {
        let done = catch_unwind(AssertUnwindSafe(|| work(self))).is_ok();
        if !done {
            tracing::error!("panic in {what}");
            self.is_executing = false;
            self.clear_busy_clients();
        }
        done
    }

    fn watch<S: std::os::fd::AsFd + 'static>(
        &mut self,
        socket: Rc<S>,
        source: EventSource,
    ) -> Result<RegistrationToken, calloop::Error> {
        let generic = Generic::new(socket, Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(generic, move |readiness, _, node: &mut Node| {
                if !node.guard("a connection", |node| node.on_ready(source, readiness)) {
                    node.guard("a close", |node| node.drop_source(source));
                }
                Ok(PostAction::Continue)
            });
        token.map_err(|e| e.error)
    }

    fn on_ready(&mut self, source: EventSource, _readiness: Readiness) {
        let now = self.clock();
        self.look_at_management(now);
        match source {
            EventSource::Listener => self.accept_clients(now),
            EventSource::Client(id) => self.on_client_ready(now, id),
            EventSource::Engine(id) => self.on_engine_ready(now, id),
            EventSource::DiscoveryClient(id) => self.on_discovery_ready(now, id),
            EventSource::Operators(place) => self.accept_operators(place),
            EventSource::Operator(id) => self.operator_ready(id),
            EventSource::Management => self.accept_callers(now),
            EventSource::Caller(id) => self.caller_ready(now, id),
            EventSource::Cluster => self.fleet_ready(),
        }
        self.execute_commands();
    }

    /// A panic has ended this source's work: its connection goes, with what was on it.
    fn drop_source(&mut self, source: EventSource) {
        let now = self.clock();
        match source {
            EventSource::Listener => {}
            EventSource::Client(id) => self.drop_client(now, id),
            EventSource::Engine(id) => self.drop_engine(now, id, "a panic"),
            EventSource::DiscoveryClient(_) => {
                self.drop_discovery_connection(now, "a panic", Disconnect::Closed)
            }
            EventSource::Operators(_) | EventSource::Management | EventSource::Cluster => {}
            EventSource::Operator(id) => self.drop_operator(id),
            EventSource::Caller(id) => self.drop_caller(id),
        }
        self.execute_commands();
    }

    fn on_time(&mut self) {
        let now = self.clock();
        self.core.fire_timers(now);
        for source in std::mem::take(&mut self.deferred) {
            match source {
                EventSource::Client(id) => self.drive_client(now, id),
                EventSource::Engine(id) => {
                    self.write_to_engine(now, id);
                    self.read_from_engine(now, id);
                }
                EventSource::Cluster => self.fleet_ready(),
                _ => {}
            }
        }
        self.execute_commands();
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            self.watch_wall_clock();
            self.accept_clients(now);
            self.sweep_clients(now);
            self.sweep_engines(now);
            self.check_discovery(now);
            self.tend_fleet();
            self.frontend.expire_sessions(now);
            self.tend_control(now);
            self.sweep_callers(now);
            self.poll_handover(now);
            self.update_lifecycle(now);
            self.execute_commands();
        }
    }

    /// Tells of a wall clock that was set: the log's stamps jump by that.
    fn watch_wall_clock(&mut self) {
        if let Some(Step(by)) = self.wall.check() {
            let seconds = by as f64 / 1e6;
            tracing::warn!(
                seconds,
                open = self.core.open_requests(),
                "the wall clock was set"
            );
        }
    }

    fn may_end(&mut self) -> bool {
        let writing = self.clients.connections.values().any(|c| c.is_writing());
        let ends = self.lifecycle.may_end(
            self.now,
            self.core.open_requests(),
            self.clients.connections.len(),
            writing,
        );
        if ends && self.listener.socket.is_some() && !self.lifecycle.listens(self.now) {
            // Who is in the backlog still has a connection, and maybe a request on it: looked at once more behind that.
            self.stop_listening(self.now);
            return false;
        }
        ends
    }

    /// What `/alive` and STATUS both say.
    fn is_ready(&self) -> bool {
        self.lifecycle.is_ready() && self.core.has_engines()
    }

    /// An operator sends the clients away; what to tell of it.
    fn pause(&mut self, now: Micros, by: &str) -> String {
        if self.lifecycle.pause(now) {
            self.told(
                now,
                format!("Paused by {by}: clients are sent away, what was taken is answered"),
            );
        }
        self.lifecycle.state().word().into()
    }

    /// An operator calls it back to work; what to tell of it.
    fn back_to_work(&mut self, now: Micros, by: &str) -> String {
        if self.lifecycle.resume() {
            self.told(now, format!("Back to work, by {by}"));
        }
        self.lifecycle.state().word().into()
    }

    /// For the log, and for operators.
    fn told(&mut self, now: Micros, words: String) {
        match self.control {
            Some(_) => self.event(now, words),
            None => tracing::info!("{words}"),
        }
    }

    fn update_lifecycle(&mut self, now: Micros) {
        if !self.lifecycle.has_begun() && self.knows_engines(now) && self.lifecycle.begin() {
            tracing::info!(succeeds = self.lifecycle.succeeds(), "ready");
            self.publish_handover();
        }
        if self
            .lifecycle
            .shutdown_deadline()
            .is_some_and(|at| now >= at)
        {
            self.core.answer_all_requests(now);
        }
        if !self.lifecycle.listens(now) {
            self.stop_listening(now);
        }
        if self.lifecycle.look(self.clients.connections.len()) {
            self.told(now, "Drained: no client is left".into());
        }
    }

    /// Carries out what the core asks for, until it asks for nothing more.
    fn execute_commands(&mut self) {
        // Further up the stack the rest is being carried out, in order.
        if std::mem::replace(&mut self.is_executing, true) {
            return;
        }
        while let Some(command) = self.core.next_command() {
            let now = self.now;
            match command {
                Command::StartAttempt(key, engine) => {
                    self.log_retry(now, key, engine);
                    self.queue_attempt(now, key, engine, 0);
                }
                Command::AbandonAttempt(key, engine) => self.abandon_attempt(now, key, engine),
                Command::Probe(engine, tag) => self.queue_probe(now, engine, tag),
                Command::ForgetEngine(engine) => self.forget_engine(now, engine),
                Command::Log(line) => tracing::info!("{line}"),
                Command::Settled(ticket, fate) => self.frontend.settle_request(now, ticket, fate),
                Command::ForwardChunk(id, piece) => {
                    self.write_response(now, id, false, |w, out| {
                        w.write_chunk(&piece, out);
                        ConnectionAction::KeepOpen
                    })
                }
                Command::Finish(id) => {
                    self.record_outcome(now, id, RequestOutcome::Served);
                    self.write_response(now, id, true, |w, out| w.finish(out));
                }
                Command::Reject(id, after, words) => {
                    self.record_outcome(now, id, RequestOutcome::Refused);
                    self.write_response(now, id, true, |w, out| {
                        w.reject(after, words.as_deref(), out);
                        ConnectionAction::KeepOpen
                    });
                }
                Command::Fail(id, words) => {
                    self.record_outcome(now, id, RequestOutcome::Failed);
                    self.write_response(now, id, true, |w, out| {
                        w.fail(words.as_deref(), out);
                        ConnectionAction::KeepOpen
                    });
                }
                Command::Abort(id, words) => {
                    self.record_outcome(now, id, RequestOutcome::Failed);
                    self.write_response(now, id, true, |w, out| w.abort(words.as_deref(), out));
                }
            }
        }
        self.is_executing = false;
    }

    /// A line for each attempt beyond a request's first: the retry budget bounds their number.
    fn log_retry(&self, now: Micros, key: AttemptKey, engine: EngineId) {
        let Some(retry) = self.core.retry_context(key) else {
            return;
        };
        let name = |engine| self.registry.name(engine).unwrap_or("gone");
        let usage = self.core.retry_budget_usage(now).unwrap_or_default();
        tracing::info!(
            call = retry.call,
            attempt = key.number,
            engine = name(engine),
            failed_on = name(retry.failed_on),
            after = %retry.after,
            used = usage.used,
            allowed = %format_args!("{:.1}", usage.allowed),
            "retry"
        );
    }

    /// How often a class's requests may run.
    fn idempotency(&self, class: u16) -> Option<Idempotency> {
        self.config
            .settings
            .classes
            .get(usize::from(class))
            .map(|c| c.idempotency)
    }

    /// Whether a class's requests must not run twice.
    fn is_single_shot(&self, class: u16) -> bool {
        self.idempotency(class) == Some(Idempotency::NotIdempotent)
    }

    /// For operators: how a request ended.
    fn record_outcome(&mut self, now: Micros, id: RequestId, end: RequestOutcome) {
        if let Some(&(_, class, began)) = self
            .clients
            .requesters
            .get(&id)
            .filter(|_| self.control.is_some())
        {
            self.ended(now, class, began, end);
        }
    }

    /// Takes over what the configuration lists.
    fn apply_configured_engines(&mut self) {
        for update in std::mem::take(&mut self.config.known_updates) {
            match read(&self.config.zones, &self.config.kinds, Json(Some(&update))) {
                Ok(told) => {
                    told.rejected_entries
                        .iter()
                        .for_each(|why| tracing::warn!("known engines: {why}"));
                    self.registry.apply_listing(told.kind, told.descriptions);
                }
                Err(e) => tracing::warn!("known engines: {e}"),
            }
        }
        let lines = self.registry.announced_lines();
        for engine in self.registry.departed_engines() {
            self.registry.forget_engine(engine);
        }
        let now = self.clock();
        self.core.update_engines(now, ListKind::Cached, &lines);
        self.update_lifecycle(now);
        self.execute_commands();
    }

    fn apply_registry_change(&mut self, now: Micros, change: &RegistryChange) {
        for &engine in &change.restarted {
            self.retire_connections(engine);
            // What was left in sessions went with the process.
            self.frontend.engine_left(engine);
        }
        for line in change.lines.iter().filter(|l| l.phase != Phase::Ready) {
            self.frontend.engine_left(line.engine);
        }
        if change.kind == ListKind::Full {
            let unlisted = |e: &EngineId| !change.lines.iter().any(|l| l.engine == *e);
            for engine in self.core.listed_engines().into_iter().filter(unlisted) {
                self.frontend.engine_left(engine);
            }
        }
        self.core.update_engines(now, change.kind, &change.lines);
        for words in &change.messages {
            self.event(now, words.clone());
        }
        self.update_lifecycle(now);
        self.execute_commands();
    }

    fn session(&self, addr: SocketAddr) -> Box<dyn EngineSession> {
        match self.config.protocol {
            Protocol::Platform => Box::new(LineSession::new(
                self.config.max_streams_per_connection,
                self.config.load_report_fields.clone(),
            )),
            Protocol::ClickHouse => Box::new(HttpSession::new(addr.to_string())),
        }
    }

    fn addr(&self, engine: EngineId) -> Option<SocketAddr> {
        self.registry.addr(engine)
    }

    /// Makes an orderly end unregister the socket too; its descriptor closes with the last holder.
    fn unregister(&mut self, token: Option<RegistrationToken>) {
        if let Some(token) = token {
            self.handle.remove(token);
        }
    }

    /// The address that clients use.
    fn listening_at(&self) -> SocketAddr {
        self.listener
            .socket
            .as_ref()
            .and_then(|l| l.local_addr().ok())
            .unwrap_or(self.config.listen)
    }

    /// Closes the listening socket. What the system has accepted already is taken first: each gets an answer, or its close.
    fn stop_listening(&mut self, now: Micros) {
        self.accept_clients(now);
        self.execute_commands();
        let token = self.listener.token.take();
        self.unregister(token);
        self.listener.socket = None;
    }

    /// Registers a socket, or says why not.
    fn register_stream(
        &mut self,
        socket: Rc<TcpStream>,
        source: EventSource,
    ) -> Result<RegistrationToken, String> {
        self.watch(socket, source).map_err(|e| e.to_string())
    }
}
