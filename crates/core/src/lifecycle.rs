//! Whether this process serves, and what becomes of its clients' connections: one unit that `/alive`, STATUS, fronts
//! and signals all ask. It knows no clock and does no I/O: time is an argument, and the host tells what happened.
//!
//! ```text
//! starting ──► ready ◄──► draining ──► drained       PAUSE, RESUME
//!                │            │           │
//!                └────────────┴───────────┴──► handing over      a successor says that it is ready
//!                                                    │ ▲ it is gone again: back
//! any ──────────────────────────────────────────► ending         SIGTERM
//! ```

use driftfront_scheduler::interface::Micros;

/// The front asks ten times a second and stops new connections 0.2 s after a no; until then nobody is sent away
/// who would only come back here.
pub const FRONT_HEARS: Micros = 300_000;
/// A connection on which nothing came for this long is not in the middle of anything: it closes first.
const QUIET: Micros = 300_000;
/// From here on none is kept idle. A request that comes later than 2 s after the no would still be open, and count as
/// fed, when the drain is looked at after 4 s; this leaves time for what crosses a close.
const NO_MORE_IDLE: Micros = 1_500_000;
/// After SIGTERM new connections come for 0.4 s and requests on open ones for 0.2 s more. What is read later than this may be
/// owed an answer still when SIGKILL comes, so it is refused at once, and connections at rest close.
pub const GRACE: Micros = 700_000;
/// The process listens for so long after SIGTERM: the grace, and spare for what is on its way.
pub const LISTENS: Micros = 800_000;
/// Clients have so long to close their side behind our last answer, since a connection that ends with the process while
/// bytes come on it is reset, and what the client has not read yet goes with that.
const LAST_CLOSE: Micros = 250_000;
/// SIGKILL comes this long after SIGTERM in an upgrade, or sooner where no deadline is that long, and 0.7 s more; the
/// last answers go out so much before it.
const KILLED_AFTER: Micros = 5_000_000;
/// The same at a planned restart, on a platform that kills.
const RESTART_KILLS_AFTER: Micros = 3_000_000;
const KILL_SPARE: Micros = 700_000;
const ANSWERED_BEFORE_KILL: Micros = 300_000;

/// What this process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No list of engines yet, or what an earlier process knows is not taken over yet.
    Starting,
    /// It serves.
    Ready,
    /// An operator has paused it: clients are sent away.
    Draining,
    /// Paused, and nobody is left.
    Drained,
    /// A successor serves at the same address; what was taken here is answered.
    HandingOver,
    /// A signal has asked for the end.
    Ending,
}

impl State {
    /// In a word or two.
    pub fn word(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Ready => "ready",
            State::Draining => "draining",
            State::Drained => "drained",
            State::HandingOver => "handing over",
            State::Ending => "ending",
        }
    }
}

/// The life of one process.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    begun: bool,
    /// An earlier process serves at this address until this one is ready.
    succeeds: bool,
    /// Somebody else holds the listening socket: what is left in its backlog waits for the next process.
    held: bool,
    paused: Option<Micros>,
    /// Nobody was left at the last look since it was paused.
    empty: bool,
    successor: Option<Micros>,
    ending: Option<Micros>,
    /// All was answered then, after the signal.
    answered: Option<Micros>,
    /// The longest time that a client waits, for the time of SIGKILL.
    longest: Micros,
    /// Whether SIGKILL follows SIGTERM at a planned restart, too.
    killed: bool,
}

impl Lifecycle {
    /// A process that starts. `succeeds`: another one serves meanwhile at its address. `held`: its listening socket is held
    /// by somebody else, too. `longest`: the longest deadline. `killed`: whoever sends SIGTERM sends SIGKILL behind it, by the
    /// platform's rules.
    pub fn new(succeeds: bool, held: bool, longest: Micros, killed: bool) -> Lifecycle {
        Lifecycle {
            begun: false,
            succeeds,
            held,
            paused: None,
            empty: false,
            successor: None,
            ending: None,
            answered: None,
            longest,
            killed,
        }
    }

    /// What it is doing.
    pub fn state(&self) -> State {
        match () {
            () if self.ending.is_some() => State::Ending,
            () if self.successor.is_some() => State::HandingOver,
            () if self.paused.is_some() && self.empty => State::Drained,
            () if self.paused.is_some() => State::Draining,
            () if self.begun => State::Ready,
            () => State::Starting,
        }
    }

    /// The list of engines is known and what an earlier process knew is taken over. True if that is news.
    pub fn begin(&mut self) -> bool {
        !std::mem::replace(&mut self.begun, true)
    }

    /// Whether it has ever been ready.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Whether it takes the place of an earlier process.
    pub fn succeeds(&self) -> bool {
        self.succeeds
    }

