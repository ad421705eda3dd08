//! The model of the lease protocol, as deep as a test has time for; `driftfront-cluster-simulation check` goes further.

use driftfront_cluster_simulation::model::{Bounds, Mistake};
use stateright::{Checker, HasDiscoveries, Model};

fn found(mistake: Mistake, depth: usize) -> Vec<&'static str> {
    let bounds = Bounds {
        time: 2,
        terms: 2,
        entries: 3,
        mistake,
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
    let found = found(Mistake::None, 11);
    assert!(
        !found.contains(&"never both") && !found.contains(&"agreed once"),
        "{found:?}"
    );
}

#[test]
fn mistaken_builds_are_found_out() {
    for mistake in [Mistake::CountsFromResponse, Mistake::UsesOwnClock] {
        assert!(found(mistake, 12).contains(&"never both"), "{mistake:?}");
    }
}
