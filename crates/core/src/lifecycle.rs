//! The lifecycle of the process: whether it is ready, accepts connections and requests, and may exit. `/alive`, STATUS, frontends
//! and signal handling all use this state. It reads no clock and does no I/O: the host passes in the time and reports events.
//!
//! ```text
//! starting ──► ready ◄──► draining ──► drained       PAUSE, RESUME
//!                │            │           │
//!                └────────────┴───────────┴──► handing over      a successor becomes ready
//!                                                    │ ▲ the successor disappears
//! any ──────────────────────────────────────────► ending         SIGTERM
//! ```
//!
//! | state | new connections | requests | until |
//! | --- | --- | --- | --- |
//! | starting | accepted, unless an earlier process still serves | accepted | the list of engines is known |
//! | ready | accepted | accepted | |
//! | draining, drained | accepted | accepted; each answer closes its connection | an operator resumes the process |
//! | handing over | left to the successor | as draining | SIGTERM, or the successor is gone |
//! | ending | left to the next process, or accepted for [`SHUTDOWN_GRACE`] | same as new connections | all requests are answered |

use driftfront_scheduler::Micros;

/// For this long after the process stops being ready, no connection is closed. The load balancer polls readiness ten times a
/// second and stops new connections 0.2 s after a negative answer; until then, a disconnected client would reconnect to this
/// process.
pub const READINESS_POLL_TIME: Micros = 300_000;
/// Idle time after which a connection is closed first in a drain, because its client is unlikely to be between two requests.
const MIN_IDLE_TIME: Micros = 300_000;
/// Time after the start of a drain or hand-over from which all idle connections are closed. A request that arrives more than 2 s
/// after the process stopped being ready would still be open when the drain is checked after 4 s; the difference allows for
/// requests that are already on their way when their connection is closed.
const MAX_IDLE_AFTER_DRAIN: Micros = 1_500_000;
/// After SIGTERM, new connections arrive for 0.4 s and requests on open connections for another 0.2 s. A request read later than
/// this might still be unanswered at SIGKILL, so it is rejected at once, and idle connections are closed.
pub const SHUTDOWN_GRACE: Micros = 700_000;
/// Time after SIGTERM for which the process listens: [`SHUTDOWN_GRACE`] plus a reserve for connections being established.
pub const LISTEN_TIME_AFTER_SIGNAL: Micros = 800_000;
/// Time for clients to close their connections after the last answer. If the process exits while a client still sends, the
/// connection is reset, and the client loses the part of the response that it has not read.
const LAST_CLOSE_TIME: Micros = 250_000;
/// In an upgrade, SIGKILL follows SIGTERM after this time, or after the longest client timeout if that is shorter, plus
/// [`KILL_MARGIN`].
const UPGRADE_KILL_TIME: Micros = 5_000_000;
/// The same in a planned restart, on a platform that then sends SIGKILL.
const RESTART_KILL_TIME: Micros = 3_000_000;
/// Added by the platform to the time before SIGKILL.
const KILL_MARGIN: Micros = 700_000;
/// The last answers are sent at least this long before SIGKILL.
const ANSWER_BEFORE_KILL: Micros = 300_000;

/// The state of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The list of engines is not known yet, or the state of an earlier process has not been taken over yet.
    Starting,
    /// Serving.
    Ready,
    /// Paused by an operator; clients are asked to connect elsewhere.
    Draining,
    /// Paused, with no clients left.
    Drained,
    /// A successor serves at the same address; requests accepted here are still answered.
    HandingOver,
    /// A signal has requested the shutdown.
    ShuttingDown,
}

impl State {
    /// The state's name, as shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Ready => "ready",
            State::Draining => "draining",
            State::Drained => "drained",
            State::HandingOver => "handing over",
            State::ShuttingDown => "ending",
        }
    }
}

