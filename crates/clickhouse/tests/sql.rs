//! Scanning of statements.

use driftfront_clickhouse::session::SessionEffect;
use driftfront_clickhouse::sql::{
    table_group, Statement, StatementStart, MAX_SCANNED_BYTES, USUAL_SCANNED_BYTES,
};

#[test]
fn reads_and_written_tables_are_recognized() {
    let reads = |s| Statement::scan(s).is_read;
    assert!(reads("/* x */ with 1 as a SELECT a") && reads("(SELECT 1)"));
    assert!(!reads("INSERT INTO t SELECT 1") && !reads("") && Statement::scan(" -- x").is_empty);
    let table = |s| Statement::scan(s).written_table.unwrap_or_default();
    assert_eq!(
        table("INSERT INTO TABLE uni_4.members FORMAT CSV\n1,2"),
        "uni_4.members"
    );
    assert_eq!(table("insert into `members` values (1)"), "members");
    assert_eq!(table("DROP VIEW v"), "");
    let long = format!(
        "INSERT INTO uni_4.t VALUES {}",
        "('é'),".repeat(MAX_SCANNED_BYTES)
    );
    assert_eq!(
        (
            Statement::scan(&long).written_table.as_deref(),
            Statement::scan(&long).table_group
        ),
        (Some("uni_4.t"), 4)
    );
}

// Guards against an INSERT behind a WITH clause that counts as a read and is therefore sent again.
#[test]
fn insert_after_a_with_clause_is_no_read_and_its_table_is_found() {
    for (insert, table) in [
        ("WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x", "t"),
        (
            "with 1 as a, 'b' AS c insert into table uni_4.t select a",
            "uni_4.t",
        ),
        (
            "WITH RECURSIVE n(i) AS (SELECT 1) INSERT INTO `t` SELECT i FROM n",
            "t",
        ),
        (
            "WITH x AS MATERIALIZED (SELECT 1) INSERT INTO t SELECT 1",
            "t",
        ),
        (
            "WITH x AS NOT MATERIALIZED (SELECT table FROM u) INSERT INTO t SELECT 1",
            "t",
        ),
        (
            "WITH (SELECT max(id) FROM t) AS select INSERT INTO t SELECT select",
            "t",
        ),
        ("WITH a.as AS b, [1, 2] AS c INSERT INTO t SELECT c", "t"),
        ("WITH a AND select AS b INSERT INTO t SELECT b", "t"),
        ("WITH 1 AS \"SELECT\" INSERT INTO t SELECT 1", "t"),
        (
            "/* SELECT */ WITH 1 AS a -- SELECT\nINSERT INTO t SELECT a",
            "t",
        ),
    ] {
        let scanned = Statement::scan(insert);
        assert!(
            !scanned.is_read && !scanned.is_idempotent && scanned.is_insert,
            "{insert}"
        );
        assert_eq!(scanned.written_table.as_deref(), Some(table), "{insert}");
    }
}

#[test]
fn statement_after_a_with_clause_reads_only_if_it_is_a_select() {
    for read in [
        "WITH x AS (SELECT 1) SELECT * FROM x",
        "WITH 'INSERT INTO t' AS a SELECT a",
        "WITH 1 AS insert SELECT insert FROM t",
        "WITH 1 AS \"insert\", 2 AS select SELECT select",
        "WITH x AS (SELECT 1) FROM x SELECT *",
        "(WITH t.insert AS a SELECT a INTO OUTFILE 'x')",
        "WITH {p:UInt8} AS a, x -> x + a AS f SELECT f(1)",
        "WITH toDate('2026-01-01') + INTERVAL 1 DAY AS d SELECT d UNION ALL SELECT d",
        "WITH CAST(1 AS UInt8) AS a, CASE WHEN a THEN 1 ELSE 2 END AS b SELECT b",
    ] {
        let scanned = Statement::scan(read);
        assert!(scanned.is_read && !scanned.is_insert, "{read}");
        assert_eq!(scanned.written_table, None, "{read}");
    }
    for uncertain in [
        "WITH",
        "WITH 1",
        "WITH x AS (SELECT 1",
        "WITH x AS (SELECT 1)",
        "WITH 1 AS a DELETE",
    ] {
        assert!(!Statement::scan(uncertain).is_idempotent, "{uncertain}");
    }
}

