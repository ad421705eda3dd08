//! The error messages for sockets that can't be adopted, compared with a golden file.

use driftfront_socket_activation::{adopt, AdoptError, PASSED_DESCRIPTOR};
use driftfront_test_support::assert_golden;

#[test]
fn messages_of_adopt_errors() {
    assert_eq!(PASSED_DESCRIPTOR, 4);
    let wrong_descriptors = [
        adopt("5").unwrap_err(),
        adopt("").unwrap_err(),
        adopt(&"4".repeat(60)).unwrap_err(),
    ];
    let others = [
        AdoptError::Closed,
        AdoptError::NotASocket,
        AdoptError::NotListening,
        AdoptError::AlreadyAdopted,
        AdoptError::System("out of luck".into()),
    ];
    let text: String = wrong_descriptors
        .iter()
        .chain(&others)
        .map(|error| format!("{error}\n"))
        .collect();
    assert_golden!("refusals.txt", text);
}
