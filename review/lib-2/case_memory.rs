//! Many connections with half-written requests. The platform ends a coordinator that holds more memory than its limit.

use crate::http::{connect, read_response};
use crate::platform::{
    event, instance, start_clients, start_engine, Arrivals, Discovery, Platform,
};
use crate::run::{self, lock, note, now_ms, sleep_ms, Outcome};
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ENGINES: usize = 3;
const CLIENTS: u64 = 6;
/// `memory_mb` and `sockets` of the configuration: coordinators have 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// Connections that arrive half-written. The page says thousands; this many fit under the coordinator's own limit of clients.
const HALF_WRITTEN: u64 = 560;
/// The length that each of these requests declares, and how much of it arrives.
const DECLARED_BYTES: usize = 64_000;
const WRITTEN_BYTES: usize = 60_000;
const RUN_MS: u64 = 8_000;

/// Memory of a process that no file backs, in KB: the least that any way of counting gives.
fn anonymous_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}

pub fn half_written() -> Outcome {
    let arrivals = Arrivals::default();
    let names: Vec<String> = (1..=ENGINES).map(|n| format!("s-0000000{n}")).collect();
    let ready: Vec<String> = names
        .iter()
        .map(|name| instance(name, start_engine(name, &arrivals), "ready"))
        .collect();
    let discovery = Discovery::start();
    let first = event(1, true, &ready);
    discovery.tell(1, &first);
    let mut platform = Platform::with_limits(&discovery, 1, &[first], MEMORY_MB, SOCKETS);
    let coordinator = platform.start_alone(SOCKETS);
    let process = run::process_id(coordinator);
    let (peak_kb, killed_at) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(None)));
    let (peak, killed) = (peak_kb.clone(), killed_at.clone());
    std::thread::spawn(move || loop {
        let kb = anonymous_kb(process).unwrap_or(0);
        peak.fetch_max(kb, Ordering::SeqCst);
        if kb > MEMORY_MB * 1024 {
            note(&format!("the coordinator holds {kb} KB, more than its {MEMORY_MB} MB: the platform kills it"));
            run::kill(coordinator);
            *lock(&killed) = Some((now_ms(), kb));
            return;
        }
        sleep_ms(10);
    });
    let stop = Arc::new(AtomicBool::new(false));
    let answers = start_clients(platform.port, CLIENTS, &stop);
    sleep_ms(3000);
    note(&format!(
        "before: {} KB at most; usual clients: {}",
        peak_kb.load(Ordering::SeqCst),
        answers.describe()
    ));
    let mut open = Vec::new();
    if run::has_trouble() {
        for number in 0..HALF_WRITTEN {
            open.extend(write_half(platform.port, number));
        }
        note(&format!(
            "{} connections carry {WRITTEN_BYTES} of {DECLARED_BYTES} bytes of a statement each",
            open.len()
        ));
    }
    let until = now_ms() + RUN_MS;
    while now_ms() < until && lock(&killed_at).is_none() {
        sleep_ms(50);
    }
    sleep_ms(500);
    let refused = open
        .iter()
        .filter_map(|stream| read_response(stream, Duration::from_millis(1)))
        .count();
    stop.store(true, Ordering::Relaxed);
    sleep_ms(300);
    let (peak, usual) = (peak_kb.load(Ordering::SeqCst), answers.describe());
    note(&format!("at most {peak} KB; half-written requests that got an answer: {refused}; usual clients: {usual}"));
    let killed = *lock(&killed_at);
    match killed {
        Some((at, kb)) => Outcome::Broken(format!(
            "the coordinator went over its limit of {MEMORY_MB} MB ({kb} KB at {at} ms) and was killed; usual clients: {usual}"
        )),
        None if !run::is_running(coordinator) => Outcome::Broken("the coordinator ended by itself".into()),
        None => Outcome::Held(format!("at most {peak} KB of {MEMORY_MB} MB; usual clients: {usual}")),
    }
}

/// Opens a connection and writes a request but for its end.
fn write_half(port: u16, number: u64) -> Option<std::net::TcpStream> {
    let mut stream = connect(port)?;
    stream
        .set_write_timeout(Some(Duration::from_millis(200)))
        .ok()?;
    let id = number + (1 << 32);
    let head = format!(
        "POST /ops/lookup HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id:016x}\r\nX-Patience-Ms: 2500\r\nContent-Length: {DECLARED_BYTES}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend(b"SELECT day, note FROM sales_17.orders WHERE tag IN (".iter());
    bytes.resize(bytes.len() + WRITTEN_BYTES - 52, b'7');
    let _ = stream.write_all(&bytes);
    Some(stream)
}
