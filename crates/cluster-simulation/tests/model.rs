//! Checks the model of the lease protocol to a depth that is fast enough for a test. `driftfront-cluster-simulation check` goes
//! deeper.

use driftfront_cluster_simulation::model::{Bounds, Defect, COMMITTED_IS_FINAL, MUTUAL_EXCLUSION};
use stateright::{Checker, HasDiscoveries, Model};

fn find_violations(defect: Defect, depth: usize) -> Vec<&'static str> {
    let bounds = Bounds {
        time: 2,
        terms: 2,
        entries: 3,
        defect,
    };
    let checker = bounds.checker().threads(2).target_max_depth(depth);
    let done = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    done.discoveries().into_keys().collect()
}

#[test]
fn lease_never_has_two_users_despite_crashes_and_partitions() {
    let found = find_violations(Defect::None, 11);
    assert!(
        !found.contains(&MUTUAL_EXCLUSION) && !found.contains(&COMMITTED_IS_FINAL),
        "{found:?}"
    );
}

#[test]
fn known_defects_are_detected() {
    for defect in [Defect::CountsFromResponse, Defect::UsesOwnClock] {
        assert!(
            find_violations(defect, 12).contains(&MUTUAL_EXCLUSION),
            "{defect:?}"
        );
    }
}
