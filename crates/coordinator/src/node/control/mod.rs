//! Operators: the control socket and who is connected (`operators.rs`), what they order (`orders.rs`), what they see (`views.rs`).
//! A follower that does not read is cut off, and none of them holds up the loop.

mod operators;
mod orders;
mod views;

use crate::node::{ConnectionId, EventSource, Node};
use crate::service::ServiceWindow;
use crate::state;
use calloop::RegistrationToken;
use driftfront_control::{LineReader, Reply};
use driftfront_core::{EngineId, Micros};
use driftfront_engine_registry::record::StateRecord;
use driftfront_engine_registry::rolling_restart::RollingRestart;
use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Operators' connections at once; more are closed at once.
const OPERATORS_MOST: usize = 16;
/// Bytes that wait for an operator to read them: beyond that the connection is cut.
const UNREAD_MOST: usize = 4 * 1024 * 1024;
/// One that has left something unread for this long is cut, however little it is.
const UNREAD_FOR: Micros = 3_000_000;
/// Events held for those who ask for the last ones.
const EVENTS_MOST: usize = 500;
/// Queries in a snapshot.
const QUERIES_MOST: usize = 50;
/// A snapshot serves all who ask within this time.
const SNAPSHOT_FOR: Micros = 50_000;
/// A roll looks at things this often.
const ROLL_EVERY: Micros = 500_000;
/// Reads on one connection before the others have their turn.
const READ_AT_ONCE: usize = 64 * 1024;

enum Stream {
    Unix(Rc<UnixStream>),
    Tcp(Rc<TcpStream>),
}

impl Stream {
    fn read(&self, bytes: &mut [u8]) -> std::io::Result<usize> {
        match self {
            Stream::Unix(s) => (&**s).read(bytes),
            Stream::Tcp(s) => (&**s).read(bytes),
        }
    }
    fn write(&self, bytes: &[u8]) -> std::io::Result<usize> {
        match self {
            Stream::Unix(s) => (&**s).write(bytes),
            Stream::Tcp(s) => (&**s).write(bytes),
        }
    }
}

/// An operator's connection.
struct Operator {
    stream: Stream,
    token: Option<RegistrationToken>,
    lines: LineReader,
    out: Vec<u8>,
    /// Since when something waits for it.
    unread: Option<Micros>,
    /// The challenge that it has to answer first.
    challenge: Option<String>,
    /// Its request for everything again and again: the id, how often, and when it is due.
    follow: Option<(u64, Micros, Micros)>,
    /// Its request for events.
    events: Option<u64>,
}

/// What is kept for operators; only where the operator's file names a control socket.
pub(super) struct Control {
    /// The socket's path, and its number in the file system: a successor puts its own there.
    socket: Option<(PathBuf, u64)>,
    key: Vec<u8>,
    operators: BTreeMap<ConnectionId, Operator>,
    events: VecDeque<(Micros, String)>,
    classes: Vec<(ServiceWindow, ServiceWindow)>,
    engines: BTreeMap<EngineId, ServiceWindow>,
    /// The last snapshot, as JSON.
    snapshot: Option<(Micros, String)>,
    state: Option<state::State>,
    /// Commands whose records are on their way to the disk: who is told what then.
    waiting: BTreeMap<u64, (ConnectionId, u64, String)>,
    roll: Option<RollingRestart>,
    next_roll: Micros,
    begun: Micros,
    /// Operators that were cut off since they did not read.
    cut_off: u64,
}

/// What an operator's listener is.
#[derive(Clone)]
pub(super) enum Listener {
    Unix(Rc<UnixListener>),
    Tcp(Rc<TcpListener>),
}

impl Control {
    pub(super) fn new(classes: usize, now: Micros) -> Control {
        Control {
            socket: None,
            key: Vec::new(),
            operators: BTreeMap::new(),
            events: VecDeque::new(),
            classes: vec![(ServiceWindow::minute(), ServiceWindow::hour()); classes],
            engines: BTreeMap::new(),
            snapshot: None,
            state: None,
            waiting: BTreeMap::new(),
            roll: None,
            next_roll: 0,
            begun: now,
            cut_off: 0,
        }
    }

    pub(super) fn counters(&self) -> String {
        format!(
            "operators {}\noperators_cut_off {}\n",
            self.operators.len(),
            self.cut_off
        )
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        if let Some((path, inode)) = &self.socket {
            if std::fs::metadata(path).is_ok_and(|m| m.ino() == *inode) {
                let _ = std::fs::remove_file(path);
            }
        }
    }
}

