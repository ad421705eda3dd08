//! Common calls of the official ClickHouse Rust client through the coordinator.

use clickhouse::{Client, Compression, Row};
use driftfront_test_support::coordinator::clickhouse_site::{Site, SiteOptions};
use serde::{Deserialize, Serialize};

#[derive(Debug, PartialEq, Row, Serialize, Deserialize)]
struct Graduate {
    number: u64,
    name: String,
}

fn client(site: &Site) -> Client {
    Client::default()
        .with_url(format!("http://{}", site.coordinator.addr))
        .with_option("driftfront_class", "report")
}

fn block_on(future: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(future);
}

#[test]
fn queries_fetch_rows_with_and_without_compression() {
    let site = SiteOptions::with_engines(2).start();
    block_on(async {
        for compression in [Compression::None, Compression::Lz4] {
            let client = client(&site).with_compression(compression);
            let query = client
                .query("SELECT number, wide(2) AS name FROM numbers(?)")
                .bind(30_000u64);
            let rows = query.fetch_all::<Graduate>().await.expect("rows");
            assert_eq!(rows.len(), 30_000);
            assert!(rows
                .iter()
                .zip(0..)
                .all(|(r, n)| r.number == n && r.name == n.to_string().repeat(2)));
            let mut cursor = client
                .query("SELECT number FROM numbers(5)")
                .fetch::<u64>()
                .expect("a cursor");
            let mut sum = 0;
            while let Some(n) = cursor.next().await.expect("a row") {
                sum += n;
            }
            assert_eq!(sum, 10);
            let one = client
                .query("SELECT count() FROM numbers(77)")
                .fetch_one::<u64>()
                .await
                .expect("one");
            assert_eq!(one, 77);
        }
    });
    site.request_log.assert_rules(6);
}

#[test]
fn inserts_are_read_back_with_and_without_compression() {
    let site = SiteOptions::with_engines(1).start();
    block_on(async {
        for (compression, table) in [(Compression::None, "plain"), (Compression::Lz4, "packed")] {
            let client = client(&site).with_compression(compression);
            client
                .query(&format!(
                    "CREATE TABLE {table} (number UInt64, name String)"
                ))
                .execute()
                .await
                .expect("created");
            let mut insert = client.insert(table).expect("an insert");
            let graduate = |n: u64| Graduate {
                number: n,
                name: format!("graduate {n}"),
            };
            for n in 0..20_000 {
                insert.write(&graduate(n)).await.expect("a row");
            }
            insert.end().await.expect("an end");
            let read = client
                .query(&format!("SELECT ?fields FROM {table}"))
                .fetch_all::<Graduate>()
                .await;
            let read = read.expect("rows");
            assert_eq!(read.len(), 20_000);
            assert!(read.iter().zip(0..).all(|(r, n)| *r == graduate(n)));
        }
    });
    site.request_log.assert_rules(6);
}

#[test]
fn errors_keep_the_engine_s_message() {
    let site = SiteOptions::with_engines(1).start();
    block_on(async {
        let client = client(&site).with_compression(Compression::None);
        let error = client
            .query("SELECT nothing")
            .fetch_all::<u64>()
            .await
            .expect_err("an error");
        assert!(
            error.to_string().contains("Missing columns: 'nothing'"),
            "{error}"
        );
        for (n, compression) in [Compression::None, Compression::Lz4]
            .into_iter()
            .enumerate()
        {
            let client = client.clone().with_compression(compression);
            let query = format!(
                "SELECT number FROM numbers(1000000) /* standin: cut_after={} */",
                2_000_000 + n
            );
            assert!(client.query(&query).fetch_all::<u64>().await.is_err());
            let query =
                format!("SELECT number FROM numbers(1000000) /* standin: late=241 whole n={n} */");
            assert!(client.query(&query).fetch_all::<u64>().await.is_err());
        }
    });
}
