//! Results that are not what an engine made for the statement: an error that arrives after a success status, and second copies of
//! answers.

use crate::engine::{self, SecondCopies, Served, Shared};
use crate::http::{post, Response};
use crate::run::{self, lock, note, now_ms, sleep_ms, Outcome};
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ROWS: u64 = 5;
const TRIES: usize = 10;

/// The rows of `SELECT number FROM numbers(5) FORMAT RowBinary`: one UInt64 a row, little endian.
fn expected() -> Vec<u8> {
    (0..ROWS).flat_map(u64::to_le_bytes).collect()
}

/// The project's mock engine writes an exception after the rows, as servers without exception tags do.
pub fn error_after_rows() -> Outcome {
    let (port, engine_port) = (run::free_port(), run::free_port());
    let engine = run::start_mock_engine(engine_port, &["--old"]);
    let file = run::write_file(
        "operator.kdl",
        &format!(
            r#"listen "127.0.0.1:{port}"
front "clickhouse"
engines {{
    engine "engine-1" at="127.0.0.1:{engine_port}" building="main" kind="std-8"
}}
class "lookup" wanted="500 ms" patience="2.5 s" worth=1 threads=1
class "import" wanted="3 s" patience="25 s" worth=7.5 threads=2 once=#true in-order=#true holds-tables=#true
reads "lookup"
writes "import"
limits memory-mb=192 sockets=1024 open=2000
"#
        ),
    );
    let coordinator = run::start_coordinator(&file, port);
    let fault = if run::has_trouble() {
        " /* standin: late=439 whole */"
    } else {
        ""
    };
    let mut wrong = Vec::new();
    for try_number in 1..=TRIES {
        let statement = format!("SELECT number FROM numbers({ROWS}) FORMAT RowBinary{fault}");
        let response = post(port, "/", &statement, Duration::from_secs(5));
        note(&format!(
            "try {try_number}: {statement}: {}",
            describe(&response)
        ));
        match response {
            // Served, as the client sees it: a whole answer of status 200.
            Some(r) if r.status == 200 && r.body != expected() => wrong.push(r.body),
            Some(r) if r.status != 200 && fault.is_empty() => {
                return Outcome::NotRun(format!("without trouble a read got status {}", r.status));
            }
            _ => {}
        }
        run::sleep_ms(100);
    }
    if !run::is_running(coordinator) || !run::is_running(engine) {
        return Outcome::NotRun("a program has ended".into());
    }
    match wrong.first() {
        Some(body) => Outcome::Broken(format!(
            "{} of {TRIES} failed reads were served as whole: status 200, {} bytes that a client reads as {} rows, {} of them made \
             of the error's text",
            wrong.len(),
            body.len(),
            body.len() / 8,
            body.len() / 8 - ROWS as usize
        )),
        None => Outcome::Held(format!("no answer of status 200 had other rows than those of the statement, in {TRIES} tries")),
    }
}

fn describe(response: &Option<Response>) -> String {
    match response {
        None => "no whole answer".into(),
        Some(r) => {
            let text: String = r
                .body
                .iter()
                .map(|b| b.escape_ascii().to_string())
                .collect();
            format!("status {}, {} bytes: {text}", r.status, r.body.len())
        }
    }
}

const ENGINES: usize = 3;
const CLIENTS: u64 = 6;
const COPIES_RUN_MS: u64 = 60_000;
/// Of ten statements, this many are inserts.
const INSERTS_IN_TEN: u64 = 3;

/// What came of the clients' statements.
#[derive(Default)]
struct Seen {
    served: AtomicU64,
    otherwise: AtomicU64,
    /// The foreign answers: of reads, and of inserts.
    foreign_reads: AtomicU64,
    foreign_inserts: AtomicU64,
    first: Mutex<Option<String>>,
}

