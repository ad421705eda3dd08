//! Tests that the request log detects each kind of breach.

use driftfront_mock_servers::request_log::RequestLog;

#[test]
fn each_breach_is_counted() {
    let log = RequestLog::default();
    let run = |statement: &str, id: &str, ran| {
        let entry = log.begin("e", id, statement, None);
        log.end(entry, ran);
    };
    run("INSERT INTO t VALUES (1)", "a", false);
    run("INSERT INTO t VALUES (1)", "a", true);
    run("SELECT 1", "b", true);
    run("SELECT 1", "b~1", true);
    assert_eq!(log.breaches(20), Vec::<String>::new());
    run("INSERT INTO t VALUES (1)", "a~2", true);
    run("SELECT 1", "b~1", true);
    let open = log.begin("e", "c", "INSERT INTO u VALUES (2)", None);
    run("INSERT INTO u VALUES (3)", "d", true);
    log.end(open, true);
    (0..7).for_each(|n| run("SELECT 7", &format!("s{n}"), true));
    let breaches = log.breaches(20).join("; ");
    for words in [
        "run twice",
        "overlap",
        "under an id",
        "7 attempts",
        "further attempts for",
    ] {
        assert!(breaches.contains(words), "{words}: {breaches}");
    }
}

#[test]
fn insert_after_a_with_clause_counts_as_an_insert() {
    let insert = "WITH 1 AS a INSERT INTO t SELECT a";
    let read = "WITH 'insert into t' AS a SELECT a";
    let run = |statement: &str| {
        let log = RequestLog::default();
        for id in ["q", "q~1"] {
            log.end(log.begin("e", id, statement, None), true);
        }
        log.breaches(20).join("; ")
    };
    assert_eq!(run(insert), format!("may have run twice: {insert}"));
    assert_eq!(run(read), "");
}
