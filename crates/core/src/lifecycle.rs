//! Whether this process serves, and what becomes of its clients' connections: one unit that `/alive`, STATUS, frontends
//! and signals all ask. It knows no clock and does no I/O: time is an argument, and the host tells what happened.
//!
//! ```text
//! starting ──► ready ◄──► draining ──► drained       PAUSE, RESUME
//!                │            │           │
//!                └────────────┴───────────┴──► handing over      a successor says that it is ready
//!                                                    │ ▲ it is gone again: back
//! any ──────────────────────────────────────────► ending         SIGTERM
//! ```
//!
//! | state | new connections | requests | ends when |
//! | --- | --- | --- | --- |
//! | starting | accepted, unless an earlier process still serves | accepted | the list of engines is known |
//! | ready | accepted | accepted | |
//! | draining, drained | accepted | accepted; each answer closes its connection | an operator resumes it |
//! | handing over | left to the successor | as draining | SIGTERM, or the successor is gone |
//! | ending | left to the next process, or accepted until [`SHUTDOWN_GRACE`] is over | the same | all is answered |

use driftfront_scheduler::Micros;

/// For so long after this process has said that it is not ready nothing is closed: the load balancer asks ten times a second and
/// stops new connections 0.2 s after a no; until then a client that is closed would only come back here.
pub const READINESS_POLL_TIME: Micros = 300_000;
/// A connection that was idle for this long is not in the middle of anything: it closes first.
const MIN_IDLE_TIME: Micros = 300_000;
/// From here on none stays open while idle. A request that comes later than 2 s after the no would still be open when the drain
/// is checked after 4 s; this leaves time for what crosses a close.
const MAX_IDLE_AFTER_DRAIN: Micros = 1_500_000;
/// After SIGTERM new connections come for 0.4 s and requests on open ones for 0.2 s more. What is read later than this may be
/// owed an answer still when SIGKILL comes, so it is rejected at once, and idle connections close.
pub const SHUTDOWN_GRACE: Micros = 700_000;
/// The process listens for so long after SIGTERM: the grace, and spare for what is on its way.
pub const LISTEN_TIME_AFTER_SIGNAL: Micros = 800_000;
/// Clients have so long to close their side after our last answer: a connection that ends with the process while bytes come on it
/// is reset, and what the client has not read yet goes with that.
const LAST_CLOSE_TIME: Micros = 250_000;
/// SIGKILL comes this long after SIGTERM in an upgrade, or sooner where no deadline is that long; and the margin later.
const UPGRADE_KILL_TIME: Micros = 5_000_000;
/// The same at a planned restart, on a platform that kills.
const RESTART_KILL_TIME: Micros = 3_000_000;
const KILL_MARGIN: Micros = 700_000;
/// The last answers go out so much before the kill.
const ANSWER_BEFORE_KILL: Micros = 300_000;

/// What this process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No list of engines yet, or what an earlier process knows is not taken over yet.
    Starting,
    /// It serves.
    Ready,
    /// An operator has paused it: clients are asked to go elsewhere.
    Draining,
    /// Paused, and no client is left.
    Drained,
    /// A successor serves at the same address; what was accepted here is answered.
    HandingOver,
    /// A signal has asked for the end.
    ShuttingDown,
}

impl State {
    /// Its name, as operators see it.
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

/// The life of one process.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    has_begun: bool,
    /// An earlier process serves at this address until this one is ready.
    replaces_earlier: bool,
    /// Somebody else holds the listening socket, too: what is left in its backlog waits for the next process.
    shares_listener: bool,
    paused_at: Option<Micros>,
    /// No client was left at the last check since it was paused.
    is_empty: bool,
    successor_at: Option<Micros>,
    ending_at: Option<Micros>,
    /// When all was answered after the signal.
    answered_at: Option<Micros>,
    /// The longest time that a client waits, for the time of SIGKILL.
    max_client_timeout: Micros,
    /// SIGKILL follows SIGTERM at a planned restart, too.
    is_killed_at_restart: bool,
}

impl Lifecycle {
    /// A process that starts. `succeeds`: another one serves meanwhile at its address. `held`: its listening socket is held
    /// by somebody else, too. `longest`: the longest deadline. `killed`: whoever sends SIGTERM sends SIGKILL after it, by the
    /// platform's rules.
    pub fn new(succeeds: bool, held: bool, longest: Micros, killed: bool) -> Lifecycle {
        Lifecycle {
            has_begun: false,
            replaces_earlier: succeeds,
            shares_listener: held,
            paused_at: None,
            is_empty: false,
            successor_at: None,
            ending_at: None,
            answered_at: None,
            max_client_timeout: longest,
            is_killed_at_restart: killed,
        }
    }

    /// What it is doing.
    pub fn state(&self) -> State {
        if self.ending_at.is_some() {
            State::ShuttingDown
        } else if self.successor_at.is_some() {
            State::HandingOver
        } else if self.paused_at.is_some() && self.is_empty {
            State::Drained
        } else if self.paused_at.is_some() {
            State::Draining
        } else if self.has_begun {
            State::Ready
        } else {
            State::Starting
        }
    }