/// The lifecycle of one process.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    has_been_ready: bool,
    /// Whether an earlier process serves at this address until this one is ready.
    replaces_earlier: bool,
    /// Whether another process also holds the listening socket, so that connections left in its backlog wait for the next
    /// coordinator.
    shares_listener: bool,
    paused_at: Option<Micros>,
    /// Whether no client was connected at a check since the process was paused.
    is_empty: bool,
    successor_at: Option<Micros>,
    shutdown_at: Option<Micros>,
    /// When all requests had been answered after the signal.
    answered_at: Option<Micros>,
    /// The longest client timeout, which limits the time before SIGKILL.
    max_client_timeout: Micros,
    /// Whether SIGKILL follows SIGTERM also in a planned restart.
    is_killed_at_restart: bool,
}

impl Lifecycle {
    /// Creates the lifecycle of a process that starts.
    ///
    /// - `replaces_earlier`: an earlier process serves at this address until this one is ready.
    /// - `shares_listener`: another process also holds the listening socket.
    /// - `max_client_timeout`: the longest client timeout.
    /// - `is_killed_at_restart`: by the platform's rules, SIGKILL follows SIGTERM also in a planned restart.
    pub fn new(
        replaces_earlier: bool,
        shares_listener: bool,
        max_client_timeout: Micros,
        is_killed_at_restart: bool,
    ) -> Lifecycle {
        Lifecycle {
            has_been_ready: false,
            replaces_earlier,
            shares_listener,
            paused_at: None,
            is_empty: false,
            successor_at: None,
            shutdown_at: None,
            answered_at: None,
            max_client_timeout,
            is_killed_at_restart,
        }
    }

    /// The current state.
    pub fn state(&self) -> State {
        if self.shutdown_at.is_some() {
            State::ShuttingDown
        } else if self.successor_at.is_some() {
            State::HandingOver
        } else if self.paused_at.is_some() && self.is_empty {
            State::Drained
        } else if self.paused_at.is_some() {
            State::Draining
        } else if self.has_been_ready {
            State::Ready
        } else {
            State::Starting
        }
    }

    /// Records that the list of engines is known and an earlier process's state has been taken over. Returns true the first time.
    pub fn record_ready(&mut self) -> bool {
        !std::mem::replace(&mut self.has_been_ready, true)
    }

    /// Whether the process has ever been ready.
    pub fn has_been_ready(&self) -> bool {
        self.has_been_ready
    }

    /// Whether the process replaces an earlier one.
    pub fn replaces_earlier(&self) -> bool {
        self.replaces_earlier
    }

    /// Whether a successor is ready.
    pub fn has_successor(&self) -> bool {
        self.successor_at.is_some()
    }

