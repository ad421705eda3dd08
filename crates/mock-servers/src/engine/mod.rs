//! An engine that speaks ClickHouse's HTTP interface, a thread a connection.
//!
//! Faults are asked for in a comment of the statement, `/* standin: NAME=VALUE NAME ... */`, or of the whole engine.
//! With `first` among them they hold only the first time that this statement comes to any engine of the ledger.

mod answer;
mod output;
mod sql;

pub use output::FORMATS;
pub use sql::{Rows, Value};

use crate::ledger::RequestLog;
use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name in the ledger.
    pub name: String,
    /// It tells a tag in its heads, and writes exceptions behind rows with that; older servers write plain lines.
    pub tags: bool,
    /// A user's name and key that are asked for; others are turned away.
    pub user: Option<(String, String)>,
    /// Statements that it runs at once; more get code 202.
    pub most: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            name: "engine".into(),
            tags: true,
            user: None,
            most: usize::MAX,
        }
    }
}

/// A session on an engine.
struct Session {
    settings: BTreeMap<String, String>,
    database: String,
    tables: HashMap<String, Table>,
    locked: bool,
    timeout: Duration,
    ends: Instant,
}

impl Session {
    /// Its settings and its database.
    fn scope(&self) -> (BTreeMap<String, String>, String) {
        (self.settings.clone(), self.database.clone())
    }
}

/// What was put into a table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Rows, counted by line ends or by `Values`' brackets.
    pub rows: u64,
    /// Bytes.
    pub bytes: u64,
    /// FNV-1a over all bytes in order.
    pub hash: u64,
    /// The first bytes themselves.
    pub data: Vec<u8>,
}

/// Bytes of a table that are kept.
const DATA_MOST: usize = 8 * 1024 * 1024;

impl Table {
    fn push(&mut self, bytes: &[u8]) {
        if self.bytes == 0 {
            self.hash = 0xcbf2_9ce4_8422_2325;
        }
        self.bytes += bytes.len() as u64;
        self.rows += bytes.iter().filter(|&&b| b == b'\n').count() as u64;
        self.hash = fnv(self.hash, bytes);
        let room = DATA_MOST.saturating_sub(self.data.len());
        self.data.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }
}

/// FNV-1a, from a state of before.
pub fn fnv(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |h, &b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[derive(Default)]
struct Held {
    sessions: HashMap<String, Session>,
    tables: HashMap<String, Table>,
    running: HashMap<String, Arc<AtomicBool>>,
    /// Open connections, so that an end reaches them.
    connections: HashMap<u64, TcpStream>,
}

struct Shared {
    options: Options,
    ledger: Arc<RequestLog>,
    held: Mutex<Held>,
    /// Nothing is answered while this is set.
    mute: AtomicBool,
    stopped: AtomicBool,
    last: AtomicU64,
    changed: Condvar,
    addr: SocketAddr,
}

impl Shared {
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next(&self) -> u64 {
        self.last.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Waits while the engine is mute; false once it has stopped.
    fn speaks(&self) -> bool {
        let mut held = self.held();
        while self.mute.load(Ordering::SeqCst) && !self.stopped.load(Ordering::SeqCst) {
            let waited = self.changed.wait_timeout(held, Duration::from_millis(100));
            held = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        !self.stopped.load(Ordering::SeqCst)
    }
}

/// A running engine; it stops when this is dropped.
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts one on a port of the system's choice.
    pub fn start(options: Options, ledger: Arc<RequestLog>) -> Engine {
        Engine::listen("127.0.0.1:0".parse().expect("an address"), options, ledger)
            .expect("a port on loopback")
    }

    /// Starts one at an address.
    pub fn listen(
        addr: SocketAddr,
        options: Options,
        ledger: Arc<RequestLog>,
    ) -> std::io::Result<Engine> {
        let listener = TcpListener::bind(addr)?;
        let shared = Arc::new(Shared {
            options,
            ledger,
            held: Mutex::default(),
            mute: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            last: AtomicU64::new(0),
            changed: Condvar::new(),
            addr: listener.local_addr()?,
        });
        let accepting = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if accepting.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let shared = accepting.clone();
                // A thread of its own, with little stack: hundreds of connections may stay open.
                let _ = std::thread::Builder::new()
                    .stack_size(512 * 1024)
                    .spawn(move || {
                        let id = shared.next();
                        if let Ok(copy) = stream.try_clone() {
                            shared.held().connections.insert(id, copy);
                        }
                        answer::serve(&shared, stream);
                        shared.held().connections.remove(&id);
                    });
            }
        });
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

    /// From now on it takes everything and says nothing, not even to a ping; or speaks again.
    pub fn mute(&self, mute: bool) {
        self.shared.mute.store(mute, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    /// Its process ends and another takes its place: connections are reset, sessions and what ran are gone.
    pub fn restart(&self) {
        let mut held = self.shared.held();
        for cancelled in held.running.values() {
            cancelled.store(true, Ordering::SeqCst);
        }
        held.sessions.clear();
        for stream in held.connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// A table of no session.
    pub fn table(&self, name: &str) -> Table {
        self.shared
            .held()
            .tables
            .get(name)
            .cloned()
            .unwrap_or_default()
    }

    /// Sessions that it holds.
    pub fn sessions(&self) -> usize {
        self.shared.held().sessions.len()
    }

    /// Names of queries that run.
    pub fn running(&self) -> Vec<String> {
        self.shared.held().running.keys().cloned().collect()
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.shared.held().connections.len()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        self.shared.changed.notify_all();
        for stream in self.shared.held().connections.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Lets the accepting thread see it.
        let _ = TcpStream::connect(self.shared.addr);
    }
}
