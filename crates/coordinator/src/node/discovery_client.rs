//! Where the list of engines comes from: one watched connection, kept up, or a file.

use super::{ConnectionId, EventSource, Node};
use crate::config::{Config, DiscoverySource};
use crate::discovery::backoff::{Backoff, Disconnect};
use crate::discovery::{
    etcd::Etcd, file::File, read, stream::Stream, DiscoveryError, EngineListWatch,
};
use crate::net::{connect, BufferedStream, ReadOutcome};
use calloop::RegistrationToken;
use driftfront_core::Micros;
use driftfront_settings::json::Json;
use std::io;
use std::net::SocketAddr;
use tinyjson::JsonValue;

/// A connect that takes longer is begun anew.
const CONNECT_TIMEOUT: Micros = 500_000;
/// Bytes of one read.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Follows the source of the engine list.
pub(super) struct DiscoveryClient {
    source: Source,
    connection: Option<DiscoveryConnection>,
    next_attempt_at: Micros,
    backoff: Backoff,
    /// When the source was first heard.
    first_heard: Option<Micros>,
    /// When the source last said something of engines; 0 if never.
    last_update: Micros,
    /// What the source is, for operators.
    description: String,
}

/// What is followed.
enum Source {
    /// A list over a connection to this address.
    Watch(SocketAddr, Box<dyn EngineListWatch>),
    File(File),
    /// The list is the operator's file alone.
    Fixed,
}

struct DiscoveryConnection {
    id: ConnectionId,
    stream: BufferedStream,
    registration: Option<RegistrationToken>,
    is_up: bool,
    last_heard: Micros,
}

/// Why a connection to the source ends.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] DiscoveryError),
    #[error("closed by the other side")]
    Closed,
}

impl DiscoveryClient {
    /// Follows a source; an event stream from behind the event of this number.
    pub(super) fn new(
        source: &DiscoverySource,
        last_event: u64,
        backoff: Backoff,
    ) -> DiscoveryClient {
        let (followed, description) = match source {
            DiscoverySource::Stream(addr) => (
                Source::Watch(*addr, Box::new(Stream::new(addr.to_string(), last_event))),
                format!("the platform's stream at {addr}"),
            ),
            DiscoverySource::Etcd(addr, prefix) => (
                Source::Watch(*addr, Box::new(Etcd::new(addr.to_string(), prefix.clone()))),
                format!("etcd at {addr}"),
            ),
            DiscoverySource::File(path) => (
                Source::File(File::new(path.clone())),
                format!("the file {}", path.display()),
            ),
            DiscoverySource::Fixed => (Source::Fixed, "the operator's file".into()),
        };
        DiscoveryClient {
            source: followed,
            connection: None,
            next_attempt_at: 0,
            backoff,
            first_heard: None,
            last_update: 0,
            description,
        }
    }

    /// Whether all that the source says at once has come: so long after its first byte. One that can't be heard has.
    pub(super) fn has_received_first_list(&self, now: Micros, after: Micros) -> bool {
        !matches!(self.source, Source::Watch(..))
            || self.first_heard.is_some_and(|at| now >= at + after)
    }

    /// What the source is, and how long it has said nothing where it should be heard all the time.
    pub(super) fn about(&self, now: Micros) -> (String, Option<Micros>) {
        let connection = self.connection.as_ref().filter(|c| c.is_up);
        let heard_at = connection.map_or(self.last_update, |c| c.last_heard);
        let is_watched = matches!(self.source, Source::Watch(..)) && heard_at > 0;
        let age = is_watched.then(|| now.saturating_sub(heard_at));
        (self.description.clone(), age)
    }

    /// Follows another source; at a new address of the same kind the list goes on behind its last event.
    fn follow(&mut self, from: &DiscoverySource, to: &DiscoverySource) {
        let same_list_at = match (from, to) {
            (DiscoverySource::Stream(_), DiscoverySource::Stream(addr)) => Some(*addr),
            (DiscoverySource::Etcd(_, old), DiscoverySource::Etcd(addr, new)) if old == new => {
                Some(*addr)
            }
            _ => None,
        };
        match (same_list_at, &mut self.source) {
            (Some(addr), Source::Watch(address, watch)) => {
                *address = addr;
                watch.set_host(addr.to_string());
            }
            // Another kind of source numbers its events by itself: the whole list is read.
            _ => *self = DiscoveryClient::new(to, 0, self.backoff.for_new_source()),
        }
        (self.next_attempt_at, self.backoff) = (0, self.backoff.for_new_source());
    }

    /// Why the connection should end now, if it should.
    fn reason_to_disconnect(&self, now: Micros, silence_timeout: Micros) -> Option<&'static str> {
        let connection = self.connection.as_ref()?;
        let (timeout, reason) = if connection.is_up {
            (silence_timeout, "nothing heard, taken anew")
        } else {
            (CONNECT_TIMEOUT, "connect timed out")
        };
        (now > connection.last_heard + timeout).then_some(reason)
    }
}

