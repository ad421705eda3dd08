//! Clients' connections: reading and writing. What is read of them becomes requests in `requests.rs`; how they end stands in
//! `closing.rs`.

mod closing;
mod requests;

use super::{ConnectionId, EventSource, Node};
use crate::frontends::{ConnectionAction, ResponseWriter};
use crate::net::{is_out_of_descriptors, BufferedStream, ReadOutcome};
use calloop::RegistrationToken;
use driftfront_core::{Micros, RequestId};
use driftfront_http::{add_connection_close, HttpError, RequestReader};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// A connection with no request open may idle for this long: usual clients close theirs after 4 s, and
/// those that keep them for good would take the descriptors of the others.
const IDLE_MOST: Micros = 6_000_000;
/// The first request must be whole this long after the connect, a later one this long after its first byte:
/// whoever is not served is owed a refusal, an error or a close within 3 s.
const READ_MOST: Micros = 2_000_000;
/// After a reply to what could not be taken the connection's next request waits this long: who sends the
/// same again at once would take the others' share of the processor.
const BAD_PAUSE: Micros = 100_000;
/// Descriptors, in 100 of all, for clients; usual ones hold a third at most.
const PART_OF_SOCKETS: usize = 60;
/// The same while another process of this coordinator runs. Usual clients hold a third with both together, and must all
/// find room here: one that waits in the backlog while others are read loses its place in its key's order.
const PART_WHILE_SHARED: usize = 40;
/// Steps on one connection before the others have their turn.
const TURN: usize = 16;
/// Bytes read ahead while a request is open.
const AHEAD_MOST: usize = 64 * 1024;
const READ_AT_ONCE: usize = 64 * 1024;

/// What there is of a body that is passed on as it comes.
pub(super) enum BodyChunk {
    /// Some more of it.
    More(Vec<u8>),
    /// Its last bytes, maybe none.
    Last(Vec<u8>),
    /// Nothing for now.
    WouldBlock,
    /// It can't be read on, or nobody sends it any more.
    Broken,
}

/// A client's connection.
pub(super) struct Client {
    link: BufferedStream,
    token: Option<RegistrationToken>,
    reader: RequestReader,
    /// The request whose answer is owed, and its writer.
    current: Option<(RequestId, Box<dyn ResponseWriter>)>,
    /// The last request asked for a close, or a fault makes one due.
    close: bool,
    /// Something of the open request's answer has been written.
    answering: bool,
    /// What the request that is being read holds of the budget for bodies.
    kept: usize,
    /// Our side is shut; what still comes is dropped.
    shut: bool,
    /// More was sent behind the open request than is held: what comes is dropped, and the connection closes behind the answer.
    overrun: bool,
    /// Reading stopped with more to come.
    more: bool,
    continued: bool,
    /// Being worked on further up the stack.
    busy: bool,
    /// No request has been taken off it yet.
    fresh: bool,
    /// The connect, or the first byte of the request that is being read.
    begun: Micros,
    /// No request is taken off it before this.
    pause_until: Micros,
    used: Micros,
}

impl Client {
    pub(super) fn is_writing(&self) -> bool {
        self.link.backlog() > 0
    }
}

/// Clients' connections.
#[derive(Default)]
pub(super) struct Clients {
    pub(super) connections: BTreeMap<ConnectionId, Client>,
    /// The connection on which each open request waits for its answer, the request's class, and when it was accepted.
    pub(super) requesters: BTreeMap<RequestId, (ConnectionId, u16, Micros)>,
    /// Connections closed since the process is paused or hands over.
    pub(super) sent_away: u64,
    /// Looks at the backlog while there was no room for another client.
    pub(super) accepts_full: u64,
    /// Connections closed to make room.
    pub(super) evicted: u64,
    /// Connections on which more was sent ahead than is held.
    pub(super) overruns: u64,
}

