//! Classification of responses by the load clients.

use driftfront_cluster_harness::load::{classify_response, Outcome};

#[test]
fn only_exactly_one_complete_response_counts() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1\n";
    assert_eq!(classify_response(ok, true), Outcome::Served);
    assert_eq!(
        classify_response(&ok[..ok.len() - 1], true),
        Outcome::Incomplete
    );
    assert_eq!(
        classify_response(&format!("{ok}{ok}"), true),
        Outcome::Malformed
    );
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n1\n\r\n";
    assert_eq!(classify_response(chunks, true), Outcome::Incomplete);
    assert_eq!(
        classify_response(&format!("{chunks}0\r\n\r\n"), true),
        Outcome::Served
    );
    assert_eq!(
        classify_response("HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", true),
        Outcome::Rejected
    );
    assert_eq!(
        classify_response("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", true),
        Outcome::Failed
    );
    assert_eq!(classify_response("", true), Outcome::Incomplete);
}
