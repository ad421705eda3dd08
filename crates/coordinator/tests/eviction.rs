//! Which client connection is closed first when file descriptors run short.

use driftfront::net::eviction::rank;

#[test]
fn idle_time_counts_for_more_before_the_first_request() {
    let (closing, used, fresh) = (
        |idle| rank(true, false, idle),
        |idle| rank(false, false, idle),
        |idle| rank(false, true, idle),
    );
    assert!(closing(0) > fresh(9_000_000) && fresh(500_000) > used(3_000_000));
    assert!(used(2_000_000) > fresh(100_000));
}