/// The socket that clients connect to.
pub(super) struct ClientListener {
    /// `None` once the process leaves for good.
    pub(super) socket: Option<Rc<TcpListener>>,
    pub(super) token: Option<RegistrationToken>,
    /// It was passed: other processes may hold it, too.
    pub(super) is_passed: bool,
    /// How often a passed socket was found blocking.
    pub(super) unblocked: u64,
}

impl ClientListener {
    pub(super) fn new(socket: TcpListener, is_passed: bool) -> ClientListener {
        ClientListener {
            socket: Some(Rc::new(socket)),
            token: None,
            is_passed,
            unblocked: 0,
        }
    }
}

/// Listens with room for a burst of connects.
pub(super) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

impl Node {
    /// Takes connections in while there is room; what has to wait is looked at again with each sweep.
    pub(super) fn accept_clients(&mut self, now: Micros) {
        let most = self.most_clients();
        while self.lifecycle.accepts() {
            if self.clients.connections.len() >= most && !self.evict_client(now) {
                // Counted with each look, whether somebody waits or not.
                self.clients.accepts_full += 1;
                return;
            }
            if self.listener.is_passed && !self.unblock_listener() {
                return;
            }
            let Some(listener) = &self.listener.socket else {
                return;
            };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The connection stays in the backlog until there is room.
                Err(e) if is_out_of_descriptors(&e) => {
                    tracing::warn!("out of descriptors");
                    if self.evict_client(now) {
                        continue;
                    }
                    return;
                }
                // A connection that ended in the backlog: the next may be well.
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) =>
                {
                    continue
                }
                // What else the system says it would say again at once; the next sweep asks anew.
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    return;
                }
            };
            if stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true))
                .is_err()
            {
                continue;
            }
            let id = self.next_connection_id();
            let stream = Rc::new(stream);
            match self.register_stream(stream.clone(), EventSource::Client(id)) {
                Ok(token) => {
                    let client = Client {
                        link: BufferedStream::new(stream),
                        token: Some(token),
                        reader: RequestReader::with_limits(self.frontend.request_limits()),
                        current: None,
                        kept: 0,
                        close: false,
                        answering: false,
                        shut: false,
                        overrun: false,
                        more: true,
                        continued: false,
                        busy: false,
                        fresh: true,
                        begun: now,
                        pause_until: 0,
                        used: now,
                    };
                    self.clients.connections.insert(id, client);
                    // What came before the socket was registered brings no event of its own.
                    self.on_client_ready(now, id);
                }
                Err(e) => tracing::warn!("a client's socket: {e}"),
            }
        }
    }

    /// Whoever else holds a passed socket may have let it block again, and the loop would stand still in `accept`. That
    /// is shared by all holders, so it is looked at before each call.
    fn unblock_listener(&mut self) -> bool {
        let Some(listener) = &self.listener.socket else {
            return false;
        };
        if socket2::SockRef::from(&**listener)
            .nonblocking()
            .is_ok_and(|n| n)
        {
            return true;
        }
        self.listener.unblocked += 1;
        listener.set_nonblocking(true).is_ok()
    }

    /// Bytes that wait for a request's client to read them.
    pub(super) fn client_backlog(&self, request: RequestId) -> usize {
        let client = self
            .clients
            .requesters
            .get(&request)
            .and_then(|a| self.clients.connections.get(&a.0));
        client.map_or(0, |c| c.link.backlog())
    }

    pub(super) fn on_client_ready(&mut self, now: Micros, id: ConnectionId) {
        if let Some(client) = self.clients.connections.get_mut(&id) {
            client.more = true;
        }
        self.drive_client(now, id);
        let request = self
            .clients
            .connections
            .get(&id)
            .and_then(|c| c.current.as_ref())
            .map(|c| c.0);
        if let Some(&conn) = request.and_then(|r| self.engines.uploads.get(&r)) {
            self.write_to_engine(now, conn);
        }
        self.resume_engines(now);
    }

    /// Takes what has come of a body that is passed on as it comes, reading on as far as is needed.
    pub(super) fn more_body(&mut self, now: Micros, request: RequestId) -> BodyChunk {
        let client = self
            .clients
            .requesters
            .get(&request)
            .and_then(|a| self.clients.connections.get_mut(&a.0));
        let Some(client) = client else {
            return BodyChunk::Broken;
        };
        let mut body = Vec::new();
        for _ in 0..2 {
            match client.reader.more_body(&mut body) {
                Err(_) => return BodyChunk::Broken,
                Ok(true) => return BodyChunk::Last(body),
                Ok(false) => {}
            }
            if !client.more || body.len() >= READ_AT_ONCE {
                break;
            }
            let mut bytes = Vec::new();
            match client.link.read(&mut bytes, READ_AT_ONCE) {
                Ok(ReadOutcome::Closed) | Err(_) => return BodyChunk::Broken,
                Ok(end) => client.more = end == ReadOutcome::LimitReached,
            }
            client.used = now;
            client.reader.push(&bytes);
        }
        if body.is_empty() {
            BodyChunk::WouldBlock
        } else {
            BodyChunk::More(body)
        }
    }

    /// A body that was passed on as it came can't be: its client is told, if it still can be.
    pub(super) fn body_broken(&mut self, now: Micros, request: RequestId) {
        let Some(&(id, ..)) = self.clients.requesters.get(&request) else {
            return;
        };
        self.leave(now, id);
        self.client_fault(now, id, HttpError::Malformed);
        self.drive_client(now, id);
    }

    /// Works on a connection, unless that is going on further up the stack: an answer given at once must not
    /// begin the next pipelined request inside the one before, each some frames deeper.
    pub(super) fn drive_client(&mut self, now: Micros, id: ConnectionId) {
        let Some(client) = self.clients.connections.get_mut(&id).filter(|c| !c.busy) else {
            return;
        };
        client.busy = true;
        self.client_loop(now, id);
        if let Some(client) = self.clients.connections.get_mut(&id) {
            client.busy = false;
        }
    }

    /// After a panic nothing is being worked on.
    pub(super) fn clear_busy_clients(&mut self) {
        self.clients
            .connections
            .values_mut()
            .for_each(|c| c.busy = false);
    }

    /// Writes, takes requests and reads, as far as all three go.
    fn client_loop(&mut self, now: Micros, id: ConnectionId) {
        for turn in 0.. {
            let Some(client) = self.clients.connections.get_mut(&id) else {
                return;
            };
            if turn >= TURN {
                return self.deferred.push(EventSource::Client(id));
            }
            let flushed = match client.link.flush() {
                Ok(flushed) => flushed,
                Err(_) => return self.drop_client(now, id),
            };
            if flushed && client.close && client.current.is_none() && !client.shut {
                client.shut = true;
                client.used = now;
                let _ = client.link.socket().shutdown(Shutdown::Write);
            }
            // Who does not read its answers is asked for no more requests.
            if !flushed && client.current.is_none() {
                return;
            }
            if self.next_request(now, id, false) || self.has_outgrown(now, id) {
                continue;
            }
            let Some(client) = self.clients.connections.get_mut(&id) else {
                return;
            };
            let ahead = client.current.is_some() || now < client.pause_until;
            let full = ahead && client.reader.held() > AHEAD_MOST;
            if client.more
                && !client.shut
                && full
                && client.current.is_some()
                && self.frontend.is_sequential()
            {
                return self.discard_pipelined(now, id);
            }
            if !client.more || client.shut {
                return;
            }
            if full {
                return self.drop_if_ended(now, id);
            }
            let mut bytes = Vec::new();
            let end = match client.link.read(&mut bytes, READ_AT_ONCE) {
                Ok(end) => end,
                Err(_) => return self.drop_client(now, id),
            };
            client.more = end == ReadOutcome::LimitReached;
            if !bytes.is_empty() {
                if !client.reader.is_mid_message() && !client.fresh {
                    client.begun = now;
                }
                client.used = now;
                client.reader.push(&bytes);
            }
            if client.current.is_some() && client.reader.holds_stray_bytes() {
                // The length told was too small: what is out runs half a statement, and must not be served.
                self.leave(now, id);
                self.client_fault(now, id, HttpError::Malformed);
                continue;
            }
            if end == ReadOutcome::Closed {
                return self.client_ended(now, id);
            }
        }
    }

    /// A request that is being read has grown: what its body may hold is looked at anew. True if its bounds have
    /// changed so that it should be tried again.
    fn has_outgrown(&mut self, now: Micros, id: ConnectionId) -> bool {
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return false;
        };
        if client.current.is_some() || client.close || now < client.pause_until {
            return false;
        }
        let size = client.reader.partial_request_bytes();
        let Some((kept, most)) = self.frontend.reserve_body(client.kept, size) else {
            return false;
        };
        client.kept = kept;
        client.reader.set_max_body_bytes(most);
        if size <= most {
            return false;
        }
        if !client.reader.has_head() {
            // A head can't be passed on in parts.
            self.client_fault(now, id, HttpError::HeadTooLarge);
        }
        true
    }

    fn reply(&mut self, now: Micros, id: ConnectionId, bytes: &[u8]) {
        let away = self.lifecycle.sends_away(now);
        if let Some(client) = self.clients.connections.get_mut(&id) {
            let mut bytes = bytes.to_vec();
            if away {
                add_connection_close(&mut bytes);
                client.close = true;
            }
            client.link.push(&bytes);
            let _ = client.link.flush();
        }
    }

    /// What can't be read is answered with its status, then the connection closes.
    fn client_fault(&mut self, now: Micros, id: ConnectionId, fault: HttpError) {
        if let Some(client) = self.clients.connections.get_mut(&id) {
            client.close = true;
            client.used = now;
            client.link.push(&self.frontend.error_response(fault));
        }
    }

    /// Writes part of a request's answer; with `last` the request is over. The closure says whether the
    /// connection may stay open.
    pub(super) fn write_response(
        &mut self,
        now: Micros,
        request: RequestId,
        last: bool,
        write: impl FnOnce(&mut dyn ResponseWriter, &mut Vec<u8>) -> ConnectionAction,
    ) {
        let Some(&(id, ..)) = self.clients.requesters.get(&request) else {
            return;
        };
        let Some(client) = self.clients.connections.get_mut(&id) else {
            return;
        };
        let Some((_, writer)) = &mut client.current else {
            return;
        };
        let mut bytes = Vec::new();
        let after = write(writer.as_mut(), &mut bytes);
        let first = !bytes.is_empty() && !std::mem::replace(&mut client.answering, true);
        let away = self.lifecycle.sends_away(now) || client.overrun;
        if away && first {
            add_connection_close(&mut bytes);
        }
        client.link.push(&bytes);
        (client.used, client.begun) = (now, now);
        if last {
            tracing::debug!(
                request = request.0,
                conn = id,
                bytes = bytes.len(),
                "answered"
            );
            client.current = None;
            client.answering = false;
            client.close |= away;
            self.clients.requesters.remove(&request);
            // What of a body still comes could not be told from the next request.
            client.close |= after != ConnectionAction::KeepOpen || client.reader.is_body_open();
            if after != ConnectionAction::KeepOpen {
                // A body that is cut must not look whole, so nothing more may follow it.
                client.more = false;
            }
            if after == ConnectionAction::Reset {
                let _ = client.link.flush();
                let _ =
                    socket2::SockRef::from(&*client.link.socket()).set_linger(Some(Duration::ZERO));
                return self.drop_client(now, id);
            }
        }
        self.drive_client(now, id);
    }
}
