//! The key of the control port.

use driftfront_control::key::{answer, is_right};

#[test]
fn only_the_answer_of_this_key_to_this_challenge_is_right() {
    let expected = answer(b"key", "c1");
    assert!(is_right(b"key", "c1", &expected));
    assert!(!is_right(b"other", "c1", &expected) && !is_right(b"key", "c2", &expected));
    for odd in ["", "zz", &expected[..10], &format!("{expected}00"), "é"] {
        assert!(!is_right(b"key", "c1", odd), "{odd}");
    }
}
