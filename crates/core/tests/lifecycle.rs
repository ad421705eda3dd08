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
        let min_retries = paused.is_none() && successor.is_none() && ending.is_none();
        // Yes is said only by one that serves; never both by it and a ready successor.
        let ready = life.is_ready() == (begun && min_retries);
        // Somebody accepts, unless a successor does, or the earlier process still does.
        let left = successor.into_iter().chain(ending.filter(|_| held)).min();
        let accepts = life.accepts() == (left.is_none() && (begun || !succeeds));
        // 2 s after a drain, or a hand-over, began none is kept, however lately it was used.
        let away = paused.into_iter().chain(left).min();
        let kept = !away.is_some_and(|at| now >= at + 2 * S && life.keeps_alive(now, 0));
        let leaves = ending
            .filter(|_| left.is_none())
            .is_some_and(|at| now >= at + SHUTDOWN_GRACE);
        let outcome = life.sends_away(now) == (away.is_some() || leaves);
        // Once it leaves for good nothing more is taken, kept or, a little later, listened for.
        let gone = life.takes(now) != leaves && !(leaves && life.keeps_alive(now, 0));
        let listens = life.listens(now)
            || leaves && ending.is_some_and(|at| now >= at + LISTEN_TIME_AFTER_SIGNAL);
        let stays = ending.is_some() || !life.may_end(now, 0, 0, false);
        let answers = !life.may_end(now, 1, 1, false) && !life.may_end(now, 0, 1, true);
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
    assert!(life.begin() && life.is_ready() && life.keeps_alive(0, 5 * S));
    assert!(life.pause(10 * S) && !life.pause(11 * S) && life.accepts());
    assert!(life.keeps_alive(10 * S + 200_000, S));
    assert!(!life.keeps_alive(10 * S + 400_000, S) && life.keeps_alive(10 * S + 400_000, 100_000));
    assert!(!life.look(1) && life.look(0) && life.state() == State::Drained);
    assert!(life.resume() && life.is_ready() && life.keeps_alive(14 * S, 5 * S) && !life.resume());
}

#[test]
fn handover_answers_before_the_kill_and_waits_for_clients() {
    let mut life = Lifecycle::new(false, false, 25 * S, false);
    life.begin();
    assert!(life.succeeded(S, true) && !life.succeeded(S, true) && !life.accepts());
    // Its successor dies before the signal: this one serves on.
    assert!(life.succeeded(2 * S, false) && life.is_ready() && life.accepts());
    life.succeeded(3 * S, true);
    assert!(!life.may_end(4 * S, 0, 0, false));
    life.end(4 * S);
    assert!(life.may_end(4 * S, 0, 0, false) && !life.may_end(9 * S, 0, 1, false));
    assert_eq!(life.shutdown_deadline(), Some(9 * S + 400_000));
    // Without a successor a signal means what it meant.
    let mut alone = Lifecycle::new(false, false, 25 * S, false);
    alone.end(S);
    assert!(!alone.may_end(S + 700_000, 0, 0, false) && alone.may_end(S + 800_000, 0, 0, false));
    assert_eq!(alone.shutdown_deadline(), None);
    // But where the socket is held, what comes is the next process's, whether that is heard of or not.
    let mut held = Lifecycle::new(false, true, 25 * S, false);
    held.begin();
    held.end(4 * S);
    assert!(!held.accepts() && held.sends_away(4 * S) && !held.may_end(6 * S, 0, 1, false));
    assert_eq!(held.shutdown_deadline(), Some(9 * S + 400_000));
}

#[test]
fn idle_clients_have_time_to_close_after_the_last_answer() {
    let mut life = Lifecycle::new(false, false, 25 * S, true);
    life.begin();
    life.end(S);
    // Nothing is open, but three clients rest; a request that is open again begins the time anew.
    assert!(!life.may_end(2 * S, 0, 3, false) && !life.may_end(2 * S + 200_000, 0, 3, false));
    assert!(
        !life.may_end(2 * S + 250_000, 1, 3, false) && !life.may_end(2 * S + 300_000, 0, 3, false)
    );
    assert!(
        !life.may_end(2 * S + 549_000, 0, 3, false) && life.may_end(2 * S + 550_000, 0, 3, false)
    );
    assert!(life.may_end(2 * S + 310_000, 0, 0, false));
}

#[test]
fn restart_answers_open_requests_before_the_kill() {
    let mut life = Lifecycle::new(false, false, 25 * S, true);
    life.begin();
    life.end(S);
    assert!(
        life.takes(S + SHUTDOWN_GRACE - 1)
            && life.keeps_alive(S + SHUTDOWN_GRACE - 1, 5 * S)
            && !life.sends_away(S + SHUTDOWN_GRACE - 1)
    );
    assert!(
        !life.takes(S + SHUTDOWN_GRACE)
            && !life.keeps_alive(S + SHUTDOWN_GRACE, 0)
            && life.sends_away(S + SHUTDOWN_GRACE)
    );
    assert!(
        life.listens(S + LISTEN_TIME_AFTER_SIGNAL - 1)
            && !life.listens(S + LISTEN_TIME_AFTER_SIGNAL)
    );
    assert_eq!(life.shutdown_deadline(), Some(4 * S + 400_000));
    // Where nobody is known to kill, what is open is served as long as its client waits.
    let mut unkilled = Lifecycle::new(false, false, 25 * S, false);
    unkilled.end(S);
    assert_eq!(unkilled.shutdown_deadline(), None);
}