    /// Whether a later process serves.
    pub fn is_succeeded(&self) -> bool {
        self.successor.is_some()
    }

    /// Whether it says that it is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.state() == State::Ready
    }

    /// An operator sends its clients away; true if that is news.
    pub fn pause(&mut self, now: Micros) -> bool {
        let news = self.paused.is_none();
        self.empty &= !news;
        self.paused.get_or_insert(now);
        news
    }

    /// An operator calls it back to work; true if that is news.
    pub fn resume(&mut self) -> bool {
        self.empty = false;
        self.paused.take().is_some()
    }

    /// Whether a successor is ready, at each look. True if that has changed.
    pub fn succeeded(&mut self, now: Micros, by_one: bool) -> bool {
        match (by_one, self.successor) {
            (true, None) => self.successor = Some(now),
            // It died, and may have left nobody else: this process takes its place again.
            (false, Some(_)) => self.successor = None,
            _ => return false,
        }
        true
    }

    /// A signal asks for the end.
    pub fn end(&mut self, now: Micros) {
        self.ending.get_or_insert(now);
    }

    /// How many connections clients have, at each look. True if the last of them has left a paused process.
    pub fn look(&mut self, clients: usize) -> bool {
        let news = self.paused.is_some() && clients == 0 && !self.empty;
        self.empty |= news;
        news
    }

    /// Since when new connections are another process's: a successor's or, after the signal, the next one's.
    fn left(&self) -> Option<Micros> {
        self.successor
            .into_iter()
            .chain(self.ending.filter(|_| self.held))
            .min()
    }

    /// Since when the process leaves for good: no successor or holder of its socket takes what comes, and the grace is over.
    fn leaves(&self) -> Option<Micros> {
        self.ending
            .filter(|_| self.left().is_none())
            .map(|at| at + GRACE)
    }

    /// Whether new connections are taken from the backlog. A successor that is not ready yet leaves them to the earlier
    /// process, and that one leaves them to its successor: the backlog is the same. A drained process still takes what
    /// comes: it is asked here whether it is ready, and who comes all the same is served.
    pub fn accepts(&self) -> bool {
        self.left().is_none() && (self.begun || !self.succeeds)
    }

    /// Whether the listening socket stays open. Once the process leaves for good, who connects is better told by the system
    /// that nobody is here.
    pub fn listens(&self, now: Micros) -> bool {
        self.leaves().is_none() || self.ending.is_some_and(|at| now < at + LISTENS)
    }

    /// Whether a request that is read now is taken; else it is refused at once.
    pub fn takes(&self, now: Micros) -> bool {
        self.leaves().is_none_or(|at| now < at)
    }

    /// Whether each answer tells its client that the connection closes.
    pub fn sends_away(&self, now: Micros) -> bool {
        self.left().is_some() || self.paused.is_some() || !self.takes(now)
    }

    /// Whether a connection may stay on which nothing was open for this long.
    pub fn keeps_alive(&self, now: Micros, idle: Micros) -> bool {
        if !self.takes(now) {
            return false;
        }
        // What shuts the door first counts.
        let Some(since) = self.left().into_iter().chain(self.paused).min() else {
            return true;
        };
        let gone = now.saturating_sub(since);
        gone < FRONT_HEARS || gone < NO_MORE_IDLE && idle < QUIET
    }

    /// Whether the process may end, at each look, with so many requests and clients' connections open.
    pub fn may_end(&mut self, now: Micros, open: usize, clients: usize, writing: bool) -> bool {
        let Some(since) = self.ending else {
            return false;
        };
        let answered = open == 0 && !writing;
        if self.left().is_some() {
            // New connections are the successor's; those that are left here close in order.
            return answered && clients == 0;
        }
        if !answered || now < since + LISTENS {
            self.answered = None;
            return false;
        }
        let answered = *self.answered.get_or_insert(now);
        clients == 0 || now >= answered + LAST_CLOSE
    }

    /// Whether all was answered after the signal, and only connections keep the process, for a moment.
    pub fn closes_last(&self) -> bool {
        self.answered.is_some()
    }

    /// When all that is still open has to be answered, since the process may be killed soon after: what hangs at an engine
    /// until then would end with a reset.
    pub fn shutdown_deadline(&self) -> Option<Micros> {
        let kill = match (self.left().is_some(), self.killed) {
            (true, _) => KILLED_AFTER,
            (false, true) => RESTART_KILLS_AFTER,
            (false, false) => return None,
        };
        self.ending
            .map(|at| at + self.longest.min(kill) + KILL_SPARE - ANSWERED_BEFORE_KILL)
    }
}
