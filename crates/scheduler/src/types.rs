//! Identifiers, time and the query type, shared by all modules.

/// Time or duration in microseconds.
pub type Micros = u64;

/// Interval of the controller's periodic work. Each tick asks the host for the next timer.
pub(crate) const TICK_INTERVAL: Micros = 50_000;

/// Identifies an engine. The host assigns the number; the scheduler only compares it and uses it to
/// seed draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u64);

/// Identifies a query. The host assigns the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// Binds a query to the engine that holds its session state, such as temporary tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StickySession {
    /// The engine that holds the session.
    pub engine: EngineId,
    /// No other engine can serve the query. Otherwise any engine may, once this one accepts no
    /// work.
    pub is_exclusive: bool,
}

/// A query as it arrives. Estimates are `None` where its client gave none.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// Identifier of the query.
    pub id: QueryId,
    /// Class, as an index into [`Settings::classes`](crate::Settings::classes).
    pub class: u16,
    /// Tenant, as an index into [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: u32,
    /// Estimated CPU work in µs, summed over all threads.
    pub work: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Table group that the query reads or writes.
    pub table_group: u32,
    /// Ordering key. Queries with the same key run one at a time if their class is `in_order`.
    pub ordering_key: Option<u64>,
    /// The query carries an idempotency key, by which engines recognize repeats. Without one, a
    /// query of a class with [`Idempotency::WithKey`](crate::Idempotency::WithKey) must not run
    /// twice.
    pub has_idempotency_key: bool,
    /// An earlier query with the same idempotency key may have run; engines recognize repeats until
    /// this time.
    pub idempotent_until: Option<Micros>,
    /// The query must not run twice although its class is
    /// [`Idempotency::Idempotent`](crate::Idempotency::Idempotent).
    pub runs_once: bool,
    /// Engine that the query is bound to, if any.
    pub sticky_session: Option<StickySession>,
    /// Time from arrival until the client gives up.
    pub client_timeout: Micros,
}