/// Engines send one answer in five a second time, some milliseconds later, and take up to 50 ms to answer a probe.
pub fn second_copies() -> Outcome {
    let shared = Arc::new(Shared::default());
    let ports: Vec<u16> = (1..=ENGINES)
        .map(|n| engine::start(&format!("engine-{n}"), &shared))
        .collect();
    let port = run::free_port();
    let lines: Vec<String> = (1..=ENGINES)
        .zip(&ports)
        .map(|(n, port)| {
            format!(r#"engine "engine-{n}" at="127.0.0.1:{port}" building="main" kind="std-8""#)
        })
        .collect();
    let file = run::write_file(
        "operator.kdl",
        &format!(
            r#"listen "127.0.0.1:{port}"
front "clickhouse"
engines {{
    {}
}}
class "lookup" wanted="500 ms" patience="2.5 s" worth=1 threads=1
class "import" wanted="3 s" patience="25 s" worth=7.5 threads=2 once=#true holds-tables=#true
reads "lookup"
writes "import"
limits memory-mb=192 sockets=1024 open=2000
"#,
            lines.join("\n    ")
        ),
    );
    let coordinator = run::start_coordinator(&file, port);
    if run::has_trouble() {
        *lock(&shared.second_copies) = Some(SecondCopies {
            every: 5,
            within_ms: 10,
            probe_ms: 50,
        });
    }
    let (stop, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Seen::default()));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|client| {
            let (stop, seen, shared) = (stop.clone(), seen.clone(), shared.clone());
            std::thread::spawn(move || run_client(client, port, &stop, &seen, &shared))
        })
        .collect();
    sleep_ms(COPIES_RUN_MS);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if !run::is_running(coordinator) {
        return Outcome::NotRun("the coordinator has ended".into());
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let (served, reads, inserts) = (
        count(&seen.served),
        count(&seen.foreign_reads),
        count(&seen.foreign_inserts),
    );
    note(&format!(
        "{served} served, {} otherwise; foreign answers: {reads} of reads, {inserts} of inserts",
        count(&seen.otherwise)
    ));
    if served == 0 {
        return Outcome::NotRun("nothing was served".into());
    }
    let first = lock(&seen.first).clone();
    match first {
        Some(first) => Outcome::Broken(format!(
            "of {served} statements answered as served, {reads} reads and {inserts} inserts got what no engine made for them; the first: {first}"
        )),
        None => Outcome::Held(format!("{served} statements were served, each with its own result")),
    }
}

/// What the engine knew of a statement when its client had the answer.
fn at_engine(shared: &Shared, word: &str) -> String {
    match lock(&shared.served).get(word) {
        None => "no engine had it yet".into(),
        Some(Served {
            begun_at,
            answered_at: None,
        }) => {
            format!("its engine had it since {begun_at} ms and had not answered it yet")
        }
        Some(Served {
            begun_at,
            answered_at: Some(at),
        }) => {
            format!("its engine had it since {begun_at} ms and answered it at {at} ms")
        }
    }
}

fn run_client(client: u64, port: u16, stop: &AtomicBool, seen: &Seen, shared: &Shared) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let (word, is_insert) = (
            format!("c{client}n{number}"),
            number * 7 % 10 < INSERTS_IN_TEN,
        );
        let (statement, expected) = if is_insert {
            (
                format!("INSERT INTO alumni.loaded VALUES {word}"),
                String::new(),
            )
        } else {
            (format!("SELECT {word}"), format!("{word}\n"))
        };
        match post(port, "/", &statement, Duration::from_secs(6)) {
            Some(response) if response.status == 200 => {
                seen.served.fetch_add(1, Ordering::SeqCst);
                if response.body != expected.as_bytes() {
                    let counter = if is_insert {
                        &seen.foreign_inserts
                    } else {
                        &seen.foreign_reads
                    };
                    counter.fetch_add(1, Ordering::SeqCst);
                    let text = format!(
                        "{statement}: status 200 with {:?} at {} ms; {}",
                        String::from_utf8_lossy(&response.body),
                        now_ms(),
                        at_engine(shared, &word)
                    );
                    note(&text);
                    lock(&seen.first).get_or_insert(text);
                }
            }
            _ => {
                seen.otherwise.fetch_add(1, Ordering::SeqCst);
            }
        }
        sleep_ms(number * 13 % 30);
    }
}

const CUT_RUN_MS: u64 = 30_000;
const READERS: u64 = 12;
const LOADERS: u64 = 6;
/// The first part of a streamed insert, a little over 1 MiB.
const FIRST_PART_BYTES: usize = 1_088_000;

