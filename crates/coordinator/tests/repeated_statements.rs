//! Statements are sent again after a failure only if they are known to read: mock engines close the connection of a statement that
//! requests it, when it may have run.

use driftfront_test_support::coordinator::clickhouse_site::{Site, SiteOptions};
use driftfront_test_support::coordinator::Response;

/// Requests that the connection is closed instead of a response.
const CUT: &str = "/* standin: cut */";
/// As [`CUT`], on the first attempt only.
const CUT_FIRST: &str = "/* standin: cut first */";

fn exception_code(response: &Response) -> Option<u32> {
    response.header("X-ClickHouse-Exception-Code")?.parse().ok()
}

/// Checks that a statement was sent once, and that its client is informed that it may have run.
fn assert_sent_once(site: &Site, response: &Response, text: &str) {
    let attempts = site.request_log.of(text).len();
    assert_eq!(attempts, 1, "{text}\n{}", site.coordinator.log());
    let answer = (response.status, exception_code(response));
    assert_eq!(answer, (500, Some(210)), "{text}");
}

// Guards against an INSERT behind a WITH clause that counts as a read, is sent again, and writes its rows twice.
#[test]
fn insert_after_a_with_clause_is_sent_once() {
    let site = Site::start(2);
    let inserts = [
        "WITH fresh AS (SELECT id FROM uni_4.inbox) INSERT INTO uni_4.a SELECT id FROM fresh",
        "with 1 as id, 'x' as name insert into uni_4.b select id, name",
        "-- a comment\nWITH RECURSIVE n(i) AS (SELECT 1) INSERT INTO TABLE uni_4.c SELECT i FROM n",
    ];
    for insert in inserts {
        let response = site.query(&format!("{insert} {CUT}"));
        assert_sent_once(&site, &response, insert);
    }
    site.request_log.assert_rules(inserts.len());
}

// Guards against an INSERT in the body that is sent again because the part of its statement in the URL looks like a read.
#[test]
fn insert_split_between_url_and_body_is_sent_once() {
    let site = Site::start(2);
    let in_url = "/?query=WITH+1+AS+a+%2F*+standin:+cut+*%2F";
    let response = site.request(in_url, "INSERT INTO uni_4.split SELECT a");
    assert_sent_once(&site, &response, "uni_4.split");
    site.request_log.assert_rules(1);
}

// Guards against an INSERT that is sent again because another statement, which only reads, precedes it.
#[test]
fn insert_parallel_to_a_read_is_sent_once() {
    let site = Site::start(2);
    let list = "1, ".repeat(10_000);
    let response = site.query(&format!(
        "SELECT 'both' {CUT} WHERE 1 IN ({list}1) PARALLEL WITH INSERT INTO uni_4.t SELECT 1"
    ));
    assert_sent_once(&site, &response, "'both'");
}

// Guards against a write that is sent again because its class, by default or by the client's choice, is one of repeatable requests.
#[test]
fn write_in_a_class_of_reads_is_sent_once() {
    let site = SiteOptions::with_engines(2)
        .with("\"write\": \"member-load\"", "\"write\": \"lookup\"")
        .start();
    for (target, write) in [
        ("/", "INSERT INTO uni_4.default VALUES (1)"),
        (
            "/?driftfront_class=report",
            "INSERT INTO uni_4.named VALUES (1)",
        ),
        ("/?driftfront_class=report", "OPTIMIZE TABLE uni_4.t"),
    ] {
        let response = site.request(target, &format!("{write} {CUT}"));
        assert_sent_once(&site, &response, write);
    }
    let read = "SELECT 1";
    let response = site.request("/?driftfront_class=report", &format!("{read} {CUT_FIRST}"));
    assert_eq!((response.status, site.request_log.of(read).len()), (200, 2));
    site.request_log.assert_rules(4);
}

// Guards against a write that is cancelled half-way when its client leaves, as only a read may be.
#[test]
fn write_in_a_class_of_reads_outlives_its_client() {
    let site = Site::start(1);
    let target = "/?driftfront_class=report";
    let write = "INSERT INTO uni_4.left VALUES (1) /* standin: sleep_ms=500 */";
    let client = site.begin(target, write);
    site.request_log.wait_for("uni_4.left", 1);
    drop(client);
    site.request_log.wait_until("the end", |entries| {
        entries.iter().all(|e| e.end_seq.is_some())
    });
    assert!(!site.request_log.of("uni_4.left")[0].client_left);
}

// Guards against an INSERT that is sent again because another server, from which it reads, refused a part of it with the code
// for a query that never ran.
#[test]
fn insert_that_another_server_refused_is_sent_once() {
    let site = Site::start(2);
    let insert = "INSERT INTO uni_4.copy SELECT * FROM remote('other-server', t)";
    let response = site.query(&format!("{insert} /* standin: remote_error=202 */"));
    assert_eq!(site.request_log.of(insert).len(), 1);
    assert_eq!(
        (response.status, exception_code(&response)),
        (500, Some(202))
    );
    assert!(response.header("X-Come-Back-Ms").is_none());
    let read = "SELECT 1";
    let response = site.query(&format!("{read} /* standin: remote_error=202 first */"));
    assert_eq!((response.status, site.request_log.of(read).len()), (200, 2));
    site.request_log.assert_rules(2);
}

#[test]
fn read_after_a_with_clause_is_retried() {
    let site = Site::start(2);
    let reads = [
        "WITH 'INSERT INTO t' AS a SELECT 1",
        "WITH 1 AS insert SELECT 2",
        &format!("SELECT 3 /* {} */", "x".repeat(100_000)),
    ];
    for read in reads {
        let response = site.query(&format!("{CUT_FIRST} {read}"));
        let start = &read[..read.len().min(20)];
        assert_eq!(response.status, 200, "{start}");
        assert_eq!(site.request_log.of(start).len(), 2, "{start}");
    }
    site.request_log.assert_rules(reads.len());
}
