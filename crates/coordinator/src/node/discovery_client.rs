//! Receives the engine list from a discovery source: over a connection that is reopened when it ends, or from a file.
//!
//! [`DiscoveryClient`] owns the connection, its backoff and the protocol state. It returns updates, which `engine_list` applies.

use super::ConnectionId;
use crate::config::DiscoverySource;
use crate::discovery::backoff::{Backoff, Disconnect};
use crate::discovery::{etcd::Etcd, file::File, stream::Stream, DiscoveryError, EngineListWatch};
use crate::net::{BufferedStream, ReadOutcome};
use calloop::RegistrationToken;
use driftfront_core::Micros;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tinyjson::JsonValue;

/// Connect timeout.
const CONNECT_TIMEOUT: Micros = 500_000;
/// Maximum bytes per read.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Follows the source of the engine list.
pub(super) struct DiscoveryClient {
    source: Source,
    connection: Option<DiscoveryConnection>,
    next_attempt_at: Micros,
    backoff: Backoff,
    /// When bytes were first received from the source.
    first_received: Option<Micros>,
    /// When the list was last updated; 0 if never.
    last_update: Micros,
    /// Description of the source, for operators.
    description: String,
}

/// A discovery source.
enum Source {
    /// A watch over a connection to this address.
    Watch(SocketAddr, Box<dyn EngineListWatch>),
    File(File),
    /// No source: the operator's file alone defines the engines.
    Fixed,
}

struct DiscoveryConnection {
    id: ConnectionId,
    stream: BufferedStream,
    registration: Option<RegistrationToken>,
    is_connected: bool,
    /// When bytes were last received, or the connect started or completed.
    last_received: Micros,
}

impl DiscoveryConnection {
    /// Whether the connect has completed. On completion, adds the request for the list to the output.
    fn poll_connected(&mut self, now: Micros, watch: &mut dyn EngineListWatch) -> io::Result<bool> {
        if !self.is_connected && self.stream.poll_connected()? {
            (self.is_connected, self.last_received) = (true, now);
            self.stream.push(&watch.open_request());
        }
        Ok(self.is_connected)
    }
}

/// Why a connection to the source ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] DiscoveryError),
    #[error("closed by the peer")]
    Closed,
}

/// The result of one write and read.
pub(super) struct Exchange {
    /// Updates of the list, in order.
    pub(super) updates: Vec<JsonValue>,
    /// Whether there may be more to read, or why the connection ends.
    pub(super) may_have_more: Result<bool, ConnectionError>,
}

impl Exchange {
    const NOTHING: Exchange = Exchange {
        updates: Vec::new(),
        may_have_more: Ok(false),
    };
}

