//! What the connections of an engine share.

use super::Options;
use crate::request_log::RequestLog;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Bytes of a table that are kept.
const MAX_TABLE_BYTES: usize = 8 * 1024 * 1024;
/// The state of FNV-1a before the first byte.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// A mute engine looks this often whether it has stopped.
const MUTE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A session.
pub(super) struct Session {
    pub(super) settings: BTreeMap<String, String>,
    pub(super) database: String,
    /// Its temporary tables.
    pub(super) tables: HashMap<String, Table>,
    /// A query of it runs.
    pub(super) is_locked: bool,
    pub(super) timeout: Duration,
    pub(super) expires_at: Instant,
}

/// What was inserted into a table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Rows, counted by line ends.
    pub rows: u64,
    /// Bytes.
    pub bytes: u64,
    /// FNV-1a over all bytes in order.
    pub hash: u64,
    /// The first bytes themselves.
    pub data: Vec<u8>,
}

impl Table {
    /// Adds rows.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        if self.bytes == 0 {
            self.hash = FNV_OFFSET_BASIS;
        }
        self.bytes += bytes.len() as u64;
        self.rows += bytes.iter().filter(|&&b| b == b'\n').count() as u64;
        self.hash = fnv(self.hash, bytes);
        let room = MAX_TABLE_BYTES.saturating_sub(self.data.len());
        self.data.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Adds the rows of an insert. The hash is that of a table's first insert.
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

/// FNV-1a, continued from a state.
pub fn fnv(state: u64, bytes: &[u8]) -> u64 {
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(state, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// What changes while an engine runs.
#[derive(Default)]
pub(super) struct State {
    /// Sessions by user and id.
    pub(super) sessions: HashMap<String, Session>,
    pub(super) tables: HashMap<String, Table>,
    /// Queries that run, by id, and whether each was cancelled.
    pub(super) running: HashMap<String, Arc<AtomicBool>>,
    /// Open connections, so that an end reaches them.
    pub(super) connections: HashMap<u64, TcpStream>,
}

/// An engine, as its threads share it.
pub(super) struct Shared {
    pub(super) options: Options,
    pub(super) log: Arc<RequestLog>,
    state: Mutex<State>,
    /// Nothing is answered while this is set.
    pub(super) is_mute: AtomicBool,
    pub(super) is_stopped: AtomicBool,
    last_id: AtomicU64,
    /// Notified when the engine is muted, speaks again, or stops.
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

    /// A number that was not given before.
    pub(super) fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Waits while the engine is mute; false once it has stopped.
    pub(super) fn wait_until_speaking(&self) -> bool {
        let mut state = self.state();
        while self.is_mute.load(Ordering::SeqCst) && !self.is_stopped.load(Ordering::SeqCst) {
            let waited = self.changed.wait_timeout(state, MUTE_CHECK_INTERVAL);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        !self.is_stopped.load(Ordering::SeqCst)
    }
}
