//! Where the list of engines comes from: one watched connection, kept up, or a file.
//!
//! [`DiscoveryClient`] owns the connection, its backoff and the protocol's state. It returns updates as they come; `engine_list` applies
//! them.

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

/// A connect that takes longer is tried again.
const CONNECT_TIMEOUT: Micros = 500_000;
/// Bytes of one read.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Follows the source of the engine list.
pub(super) struct DiscoveryClient {
    source: Source,
    connection: Option<DiscoveryConnection>,
    next_attempt_at: Micros,
    backoff: Backoff,
    /// When bytes first came from the source.
    first_received: Option<Micros>,
    /// When the list was last updated; 0 if never.
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
    is_connected: bool,
    /// When bytes last came, or the connect began.
    last_received: Micros,
}

impl DiscoveryConnection {
    /// Whether the connect has completed; once it has, the request for the list waits to be written.
    fn poll_connected(&mut self, now: Micros, watch: &mut dyn EngineListWatch) -> io::Result<bool> {
        if !self.is_connected && self.stream.poll_connected()? {
            (self.is_connected, self.last_received) = (true, now);
            self.stream.push(&watch.open_request());
        }
        Ok(self.is_connected)
    }
}

/// Why a connection to the source ends.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] DiscoveryError),
    #[error("closed by the other side")]
    Closed,
}

/// What one exchange with the source has brought.
pub(super) struct Exchange {
    /// Updates of the list, to be applied in order.
    pub(super) updates: Vec<JsonValue>,
    /// Whether there may be more to read behind them, or why the connection ends.
    pub(super) may_have_more: Result<bool, ConnectionError>,
}

impl Exchange {
    const NOTHING: Exchange = Exchange {
        updates: Vec::new(),
        may_have_more: Ok(false),
    };
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
            first_received: None,
            last_update: 0,
            description,
        }
    }

    /// Whether the source's first list has come: `after` its first byte. A source without a connection is read at once.
    pub(super) fn has_received_first_list(&self, now: Micros, after: Micros) -> bool {
        !matches!(self.source, Source::Watch(..))
            || self.first_received.is_some_and(|at| now >= at + after)
    }

    /// What the source is and, where it is a connection, how long nothing has come from it.
    pub(super) fn source_status(&self, now: Micros) -> (String, Option<Micros>) {
        let connection = self.connection.as_ref().filter(|c| c.is_connected);
        let received_at = connection.map_or(self.last_update, |c| c.last_received);
        let is_watched = matches!(self.source, Source::Watch(..)) && received_at > 0;
        let age = is_watched.then(|| now.saturating_sub(received_at));
        (self.description.clone(), age)
    }

    /// Follows another source; at a new address of the same kind the list continues behind its last event.
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
            // Another kind of source numbers its events by itself: the whole list is read.
            _ => *self = DiscoveryClient::new(to, 0, self.backoff.for_new_source()),
        }
        (self.next_attempt_at, self.backoff) = (0, self.backoff.for_new_source());
    }

    /// The update in a watched file that has changed since it was last read.
    pub(super) fn poll_file(&mut self, now: Micros) -> Option<JsonValue> {
        match &mut self.source {
            Source::File(file) => file.poll(now),
            Source::Watch(..) | Source::Fixed => None,
        }
    }

    /// Why the connection should end now, if it should.
    pub(super) fn reason_to_disconnect(&self, now: Micros) -> Option<&'static str> {
        let Source::Watch(_, watch) = &self.source else {
            return None;
        };
        let connection = self.connection.as_ref()?;
        let (timeout, reason) = if connection.is_connected {
            (watch.silence_timeout(), "nothing heard, taken anew")
        } else {
            (CONNECT_TIMEOUT, "connect timed out")
        };
        (now > connection.last_received + timeout).then_some(reason)
    }

    /// The address to connect to, where a connection is due.
    pub(super) fn address_to_connect(&self, now: Micros) -> Option<SocketAddr> {
        match self.source {
            Source::Watch(address, _) => {
                let is_due = self.connection.is_none() && now >= self.next_attempt_at;
                is_due.then_some(address)
            }
            Source::File(_) | Source::Fixed => None,
        }
    }

    /// Takes over a connection whose connect has begun.
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

    /// Ends the connection; its registration with the event loop, which the caller ends.
    pub(super) fn take_connection(&mut self) -> Option<RegistrationToken> {
        self.connection.take()?.registration
    }

    /// Sets when the next connection is opened, behind one that ended or could not be opened.
    pub(super) fn back_off(&mut self, now: Micros, disconnect: Disconnect) {
        self.next_attempt_at = self.backoff.next_attempt_at(now, disconnect);
    }

    /// The list was updated.
    pub(super) fn record_update(&mut self, now: Micros) {
        self.last_update = now;
    }

    /// Writes and reads once on a connection.
    ///
    /// # Errors
    ///
    /// The connection's, where nothing came before it that is to be applied.
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