/// Opens a control socket of mode 0600, and its number in the file system. One that a dead program has left is taken
/// over; one that answers is not, but by its successor: then operators' next connection comes here.
fn listen(path: &Path, succeeds: bool) -> Result<(UnixListener, u64), String> {
    let say = |e: std::io::Error| format!("control {}: {e}", path.display());
    if !succeeds && UnixStream::connect(path).is_ok() {
        return Err(format!(
            "control {}: another program answers there",
            path.display()
        ));
    }
    let beside = path.with_extension(format!("{}.new", std::process::id()));
    let _ = std::fs::remove_file(&beside);
    let listener = UnixListener::bind(&beside).map_err(say)?;
    std::fs::set_permissions(&beside, std::fs::Permissions::from_mode(0o600)).map_err(say)?;
    listener.set_nonblocking(true).map_err(say)?;
    std::fs::rename(&beside, path).map_err(say)?;
    let inode = std::fs::metadata(path).map_err(say)?.ino();
    Ok((listener, inode))
}

impl Node {
    /// Opens what the configuration names: the state folder, then the control socket and port.
    pub(super) fn open_control(&mut self) -> Result<(), String> {
        let now = self.clock();
        if self.config.control_socket.is_none()
            && self.config.control_port.is_none()
            && self.config.state_folder.is_none()
        {
            return Ok(());
        }
        let mut control = Control::new(self.config.classes.names.len(), now);
        if let Some(folder) = self.config.state_folder.clone() {
            let (sender, written) = calloop::channel::channel();
            let (state, records, told) = state::open(&folder, move |w| drop(sender.send(w)))?;
            let on_written =
                |event: calloop::channel::Event<state::Written>, _: &mut (), node: &mut Node| {
                    if let calloop::channel::Event::Msg((number, end)) = event {
                        node.guard("a write's end", |node| node.written(number, end));
                    }
                };
            self.handle
                .insert_source(written, on_written)
                .map_err(|e| format!("event loop: {e}"))?;
            for words in told {
                tracing::warn!("{words}");
                control.events.push_back((now, words));
            }
            control.roll = records
                .iter()
                .rev()
                .find_map(|r| match r {
                    StateRecord::RollingRestart { roll } => Some(roll.clone()),
                    _ => None,
                })
                .flatten()
                .map(|roll: RollingRestart| roll.restarted(now));
            control.state = Some(state);
            let change = self.registry.restore_records(records);
            self.control = Some(control);
            self.apply_registry_change(now, &change);
        } else {
            self.control = Some(control);
        }
        if let Some(path) = self.config.control_socket.clone() {
            let (listener, inode) = listen(&path, self.lifecycle.succeeds())?;
            let listener = Rc::new(listener);
            if let Some(control) = &mut self.control {
                control.socket = Some((path, inode));
            }
            self.operators = vec![Listener::Unix(listener.clone())];
            self.watch(listener, EventSource::Operators(0))
                .map_err(|e| format!("event loop: {e}"))?;
        }
        if let Some(crate::config::ControlPort { address: addr, key }) =
            self.config.control_port.clone()
        {
            let listener = Rc::new(
                super::clients::listen(addr).map_err(|e| format!("control port {addr}: {e}"))?,
            );
            if let Some(control) = &mut self.control {
                control.key = key;
            }
            self.operators.push(Listener::Tcp(listener.clone()));
            let place = self.operators.len() - 1;
            self.watch(listener, EventSource::Operators(place))
                .map_err(|e| format!("event loop: {e}"))?;
        }
        Ok(())
    }

    /// Something that operators should know has happened.
    pub(super) fn event(&mut self, now: Micros, words: String) {
        let at = self.wall_time(now);
        let Some(control) = &mut self.control else {
            return;
        };
        tracing::info!("{words}");
        // What was told before is old now.
        control.snapshot = None;
        if control.events.len() == EVENTS_MOST {
            control.events.pop_front();
        }
        control.events.push_back((at, words.clone()));
        let told: Vec<(ConnectionId, u64)> = control
            .operators
            .iter()
            .filter_map(|(&id, o)| Some((id, o.events?)))
            .collect();
        for (conn, id) in told {
            self.tell_operator(conn, &Reply::Event(at, words.clone()).line(id));
        }
    }

    /// Looks at the roll and at followers; called with each sweep.
    pub(super) fn tend_control(&mut self, now: Micros) {
        let Some(control) = &mut self.control else {
            return;
        };
        if control.roll.as_ref().is_some_and(|r| !r.is_over()) && now >= control.next_roll {
            control.next_roll = now + ROLL_EVERY;
            let sight = self.sight(now);
            let acts = self
                .control
                .as_mut()
                .and_then(|c| c.roll.as_mut())
                .map(|r| r.step(now, &sight));
            self.carry_out_roll(now, acts.unwrap_or_default());
        }
        for place in 0..self.operators.len() {
            self.accept_operators(place);
        }
        self.follow_operators(now);
    }
}

pub(super) enum Kept {
    /// Its end is told under this number.
    Coming(u64),
    NoFolder,
    Full,
}