// Guards against an INSERT that counts as a read because its literals or comments are taken to end elsewhere than on the server.
#[test]
fn insert_is_found_behind_every_kind_of_literal_and_comment() {
    for insert in [
        r#"WITH 1 AS "a\"" INSERT INTO t SELECT 1, "b AS c SELECT ""#,
        r"WITH 1 AS `a\`` INSERT INTO t SELECT 1, `b AS c SELECT `",
        "WITH $h$ ' $h$ AS a INSERT INTO t SELECT a, ' AS c SELECT '",
        "WITH $$ \" $$ AS a INSERT INTO t SELECT a, \" AS c SELECT \"",
        "/* /* */ SELECT 1 */ INSERT INTO t SELECT 2",
        "WITH \u{2018}' AS a SELECT\u{2019} AS b INSERT INTO t SELECT b",
        "WITH 1 AS a /* /* */ SELECT 1 */ INSERT INTO t SELECT 2",
        "#! SELECT\n# SELECT\nINSERT INTO t SELECT 2",
    ] {
        let scanned = Statement::scan(insert);
        assert!(!scanned.is_read && scanned.is_insert, "{insert}");
    }
    // Servers differ on these, or return a syntax error.
    for uncertain in [
        "WITH 1 AS a #SELECT\n SELECT a",
        "/* /* */ SELECT 1",
        "'SELECT 1",
        "SELECT $a$ PARALLEL WITH INSERT INTO t SELECT 1",
        "SELECT '; INSERT INTO t SELECT 1",
    ] {
        let scanned = Statement::scan(uncertain);
        assert!(!scanned.is_idempotent && !scanned.is_empty, "{uncertain}");
    }
}

#[test]
fn read_is_found_behind_every_kind_of_literal_and_comment() {
    for read in [
        r#"WITH "a\"b" AS x, `c``d` AS y, 'e\'f''g' AS z SELECT x"#,
        "WITH $$'$$ AS a, $tag$ INSERT INTO $t$ $tag$ AS b SELECT a",
        "/* a /* b */ c */ SELECT 1",
        "WITH \u{201c}it's\u{201d} AS a SELECT \u{2018}\"\u{2019}",
        "#!/usr/bin/clickhouse\n# comment\n--comment\nSELECT $1",
    ] {
        assert!(Statement::scan(read).is_read, "{read}");
    }
}

// Guards against a statement that counts as a read, a setting or a KILL though another one that writes runs with it.
#[test]
fn statement_with_a_parallel_one_is_no_read() {
    for first in [
        "SELECT 1",
        "SHOW TABLES",
        "SET a = 1",
        "WITH 1 AS a SELECT a",
        "(SELECT 1)",
    ] {
        let statement = format!("{first} PARALLEL WITH INSERT INTO t SELECT 1");
        let scanned = Statement::scan(&statement);
        assert!(!scanned.is_read && !scanned.is_idempotent, "{statement}");
    }
    for next in [
        "SELECT 1; INSERT INTO t SELECT 1",
        "SET a = 1;; DROP TABLE t",
    ] {
        assert!(!Statement::scan(next).is_idempotent, "{next}");
    }
    let kill = "KILL QUERY WHERE query_id = 'a' SYNC PARALLEL WITH INSERT INTO t SELECT x";
    assert_eq!(Statement::scan(kill).kill.expect("a kill").ids, None);
    let insert = "INSERT INTO t VALUES (1) PARALLEL WITH ALTER TABLE t DELETE WHERE 1";
    assert!(!Statement::scan(insert).is_insert);
    for read in [
        "SELECT count() FROM t GROUP BY parallel WITH TOTALS",
        "SELECT 1 AS parallel, 'PARALLEL WITH INSERT; DROP' AS b;",
        "SELECT * FROM t ORDER BY parallel WITH FILL",
    ] {
        assert!(Statement::scan(read).is_read, "{read}");
    }
}

// Guards against a decision by the first part of a statement that the remaining part contradicts.
#[test]
fn statement_that_begins_with_a_long_part_is_scanned_further() {
    let long = "x".repeat(USUAL_SCANNED_BYTES);
    for (statement, is_read, table) in [
        (format!("WITH '{long}' AS a SELECT a"), true, None),
        (
            format!("WITH '{long}' AS a INSERT INTO t SELECT a"),
            false,
            Some("t"),
        ),
        (format!("/* {long} */ SELECT 1"), true, None),
        (
            format!("/* {long} */ INSERT INTO t SELECT 1"),
            false,
            Some("t"),
        ),
        (format!("SELECT '{long}'"), true, None),
        (
            format!("SELECT '{long}' PARALLEL WITH INSERT INTO t SELECT 1"),
            false,
            None,
        ),
    ] {
        let scanned = Statement::scan(&statement);
        let end = &statement[statement.len() - 30..];
        assert_eq!(
            (scanned.is_read, scanned.is_empty),
            (is_read, false),
            "{end}"
        );
        assert_eq!(scanned.written_table.as_deref(), table, "{end}");
    }
    let kill = format!("KILL QUERY WHERE query_id = 'a' /* {long} */ OR 1");
    assert_eq!(Statement::scan(&kill).kill.expect("a kill").ids, None);
}

