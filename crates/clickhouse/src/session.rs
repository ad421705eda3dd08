//! Sessions: where each lives, what ties it there, and who may be forgotten.
//!
//! A session is state on one engine. It is *loose* while it only read: then it has a home, where later queries go
//! first, but may move when its home drains or dies. It is *tied* once a statement left something in it (a
//! temporary table, SET, USE): then it lives and dies with its engine. This table holds no sockets and no clock; it
//! names engines by the caller's numbers.
//!
//! Ids are the clients' own, so a flood of ids made up anew for each call must not displace the sessions in use.
//! A loose session that was used once is on probation and goes first; one that came back is kept longer; one that is
//! tied or busy never goes before its time. Only hashes of ids are held, so memory is bounded whatever their length.

use crate::exception::Exception;
use std::collections::{BTreeSet, HashMap};

/// Time in microseconds.
pub type Micros = u64;

/// Sessions held at most: each takes some 200 bytes.
pub const MAX_SESSIONS: usize = 8192;
/// Of these, the most that may be on probation: used once, and leaving nothing.
pub const MAX_PROBATION_SESSIONS: usize = 2048;
/// Longest life told by a client (`session_timeout`); the server's own default bound.
pub const MAX_SESSION_TIMEOUT: Micros = 3600 * 1_000_000;
/// Life without `session_timeout`; the server's own default.
pub const DEFAULT_SESSION_TIMEOUT: Micros = 60 * 1_000_000;

const NOT_FOUND: u32 = 372;
const LOCKED: u32 = 373;
const LOST_SESSION: &str = "Session not found: the engine that held it has left, with what was set or created in it. Begin a new \
                            session and create that anew";
const TOO_MANY: u32 = crate::exception::TOO_MANY_QUERIES;

/// A session's name here: a hash of its user and id, keyed by the program's seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionName(u128);

/// Where a query of a session is to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home<E> {
    /// The engine.
    pub engine: E,
    /// It can go nowhere else.
    pub tied: bool,
}

/// What became of a session's query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate<E> {
    /// It never ran on any engine.
    NeverRan,
    /// It ran there to its end; `true`: well.
    Ran(E, bool),
    /// It may have run there, and may still.
    Unknown(E),
}

/// What a statement leaves in its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaves {
    /// Nothing.
    Nothing,
    /// Something: a temporary table, a setting, a database, a transaction.
    Something,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Probation,
    Used,
    /// Tied or busy: not to be displaced.
    Fixed,
}

struct Session<E> {
    home: Option<E>,
    tied: bool,
    /// Its home is gone, with what was left there.
    lost: bool,
    /// A query of it is out, and what that would leave.
    busy: Option<Leaves>,
    uses: u32,
    used: Micros,
    expires: Micros,
    timeout: Micros,
}

impl<E> Session<E> {
    /// One that lives nowhere yet.
    fn new(now: Micros, timeout: Micros) -> Session<E> {
        Session {
            home: None,
            tied: false,
            lost: false,
            busy: None,
            uses: 0,
            used: now,
            expires: now + timeout,
            timeout,
        }
    }

    fn rank(&self) -> Rank {
        match () {
            () if self.busy.is_some() || self.tied && !self.lost => Rank::Fixed,
            () if self.uses < 2 || self.lost => Rank::Probation,
            () => Rank::Used,
        }
    }
}

/// Counts, for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Begun since the start.
    pub begun: u64,
    /// Ended by their time.
    pub expired: u64,
    /// Loose ones displaced by newer ones: the bound on their number bit.
    pub displaced: u64,
    /// Turned away since all held are tied or busy.
    pub turned_away: u64,
    /// Tied ones whose engine went.
    pub lost: u64,
    /// Loose ones that moved to another engine.
    pub moved: u64,
}

/// All sessions of one program.
pub struct SessionTable<E> {
    sessions: HashMap<SessionName, Session<E>>,
    /// By rank and last use, for displacing; and by their end.
    order: BTreeSet<(Rank, Micros, SessionName)>,
    ends: BTreeSet<(Micros, SessionName)>,
    probation: usize,
    max_sessions: usize,
    max_probation: usize,
    hasher: siphasher::sip128::SipHasher13,
    counts: Counts,
}

