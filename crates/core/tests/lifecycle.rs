//! Tests of the process lifecycle: random steps against a model, and single cases.

use driftfront_core::lifecycle::{Lifecycle, State, LISTEN_TIME_AFTER_SIGNAL, SHUTDOWN_GRACE};
use driftfront_core::Micros;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const S: Micros = 1_000_000;

#[derive(Clone, Debug)]
enum Step {
    RecordReady,
    Pause,
    Resume,
    RecordSuccessor(bool),
    BeginShutdown,
    RecordClients(usize),
    Wait(Micros),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 10 {
            0 => Step::RecordReady,
            1..=2 => Step::Pause,
            3..=4 => Step::Resume,
            5 => Step::RecordSuccessor(bool::arbitrary(g)),
            6 => Step::BeginShutdown,
            7 => Step::RecordClients(usize::from(u8::arbitrary(g) % 2)),
            _ => Step::Wait(u64::from(u16::arbitrary(g)) * 100),
        }
    }
}

/// Checks the invariants of [`Lifecycle`] after each step.
fn holds_invariants(steps: Vec<Step>, replaces_earlier: bool, shares_listener: bool) -> bool {
    let mut lifecycle = Lifecycle::new(replaces_earlier, shares_listener, 25 * S, false);
    let mut now = S;
    let mut has_been_ready = false;
    let (mut paused, mut successor, mut shutdown) = (None, None, None);
    for step in steps {
        match step {
            Step::RecordReady => {
                lifecycle.record_ready();
                has_been_ready = true;
            }
            Step::Pause => {
                if lifecycle.pause(now) != paused.is_none() {
                    return false;
                }
                paused.get_or_insert(now);
            }
            Step::Resume => {
                if lifecycle.resume() != paused.take().is_some() {
                    return false;
                }
            }
            Step::RecordSuccessor(is_ready) => {
                lifecycle.record_successor(now, is_ready);
                successor = is_ready.then(|| successor.unwrap_or(now));
            }
            Step::BeginShutdown => {
                lifecycle.begin_shutdown(now);
                shutdown.get_or_insert(now);
            }
            Step::RecordClients(clients) => drop(lifecycle.record_clients(clients)),
            Step::Wait(time) => now += time,
        }
        // Only a serving process is ready, and never together with a ready successor.
        let is_serving = paused.is_none() && successor.is_none() && shutdown.is_none();
        let mut holds = lifecycle.is_ready() == (has_been_ready && is_serving);
        // The process accepts connections unless a successor or a still serving earlier process does.
        let replaced = successor
            .into_iter()
            .chain(shutdown.filter(|_| shares_listener))
            .min();
        holds &= lifecycle.accepts_connections()
            == (replaced.is_none() && (has_been_ready || !replaces_earlier));
        // 2 s after the start of a drain or a hand-over no idle connection is kept, however recently it was used.
        let drain = paused.into_iter().chain(replaced).min();
        holds &= !drain.is_some_and(|at| now >= at + 2 * S && lifecycle.may_keep_alive(now, 0));
        let is_grace_over = shutdown
            .filter(|_| replaced.is_none())
            .is_some_and(|at| now >= at + SHUTDOWN_GRACE);
        holds &= lifecycle.closes_connections(now) == (drain.is_some() || is_grace_over);
        // After the grace of a shutdown no request is accepted and no connection kept; a little later it stops listening.
        holds &= lifecycle.accepts_requests(now) != is_grace_over
            && !(is_grace_over && lifecycle.may_keep_alive(now, 0));
        holds &= lifecycle.is_listening(now)
            || is_grace_over && shutdown.is_some_and(|at| now >= at + LISTEN_TIME_AFTER_SIGNAL);
        // It exits only after a signal, and only with all requests answered.
        holds &= shutdown.is_some() || !lifecycle.may_exit(now, 0, 0, false);
        holds &= !lifecycle.may_exit(now, 1, 1, false) && !lifecycle.may_exit(now, 0, 1, true);
        if !holds {
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
    check.quickcheck(holds_invariants as fn(Vec<Step>, bool, bool) -> bool);
}

#[test]
fn drain_closes_idle_connections_first_and_ends_on_resume() {
    let mut lifecycle = Lifecycle::new(false, false, 25 * S, false);
    assert!(lifecycle.record_ready() && lifecycle.is_ready() && lifecycle.may_keep_alive(0, 5 * S));
    assert!(lifecycle.pause(10 * S) && !lifecycle.pause(11 * S) && lifecycle.accepts_connections());
    assert!(lifecycle.may_keep_alive(10 * S + 200_000, S));
    assert!(
        !lifecycle.may_keep_alive(10 * S + 400_000, S)
            && lifecycle.may_keep_alive(10 * S + 400_000, 100_000)
    );
    assert!(
        !lifecycle.record_clients(1)
            && lifecycle.record_clients(0)
            && lifecycle.state() == State::Drained
    );
    assert!(
        lifecycle.resume()
            && lifecycle.is_ready()
            && lifecycle.may_keep_alive(14 * S, 5 * S)
            && !lifecycle.resume()
    );
}

#[test]
fn handover_answers_before_the_kill_and_waits_for_clients() {
    let mut lifecycle = Lifecycle::new(false, false, 25 * S, false);
    lifecycle.record_ready();
    assert!(
        lifecycle.record_successor(S, true)
            && !lifecycle.record_successor(S, true)
            && !lifecycle.accepts_connections()
    );
    // The successor exits before the signal, so this process serves again.
    assert!(
        lifecycle.record_successor(2 * S, false)
            && lifecycle.is_ready()
            && lifecycle.accepts_connections()
    );
    lifecycle.record_successor(3 * S, true);
    assert!(!lifecycle.may_exit(4 * S, 0, 0, false));
    lifecycle.begin_shutdown(4 * S);
    assert!(lifecycle.may_exit(4 * S, 0, 0, false) && !lifecycle.may_exit(9 * S, 0, 1, false));
    assert_eq!(lifecycle.shutdown_deadline(), Some(9 * S + 400_000));
    // Without a successor, the signal starts an ordinary shutdown.
    let mut alone = Lifecycle::new(false, false, 25 * S, false);
    alone.begin_shutdown(S);
    assert!(!alone.may_exit(S + 700_000, 0, 0, false) && alone.may_exit(S + 800_000, 0, 0, false));
    assert_eq!(alone.shutdown_deadline(), None);
    // If another process holds the socket too, new connections wait for the next coordinator, even if none has reported yet.
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
    let mut lifecycle = Lifecycle::new(false, false, 25 * S, true);
    lifecycle.record_ready();
    lifecycle.begin_shutdown(S);
    // No request is open, but three clients are idle. Another open request restarts the waiting time.
    assert!(
        !lifecycle.may_exit(2 * S, 0, 3, false)
            && !lifecycle.may_exit(2 * S + 200_000, 0, 3, false)
    );
    assert!(
        !lifecycle.may_exit(2 * S + 250_000, 1, 3, false)
            && !lifecycle.may_exit(2 * S + 300_000, 0, 3, false)
    );
    assert!(
        !lifecycle.may_exit(2 * S + 549_000, 0, 3, false)
            && lifecycle.may_exit(2 * S + 550_000, 0, 3, false)
    );
    assert!(lifecycle.may_exit(2 * S + 310_000, 0, 0, false));
}

#[test]
fn restart_answers_open_requests_before_the_kill() {
    let mut lifecycle = Lifecycle::new(false, false, 25 * S, true);
    lifecycle.record_ready();
    lifecycle.begin_shutdown(S);
    assert!(
        lifecycle.accepts_requests(S + SHUTDOWN_GRACE - 1)
            && lifecycle.may_keep_alive(S + SHUTDOWN_GRACE - 1, 5 * S)
            && !lifecycle.closes_connections(S + SHUTDOWN_GRACE - 1)
    );
    assert!(
        !lifecycle.accepts_requests(S + SHUTDOWN_GRACE)
            && !lifecycle.may_keep_alive(S + SHUTDOWN_GRACE, 0)
            && lifecycle.closes_connections(S + SHUTDOWN_GRACE)
    );
    assert!(
        lifecycle.is_listening(S + LISTEN_TIME_AFTER_SIGNAL - 1)
            && !lifecycle.is_listening(S + LISTEN_TIME_AFTER_SIGNAL)
    );
    assert_eq!(lifecycle.shutdown_deadline(), Some(4 * S + 400_000));
    // If no SIGKILL is expected, open requests are served until their clients time out.
    let mut unkilled = Lifecycle::new(false, false, 25 * S, false);
    unkilled.begin_shutdown(S);
    assert_eq!(unkilled.shutdown_deadline(), None);
}
