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

use fernlink::interface::Micros;

/// The front asks ten times a second and stops new connections 0.2 s after a no; until then nobody is sent away
/// who would only come back here.
pub const FRONT_HEARS: Micros = 300_000;
/// A connection on which nothing came for this long is not in the middle of anything: it closes first.
const QUIET: Micros = 300_000;
/// From here on none is kept idle. A request that comes later than 2 s after the no would still be open, and count as
/// fed, when the drain is looked at after 4 s; this leaves time for what crosses a close.
const NO_MORE_IDLE: Micros = 1_500_000;
/// After SIGTERM new requests may come for this long: 0.4 s of connections, 0.2 s more on them, and spare.
const LINGER: Micros = 800_000;
/// SIGKILL comes this long after SIGTERM in an upgrade, or sooner where no deadline is that long, and 0.7 s more; the
/// last answers go out so much before it.
const KILLED_AFTER: Micros = 5_000_000;
const KILL_SPARE: Micros = 700_000;
const LAST_WORD: Micros = 300_000;

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
    /// The longest time that a client waits, for the time of SIGKILL.
    longest: Micros,
}

impl Lifecycle {
    /// A process that starts. `succeeds`: another one serves meanwhile at its address. `held`: its listening socket is held
    /// by somebody else, too. `longest`: the longest deadline.
    pub fn new(succeeds: bool, held: bool, longest: Micros) -> Lifecycle {
        Lifecycle {
            begun: false,
            succeeds,
            held,
            paused: None,
            empty: false,
            successor: None,
            ending: None,
            longest,
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
        self.successor.into_iter().chain(self.ending.filter(|_| self.held)).min()
    }

    /// Whether new connections are taken from the backlog. A successor that is not ready yet leaves them to the earlier
    /// process, and that one leaves them to its successor: the backlog is the same. A drained process still takes what
    /// comes: it is asked here whether it is ready, and who comes all the same is served.
    pub fn accepts(&self) -> bool {
        self.left().is_none() && (self.begun || !self.succeeds)
    }

    /// Whether each answer tells its client that the connection closes.
    pub fn sends_away(&self) -> bool {
        self.left().is_some() || self.paused.is_some()
    }

    /// Whether a connection may stay on which nothing was open for this long.
    pub fn keeps(&self, now: Micros, idle: Micros) -> bool {
        // What shuts the door first counts.
        let Some(since) = self.left().into_iter().chain(self.paused).min() else { return true };
        let gone = now.saturating_sub(since);
        gone < FRONT_HEARS || gone < NO_MORE_IDLE && idle < QUIET
    }

    /// Whether the process may end, with so many requests and clients' connections open.
    pub fn may_end(&self, now: Micros, open: usize, clients: usize, writing: bool) -> bool {
        let Some(since) = self.ending else { return false };
        let answered = open == 0 && !writing;
        match self.left() {
            // New connections are the successor's; those that are left here close in order.
            Some(_) => answered && clients == 0,
            None => answered && now >= since + LINGER,
        }
    }

    /// When all that is still open has to be answered, since the process is killed soon after.
    pub fn last_word(&self) -> Option<Micros> {
        let since = self.ending.filter(|_| self.left().is_some())?;
        Some(since + self.longest.min(KILLED_AFTER) + KILL_SPARE - LAST_WORD)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Arbitrary, Gen, QuickCheck};

    const S: Micros = 1_000_000;

    #[derive(Clone, Debug)]
    enum Step {
        Begin,
        Pause,
        Resume,
        Successor(bool),
        End,
        Look(usize),
        Wait(Micros),
    }

    impl Arbitrary for Step {
        fn arbitrary(g: &mut Gen) -> Step {
            match u8::arbitrary(g) % 10 {
                0 => Step::Begin,
                1..=2 => Step::Pause,
                3..=4 => Step::Resume,
                5 => Step::Successor(bool::arbitrary(g)),
                6 => Step::End,
                7 => Step::Look(usize::from(u8::arbitrary(g) % 2)),
                _ => Step::Wait(u64::from(u16::arbitrary(g)) * 100),
            }
        }
    }

    /// What holds after any steps: see the single checks.
    fn holds(steps: Vec<Step>, succeeds: bool, held: bool) -> bool {
        let (mut life, mut now) = (Lifecycle::new(succeeds, held, 25 * S), S);
        let (mut begun, mut paused, mut successor, mut ending) = (false, None, None, None);
        for step in steps {
            match step {
                Step::Begin => {
                    life.begin();
                    begun = true;
                }
                Step::Pause => {
                    if life.pause(now) != paused.is_none() {
                        return false;
                    }
                    paused.get_or_insert(now);
                }
                Step::Resume => {
                    if life.resume() != paused.take().is_some() {
                        return false;
                    }
                }
                Step::Successor(there) => {
                    life.succeeded(now, there);
                    successor = there.then(|| successor.unwrap_or(now));
                }
                Step::End => {
                    life.end(now);
                    ending.get_or_insert(now);
                }
                Step::Look(clients) => drop(life.look(clients)),
                Step::Wait(for_) => now += for_,
            }
            let free = paused.is_none() && successor.is_none() && ending.is_none();
            // Yes is said only by one that serves; never both by it and a ready successor.
            let ready = life.is_ready() == (begun && free);
            // Somebody accepts, unless a successor does, or the earlier process still does.
            let left = successor.into_iter().chain(ending.filter(|_| held)).min();
            let accepts = life.accepts() == (left.is_none() && (begun || !succeeds));
            // 2 s after a drain, or a hand-over, began none is kept, however lately it was used.
            let away = paused.into_iter().chain(left).min();
            let kept = !away.is_some_and(|at| now >= at + 2 * S && life.keeps(now, 0));
            let told = life.sends_away() == away.is_some();
            let stays = ending.is_some() || !life.may_end(now, 0, 0, false);
            let answers = !life.may_end(now, 1, 1, false) && !life.may_end(now, 0, 1, true);
            if !(ready && accepts && kept && told && stays && answers) {
                return false;
            }
        }
        true
    }

    #[test]
    fn yes_is_said_and_connections_are_kept_only_while_it_serves() {
        let mut check = QuickCheck::new().tests(20_000).rng(Gen::from_size_and_seed(40, 18));
        check.quickcheck(holds as fn(Vec<Step>, bool, bool) -> bool);
    }

    #[test]
    fn a_drain_closes_quiet_connections_first_and_ends_with_a_call_back() {
        let mut life = Lifecycle::new(false, false, 25 * S);
        assert!(life.begin() && life.is_ready() && life.keeps(0, 5 * S));
        assert!(life.pause(10 * S) && !life.pause(11 * S) && life.accepts());
        assert!(life.keeps(10 * S + 200_000, S));
        assert!(!life.keeps(10 * S + 400_000, S) && life.keeps(10 * S + 400_000, 100_000));
        assert!(!life.look(1) && life.look(0) && life.state() == State::Drained);
        assert!(life.resume() && life.is_ready() && life.keeps(14 * S, 5 * S) && !life.resume());
    }

    #[test]
    fn what_hands_over_gives_its_last_answers_before_it_is_killed_and_stays_while_clients_do() {
        let mut life = Lifecycle::new(false, false, 25 * S);
        life.begin();
        assert!(life.succeeded(S, true) && !life.succeeded(S, true) && !life.accepts());
        // Its successor dies before the signal: this one serves on.
        assert!(life.succeeded(2 * S, false) && life.is_ready() && life.accepts());
        life.succeeded(3 * S, true);
        assert!(!life.may_end(4 * S, 0, 0, false));
        life.end(4 * S);
        assert!(life.may_end(4 * S, 0, 0, false) && !life.may_end(9 * S, 0, 1, false));
        assert_eq!(life.last_word(), Some(9 * S + 400_000));
        // Without a successor a signal means what it meant.
        let mut alone = Lifecycle::new(false, false, 25 * S);
        alone.end(S);
        assert!(!alone.may_end(S + 700_000, 0, 0, false) && alone.may_end(S + 800_000, 0, 3, false));
        assert_eq!(alone.last_word(), None);
        // But where the socket is held, what comes is the next process's, whether that is heard of or not.
        let mut held = Lifecycle::new(false, true, 25 * S);
        held.begin();
        held.end(4 * S);
        assert!(!held.accepts() && held.sends_away() && !held.may_end(6 * S, 0, 1, false));
        assert_eq!(held.last_word(), Some(9 * S + 400_000));
    }
}
