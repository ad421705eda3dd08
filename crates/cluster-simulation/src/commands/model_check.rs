//! Checks the model of the lease protocol in all states within the bounds, and whether the check finds what mistaken
//! implementations would do.

use super::{number, CommandError, Outcome};
use driftfront_cluster_simulation::model::{Bounds, Mistake, COMMITTED_ONCE, NEVER_BOTH};
use pico_args::Arguments;
use stateright::{Checker, HasDiscoveries, Model};

/// Threads that check at once.
const MAX_THREADS: usize = 3;

pub(super) fn run(mut args: Arguments) -> Outcome {
    let bounds = Bounds {
        time: number(&mut args, "--time", 2)?,
        terms: number(&mut args, "--terms", 2)?,
        entries: number(&mut args, "--entries", 3)?,
        mistake: Mistake::None,
    };
    let max_depth = number(&mut args, "--depth", 12usize)?;
    let mut is_as_expected = true;
    for mistake in [
        Mistake::CountsFromResponse,
        Mistake::UsesOwnClock,
        Mistake::None,
    ] {
        is_as_expected &= check(Bounds { mistake, ..bounds }, max_depth);
    }
    if is_as_expected {
        Ok(())
    } else {
        let why = "the model lends twice, or does not find what a mistaken build would do";
        Err(CommandError::Violated(why.into()))
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
    let mistake = mistake_text(bounds.mistake);
    println!(
        "{mistake}: {} states, {} of them different, depth {}; found: {found:?}",
        done.state_count(),
        done.unique_state_count(),
        done.max_depth()
    );
    let is_correct = bounds.mistake == Mistake::None;
    if let Some(path) = done.discovery(NEVER_BOTH).filter(|_| is_correct) {
        println!("{path:?}");
    }
    let is_held_twice = found.iter().any(|f| f == NEVER_BOTH || f == COMMITTED_ONCE);
    is_held_twice != is_correct
}

/// A mistake as the command prints it.
fn mistake_text(mistake: Mistake) -> &'static str {
    match mistake {
        Mistake::None => "Nothing",
        Mistake::CountsFromResponse => "FromTheAnswer",
        Mistake::UsesOwnClock => "OwnClock",
    }
}
