//! The key of the control port.

use driftfront_control::key::{answer, verify_answer};

#[test]
fn only_the_answer_of_this_key_to_this_challenge_is_right() {
    let expected = answer(b"key", "c1");
    assert!(verify_answer(b"key", "c1", &expected));
    assert!(!verify_answer(b"other", "c1", &expected) && !verify_answer(b"key", "c2", &expected));
    for odd in ["", "zz", &expected[..10], &format!("{expected}00"), "é"] {
        assert!(!verify_answer(b"key", "c1", odd), "{odd}");
    }
}
