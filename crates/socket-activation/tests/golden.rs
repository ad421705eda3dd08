//! What is said of a socket that can't be adopted, compared with a golden file.

use driftfront_socket_activation::{adopt, Refusal, PASSED};
use driftfront_test_support::assert_golden;

#[test]
fn refusals_are_said_in_the_same_words() {
    assert_eq!(PASSED, 4);
    let told = [
        adopt("5").unwrap_err(),
        adopt("").unwrap_err(),
        adopt(&"4".repeat(60)).unwrap_err(),
    ];
    let others = [
        Refusal::Closed,
        Refusal::NoSocket,
        Refusal::NotListening,
        Refusal::Taken,
        Refusal::System("out of luck".into()),
    ];
    let text: String = told
        .iter()
        .chain(&others)
        .map(|refusal| format!("{refusal}\n"))
        .collect();
    assert_golden!("refusals.txt", text);
}