    /// Whether the process reports that it is ready.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Ready
    }

    /// Pauses the process for an operator. Returns whether it was not paused before.
    pub fn pause(&mut self, now: Micros) -> bool {
        let has_changed = self.paused_at.is_none();
        self.is_empty &= !has_changed;
        self.paused_at.get_or_insert(now);
        has_changed
    }

    /// Resumes the process for an operator. Returns whether it was paused before.
    pub fn resume(&mut self) -> bool {
        self.is_empty = false;
        self.paused_at.take().is_some()
    }

    /// Records at each check whether a successor is ready. Returns whether that has changed.
    pub fn record_successor(&mut self, now: Micros, is_ready: bool) -> bool {
        if is_ready == self.successor_at.is_some() {
            return false;
        }
        // If the successor disappears, this process serves again, as there may be no other.
        self.successor_at = is_ready.then_some(now);
        true
    }

    /// Records that a signal has requested the shutdown.
    pub fn begin_shutdown(&mut self, now: Micros) {
        self.shutdown_at.get_or_insert(now);
    }

    /// Records at each check the number of client connections. Returns true once the last one to a paused process has closed.
    pub fn record_clients(&mut self, clients: usize) -> bool {
        let has_drained = self.paused_at.is_some() && clients == 0 && !self.is_empty;
        self.is_empty |= has_drained;
        has_drained
    }

    /// Since when new connections are left to another process: a ready successor or, after the signal, the next process.
    fn replaced_at(&self) -> Option<Micros> {
        let after_signal = self.shutdown_at.filter(|_| self.shares_listener);
        self.successor_at.into_iter().chain(after_signal).min()
    }

    /// When the process stops accepting requests after the signal; `None` before the signal, or if another process accepts them.
    fn grace_ends_at(&self) -> Option<Micros> {
        let unreplaced = self.shutdown_at.filter(|_| self.replaced_at().is_none());
        unreplaced.map(|at| at + SHUTDOWN_GRACE)
    }

    /// Whether new connections are accepted from the backlog, which is shared with an earlier process or a successor: a successor
    /// leaves them to the earlier process until it is ready, and from then on the earlier process leaves them to the successor. A
    /// drained process still accepts connections, since readiness checks arrive on them too, and serves any request.
    pub fn accepts_connections(&self) -> bool {
        self.replaced_at().is_none() && (self.has_been_ready || !self.replaces_earlier)
    }

    /// Whether the listening socket stays open. Once no more requests are accepted, it is closed so that the operating system
    /// refuses new connections.
    pub fn is_listening(&self, now: Micros) -> bool {
        let is_early = |at| now < at + LISTEN_TIME_AFTER_SIGNAL;
        self.grace_ends_at().is_none() || self.shutdown_at.is_some_and(is_early)
    }

    /// Whether a request that is read now is accepted; otherwise it is rejected at once.
    pub fn accepts_requests(&self, now: Micros) -> bool {
        self.grace_ends_at().is_none_or(|at| now < at)
    }

    /// Whether each answer announces that the connection will be closed.
    pub fn closes_connections(&self, now: Micros) -> bool {
        self.replaced_at().is_some() || self.paused_at.is_some() || !self.accepts_requests(now)
    }

    /// Whether a connection that has been idle for this long may stay open.
    pub fn may_keep_alive(&self, now: Micros, idle: Micros) -> bool {
        if !self.accepts_requests(now) {
            return false;
        }
        let Some(since) = self.replaced_at().into_iter().chain(self.paused_at).min() else {
            return true;
        };
        let age = now.saturating_sub(since);
        age < READINESS_POLL_TIME || age < MAX_IDLE_AFTER_DRAIN && idle < MIN_IDLE_TIME
    }

    /// Whether the process may exit, determined at each check from the number of open requests, the number of client connections
    /// and whether any answer is still being written.
    pub fn may_exit(
        &mut self,
        now: Micros,
        open_requests: usize,
        clients: usize,
        is_writing: bool,
    ) -> bool {
        let Some(shutdown_at) = self.shutdown_at else {
            return false;
        };
        let is_answered = open_requests == 0 && !is_writing;
        if self.replaced_at().is_some() {
            // New connections go to the successor, so the remaining ones can be closed in an orderly way.
            return is_answered && clients == 0;
        }
        if !is_answered || now < shutdown_at + LISTEN_TIME_AFTER_SIGNAL {
            self.answered_at = None;
            return false;
        }
        let answered_at = *self.answered_at.get_or_insert(now);
        clients == 0 || now >= answered_at + LAST_CLOSE_TIME
    }

    /// Whether all requests have been answered after the signal, and the process only waits briefly for connections to close.
    pub fn is_closing_last_connections(&self) -> bool {
        self.answered_at.is_some()
    }

    /// When all open requests have to be answered, because SIGKILL may follow soon after and would reset their connections; `None`
    /// if the process is not killed.
    pub fn shutdown_deadline(&self) -> Option<Micros> {
        let kill_time = if self.replaced_at().is_some() {
            UPGRADE_KILL_TIME
        } else if self.is_killed_at_restart {
            RESTART_KILL_TIME
        } else {
            return None;
        };
        let answer_time = self.max_client_timeout.min(kill_time) + KILL_MARGIN - ANSWER_BEFORE_KILL;
        self.shutdown_at.map(|at| at + answer_time)
    }
}
