//! Whether a process serves, takes, keeps and may end: random steps against a model, and single cases.

use driftfront_core::lifecycle::{Lifecycle, State, LISTEN_TIME_AFTER_SIGNAL, SHUTDOWN_GRACE};
use driftfront_core::Micros;
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
fn keeps_promises(steps: Vec<Step>, succeeds: bool, held: bool) -> bool {
    let (mut life, mut now) = (Lifecycle::new(succeeds, held, 25 * S, false), S);
    let (mut begun, mut paused, mut successor, mut ending) = (false, None, None, None);
    for step in steps {
        match step {
            Step::Begin => {
                life.record_ready();
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
                life.record_successor(now, there);
                successor = there.then(|| successor.unwrap_or(now));
            }
            Step::End => {
                life.begin_shutdown(now);
                ending.get_or_insert(now);
            }
            Step::Look(clients) => drop(life.record_clients(clients)),
            Step::Wait(for_) => now += for_,
        }
        let min_retries = paused.is_none() && successor.is_none() && ending.is_none();
        // Yes is said only by one that serves; never both by it and a ready successor.
        let ready = life.is_ready() == (begun && min_retries);
        // Somebody accepts, unless a successor does, or the earlier process still does.
        let left = successor.into_iter().chain(ending.filter(|_| held)).min();
        let accepts = life.accepts_connections() == (left.is_none() && (begun || !succeeds));
        // 2 s after a drain, or a hand-over, began none is kept, however lately it was used.
        let away = paused.into_iter().chain(left).min();
        let kept = !away.is_some_and(|at| now >= at + 2 * S && life.may_keep_alive(now, 0));
        let leaves = ending
            .filter(|_| left.is_none())
            .is_some_and(|at| now >= at + SHUTDOWN_GRACE);
        let outcome = life.closes_connections(now) == (away.is_some() || leaves);
        // Once it leaves for good nothing more is taken, kept or, a little later, listened for.
        let gone = life.accepts_requests(now) != leaves && !(leaves && life.may_keep_alive(now, 0));
        let listens = life.is_listening(now)
            || leaves && ending.is_some_and(|at| now >= at + LISTEN_TIME_AFTER_SIGNAL);
        let stays = ending.is_some() || !life.may_exit(now, 0, 0, false);
        let answers = !life.may_exit(now, 1, 1, false) && !life.may_exit(now, 0, 1, true);
        if !(ready && accepts && kept && outcome && stays && answers && gone && listens) {
            return false;
        }
    }
    true
}

#[test]
fn ready_and_keep_alive_only_while_serving() {
    let mut check = QuickCheck::new()
        .tests(20_000)
        .rng(Gen::from_size_and_seed(40, 18));
    check.quickcheck(keeps_promises as fn(Vec<Step>, bool, bool) -> bool);
}

#[test]
fn drain_closes_idle_connections_first_and_ends_on_resume() {
    let mut life = Lifecycle::new(false, false, 25 * S, false);
    assert!(life.record_ready() && life.is_ready() && life.may_keep_alive(0, 5 * S));
    assert!(life.pause(10 * S) && !life.pause(11 * S) && life.accepts_connections());
    assert!(life.may_keep_alive(10 * S + 200_000, S));
    assert!(
        !life.may_keep_alive(10 * S + 400_000, S) && life.may_keep_alive(10 * S + 400_000, 100_000)
    );
    assert!(!life.record_clients(1) && life.record_clients(0) && life.state() == State::Drained);
    assert!(
        life.resume() && life.is_ready() && life.may_keep_alive(14 * S, 5 * S) && !life.resume()
    );
}

#[test]
fn handover_answers_before_the_kill_and_waits_for_clients() {
    let mut life = Lifecycle::new(false, false, 25 * S, false);
    life.record_ready();
    assert!(
        life.record_successor(S, true)
            && !life.record_successor(S, true)
            && !life.accepts_connections()
    );
    // Its successor dies before the signal: this one serves on.
    assert!(life.record_successor(2 * S, false) && life.is_ready() && life.accepts_connections());
    life.record_successor(3 * S, true);
    assert!(!life.may_exit(4 * S, 0, 0, false));
    life.begin_shutdown(4 * S);
    assert!(life.may_exit(4 * S, 0, 0, false) && !life.may_exit(9 * S, 0, 1, false));
    assert_eq!(life.shutdown_deadline(), Some(9 * S + 400_000));
    // Without a successor a signal means what it meant.
    let mut alone = Lifecycle::new(false, false, 25 * S, false);
    alone.begin_shutdown(S);
    assert!(!alone.may_exit(S + 700_000, 0, 0, false) && alone.may_exit(S + 800_000, 0, 0, false));
    assert_eq!(alone.shutdown_deadline(), None);
    // But where the socket is held, what comes is the next process's, whether that is heard of or not.
    let mut held = Lifecycle::new(false, true, 25 * S, false);
    held.record_ready();
    held.begin_shutdown(4 * S);
    assert!(
        !held.accepts_connections()
            && held.closes_connections(4 * S)
            && !held.may_exit(6 * S, 0, 1, false)
    );
    assert_eq!(held.shutdown_deadline(), Some(9 * S + 400_000));
}

#[test]
fn idle_clients_have_time_to_close_after_the_last_answer() {
    let mut life = Lifecycle::new(false, false, 25 * S, true);
    life.record_ready();
    life.begin_shutdown(S);
    // Nothing is open, but three clients rest; a request that is open again begins the time anew.
    assert!(!life.may_exit(2 * S, 0, 3, false) && !life.may_exit(2 * S + 200_000, 0, 3, false));
    assert!(
        !life.may_exit(2 * S + 250_000, 1, 3, false)
            && !life.may_exit(2 * S + 300_000, 0, 3, false)
    );
    assert!(
        !life.may_exit(2 * S + 549_000, 0, 3, false) && life.may_exit(2 * S + 550_000, 0, 3, false)
    );
    assert!(life.may_exit(2 * S + 310_000, 0, 0, false));
}

#[test]
fn restart_answers_open_requests_before_the_kill() {
    let mut life = Lifecycle::new(false, false, 25 * S, true);
    life.record_ready();
    life.begin_shutdown(S);
    assert!(
        life.accepts_requests(S + SHUTDOWN_GRACE - 1)
            && life.may_keep_alive(S + SHUTDOWN_GRACE - 1, 5 * S)
            && !life.closes_connections(S + SHUTDOWN_GRACE - 1)
    );
    assert!(
        !life.accepts_requests(S + SHUTDOWN_GRACE)
            && !life.may_keep_alive(S + SHUTDOWN_GRACE, 0)
            && life.closes_connections(S + SHUTDOWN_GRACE)
    );
    assert!(
        life.is_listening(S + LISTEN_TIME_AFTER_SIGNAL - 1)
            && !life.is_listening(S + LISTEN_TIME_AFTER_SIGNAL)
    );
    assert_eq!(life.shutdown_deadline(), Some(4 * S + 400_000));
    // Where nobody is known to kill, what is open is served as long as its client waits.
    let mut unkilled = Lifecycle::new(false, false, 25 * S, false);
    unkilled.begin_shutdown(S);
    assert_eq!(unkilled.shutdown_deadline(), None);
}
