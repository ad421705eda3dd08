//! What a [`Controller`](crate::Controller) is told and what it may ask for.

/// Time or duration in microseconds.
pub type Micros = u64;

/// An engine of the pool; the number is the host's own and is only compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u64);

/// A query taken by this gateway; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// How often a query's effect may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Harmless to repeat.
    Idempotent,
    /// Repeats are dropped inside a group of engines, for a while.
    WithKey,
    /// Must not run twice.
    NotIdempotent,
}

/// The engines that drop each other's repeats of a keyed query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every engine.
    All,
    /// Engines of one zone.
    Zone,
    /// Engines of one cell.
    Cell,
}

/// A query class.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// An answer within this time earns the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this times the query's work over its threads.
    pub latency_objective_stretch: f64,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Share of the worth that a late answer still earns.
    pub late_weight: f64,
    /// Whether repeats are harmless.
    pub idempotency: Idempotency,
    /// Who drops repeats, for keyed classes.
    pub deduplication_scope: DeduplicationScope,
    /// For how long repeats are dropped.
    pub deduplication_window: Micros,
    /// Queries with one key run one at a time, in order.
    pub in_order: bool,
    /// The only zones allowed, if bound.
    pub zones: Option<Vec<u16>>,
    /// The only machine kinds allowed, if bound.
    pub kinds: Option<Vec<u16>>,
    /// Threads that a query runs on.
    pub threads: f64,
    /// Holds its table group on its engine while it runs.
    pub load: bool,
    /// Stands still while a load holds its group.
    pub waits_for_loads: bool,
}

/// A machine kind.
#[derive(Clone, Copy, Debug)]
pub struct MachineKind {
    /// Cores, if told.
    pub cores: Option<f64>,
    /// Memory in MB, if told.
    pub memory_mb: Option<f64>,
}

/// What an engine does when grants pass its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutOfMemory {
    /// The query waits in the engine's line.
    Wait,
    /// The query gets what is left, and spills.
    Shrink,
    /// It is let in, and all slow down.
    Page,
}

/// A rationing of attempts beyond each query's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Allowed whatever the traffic.
    pub min_retries: f64,
    /// Allowed for each query taken.
    pub ratio: f64,
    /// The period over which both are counted.
    pub window: Micros,
}

/// Figures of the cold-start rule.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Lowest share of its capacity that an engine starts with.
    pub from: f64,
    /// It is warm after this long.
    pub warm_up_time: Micros,
    /// It falls over beyond this multiple of its present capacity,
    pub multiple: f64,
    /// sent for this long.
    pub window: Micros,
}

/// A tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Queries a second over all gateways inside its share.
    pub quota_per_s: f64,
}

/// One value of a load report, by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Queries in hand.
    Active,
    /// Queries waiting for memory.
    Waiting,
    /// Share of cores busy.
    Busy,
    /// Recent service time, ms.
    ServiceMs,
    /// Queries served a second.
    Rate,
    /// Errors a second.
    Errors,
    /// Share of memory granted.
    Memory,
    /// Share of disks busy.
    Disk,
    /// A value of unknown meaning.
    Unknown,
}

/// What a gateway is told at start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Gateways in all.
    pub coordinators: u32,
    /// This gateway's own number among them, from 0.
    pub number: u32,
    /// This gateway's zone.
    pub zone: u16,
    /// The query classes.
    pub classes: Vec<QueryClass>,
    /// The machine kinds.
    pub kinds: Vec<MachineKind>,
    /// The tenants; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Worth of a query beyond its tenant's quota, as a share.
    pub over_quota_weight: f64,
    /// Worth is counted by work instead of by query.
    pub weight_by_work: bool,
    /// The list of engines must be asked for.
    pub poll_discovery: bool,
    /// An unanswered wish to be told counts as told after this long.
    pub poll_timeout: Option<Micros>,
    /// Memory grants are heeded.
    pub grants: bool,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Largest share of an engine's memory that one query gets.
    pub max_grant_share: Option<f64>,
    /// What happens when memory runs out.
    pub out_of_memory: OutOfMemory,
    /// Time between progress notes, where they come.
    pub progress_interval: Option<Micros>,
    /// Meaning of the values of a load report.
    pub report_fields: Vec<ReportField>,
    /// Load reports come with probes only.
    pub report_on_probe: bool,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Probes are allowed.
    pub may_probe: bool,
    /// Messages to peers are allowed.
    pub may_gossip: bool,
    /// Two attempts of one query may be out at once.
    pub may_hedge: bool,
    /// Most attempts for one query.
    pub max_attempts: Option<u32>,
    /// Clients are given retry advice, and heed at most this.
    pub retry_after: Option<Micros>,
    /// Crossing zones has a price.
    pub cross_zone_costs: bool,
    /// Share of the result that one probe a query costs.
    pub probe_cost: f64,
    /// How often events come at most.
    pub tick: Micros,
    /// The ration of further attempts, if any.
    pub retry_budget: Option<RetryBudget>,
    /// The cold-start rule, if any.
    pub slow_start: Option<SlowStart>,
    /// How long a key rests after an attempt of unknown fate.
    pub settle_time: Micros,
}

