//! Chooses a connection for an attempt or a probe, and limits the number of connections.

use super::connection::EngineConnection;
use super::state::Engines;
use crate::node::ConnectionId;
use driftfront_core::{EngineId, Micros};

/// Number of attempts in flight that the connections to one engine should have capacity for.
const ATTEMPTS_PER_ENGINE: usize = 512;
/// Lower bound of the connection limit per engine, which depends on the number of attempts that one connection can carry.
const MIN_CONNECTION_LIMIT: usize = 16;
/// Upper bound of the connection limit per engine; see [`MIN_CONNECTION_LIMIT`].
const MAX_CONNECTION_LIMIT: usize = 64;
/// Maximum number of attempts that share a connection while others may be opened: a malformed response ends all attempts on it.
const MAX_SHARED_ATTEMPTS: usize = 4;
/// Engine connections may use at most this fraction (1/n) of the descriptors.
const DESCRIPTORS_PER_ENGINE_CONNECTION: usize = 3;

/// The work that needs a connection.
#[derive(Clone, Copy)]
pub(super) struct ConnectionRequest<'a> {
    pub(super) engine: EngineId,
    /// The id of the attempt's request; `None` for a probe.
    pub(super) request_id: Option<&'a str>,
    /// Whether the attempt is non-idempotent and needs a connection of its own, so that a malformed response to another attempt
    /// cannot end it.
    pub(super) is_exclusive: bool,
}

impl ConnectionRequest<'_> {
    /// A request for a connection to send a probe on.
    pub(super) fn for_probe(engine: EngineId) -> ConnectionRequest<'static> {
        ConnectionRequest {
            engine,
            request_id: None,
            is_exclusive: false,
        }
    }
}

/// A connection with capacity. The smallest one is the best.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    /// Whether a new connection is better, if one may be opened, as a failure here would also end other attempts.
    pub(super) prefers_new: bool,
    is_connecting: bool,
    load: usize,
    pub(super) id: ConnectionId,
}

impl Candidate {
    fn new(id: ConnectionId, conn: &EngineConnection, is_exclusive: bool) -> Candidate {
        let load = conn.load();
        let may_share = !conn.is_exclusive() && !is_exclusive && load < MAX_SHARED_ATTEMPTS;
        Candidate {
            prefers_new: load > 0 && !may_share,
            is_connecting: !conn.is_connected(),
            load,
            id,
        }
    }
}

impl Engines {
    /// The best connection with capacity.
    pub(super) fn best_connection(
        &self,
        now: Micros,
        request: ConnectionRequest<'_>,
        idle_timeout: Micros,
        progress_interval: Option<Micros>,
    ) -> Option<Candidate> {
        let report_interval = self.report_interval(now, request.engine, progress_interval);
        let engine_received_at = self.last_received(request.engine);
        let is_usable = |c: &EngineConnection| {
            !c.is_retired()
                && !c.session().must_close()
                && !c.is_silent(now, report_interval, engine_received_at)
                && !c.is_stale(now, idle_timeout)
                && c.load() < c.session().max_attempts()
                && request
                    .request_id
                    .is_none_or(|id| c.session().can_start(id))
        };
        self.connections_to(request.engine)
            .filter(|(_, c)| is_usable(c))
            .map(|(id, c)| Candidate::new(id, c, request.is_exclusive))
            .min()
    }

    /// Whether another connection to an engine may be opened, if each carries at most `max_attempts` and this process may use
    /// `max_descriptors`.
    pub(super) fn may_connect(
        &self,
        engine: EngineId,
        max_attempts: usize,
        max_descriptors: usize,
    ) -> bool {
        let limit =
            (ATTEMPTS_PER_ENGINE / max_attempts).clamp(MIN_CONNECTION_LIMIT, MAX_CONNECTION_LIMIT);
        let usable = self.connections_to(engine).filter(|(_, c)| !c.is_retired());
        usable.count() < limit
            && self.connection_count() < max_descriptors / DESCRIPTORS_PER_ENGINE_CONNECTION
    }
}