impl<E: Copy + PartialEq> SessionTable<E> {
    /// An empty table; the seed keys the hash of names, so that nobody can aim two ids at one place.
    pub fn new(seed: u64) -> SessionTable<E> {
        SessionTable::sized(seed, MAX_SESSIONS, MAX_PROBATION_SESSIONS)
    }

    /// One with other bounds: on all sessions, and on those on probation.
    pub fn sized(seed: u64, max_sessions: usize, max_probation: usize) -> SessionTable<E> {
        SessionTable {
            sessions: HashMap::new(),
            order: BTreeSet::new(),
            ends: BTreeSet::new(),
            probation: 0,
            max_sessions,
            max_probation,
            hasher: siphasher::sip128::SipHasher13::new_with_keys(seed, !seed),
            counts: Counts::default(),
        }
    }

    /// A session's name; sessions of different users differ.
    pub fn name(&self, user: &str, id: &str) -> SessionName {
        use siphasher::sip128::Hasher128;
        use std::hash::Hasher;
        let mut hasher = self.hasher;
        hasher.write(user.as_bytes());
        hasher.write_u8(0xff);
        hasher.write(id.as_bytes());
        SessionName(hasher.finish128().as_u128())
    }

    /// A query of a session has come. Answers where it is to go, if the session has a home; it is then busy until
    /// [`SessionTable::end_query`]. `check`: the session must exist already.
    pub fn begin(
        &mut self,
        now: Micros,
        name: SessionName,
        check: bool,
        timeout: Option<Micros>,
        leaves: Leaves,
    ) -> Result<Option<Home<E>>, Exception> {
        self.expire(now);
        let timeout = timeout
            .unwrap_or(DEFAULT_SESSION_TIMEOUT)
            .min(MAX_SESSION_TIMEOUT);
        match self.sessions.get(&name) {
            Some(session) if session.busy.is_some() => {
                return Err(Exception::new(
                    LOCKED,
                    "Session is locked by a concurrent client: one query at a time",
                ));
            }
            Some(session) if session.lost => {
                self.remove(name);
                return Err(Exception::new(NOT_FOUND, LOST_SESSION));
            }
            Some(_) => {}
            None if check => return Err(Exception::new(NOT_FOUND, "Session not found")),
            None => {
                self.make_room()?;
                self.counts.begun += 1;
                self.insert(name, Session::new(now, timeout));
            }
        }
        self.change(name, |s| {
            s.busy = Some(leaves);
            s.uses = s.uses.saturating_add(1);
            (s.used, s.timeout) = (now, timeout);
        });
        let session = self.sessions.get(&name);
        Ok(session.and_then(|s| {
            Some(Home {
                engine: s.home?,
                tied: s.tied,
            })
        }))
    }

    /// A session's query is over, and nothing of it is out any more.
    pub fn end_query(&mut self, now: Micros, name: SessionName, fate: Fate<E>) {
        let Some(session) = self.sessions.get(&name) else {
            return;
        };
        let (moved, fresh) = match (fate, session.home) {
            (Fate::Ran(to, _) | Fate::Unknown(to), Some(from)) => (to != from, false),
            (_, home) => (false, home.is_none()),
        };
        if fresh && fate == Fate::NeverRan {
            // Turned away before it lived anywhere: there is no such session.
            return self.remove(name);
        }
        self.counts.moved += u64::from(moved && !session.tied && !session.lost);
        self.change(name, |s| {
            let left = s.busy.take() == Some(Leaves::Something);
            match fate {
                Fate::NeverRan => {}
                _ if s.lost => {}
                Fate::Ran(engine, well) => {
                    s.home = Some(engine);
                    s.tied |= left && well;
                }
                // What may have been left must not be forgotten.
                Fate::Unknown(engine) => {
                    s.home = Some(engine);
                    s.tied |= left;
                }
            }
            (s.used, s.expires) = (now, now + s.timeout);
        });
    }

