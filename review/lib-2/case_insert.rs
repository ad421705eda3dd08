//! Streamed inserts: a loader sends its rows in batches, as it reads them from its source.

use crate::engine::{self, InsertTrouble, Shared};
use crate::http::{connect, post, read_response, Response};
use crate::run::{self, lock, note, now_ms, sleep_ms, Outcome};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The loader sends a batch as soon as it has this many bytes of rows.
const BATCH_BYTES: usize = 1024 * 1024;
/// The loader needs this long to read the next batch from its source.
const BATCH_INTERVAL_MS: u64 = 1500;
const BATCHES: usize = 3;
/// The engine reads this much of the first batch before the connection is reset.
const READ_BYTES: usize = 960 * 1024;
/// `patience` of the class `import` in the operator's file.
const PATIENCE_MS: u64 = 25_000;
/// A final answer is due half a second after the client's time at the latest.
const SLACK_MS: u64 = 500;
/// Clients that send reads meanwhile, one after the other.
const READERS: usize = 6;

/// The site: a coordinator with two engines, and the engines' common state.
struct Site {
    port: u16,
    coordinator: usize,
    shared: Arc<Shared>,
}

fn start_site() -> Site {
    let shared = Arc::new(Shared::default());
    let engines = [
        engine::start("engine-1", &shared),
        engine::start("engine-2", &shared),
    ];
    let port = run::free_port();
    let file = run::write_file(
        "operator.kdl",
        &format!(
            r#"listen "127.0.0.1:{port}"
front "clickhouse"
engines {{
    engine "engine-1" at="127.0.0.1:{}" building="main" kind="std-8"
    engine "engine-2" at="127.0.0.1:{}" building="main" kind="std-8"
}}
class "lookup" wanted="500 ms" patience="2.5 s" worth=1 threads=1
class "report" wanted="1.5 s" patience="15 s" worth=10 threads=2
class "import" wanted="3 s" patience="25 s" worth=7.5 threads=2 once=#true in-order=#true holds-tables=#true
reads "lookup"
writes "import"
limits memory-mb=192 sockets=1024 open=2000
"#,
            engines[0], engines[1]
        ),
    );
    let coordinator = run::start_coordinator(&file, port);
    Site {
        port,
        coordinator,
        shared,
    }
}

/// Clients that send reads until the case ends, as at any site.
fn start_readers(port: u16) -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    for _ in 0..READERS {
        let stop = stop.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                post(port, "/", "SELECT 1", Duration::from_secs(3));
                sleep_ms(20);
            }
        });
    }
    stop
}

fn send_chunk(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n", bytes.len()).as_bytes())?;
    stream.write_all(bytes)?;
    stream.write_all(b"\r\n")
}