/// Engines send one answer in four twice, at once, and reset the connection of each insert as it begins.
pub fn copies_and_resets() -> Outcome {
    let shared = Arc::new(Shared::default());
    let ports: Vec<u16> = (1..=2)
        .map(|n| engine::start(&format!("engine-{n}"), &shared))
        .collect();
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
class "import" wanted="3 s" patience="25 s" worth=7.5 threads=2 once=#true holds-tables=#true
reads "lookup"
writes "import"
limits memory-mb=192 sockets=1024 open=2000
"#,
            ports[0], ports[1]
        ),
    );
    let coordinator = run::start_coordinator(&file, port);
    if run::has_trouble() {
        *lock(&shared.second_copies) = Some(SecondCopies {
            every: 4,
            within_ms: 0,
            probe_ms: 1,
        });
        *lock(&shared.insert_trouble) = Some(engine::InsertTrouble::AlwaysReset);
    }
    let (stop, seen, loads) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Seen::default()),
        Arc::new(Seen::default()),
    );
    let mut clients = Vec::new();
    for reader in 1..=READERS {
        let (stop, seen) = (stop.clone(), seen.clone());
        clients.push(std::thread::spawn(move || {
            read_words(reader, port, &stop, &seen)
        }));
    }
    for _ in 0..LOADERS {
        let (stop, loads) = (stop.clone(), loads.clone());
        clients.push(std::thread::spawn(move || load_parts(port, &stop, &loads)));
    }
    sleep_ms(CUT_RUN_MS);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if !run::is_running(coordinator) {
        return Outcome::NotRun("the coordinator has ended".into());
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let (reads, foreign_reads) = (count(&seen.served), count(&seen.foreign_reads));
    let (served, otherwise, foreign) = (
        count(&loads.served),
        count(&loads.otherwise),
        count(&loads.foreign_inserts),
    );
    note(&format!(
        "reads: {reads} served, {} otherwise, {foreign_reads} with foreign rows; inserts: {served} served, {otherwise} otherwise, \
         {foreign} of the served with rows in their answer; rows applied: {}",
        count(&seen.otherwise),
        lock(&shared.applied).len()
    ));
    if reads == 0 || served + otherwise == 0 {
        return Outcome::NotRun("nothing was answered".into());
    }
    let first = lock(&loads.first).clone().or(lock(&seen.first).clone());
    if run::has_trouble() && served > 0 || foreign_reads > 0 || foreign > 0 {
        return Outcome::Broken(format!(
            "{served} of {} inserts, none of which any engine read, were answered as served, {foreign} of them with rows of another \
             client's read; {foreign_reads} reads got foreign rows; the first: {}",
            served + otherwise,
            first.unwrap_or_default()
        ));
    }
    Outcome::Held(format!(
        "{reads} reads and {served} inserts were served, each with its own result"
    ))
}

fn read_words(reader: u64, port: u16, stop: &AtomicBool, seen: &Seen) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let (statement, expected) = (
            format!("SELECT r{reader}n{number}"),
            format!("r{reader}n{number}\n"),
        );
        match post(port, "/", &statement, Duration::from_secs(6)) {
            Some(response) if response.status == 200 => {
                seen.served.fetch_add(1, Ordering::SeqCst);
                if response.body != expected.as_bytes() {
                    seen.foreign_reads.fetch_add(1, Ordering::SeqCst);
                    lock(&seen.first)
                        .get_or_insert(format!("{statement}: {}", describe(&Some(response))));
                }
            }
            _ => {
                seen.otherwise.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
}

fn load_parts(port: u16, stop: &AtomicBool, seen: &Seen) {
    while !stop.load(Ordering::Relaxed) {
        let response = load_once(port);
        match response {
            Some(response) if response.status == 200 => {
                seen.served.fetch_add(1, Ordering::SeqCst);
                if !response.body.is_empty() {
                    seen.foreign_inserts.fetch_add(1, Ordering::SeqCst);
                    lock(&seen.first)
                        .get_or_insert(format!("an insert: {}", describe(&Some(response))));
                }
            }
            _ => {
                seen.otherwise.fetch_add(1, Ordering::SeqCst);
            }
        }
        sleep_ms(20);
    }
}

/// Sends one streamed insert in two parts.
fn load_once(port: u16) -> Option<Response> {
    let mut stream = crate::http::connect(port)?;
    let rows = "0123456789abcde\n".repeat(FIRST_PART_BYTES / 16);
    let head = "POST /?query=INSERT%20INTO%20alumni.loaded%20FORMAT%20TSV HTTP/1.1\r\nHost: site\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream
        .write_all(format!("{head}{:x}\r\n{rows}\r\n", rows.len()).as_bytes())
        .ok()?;
    sleep_ms(50);
    // The answer may have come, and the connection may be closing: what cannot be sent any more is not.
    let _ = stream.write_all(b"10\r\n0123456789abcde\n\r\n0\r\n\r\n");
    crate::http::read_response(&stream, Duration::from_secs(26))
}