#[test]
fn statement_is_no_read_while_its_end_is_unknown() {
    let unknown_end = |text: &'static str| {
        Statement::scan_start(&StatementStart {
            text: text.into(),
            is_complete: false,
        })
    };
    for text in [
        "",
        "-- x",
        "SELECT 1",
        "WITH 1 AS a",
        "SET a = 1",
        "KILL QUERY WHERE 1",
        "CREATE",
    ] {
        let scanned = unknown_end(text);
        assert!(
            scanned.is_undecided && !scanned.is_idempotent && !scanned.is_empty,
            "{text}"
        );
    }
    assert!(!unknown_end("INSERT INTO t FORMAT CSV").is_undecided);
    let too_long = format!("SELECT '{}'", "x".repeat(MAX_SCANNED_BYTES));
    assert!(!Statement::scan(&too_long).is_idempotent);
}

#[test]
fn statements_with_session_effects_are_recognized() {
    for stateful in [
        "SET max_threads = 1",
        "use uni_4",
        "CREATE TEMPORARY TABLE t (a Int8)",
        "create or replace temporary table t as select 1",
        "BEGIN TRANSACTION",
    ] {
        let effect = Statement::scan(stateful).session_effect;
        assert_eq!(effect, SessionEffect::LeavesState, "{stateful}");
    }
    for stateless in [
        "SELECT 1",
        "INSERT INTO t VALUES (1)",
        "CREATE TABLE t (temporary Int8)",
        "SHOW TABLES",
    ] {
        let effect = Statement::scan(stateless).session_effect;
        assert_eq!(effect, SessionEffect::None, "{stateless}");
    }
    assert!(
        Statement::scan("SET a = 1").is_idempotent
            && !Statement::scan("CREATE TEMPORARY TABLE t (a Int8)").is_idempotent
    );
}

#[test]
fn kill_conditions_by_id_are_recognized() {
    let ids = |s: &str| Statement::scan(s).kill.expect("a kill").ids;
    let of = |ids: &[&str]| Some(ids.iter().map(|s| s.to_string()).collect::<Vec<_>>());
    assert_eq!(ids("KILL QUERY WHERE query_id='a''b' SYNC"), of(&["a'b"]));
    assert_eq!(
        ids("kill query where query_id in ('a', 'b') test format JSON;"),
        of(&["a", "b"])
    );
    assert_eq!(
        Statement::scan("KILL QUERY WHERE query_id = 'a' ASYNC")
            .kill
            .expect("one")
            .options,
        "ASYNC"
    );
    for unsupported in [
        "KILL QUERY WHERE user = 'a'",
        "KILL QUERY WHERE query_id = 'a' OR 1",
        "KILL QUERY WHERE query_id != 'a'",
        "KILL QUERY ON CLUSTER c WHERE query_id = 'a'",
        "KILL QUERY WHERE query_id IN ('a'",
        "KILL QUERY",
    ] {
        assert_eq!(ids(unsupported), None, "{unsupported}");
    }
    assert_eq!(Statement::scan("KILL MUTATION WHERE 1").kill, None);
}

#[test]
fn table_group_is_the_number_of_the_database() {
    for (statement, group) in [
        (
            "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day",
            17,
        ),
        (
            "insert into \"sales_4\".\"orders\" select * from staging.new_rows",
            4,
        ),
        ("INSERT INTO sales_4.t SELECT * FROM staging_9.t", 4),
        ("SELECT * FROM staging_9.t JOIN sales_5.t USING (id)", 5),
        ("SELECT 'from sales_1.t' AS a FROM sales_2.t", 2),
        ("SELECT 'it''s from sales_1.t' FROM sales_2.t", 2),
        ("SELECT 1 -- from sales_1.t\nFROM sales_2.t", 2),
        ("SELECT /* from sales_1.t */ 1 FROM sales_2.t", 2),
        ("SELECT o_3.day FROM sales_2.t AS o_3", 2),
        ("SELECT 1.5, x FROM t", 0),
        ("", 0),
        ("SELECT 'open", 0),
        ("/* open", 0),
    ] {
        assert_eq!(table_group(statement), group, "{statement}");
    }
}

// Guards against a search for an end that is repeated for each of many beginnings.
#[test]
fn scanning_time_is_linear_in_heredocs_without_an_end() {
    let many: String = (0..40_000).map(|n| format!("$a{n}$ ")).collect();
    let text = format!("SELECT 1 {many}");
    let start = std::time::Instant::now();
    assert!(!Statement::scan(&text).is_read);
    assert!(start.elapsed() < std::time::Duration::from_secs(1));
}
