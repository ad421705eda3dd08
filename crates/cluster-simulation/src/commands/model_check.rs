//! Checks the model of the lease protocol in all states within the bounds, and verifies that the check detects implementations with
//! known defects.

use super::{number, CommandError, Outcome};
use driftfront_cluster_simulation::model::{Bounds, Defect, COMMITTED_IS_FINAL, MUTUAL_EXCLUSION};
use pico_args::Arguments;
use stateright::{Checker, HasDiscoveries, Model};

/// Maximum number of checker threads.
const MAX_THREADS: usize = 3;

pub(super) fn run(mut args: Arguments) -> Outcome {
    let bounds = Bounds {
        time: number(&mut args, "--time", 2)?,
        terms: number(&mut args, "--terms", 2)?,
        entries: number(&mut args, "--entries", 3)?,
        defect: Defect::None,
    };
    let max_depth = number(&mut args, "--depth", 12usize)?;
    let mut is_as_expected = true;
    for defect in [
        Defect::CountsFromResponse,
        Defect::UsesOwnClock,
        Defect::None,
    ] {
        is_as_expected &= check(Bounds { defect, ..bounds }, max_depth);
    }
    if is_as_expected {
        Ok(())
    } else {
        let why = "the model violates a property, or the check did not detect a known defect";
        Err(CommandError::Violated(why.into()))
    }
}

/// Returns whether the check finds a violation exactly if the implementation has a defect. A `max_depth` of 0 means no limit.
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
    let defect = defect_name(bounds.defect);
    println!(
        "{defect}: {} states, {} of them different, depth {}; found: {found:?}",
        done.state_count(),
        done.unique_state_count(),
        done.max_depth()
    );
    let is_correct = bounds.defect == Defect::None;
    if let Some(path) = done.discovery(MUTUAL_EXCLUSION).filter(|_| is_correct) {
        println!("{path:?}");
    }
    let is_violated = found
        .iter()
        .any(|f| f == MUTUAL_EXCLUSION || f == COMMITTED_IS_FINAL);
    is_violated != is_correct
}

/// Returns the name of a defect for the command's output.
fn defect_name(defect: Defect) -> &'static str {
    match defect {
        Defect::None => "Nothing",
        Defect::CountsFromResponse => "FromTheAnswer",
        Defect::UsesOwnClock => "OwnClock",
    }
}
