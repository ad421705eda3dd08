//! Who goes where descriptors are short.

use driftfront::net::eviction::rank;

#[test]
fn a_newcomer_has_time_to_speak_while_others_idle() {
    let (closing, asked, fresh) = (
        |idle| rank(true, false, idle),
        |idle| rank(false, false, idle),
        |idle| rank(false, true, idle),
    );
    assert!(closing(0) > fresh(9_000_000) && fresh(500_000) > asked(3_000_000));
    assert!(asked(2_000_000) > fresh(100_000));
}