impl Node {
    /// SIGHUP: the configuration's file has been replaced. The list of engines moves to where it says; what else it says holds from
    /// the next start on, and all connections stay as they are.
    pub(super) fn reload(&mut self) {
        let now = self.clock();
        let Some(path) = self.config.file.clone() else {
            return tracing::warn!("no file to read again");
        };
        let new = match Config::load(&path) {
            Ok(new) => new,
            // A half-written or mistaken file must not end a coordinator that serves well.
            Err(e) => return tracing::error!("the old configuration stays: {e}"),
        };
        self.reload_cluster(new.cluster.as_ref());
        if new.discovery == self.config.discovery {
            return tracing::info!(
                "configuration read again; the list of engines stays where it is"
            );
        }
        tracing::info!(from = ?self.config.discovery, to = ?new.discovery, "the list of engines moves");
        if let Some(mut connection) = self.discovery.connection.take() {
            // The old address says nothing more: waiting for its close would cost what is said meanwhile.
            self.unregister(connection.registration.take());
        }
        self.discovery
            .follow(&self.config.discovery, &new.discovery);
        self.config.discovery = new.discovery;
        self.check_discovery(now);
        self.execute_commands();
    }

    /// Reads a file that has changed; ends a connection that is silent, and opens one where its time has come.
    pub(super) fn check_discovery(&mut self, now: Micros) {
        let (address, silence_timeout) = match &mut self.discovery.source {
            Source::Watch(address, watch) => (*address, watch.silence_timeout()),
            Source::File(file) => {
                if let Some(update) = file.poll(now) {
                    self.apply_list_update(now, &update);
                }
                return;
            }
            Source::Fixed => return,
        };
        if let Some(reason) = self.discovery.reason_to_disconnect(now, silence_timeout) {
            self.drop_discovery_connection(now, reason, Disconnect::Silent);
        }
        if self.discovery.connection.is_none() && now >= self.discovery.next_attempt_at {
            self.connect_to_discovery(now, address);
        }
    }

    fn connect_to_discovery(&mut self, now: Micros, address: SocketAddr) {
        let id = self.next_connection_id();
        let opened = connect(address).map_err(|e| e.to_string());
        let registered = opened.and_then(|stream| {
            let registration = self
                .register_source(stream.clone(), EventSource::DiscoveryClient(id))
                .map_err(|e| e.to_string())?;
            Ok((stream, registration))
        });
        match registered {
            Ok((stream, registration)) => {
                self.discovery.connection = Some(DiscoveryConnection {
                    id,
                    stream: BufferedStream::new(stream),
                    registration: Some(registration),
                    is_up: false,
                    last_heard: now,
                });
            }
            Err(e) => self.drop_discovery_connection(now, &e, Disconnect::Closed),
        }
    }

    /// Ends the connection, and sets when the next is opened.
    pub(super) fn drop_discovery_connection(
        &mut self,
        now: Micros,
        reason: &str,
        disconnect: Disconnect,
    ) {
        tracing::info!("engine list: {reason}");
        if let Some(mut connection) = self.discovery.connection.take() {
            self.unregister(connection.registration.take());
        }
        self.discovery.next_attempt_at = self.discovery.backoff.next_attempt_at(now, disconnect);
    }

    /// Handles a readiness event of the connection.
    pub(super) fn on_discovery_ready(&mut self, now: Micros, id: ConnectionId) {
        loop {
            match self.read_discovery(now, id) {
                Ok(true) => {}
                Ok(false) => return,
                Err(e) => {
                    return self.drop_discovery_connection(now, &e.to_string(), Disconnect::Closed)
                }
            }
        }
    }

    /// Writes and reads once; true if there may be more to read.
    fn read_discovery(&mut self, now: Micros, id: ConnectionId) -> Result<bool, ConnectionError> {
        let client = &mut self.discovery;
        let Some(connection) = client.connection.as_mut().filter(|c| c.id == id) else {
            return Ok(false);
        };
        let Source::Watch(_, watch) = &mut client.source else {
            return Ok(false);
        };
        if !connection.is_up {
            if !connection.stream.poll_connected()? {
                return Ok(false);
            }
            (connection.is_up, connection.last_heard) = (true, now);
            connection.stream.push(&watch.open_request());
        }
        connection.stream.flush()?;
        let (mut bytes, mut out, mut updates) = (Vec::new(), Vec::new(), Vec::new());
        let outcome = connection.stream.read(&mut bytes, MAX_READ_BYTES)?;
        let mut decoded = Ok(());
        if !bytes.is_empty() {
            connection.last_heard = now;
            client.first_heard.get_or_insert(now);
            client.backoff.record_heard(now);
            decoded = watch.decode(&bytes, &mut out, &mut updates);
            connection.stream.push(&out);
            connection.stream.flush()?;
        }
        for update in updates {
            self.apply_list_update(now, &update);
        }
        decoded?;
        match outcome {
            ReadOutcome::WouldBlock => Ok(false),
            ReadOutcome::Closed => Err(ConnectionError::Closed),
            ReadOutcome::LimitReached => Ok(true),
        }
    }

    fn apply_list_update(&mut self, now: Micros, update: &JsonValue) {
        match read(&self.config.zones, &self.config.kinds, Json(Some(update))) {
            Ok(read) => {
                for error in &read.rejected_entries {
                    tracing::warn!("engine list: {error}");
                }
                self.discovery.last_update = now;
                self.update_discovered_seeds(&read);
                let change = self.registry.apply_listing(read.kind, read.descriptions);
                self.apply_registry_change(now, &change);
            }
            Err(e) => tracing::warn!("engine list: {e}"),
        }
    }
}
