//! Settings of a coordinator's scheduler, fixed when it is created.
//!
//! They come from the platform's configuration or an operator's file; the crate
//! `driftfront-settings` parses them from JSON.

use crate::types::Micros;

/// Whether a query may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Engines drop repeats that carry the same idempotency key, within a scope and for a limited
    /// time.
    WithKey,
    /// It must not run twice.
    NotIdempotent,
}

/// Set of engines that recognize each other's queries by their idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// Engines in the same zone.
    Zone,
    /// Engines in the same cell.
    Cell,
}

/// Properties that the queries of a class have in common.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// An answer within this time earns the full weight.
    pub latency_objective: Micros,
    /// Extends the objective by this multiple of the query's run time (work divided by threads).
    pub latency_objective_stretch: f64,
    /// Weight of an answer within the objective.
    pub priority_weight: f64,
    /// Fraction of that weight that a late answer earns, 0 to 1.
    pub late_weight: f64,
    /// Whether its queries may run more than once.
    pub idempotency: Idempotency,
    /// Engines that drop repeats of a query with an idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// How long after the first run those engines drop repeats.
    pub deduplication_window: Micros,
    /// Queries with the same ordering key run one at a time, in arrival order.
    pub in_order: bool,
    /// Zones in which the queries may run; `None` for all.
    pub zones: Option<Vec<u16>>,
    /// Machine kinds on which the queries may run, by index; `None` for all.
    pub kinds: Option<Vec<u16>>,
    /// Threads that each query uses, at least 1.
    pub threads: f64,
    /// Queries load data, and lock their table group on the engine while they run.
    pub is_load: bool,
    /// Queries wait while a load has locked their table group.
    pub waits_for_loads: bool,
}

/// Hardware of one kind of machine that engines run on.
#[derive(Clone, Copy, Debug)]
pub struct MachineKind {
    /// Number of cores, if known.
    pub cores: Option<f64>,
    /// Memory in MB, if known.
    pub memory_mb: Option<f64>,
}

/// What an engine does with another query once all its memory is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutOfMemory {
    /// The query waits in the engine's own queue.
    Wait,
    /// The query gets the memory that is left and spills to disk.
    Shrink,
    /// The query is admitted, and paging slows all queries down.
    Page,
}

/// Limit on retries, that is, on attempts beyond the first of each query.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed in each window regardless of traffic.
    pub min_retries: f64,
    /// Further retries allowed per query accepted in the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Micros,
}

/// Slow-start rule: limits what a recently started engine may be sent.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its capacity that an engine starts with, 0 to 1.
    pub initial_share: f64,
    /// Time after its start at which the engine has its full capacity.
    pub warm_up_time: Micros,
    /// The engine fails if it is sent more than this multiple of its current capacity within one
    /// [`window`](SlowStart::window).
    pub overload_multiple: f64,
    /// Length of the sliding window in which `overload_multiple` is measured.
    pub window: Micros,
}

/// A tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Queries per second that the tenant may send through all coordinators together.
    pub quota_per_s: f64,
}

/// Meaning of one value of a load report; values are identified by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Queries running.
    Active,
    /// Queries waiting for memory.
    Waiting,
    /// Fraction of cores that are busy, 0 to 1.
    Busy,
    /// Recent service time in ms.
    ServiceMs,
    /// Queries served per second.
    Rate,
    /// Errors per second.
    Errors,
    /// Fraction of memory that is granted, 0 to 1.
    Memory,
    /// Fraction of disks that are busy, 0 to 1.
    Disk,
    /// A value that the scheduler ignores.
    Unknown,
}

/// Settings of a coordinator's scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Total number of coordinators.
    pub coordinators: u32,
    /// Index of this coordinator, from 0.
    pub number: u32,
    /// Zone of this coordinator.
    pub zone: u16,
    /// Query classes, which queries refer to by index.
    pub classes: Vec<QueryClass>,
    /// Machine kinds, which engines refer to by index.
    pub kinds: Vec<MachineKind>,
    /// Tenants, which queries refer to by index; empty if tenants are not configured.
    pub tenants: Vec<Tenant>,
    /// Fraction of its weight that a query beyond its tenant's quota keeps, 0 to 1.
    pub over_quota_weight: f64,
    /// Weights apply per second of work instead of per query.
    pub weight_by_work: bool,
    /// The engine list must be polled; otherwise it is pushed.
    pub poll_discovery: bool,
    /// Time after which an unanswered poll is considered answered.
    pub poll_timeout: Option<Micros>,
    /// Engines honour memory grants.
    pub grants: bool,
    /// Engines honour priorities.
    pub priorities: bool,
    /// Largest fraction of an engine's memory that one query is granted, 0 to 1.
    pub max_grant_share: Option<f64>,
    /// What an engine does with another query once all its memory is granted.
    pub out_of_memory: OutOfMemory,
    /// Interval of an attempt's progress reports; `None` if engines send none.
    pub progress_interval: Option<Micros>,
    /// Fields of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// Load reports are sent only in answers to probes.
    pub report_on_probe: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Engines may be probed.
    pub may_probe: bool,
    /// Coordinators may exchange messages.
    pub may_gossip: bool,
    /// Two attempts of one query may be in flight at once.
    pub may_hedge: bool,
    /// Maximum number of attempts per query, including the first; `None` for no limit.
    pub max_attempts: Option<u32>,
    /// Longest Retry-After that clients honour; `None` if they honour none.
    pub max_retry_after: Option<Micros>,
    /// Attempts outside the coordinator's zone incur a cost.
    pub cross_zone_costs: bool,
    /// Cost of one probe per query, as a fraction of the overall result.
    pub probe_cost: f64,
    /// Resolution of the host's clock and timers.
    pub clock_resolution: Micros,
    /// Limit on retries, if any.
    pub retry_budget: Option<RetryBudget>,
    /// Slow-start rule, if any.
    pub slow_start: Option<SlowStart>,
    /// How long an ordering key is held after an attempt that may still be running.
    pub settle_time: Micros,
}
