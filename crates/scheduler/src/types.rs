//! Ids, times and the query: what all modules have in common.

/// Time or duration in microseconds.
pub type Micros = u64;

/// The module does its periodic work this often; it asks the host for a timer each time.
pub(crate) const TICK_INTERVAL: Micros = 50_000;

/// An engine. The number is the host's own; here it is compared, and seeds draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u64);

/// A query accepted by this coordinator. No number is used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// A query's tie to the engine that holds what it needs, such as a session's temporary tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StickySession {
    /// The engine.
    pub engine: EngineId,
    /// No other engine can serve it. Otherwise any may, once this one takes nothing.
    pub is_exclusive: bool,
}

/// A query as it arrives. Estimates are `None` where its client gave none.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// Its id.
    pub id: QueryId,
    /// Its class, by index in the settings.
    pub class: u16,
    /// Its tenant, by index in the settings.
    pub tenant: u32,
    /// Estimated work in µs, over all its threads.
    pub work: Option<f64>,
    /// Estimated memory, MB.
    pub memory_mb: Option<f64>,
    /// Table group that it reads or writes.
    pub table_group: u32,
    /// Ordering key: queries of one key run one at a time, if the class says so.
    pub ordering_key: Option<u64>,
    /// It has an idempotency key, by which engines know its repeats. Without one a query of a class that needs keys must not run
    /// twice.
    pub has_idempotency_key: bool,
    /// An earlier query under the same idempotency key may have run: engines know its repeats until then.
    pub idempotent_until: Option<Micros>,
    /// The engine that it is tied to, if any.
    pub sticky_session: Option<StickySession>,
    /// Time until the client gives up.
    pub client_timeout: Micros,
}
