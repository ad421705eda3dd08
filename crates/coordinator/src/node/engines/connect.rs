//! Finds or opens a connection for an attempt or a probe.

use super::connection::EngineConnection;
use super::pool::ConnectionRequest;
use crate::backends::clickhouse::HttpSession;
use crate::backends::engine_protocol::LineSession;
use crate::backends::EngineSession;
use crate::config::{Config, Protocol};
use crate::net::{connect, is_out_of_descriptors, BufferedStream};
use crate::node::{ConnectionId, EventSource, Node};
use driftfront_core::{Cause, EngineId, Micros};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

impl Node {
    /// Returns the best connection with capacity, or opens a new one.
    pub(super) fn engine_connection(
        &mut self,
        now: Micros,
        request: ConnectionRequest<'_>,
    ) -> Result<ConnectionId, Cause> {
        let engine = request.engine;
        let idle_timeout = self.config.engine_idle_timeout;
        let progress_interval = self.config.settings.progress_interval;
        let best = self
            .engines
            .best_connection(now, request, idle_timeout, progress_interval);
        if let Some(best) = best.as_ref().filter(|best| !best.prefers_new) {
            return Ok(best.id);
        }
        let address = self
            .registry
            .addr(engine)
            .ok_or(Cause::Connection("no address known".into()))?;
        let session = new_session(&self.config, address);
        if !self
            .engines
            .may_connect(engine, session.max_attempts(), self.descriptor_limit())
        {
            // The engine is healthy, but the wait for capacity would be unbounded: the attempt goes to another engine.
            return best.map(|best| best.id).ok_or(Cause::Rejected);
        }
        let stream = self.connect_to_engine(now, address)?;
        self.add_engine_connection(now, engine, stream, session)
    }

    /// Starts a connect. If descriptors have run out, an idle client connection is closed for it; a shortage of descriptors here
    /// does not count as a failure of the engine.
    fn connect_to_engine(
        &mut self,
        now: Micros,
        address: SocketAddr,
    ) -> Result<Rc<TcpStream>, Cause> {
        let stream = match connect(address) {
            Err(e) if is_out_of_descriptors(&e) && self.evict_client(now) => connect(address),
            other => other,
        };
        stream.map_err(|e| {
            if is_out_of_descriptors(&e) {
                Cause::Rejected
            } else {
                Cause::Connection(e.to_string())
            }
        })
    }

    fn add_engine_connection(
        &mut self,
        now: Micros,
        engine: EngineId,
        stream: Rc<TcpStream>,
        session: Box<dyn EngineSession>,
    ) -> Result<ConnectionId, Cause> {
        let id = self.next_connection_id();
        let registration = self
            .register_source(stream.clone(), EventSource::Engine(id))
            .map_err(|_| Cause::Rejected)?;
        let conn = EngineConnection::connecting(
            now,
            engine,
            self.registry.zone(engine),
            BufferedStream::new(stream),
            registration,
            session,
            now + self.config.connect_timeout,
        );
        self.engines.insert(id, conn);
        Ok(id)
    }
}

/// The protocol session of a new connection.
fn new_session(config: &Config, address: SocketAddr) -> Box<dyn EngineSession> {
    match config.protocol {
        Protocol::Platform => Box::new(LineSession::new(
            config.max_streams_per_connection,
            config.load_report_fields.clone(),
        )),
        Protocol::ClickHouse => Box::new(HttpSession::new(address.to_string())),
    }
}
