//! Settings: what a coordinator's scheduler is told at its start.
//!
//! They come from the platform's configuration or an operator's file; the crate `driftfront-settings` reads them from JSON.

use crate::types::Micros;

/// Whether a query may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Engines drop repeats that carry the same idempotency key: within a scope, for a while.
    WithKey,
    /// It must not run twice.
    NotIdempotent,
}

/// The engines that recognize each other's queries by their idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// Engines of one zone.
    Zone,
    /// Engines of one cell.
    Cell,
}

/// A query class.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// An answer within this time earns the full weight.
    pub latency_objective: Micros,
    /// The objective grows by this times the query's work over its threads.
    pub latency_objective_stretch: f64,
    /// What an answer in time is worth.
    pub priority_weight: f64,
    /// Share of that which a late answer still earns, 0 to 1.
    pub late_weight: f64,
    /// Whether its queries may run more than once.
    pub idempotency: Idempotency,
    /// Which engines drop repeats, where they do by key.
    pub deduplication_scope: DeduplicationScope,
    /// For how long after the first run they do.
    pub deduplication_window: Micros,
    /// Queries with the same ordering key run one at a time, in the order of their arrival.
    pub in_order: bool,
    /// The only zones where its queries may run; `None` for all.
    pub zones: Option<Vec<u16>>,
    /// The only machine kinds where they may run, by index; `None` for all.
    pub kinds: Option<Vec<u16>>,
    /// Threads that a query runs on, 1 or more.
    pub threads: f64,
    /// A query loads data, and holds its table group on its engine while it runs.
    pub is_load: bool,
    /// A query waits while a load holds its table group.
    pub waits_for_loads: bool,
}

/// A kind of machine that engines run on.
#[derive(Clone, Copy, Debug)]
pub struct MachineKind {
    /// Cores, if known.
    pub cores: Option<f64>,
    /// Memory in MB, if known.
    pub memory_mb: Option<f64>,
}

/// What an engine does once its memory is granted away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutOfMemory {
    /// A further query waits in the engine's own queue.
    Wait,
    /// It gets what is left, and spills to disk.
    Shrink,
    /// It is admitted, and all of them slow down.
    Page,
}

/// A limit on retries: attempts beyond each query's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed within a window whatever the traffic.
    pub min_retries: f64,
    /// Retries allowed for each query accepted within it.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Micros,
}

/// The slow-start rule: what an engine that has just started may be sent.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Share of its capacity that an engine starts with, 0 to 1.
    pub initial_share: f64,
    /// It has all of it after this long.
    pub warm_up_time: Micros,
    /// It fails when it is sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over a window of this length.
    pub window: Micros,
}

/// A tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Queries a second that it may send over all coordinators.
    pub quota_per_s: f64,
}

/// One value of a load report, by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Queries running.
    Active,
    /// Queries waiting for memory.
    Waiting,
    /// Share of cores busy, 0 to 1.
    Busy,
    /// Recent service time, ms.
    ServiceMs,
    /// Queries served a second.
    Rate,
    /// Errors a second.
    Errors,
    /// Share of memory granted, 0 to 1.
    Memory,
    /// Share of disks busy, 0 to 1.
    Disk,
    /// A value that nothing is made of.
    Unknown,
}

/// What a coordinator's scheduler is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Coordinators in all.
    pub coordinators: u32,
    /// This coordinator's number among them, from 0.
    pub number: u32,
    /// This coordinator's zone.
    pub zone: u16,
    /// The query classes; queries name them by index.
    pub classes: Vec<QueryClass>,
    /// The machine kinds; engines name them by index.
    pub kinds: Vec<MachineKind>,
    /// The tenants, which queries name by index; empty where there are none.
    pub tenants: Vec<Tenant>,
    /// Share of its weight that a query beyond its tenant's quota keeps, 0 to 1.
    pub over_quota_weight: f64,
    /// Weights are by second of work instead of by query.
    pub weight_by_work: bool,
    /// The list of engines has to be polled; otherwise it is pushed.
    pub poll_discovery: bool,
    /// An unanswered poll counts as answered after this long.
    pub poll_timeout: Option<Micros>,
    /// Engines heed memory grants.
    pub grants: bool,
    /// Engines heed priorities.
    pub priorities: bool,
    /// Largest share of an engine's memory that one query gets, 0 to 1.
    pub max_grant_share: Option<f64>,
    /// What an engine does once its memory is granted away.
    pub out_of_memory: OutOfMemory,
    /// Time between an attempt's progress reports, where engines send any.
    pub progress_interval: Option<Micros>,
    /// Meaning of the values of a load report.
    pub report_fields: Vec<ReportField>,
    /// Load reports come with probes only.
    pub report_on_probe: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Engines may be probed.
    pub may_probe: bool,
    /// Coordinators may send each other messages.
    pub may_gossip: bool,
    /// Two attempts of one query may be in flight at once.
    pub may_hedge: bool,
    /// Most attempts of one query, the first included; `None` for no limit.
    pub max_attempts: Option<u32>,
    /// Longest Retry-After that clients heed; `None` where they heed none.
    pub max_retry_after: Option<Micros>,
    /// Attempts in another zone than the coordinator's cost something.
    pub cross_zone_costs: bool,
    /// Share of the result that a probe for each query would cost.
    pub probe_cost: f64,
    /// Resolution of the host's clock and timers.
    pub clock_resolution: Micros,
    /// The limit on retries, if any.
    pub retry_budget: Option<RetryBudget>,
    /// The slow-start rule, if any.
    pub slow_start: Option<SlowStart>,
    /// How long an ordering key rests after an attempt that may still run.
    pub settle_time: Micros,
}