impl DiscoveryClient {
    /// A client of a source. An event stream continues after the event with number `last_event`.
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
            first_received: None,
            last_update: 0,
            description,
        }
    }

    /// Whether the first list has been received, which is assumed `after` its first byte. Sources without a connection are read at
    /// once.
    pub(super) fn has_received_first_list(&self, now: Micros, after: Micros) -> bool {
        !matches!(self.source, Source::Watch(..))
            || self.first_received.is_some_and(|at| now >= at + after)
    }

    /// The source's description and, for a source with a connection, the time since the last data from it.
    pub(super) fn source_status(&self, now: Micros) -> (String, Option<Micros>) {
        let connection = self.connection.as_ref().filter(|c| c.is_connected);
        let received_at = connection.map_or(self.last_update, |c| c.last_received);
        let is_watched = matches!(self.source, Source::Watch(..)) && received_at > 0;
        let age = is_watched.then(|| now.saturating_sub(received_at));
        (self.description.clone(), age)
    }

    /// Switches to another source. If only the address has changed, the list continues after the last event.
    pub(super) fn switch_source(&mut self, from: &DiscoverySource, to: &DiscoverySource) {
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
            // A different source numbers its events independently: the whole list is read.
            _ => *self = DiscoveryClient::new(to, 0, self.backoff.for_new_source()),
        }
        (self.next_attempt_at, self.backoff) = (0, self.backoff.for_new_source());
    }

    /// The update from a file source, if the file has changed since it was last read.
    pub(super) fn poll_file(&mut self, now: Micros) -> Option<JsonValue> {
        match &mut self.source {
            Source::File(file) => file.poll(now),
            Source::Watch(..) | Source::Fixed => None,
        }
    }

    /// The reason to close the connection now, if there is one.
    pub(super) fn reason_to_disconnect(&self, now: Micros) -> Option<&'static str> {
        let Source::Watch(_, watch) = &self.source else {
            return None;
        };
        let connection = self.connection.as_ref()?;
        let (timeout, reason) = if connection.is_connected {
            (watch.silence_timeout(), "no data received")
        } else {
            (CONNECT_TIMEOUT, "connect timed out")
        };
        (now > connection.last_received + timeout).then_some(reason)
    }

    /// The address to connect to, if a connect is due.
    pub(super) fn address_to_connect(&self, now: Micros) -> Option<SocketAddr> {
        match self.source {
            Source::Watch(address, _) => {
                let is_due = self.connection.is_none() && now >= self.next_attempt_at;
                is_due.then_some(address)
            }
            Source::File(_) | Source::Fixed => None,
        }
    }

    /// Takes ownership of a connection that is being established.
    pub(super) fn begin_connection(
        &mut self,
        now: Micros,
        id: ConnectionId,
        stream: Rc<TcpStream>,
        registration: RegistrationToken,
    ) {
        self.connection = Some(DiscoveryConnection {
            id,
            stream: BufferedStream::new(stream),
            registration: Some(registration),
            is_connected: false,
            last_received: now,
        });
    }

    /// Drops the connection and returns its event loop registration, for the caller to remove.
    pub(super) fn take_connection(&mut self) -> Option<RegistrationToken> {
        self.connection.take()?.registration
    }

    /// Schedules the next connect after a connection ended or could not be opened.
    pub(super) fn back_off(&mut self, now: Micros, disconnect: Disconnect) {
        self.next_attempt_at = self.backoff.next_attempt_at(now, disconnect);
    }

    /// Records an update of the list.
    pub(super) fn record_update(&mut self, now: Micros) {
        self.last_update = now;
    }

    /// Writes and reads once on a connection.
    ///
    /// # Errors
    ///
    /// The connection failed before any update was decoded.
    pub(super) fn exchange(
        &mut self,
        now: Micros,
        id: ConnectionId,
    ) -> Result<Exchange, ConnectionError> {
        let Some(connection) = self.connection.as_mut().filter(|c| c.id == id) else {
            return Ok(Exchange::NOTHING);
        };
        let Source::Watch(_, watch) = &mut self.source else {
            return Ok(Exchange::NOTHING);
        };
        if !connection.poll_connected(now, watch.as_mut())? {
            return Ok(Exchange::NOTHING);
        }
        connection.stream.flush()?;
        let (mut bytes, mut out, mut updates) = (Vec::new(), Vec::new(), Vec::new());
        let outcome = connection.stream.read(&mut bytes, MAX_READ_BYTES)?;
        let mut decoded = Ok(());
        if !bytes.is_empty() {
            connection.last_received = now;
            self.first_received.get_or_insert(now);
            self.backoff.record_heard(now);
            decoded = watch.decode(&bytes, &mut out, &mut updates);
            connection.stream.push(&out);
            connection.stream.flush()?;
        }
        let may_have_more = match (decoded, outcome) {
            (Err(e), _) => Err(e.into()),
            (Ok(()), ReadOutcome::WouldBlock) => Ok(false),
            (Ok(()), ReadOutcome::Closed) => Err(ConnectionError::Closed),
            (Ok(()), ReadOutcome::LimitReached) => Ok(true),
        };
        Ok(Exchange {
            updates,
            may_have_more,
        })
    }
}