/// An engine's place in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Finishes its work; nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// A line of the engine list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEngine {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: u16,
    /// Its machine kind.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Its phase.
    pub phase: Phase,
    /// When it last started, if lately.
    pub started_at: Option<Micros>,
}

/// Where a query has to go, or should: the engine that holds what it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StickySession {
    /// The engine.
    pub engine: EngineId,
    /// No other can serve it; else any may, once this one takes nothing.
    pub only: bool,
}

/// A query as it arrives. Estimates are `None` where absent.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// Its id.
    pub id: QueryId,
    /// Its class, by place in the settings.
    pub class: u16,
    /// Its tenant, by place in the settings.
    pub tenant: u32,
    /// Estimated work of all its threads.
    pub work: Option<f64>,
    /// Estimated memory, MB.
    pub memory_mb: Option<f64>,
    /// Table group that it reads or writes.
    pub tables: u32,
    /// Key of its order, if its class keeps one.
    pub key: Option<u64>,
    /// Engines know its repeats by a word of the client's. Without one a keyed class's must not run twice.
    pub token: bool,
    /// An earlier query under that word may have run: engines know its repeats until then.
    pub idempotent_until: Option<Micros>,
    /// Its engine, if it has one already.
    pub pin: Option<StickySession>,
    /// Time until the client gives up.
    pub budget: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The engine answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; may still run.
    TimedOut,
    /// No connection; never ran.
    Unreachable,
    /// Connection lost; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    Superseded,
}

impl Outcome {
    /// The outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::Unreachable | Outcome::Superseded
        )
    }
}

/// Word on an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressReport {
    /// Share done, rough.
    Progress(f64),
    /// Spills to disk: MB missing.
    Spills(f64),
    /// Waits for memory.
    WaitsForMemory,
    /// Waits for a load to end.
    WaitsForLoad,
}

/// How a list of engines relates to the one held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changes only.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as last held, maybe old.
    Cached,
}

/// How an attempt ended, and what came with that.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded<'a> {
    /// The query.
    pub query: QueryId,
    /// Number of the attempt.
    pub attempt: u8,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the query is concluded by this or before.
    pub last: bool,
    /// Time since it was sent.
    pub spent: Micros,
    /// Work told, µs over all threads.
    pub work: Option<f64>,
    /// Memory need told, MB.
    pub memory_mb: Option<f64>,
    /// The engine's load report, if one came.
    pub report: &'a [f64],
}

/// What the gateway sees.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A list of engines, or changes to it.
    EnginesListed(ListKind, &'a [ListedEngine]),
    /// Asking discovery failed.
    DiscoveryFailed,
    /// A query was taken.
    QueryArrived(Query),
    /// A stream began: its attempt is the client's now.
    StreamStarted(QueryId, u8),
    /// Word on an attempt.
    ProgressReported(QueryId, u8, ProgressReport),
    /// An attempt ended.
    AttemptEnded(AttemptEnded<'a>),
    /// The client has left.
    ClientLeft(QueryId),
    /// A wake-up asked for.
    TimerFired(u64),
    /// A probe's result.
    ProbeEnded(EngineId, Outcome, &'a [f64]),
    /// A message of a peer.
    GossipReceived(u32, &'a [u8]),
}

/// What the controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets grant (MB; 0 leaves it to the engine) and priority for a query.
    SetResources(QueryId, f64, u8),
    /// Starts an attempt with a time-out.
    StartAttempt(QueryId, EngineId, Micros),
    /// Calls off an attempt.
    CancelAttempt(QueryId, u8),
    /// Final: refused; harmless to retry after this time.
    Reject(QueryId, Micros),
    /// Final: failed.
    Fail(QueryId),
    /// Asks to be woken after this time, with this token.
    SetTimer(Micros, u64),
    /// Probes an engine.
    Probe(EngineId),
    /// Tells one peer, by its number.
    SendGossip(u32, Vec<u8>),
    /// Asks discovery for changes from now on.
    WatchEngines,
    /// A line for the operators.
    Log(String),
}

/// Where a controller puts what is to be done, in order.
pub type Actions = Vec<Action>;
