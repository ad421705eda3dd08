//! Challenge-response authentication on the control port.

use driftfront_control::key::{answer, verify_answer};

#[test]
fn only_the_answer_for_this_key_and_challenge_is_accepted() {
    let expected = answer(b"key", "c1");
    assert!(verify_answer(b"key", "c1", &expected));
    assert!(!verify_answer(b"other", "c1", &expected) && !verify_answer(b"key", "c2", &expected));
    for invalid in ["", "zz", &expected[..10], &format!("{expected}00"), "é"] {
        assert!(!verify_answer(b"key", "c1", invalid), "{invalid}");
    }
}
