//! Who goes where descriptors are short.

use driftfront::net::eviction::rank;

#[test]
fn fresh_connection_outranks_only_long_idle_ones() {
    let (closing, asked, fresh) = (
        |idle| rank(true, false, idle),
        |idle| rank(false, false, idle),
        |idle| rank(false, true, idle),
    );
    assert!(closing(0) > fresh(9_000_000) && fresh(500_000) > asked(3_000_000));
    assert!(asked(2_000_000) > fresh(100_000));
}