    /// An engine drains or is gone: nothing new goes there. Loose sessions may move; tied ones are lost.
    pub fn engine_left(&mut self, engine: E) {
        let there: Vec<SessionName> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.home == Some(engine))
            .map(|(&name, _)| name)
            .collect();
        for name in there {
            let mut lost = false;
            self.change(name, |s| {
                lost = s.tied && !s.lost;
                s.lost |= s.tied;
                // A busy one that would leave something is lost once that has run: see `end_query`.
                s.home = None;
            });
            self.counts.lost += u64::from(lost);
        }
    }

    /// Ends those whose time is over; those that are busy stay.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&(at, name)) = self.ends.first() {
            if at > now {
                return;
            }
            if self.sessions.get(&name).is_some_and(|s| s.busy.is_some()) {
                // Its time begins anew when its query is over.
                self.change(name, |s| s.expires = now + s.timeout.max(1_000_000));
            } else {
                self.counts.expired += 1;
                self.remove(name);
            }
        }
    }

    /// Sessions held now, and of these the tied ones.
    pub fn held(&self) -> (usize, usize) {
        (
            self.sessions.len(),
            self.sessions.values().filter(|s| s.tied && !s.lost).count(),
        )
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Displaces what is least worth keeping, if there is no room for one more.
    fn make_room(&mut self) -> Result<(), Exception> {
        if self.sessions.len() < self.max_sessions && self.probation < self.max_probation {
            return Ok(());
        }
        match self.order.first() {
            Some(&(rank, _, name)) if rank < Rank::Fixed => {
                self.counts.displaced += 1;
                self.remove(name);
                Ok(())
            }
            // Those on probation are at their bound by being busy: there is room among all.
            _ if self.sessions.len() < self.max_sessions => Ok(()),
            _ => {
                self.counts.turned_away += 1;
                Err(Exception::new(
                    TOO_MANY,
                    "Too many sessions hold something or run a query: try again later",
                ))
            }
        }
    }

    fn insert(&mut self, name: SessionName, session: Session<E>) {
        self.probation += usize::from(session.rank() == Rank::Probation);
        self.order.insert((session.rank(), session.used, name));
        self.ends.insert((session.expires, name));
        self.sessions.insert(name, session);
    }

    fn take(&mut self, name: SessionName) -> Option<Session<E>> {
        let session = self.sessions.remove(&name)?;
        self.probation -= usize::from(session.rank() == Rank::Probation);
        self.order.remove(&(session.rank(), session.used, name));
        self.ends.remove(&(session.expires, name));
        Some(session)
    }

    fn remove(&mut self, name: SessionName) {
        let _ = self.take(name);
    }

    fn change(&mut self, name: SessionName, how: impl FnOnce(&mut Session<E>)) {
        if let Some(mut session) = self.take(name) {
            how(&mut session);
            self.insert(name, session);
        }
        debug_assert_eq!(self.order.len(), self.sessions.len());
        debug_assert_eq!(self.ends.len(), self.sessions.len());
    }
}

