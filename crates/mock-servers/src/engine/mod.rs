//! A mock engine with ClickHouse's HTTP interface and one thread per connection.
//!
//! A statement requests faults in a comment, `/* standin: NAME=VALUE NAME ... */`. With `first` among them, they apply only the
//! first time that any engine of the log receives the statement.
//!
//! A request passes through `connection` (HTTP), `query` (statement, session and log entry), `execute` or `insert` (the work), and
//! `result` (the response with its faults).

mod connection;
mod exception;
mod execute;
mod faults;
mod insert;
mod output;
mod query;
mod result;
mod sql;
mod state;

pub use output::FORMATS;
pub(crate) use sql::inserted_table;
pub use state::{fnv, Table};

use crate::request_log::RequestLog;
use state::Shared;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Stack size of a connection's thread. It is small, since hundreds of connections may stay open.
const THREAD_STACK_BYTES: usize = 512 * 1024;

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// The engine's name in the log.
    pub name: String,
    /// Whether responses have an exception tag, which marks exceptions after rows. Older servers write them as plain lines.
    pub tags: bool,
    /// The name and key of the only accepted user, or `None` to accept all.
    pub user: Option<(String, String)>,
    /// The limit of concurrent statements; further ones fail with code 202.
    pub max_statements: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            name: "engine".into(),
            tags: true,
            user: None,
            max_statements: usize::MAX,
        }
    }
}

/// A running engine, which stops when it is dropped.
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start(options: Options, log: Arc<RequestLog>) -> Engine {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Engine::listen(any_port, options, log).expect("a port on loopback")
    }

    /// Starts an engine at an address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn listen(
        addr: SocketAddr,
        options: Options,
        log: Arc<RequestLog>,
    ) -> std::io::Result<Engine> {
        let listener = TcpListener::bind(addr)?;
        let shared = Arc::new(Shared::new(options, log, listener.local_addr()?));
        let accepting = shared.clone();
        std::thread::spawn(move || accept_connections(&listener, &accepting));
        Ok(Engine { shared })
    }

    /// The listening address.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// The engine's name.
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// Sets whether the engine is mute: it accepts connections and requests, but sends no responses, not even to a ping.
    pub fn mute(&self, mute: bool) {
        self.shared.is_mute.store(mute, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    /// Simulates a restart of the engine's process: closes all connections, cancels running queries and discards sessions.
    pub fn restart(&self) {
        let mut state = self.shared.state();
        for cancelled in state.running.values() {
            cancelled.store(true, Ordering::SeqCst);
        }
        state.sessions.clear();
        for stream in state.connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns a table that is not temporary; an empty one if it does not exist.
    pub fn table(&self, name: &str) -> Table {
        let state = self.shared.state();
        state.tables.get(name).cloned().unwrap_or_default()
    }

    /// The number of sessions.
    pub fn sessions(&self) -> usize {
        self.shared.state().sessions.len()
    }

    /// The ids of the running queries.
    pub fn running(&self) -> Vec<String> {
        self.shared.state().running.keys().cloned().collect()
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.state().connections.len()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        self.shared.changed.notify_all();
        for stream in self.shared.state().connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, so that it stops.
        let _ = TcpStream::connect(self.shared.addr);
    }
}

fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        let shared = shared.clone();
        let thread = std::thread::Builder::new().stack_size(THREAD_STACK_BYTES);
        let _ = thread.spawn(move || serve_connection(&shared, stream));
    }
}

fn serve_connection(shared: &Shared, stream: TcpStream) {
    let id = shared.next_id();
    if let Ok(copy) = stream.try_clone() {
        shared.state().connections.insert(id, copy);
    }
    connection::serve(shared, stream);
    shared.state().connections.remove(&id);
}
