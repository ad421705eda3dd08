//! The model of a lease, in all states that can be reached within the bounds, and whether the check finds what mistaken builds
//! would do.

use super::{number, CommandError, Outcome};
use driftfront_cluster_simulation::model::{Bounds, Wrong};
use pico_args::Arguments;
use stateright::{Checker, HasDiscoveries, Model};

/// Threads at most.
const MAX_THREADS: usize = 3;
/// The properties of the model that a mistaken build breaks.
const NEVER_BOTH: &str = "never both";
const AGREED_ONCE: &str = "agreed once";

pub(super) fn run(mut args: Arguments) -> Outcome {
    let bounds = Bounds {
        time: number(&mut args, "--time", 2)?,
        terms: number(&mut args, "--terms", 2)?,
        entries: number(&mut args, "--entries", 3)?,
        wrong: Wrong::Nothing,
    };
    let max_depth = number(&mut args, "--depth", 12usize)?;
    let mut is_as_expected = true;
    for wrong in [Wrong::FromTheAnswer, Wrong::OwnClock, Wrong::Nothing] {
        is_as_expected &= check(Bounds { wrong, ..bounds }, max_depth);
    }
    if is_as_expected {
        Ok(())
    } else {
        let why = "the model lends twice, or does not find what a mistaken build would do";
        Err(CommandError::Broken(why.into()))
    }
}

/// Whether the check finds a lease held twice just where the build is mistaken. `max_depth`: 0 for none.
fn check(bounds: Bounds, max_depth: usize) -> bool {
    let threads = std::thread::available_parallelism();
    let checker = bounds
        .checker()
        .threads(threads.map_or(2, |n| n.get().min(MAX_THREADS)));
    let checker = match max_depth {
        0 => checker,
        depth => checker.target_max_depth(depth),
    };
    let done = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found: Vec<String> = done.discoveries().into_keys().map(String::from).collect();
    let wrong = bounds.wrong;
    println!(
        "{wrong:?}: {} states, {} of them different, depth {}; found: {found:?}",
        done.state_count(),
        done.unique_state_count(),
        done.max_depth()
    );
    let is_correct = wrong == Wrong::Nothing;
    if let Some(path) = done.discovery(NEVER_BOTH).filter(|_| is_correct) {
        println!("{path:?}");
    }
    let is_held_twice = found.iter().any(|f| f == NEVER_BOTH || f == AGREED_ONCE);
    is_held_twice != is_correct
}