/// A hash that differs with each seed, for what needs no name of its own.
pub fn keyed_hash(seed: u64, bytes: &[u8]) -> u64 {
    siphasher::sip::SipHasher13::new_with_keys(seed, !seed).hash(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Arbitrary, Gen, QuickCheck};

    const S: Micros = 1_000_000;

    fn read(book: &mut SessionTable<u8>, now: Micros, id: &str, on: u8) -> Option<Home<u8>> {
        let name = book.name("u", id);
        let home = book
            .begin(now, name, false, None, Leaves::Nothing)
            .expect("room");
        book.end_query(now, name, Fate::Ran(on, true));
        home
    }

    fn tie(book: &mut SessionTable<u8>, now: Micros, id: &str, on: u8) {
        let name = book.name("u", id);
        book.begin(now, name, false, None, Leaves::Something)
            .expect("room");
        book.end_query(now, name, Fate::Ran(on, true));
    }

    #[test]
    fn a_session_stays_where_it_first_ran_and_one_that_only_read_moves_when_that_leaves() {
        let mut book = SessionTable::new(1);
        assert_eq!(read(&mut book, 0, "a", 3), None);
        assert_eq!(
            read(&mut book, 1, "a", 3),
            Some(Home {
                engine: 3,
                tied: false
            })
        );
        book.engine_left(3);
        assert_eq!(read(&mut book, 2, "a", 4), None);
        assert_eq!(
            read(&mut book, 3, "a", 4),
            Some(Home {
                engine: 4,
                tied: false
            })
        );
    }

    #[test]
    fn a_tied_session_is_lost_with_its_engine_and_its_client_is_told_once() {
        let mut book = SessionTable::new(1);
        tie(&mut book, 0, "a", 3);
        assert_eq!(
            read(&mut book, 1, "a", 3),
            Some(Home {
                engine: 3,
                tied: true
            })
        );
        book.engine_left(3);
        let name = book.name("u", "a");
        let told = book
            .begin(2, name, false, None, Leaves::Nothing)
            .expect_err("lost");
        assert!(told.code == 372 && told.text.contains("has left"));
        // Told, it may begin anew.
        assert_eq!(book.begin(3, name, false, None, Leaves::Nothing), Ok(None));
        assert_eq!(book.counts().lost, 1);
    }

    #[test]
    fn a_statement_that_failed_ties_nothing_and_one_of_unknown_fate_does() {
        let mut book = SessionTable::new(1);
        for (id, fate, tied) in [
            ("a", Fate::Ran(3, false), false),
            ("b", Fate::Unknown(3), true),
        ] {
            let name = book.name("u", id);
            book.begin(0, name, false, None, Leaves::Something)
                .expect("room");
            book.end_query(0, name, fate);
            let home = book.begin(1, name, true, None, Leaves::Nothing);
            assert_eq!(home, Ok(Some(Home { engine: 3, tied })), "{id}");
        }
    }

    #[test]
    fn one_query_at_a_time_a_check_that_fails_and_an_end_by_time() {
        let mut book: SessionTable<u8> = SessionTable::new(1);
        let (name, other) = (book.name("u", "a"), book.name("v", "a"));
        let begin = |book: &mut SessionTable<u8>, now, name, check| {
            book.begin(now, name, check, Some(10 * S), Leaves::Nothing)
                .map_err(|e| e.code)
        };
        assert_eq!(begin(&mut book, 0, name, true), Err(372));
        assert_eq!(begin(&mut book, 0, name, false), Ok(None));
        assert_eq!(begin(&mut book, 0, name, false), Err(373));
        assert_eq!(
            begin(&mut book, 0, other, false),
            Ok(None),
            "another user's"
        );
        // Busy beyond its time, it stays; its time begins anew when its query is over.
        assert_eq!(begin(&mut book, 30 * S, name, false), Err(373));
        book.end_query(31 * S, name, Fate::Ran(1, true));
        assert!(begin(&mut book, 40 * S, name, true).is_ok());
        book.end_query(40 * S, name, Fate::Ran(1, true));
        assert_eq!(begin(&mut book, 50 * S, name, true), Err(372));
        assert_eq!(book.counts().expired, 1);
        // One that was turned away before it ran anywhere never was.
        book.end_query(51 * S, other, Fate::NeverRan);
        assert_eq!(begin(&mut book, 51 * S, other, true), Err(372));
    }

    #[test]
    fn a_million_ids_made_up_anew_displace_no_session_in_use_and_grow_nothing() {
        let mut book = SessionTable::new(7);
        for n in 0..100 {
            tie(&mut book, n, &format!("tied-{n}"), 1);
            read(&mut book, n, &format!("used-{n}"), 2);
            read(&mut book, n, &format!("used-{n}"), 2);
        }
        for n in 0..1_000_000 {
            read(&mut book, 100 + n, &format!("made-up-{n}"), 3);
        }
        assert!(book.held().0 <= MAX_PROBATION_SESSIONS + 200 && book.order.len() == book.held().0);
        for n in 0..100 {
            assert!(read(&mut book, 2 * S, &format!("tied-{n}"), 1).is_some_and(|h| h.tied));
            assert!(read(&mut book, 2 * S, &format!("used-{n}"), 2).is_some());
        }
        assert!(book.counts().displaced >= 1_000_000 - MAX_PROBATION_SESSIONS as u64);
    }

    #[test]
    fn where_all_are_tied_a_new_one_is_turned_away_and_none_is_displaced() {
        let mut book = SessionTable::sized(7, 20, 5);
        for n in 0..20 {
            tie(&mut book, n, &format!("{n}"), 1);
        }
        let name = book.name("u", "more");
        assert_eq!(
            book.begin(30, name, false, None, Leaves::Nothing)
                .map_err(|e| e.code),
            Err(202)
        );
        assert_eq!((book.held(), book.counts().turned_away), ((20, 20), 1));
    }

    #[derive(Clone, Debug)]
    enum Step {
        Begin(u8, bool, bool),
        Over(u8, u8, u8),
        Left(u8),
        Pass(u8),
    }

    impl Arbitrary for Step {
        fn arbitrary(g: &mut Gen) -> Step {
            let (a, b, c) = (u8::arbitrary(g) % 12, u8::arbitrary(g), u8::arbitrary(g));
            match u8::arbitrary(g) % 8 {
                0..=3 => Step::Begin(a, b % 2 == 0, c % 3 == 0),
                4..=5 => Step::Over(a, b % 3, c % 4),
                6 => Step::Left(b % 3),
                _ => Step::Pass(b),
            }
        }
    }

    /// Against a plain model: tied sessions are never forgotten before their time, never move, and the bounds hold.
    #[test]
    fn random_steps_keep_what_is_promised() {
        fn holds(steps: Vec<Step>) -> bool {
            let mut book: SessionTable<u8> = SessionTable::sized(3, 8, 3);
            let mut busy: HashMap<u8, bool> = HashMap::new();
            let mut tied: HashMap<u8, (u8, Micros)> = HashMap::new();
            let mut now = 0;
            for step in steps {
                match step {
                    Step::Begin(id, check, leaves) => {
                        let name = book.name("u", &id.to_string());
                        let what = if leaves {
                            Leaves::Something
                        } else {
                            Leaves::Nothing
                        };
                        let begun = book.begin(now, name, check, Some(100 * S), what);
                        match (
                            begun,
                            tied.get(&id).filter(|t| t.1 > now),
                            busy.contains_key(&id),
                        ) {
                            (Err(e), _, true) if e.code == 373 => {}
                            (_, _, true) => return false,
                            (Ok(home), Some(t), _)
                                if home
                                    != Some(Home {
                                        engine: t.0,
                                        tied: true,
                                    }) =>
                            {
                                return false
                            }
                            (Err(_), Some(_), _) => return false,
                            (Ok(_), ..) => {
                                busy.insert(id, leaves);
                            }
                            (Err(_), ..) => {}
                        }
                    }
                    Step::Over(id, engine, how) => {
                        let Some(left) = busy.remove(&id) else {
                            continue;
                        };
                        // A tied session's query can only have run at its home.
                        let engine = tied.get(&id).map_or(engine, |t| t.0);
                        let fate = match how {
                            0 => Fate::NeverRan,
                            1 => Fate::Unknown(engine),
                            how => Fate::Ran(engine, how == 2),
                        };
                        let name = book.name("u", &id.to_string());
                        let known = book.sessions.get(&name).is_some_and(|s| !s.lost);
                        book.end_query(now, name, fate);
                        let ties = left && matches!(fate, Fate::Unknown(_) | Fate::Ran(_, true));
                        if known && (ties || tied.contains_key(&id)) {
                            tied.insert(id, (engine, now + 100 * S));
                        }
                    }
                    Step::Left(engine) => {
                        book.engine_left(engine);
                        tied.retain(|_, t| t.0 != engine);
                    }
                    Step::Pass(s) => now += u64::from(s) * S / 4,
                }
                tied.retain(|id, t| t.1 > now || busy.contains_key(id));
                let fixed = book
                    .sessions
                    .values()
                    .filter(|s| s.rank() == Rank::Fixed)
                    .count();
                let sum = book
                    .sessions
                    .values()
                    .filter(|s| s.rank() == Rank::Probation)
                    .count();
                if book.sessions.len() > 8
                    || sum != book.probation
                    || book.order.len() != book.sessions.len()
                {
                    return false;
                }
                if fixed < busy.len() {
                    return false;
                }
            }
            true
        }
        QuickCheck::new()
            .tests(2000)
            .quickcheck(holds as fn(Vec<Step>) -> bool);
    }
}
