//! The model of a right that is lent, as deep as a test has time for; `driftfront-cluster-simulation check` goes further.

use driftfront_cluster_simulation::model::{Bounds, Wrong};
use stateright::{Checker, HasDiscoveries, Model};

fn found(wrong: Wrong, depth: usize) -> Vec<&'static str> {
    let bounds = Bounds {
        time: 2,
        terms: 2,
        entries: 3,
        wrong,
    };
    let checker = bounds.checker().threads(2).target_max_depth(depth);
    let done = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    done.discoveries().into_keys().collect()
}

#[test]
fn lease_is_never_used_by_two_despite_crashes_and_cuts() {
    let found = found(Wrong::Nothing, 11);
    assert!(
        !found.contains(&"never both") && !found.contains(&"agreed once"),
        "{found:?}"
    );
}

#[test]
fn mistaken_builds_are_found_out() {
    for wrong in [Wrong::FromTheAnswer, Wrong::OwnClock] {
        assert!(found(wrong, 12).contains(&"never both"), "{wrong:?}");
    }
}