/// Sends one insert of unique rows in batches. Returns the number of rows and, if it could be sent to its end, the connection.
fn load(port: u16) -> (usize, Option<TcpStream>) {
    let Some(mut stream) = connect(port) else {
        run::end(Outcome::NotRun("the loader cannot connect".into()));
    };
    let target = "/?query=INSERT%20INTO%20alumni.loaded%20FORMAT%20TSV&max_insert_block_size=1000&input_format_parallel_parsing=0";
    let head =
        format!("POST {target} HTTP/1.1\r\nHost: site\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut sent = stream.write_all(head.as_bytes());
    let mut row = 0;
    for number in 1..=BATCHES {
        if number > 1 {
            sleep_ms(BATCH_INTERVAL_MS);
        }
        let mut batch = Vec::new();
        while batch.len() < BATCH_BYTES {
            batch.extend_from_slice(format!("row-{row:09}\n").as_bytes());
            row += 1;
        }
        sent = sent.and_then(|()| send_chunk(&mut stream, &batch));
        note(&format!(
            "the loader has sent batch {number}, {} bytes: {sent:?}",
            batch.len()
        ));
    }
    sent = sent.and_then(|()| stream.write_all(b"0\r\n\r\n"));
    note(&format!("the loader has sent its last byte: {sent:?}"));
    (row, sent.is_ok().then_some(stream))
}

fn describe(answer: &Option<Response>) -> String {
    match answer {
        None => "no whole answer".into(),
        Some(answer) => {
            let text = String::from_utf8_lossy(&answer.body);
            format!(
                "status {} {}",
                answer.status,
                text.lines().next().unwrap_or_default()
            )
        }
    }
}

/// A connection to an engine is reset under an insert whose rows the engine applies as they arrive.
pub fn resent() -> Outcome {
    let site = start_site();
    let stop = start_readers(site.port);
    sleep_ms(1000);
    if run::has_trouble() {
        *lock(&site.shared.insert_trouble) = Some(InsertTrouble::ResetAfter {
            bytes: READ_BYTES,
            ms: 200,
        });
    }
    let (rows, stream) = load(site.port);
    let answer = stream
        .and_then(|stream| read_response(&stream, Duration::from_millis(PATIENCE_MS + SLACK_MS)));
    note(&format!("the loader got {}", describe(&answer)));
    sleep_ms(500);
    stop.store(true, Ordering::Relaxed);
    let applied = lock(&site.shared.applied);
    let twice: Vec<_> = applied
        .iter()
        .filter(|(_, engines)| engines.len() > 1)
        .collect();
    note(&format!(
        "rows sent: {rows}; applied at least once: {}; applied twice: {}",
        applied.len(),
        twice.len()
    ));
    if !run::is_running(site.coordinator) {
        return Outcome::NotRun("the coordinator has ended".into());
    }
    let once = format!(
        "{rows} rows were sent once, {} were applied, none twice",
        applied.len()
    );
    match twice.first() {
        Some((row, engines)) => Outcome::Broken(format!(
            "{} of {rows} rows, sent once by the client, were applied twice ({row} by {}); the loader got {}",
            twice.len(),
            engines.join(" and "),
            describe(&answer)
        )),
        None if !run::has_trouble() && (applied.len() != rows || answer.is_none_or(|a| a.status != 200)) => {
            Outcome::NotRun(format!("without trouble the insert failed: {once}"))
        }
        None => Outcome::Held(once),
    }
}

/// An engine that is full refuses an insert before it has read its rows.
pub fn unanswered() -> Outcome {
    let site = start_site();
    let stop = start_readers(site.port);
    sleep_ms(1000);
    if run::has_trouble() {
        *lock(&site.shared.insert_trouble) = Some(InsertTrouble::Refused);
    }
    let (rows, stream) = load(site.port);
    let Some(stream) = stream else {
        return Outcome::NotRun("the insert could not be sent to its end".into());
    };
    let sent_at = now_ms();
    let answer = read_response(&stream, Duration::from_millis(PATIENCE_MS + SLACK_MS));
    let waited = now_ms() - sent_at;
    note(&format!(
        "the loader got {} after {waited} ms",
        describe(&answer)
    ));
    // Another client: the coordinator and the engines serve it at once.
    let other = post(site.port, "/", "SELECT 1", Duration::from_secs(3));
    note(&format!(
        "a read by another client got {}",
        describe(&other)
    ));
    stop.store(true, Ordering::Relaxed);
    let applied = lock(&site.shared.applied).len();
    note(&format!("rows sent: {rows}; applied: {applied}"));
    if !run::is_running(site.coordinator) {
        return Outcome::NotRun("the coordinator has ended".into());
    }
    match answer {
        None => Outcome::Broken(format!(
            "an insert that was sent to its last byte had no answer {waited} ms later; its class's patience is {PATIENCE_MS} ms"
        )),
        Some(answer) if !run::has_trouble() && (answer.status != 200 || applied != rows) => {
            Outcome::NotRun(format!("without trouble the insert got status {}", answer.status))
        }
        Some(answer) => Outcome::Held(format!("the insert got status {} after {waited} ms", answer.status)),
    }
}
