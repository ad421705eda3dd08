//! An engine that speaks ClickHouse's HTTP interface, with a thread a connection.
//!
//! Faults are asked for in a comment of the statement, `/* standin: NAME=VALUE NAME ... */`, or of the whole engine. With `first`
//! among them they hold only the first time that this statement comes to any engine of the log.
//!
//! A request goes through `connection` (HTTP), `query` (statement, session, log entry), `execute` (what it computes) or `insert`,
//! and `result` (what is written, with its faults).

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
pub use state::{fnv, Table};

use crate::request_log::RequestLog;
use state::Shared;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Stack of a connection's thread: small, since hundreds of connections may stay open.
const THREAD_STACK_BYTES: usize = 512 * 1024;

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name in the log.
    pub name: String,
    /// It sends a tag in its heads, and marks exceptions behind rows with that; older servers write plain lines.
    pub tags: bool,
    /// The name and key of a user; others are rejected.
    pub user: Option<(String, String)>,
    /// Statements that it runs at once; further ones get code 202.
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

/// A running engine; it stops when this is dropped.
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts one on a port of the system's choice.
    ///
    /// # Panics
    ///
    /// Panics where loopback has no free port.
    pub fn start(options: Options, log: Arc<RequestLog>) -> Engine {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Engine::listen(any_port, options, log).expect("a port on loopback")
    }

    /// Starts one at an address.
    ///
    /// # Errors
    ///
    /// The system's, where the address can't be used.
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

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// From now on it accepts everything and answers nothing, not even a ping; or answers again.
    pub fn mute(&self, mute: bool) {
        self.shared.is_mute.store(mute, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    /// Its process ends and another takes its place: connections are reset, sessions and running queries are gone.
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

    /// A table that belongs to no session.
    pub fn table(&self, name: &str) -> Table {
        let state = self.shared.state();
        state.tables.get(name).cloned().unwrap_or_default()
    }

    /// The number of its sessions.
    pub fn sessions(&self) -> usize {
        self.shared.state().sessions.len()
    }

    /// The ids of queries that run.
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
        // Wakes the accepting thread, so that it sees the end.
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