    /// Records that the list of engines is known and what an earlier process knew is taken over. True if that is news.
    pub fn record_ready(&mut self) -> bool {
        !std::mem::replace(&mut self.has_begun, true)
    }

    /// Whether it has ever been ready.
    pub fn has_been_ready(&self) -> bool {
        self.has_begun
    }

    /// Whether it takes the place of an earlier process.
    pub fn replaces_earlier(&self) -> bool {
        self.replaces_earlier
    }

    /// Whether a later process serves.
    pub fn has_successor(&self) -> bool {
        self.successor_at.is_some()
    }

    /// Whether it says that it is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Ready
    }

    /// Records that an operator pauses it; true if that is news.
    pub fn pause(&mut self, now: Micros) -> bool {
        let is_news = self.paused_at.is_none();
        self.is_empty &= !is_news;
        self.paused_at.get_or_insert(now);
        is_news
    }

    /// Records that an operator resumes it; true if that is news.
    pub fn resume(&mut self) -> bool {
        self.is_empty = false;
        self.paused_at.take().is_some()
    }

    /// Records whether a successor is ready, at each check. True if that has changed.
    pub fn record_successor(&mut self, now: Micros, by_one: bool) -> bool {
        if by_one == self.successor_at.is_some() {
            return false;
        }
        // A successor that is gone may have left nobody else: this process takes its place again.
        self.successor_at = by_one.then_some(now);
        true
    }

    /// Records that a signal asks for the end.
    pub fn begin_shutdown(&mut self, now: Micros) {
        self.ending_at.get_or_insert(now);
    }

    /// Records how many connections clients have, at each check. True if the last of them has left a paused process.
    pub fn record_clients(&mut self, clients: usize) -> bool {
        let is_news = self.paused_at.is_some() && clients == 0 && !self.is_empty;
        self.is_empty |= is_news;
        is_news
    }

    /// Since when new connections are another process's: a successor's or, after the signal, the next one's.
    fn replaced_at(&self) -> Option<Micros> {
        let after_signal = self.ending_at.filter(|_| self.shares_listener);
        self.successor_at.into_iter().chain(after_signal).min()
    }

    /// From when on nothing more is accepted: no successor or holder of its socket takes what comes, and the grace is over.
    fn grace_ends_at(&self) -> Option<Micros> {
        let ending_alone = self.ending_at.filter(|_| self.replaced_at().is_none());
        ending_alone.map(|at| at + SHUTDOWN_GRACE)
    }

    /// Whether new connections are accepted from the backlog. A successor that is not ready yet leaves them to the earlier
    /// process, and that one leaves them to its successor: the backlog is the same. A drained process still accepts what
    /// comes: it is asked here whether it is ready, and who comes all the same is served.
    pub fn accepts_connections(&self) -> bool {
        self.replaced_at().is_none() && (self.has_begun || !self.replaces_earlier)
    }

    /// Whether the listening socket stays open. Once nothing more is accepted, who connects is better told by the system
    /// that nobody is here.
    pub fn is_listening(&self, now: Micros) -> bool {
        let is_early = |at| now < at + LISTEN_TIME_AFTER_SIGNAL;
        self.grace_ends_at().is_none() || self.ending_at.is_some_and(is_early)
    }

    /// Whether a request that is read now is accepted; else it is rejected at once.
    pub fn accepts_requests(&self, now: Micros) -> bool {
        self.grace_ends_at().is_none_or(|at| now < at)
    }

    /// Whether each answer tells its client that the connection closes.
    pub fn closes_connections(&self, now: Micros) -> bool {
        self.replaced_at().is_some() || self.paused_at.is_some() || !self.accepts_requests(now)
    }

    /// Whether a connection may stay on which nothing was open for this long.
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

    /// Whether the process may end, at each check, with so many requests and clients' connections open.
    pub fn may_exit(&mut self, now: Micros, open: usize, clients: usize, writing: bool) -> bool {
        let Some(ending_at) = self.ending_at else {
            return false;
        };
        let is_answered = open == 0 && !writing;
        if self.replaced_at().is_some() {
            // New connections are the successor's; those that are left here close in order.
            return is_answered && clients == 0;
        }
        if !is_answered || now < ending_at + LISTEN_TIME_AFTER_SIGNAL {
            self.answered_at = None;
            return false;
        }
        let answered_at = *self.answered_at.get_or_insert(now);
        clients == 0 || now >= answered_at + LAST_CLOSE_TIME
    }

    /// Whether all was answered after the signal, and only connections keep the process, for a moment.
    pub fn is_closing_last_connections(&self) -> bool {
        self.answered_at.is_some()
    }

    /// When all that is still open has to be answered, since the process may be killed soon after: what hangs at an engine
    /// until then would end with a reset. `None` where nobody kills it.
    pub fn shutdown_deadline(&self) -> Option<Micros> {
        let kill_time = if self.replaced_at().is_some() {
            UPGRADE_KILL_TIME
        } else if self.is_killed_at_restart {
            RESTART_KILL_TIME
        } else {
            return None;
        };
        let answer_time = self.max_client_timeout.min(kill_time) + KILL_MARGIN - ANSWER_BEFORE_KILL;
        self.ending_at.map(|at| at + answer_time)
    }
}
