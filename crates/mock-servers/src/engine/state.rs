//! The state that an engine's connections share.

use super::Options;
use crate::request_log::RequestLog;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of stored bytes per table.
const MAX_TABLE_BYTES: usize = 8 * 1024 * 1024;
/// The initial state of FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Interval at which a mute engine checks whether it has been stopped.
const MUTE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A session.
pub(super) struct Session {
    pub(super) settings: BTreeMap<String, String>,
    pub(super) database: String,
    /// Temporary tables.
    pub(super) tables: HashMap<String, Table>,
    /// Whether a query of the session is running.
    pub(super) is_locked: bool,
    pub(super) timeout: Duration,
    pub(super) expires_at: Instant,
}

/// The inserted rows of a table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The number of rows, counted as line feeds.
    pub rows: u64,
    /// The number of bytes.
    pub bytes: u64,
    /// The FNV-1a hash of the first insert.
    pub hash: u64,
    /// The rows themselves; of each insert, at most the first 8 MiB.
    pub data: Vec<u8>,
}

impl Table {
    /// Adds a piece of an insert.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        if self.bytes == 0 {
            self.hash = FNV_OFFSET_BASIS;
        }
        self.bytes += bytes.len() as u64;
        self.rows += bytes.iter().filter(|&&b| b == b'\n').count() as u64;
        self.hash = fnv(self.hash, bytes);
        let free_bytes = MAX_TABLE_BYTES.saturating_sub(self.data.len());
        let stored_bytes = bytes.len().min(free_bytes);
        self.data.extend_from_slice(&bytes[..stored_bytes]);
    }

    /// Adds the rows of an insert. The hash stays that of the table's first insert.
    pub(super) fn append(&mut self, inserted: Table) {
        if self.bytes == 0 {
            *self = inserted;
        } else {
            self.rows += inserted.rows;
            self.bytes += inserted.bytes;
            self.data.extend(inserted.data);
        }
    }
}

/// Updates the state of an FNV-1a hash with bytes.
pub fn fnv(state: u64, bytes: &[u8]) -> u64 {
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(state, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// The mutable state of an engine.
#[derive(Default)]
pub(super) struct State {
    /// Sessions by user and id.
    pub(super) sessions: HashMap<String, Session>,
    pub(super) tables: HashMap<String, Table>,
    /// The cancellation flags of the running queries, by query id.
    pub(super) running: HashMap<String, Arc<AtomicBool>>,
    /// Open connections, which are closed when the engine stops or restarts.
    pub(super) connections: HashMap<u64, TcpStream>,
}

/// The part of an engine that its threads share.
pub(super) struct Shared {
    pub(super) options: Options,
    pub(super) log: Arc<RequestLog>,
    state: Mutex<State>,
    /// Whether the engine sends no responses.
    pub(super) is_mute: AtomicBool,
    pub(super) is_stopped: AtomicBool,
    last_id: AtomicU64,
    /// Notified when `is_mute` changes or the engine stops.
    pub(super) changed: Condvar,
    pub(super) addr: SocketAddr,
}

impl Shared {
    pub(super) fn new(options: Options, log: Arc<RequestLog>, addr: SocketAddr) -> Shared {
        Shared {
            options,
            log,
            state: Mutex::default(),
            is_mute: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            last_id: AtomicU64::new(0),
            changed: Condvar::new(),
            addr,
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a new unique number.
    pub(super) fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Waits while the engine is mute. Returns `false` if it has stopped.
    pub(super) fn wait_while_mute(&self) -> bool {
        let mut state = self.state();
        while self.is_mute.load(Ordering::SeqCst) && !self.is_stopped.load(Ordering::SeqCst) {
            let waited = self.changed.wait_timeout(state, MUTE_CHECK_INTERVAL);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        !self.is_stopped.load(Ordering::SeqCst)
    }
}
