//! Engine lists from a stand-in of etcd's watch API. An engine begins to drain; the coordinator must send it nothing more.

use crate::engine::{self, Shared};
use crate::http::{post, read_body, read_head};
use crate::run::{self, lock, note, now_ms, sleep_ms, Outcome};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PREFIX: &str = "/driftfront/engines/";
const ENGINES: usize = 3;
/// Clients that send reads, one after the other.
const CLIENTS: usize = 8;
/// Nothing new may reach an engine later than this after the coordinator was told that it drains ...
const DRAIN_GRACE_MS: u64 = 250;
/// ... and every time limit is longer by this on sockets.
const SLACK_MS: u64 = 50;
/// What the list's source has to tell counts as told this long after the change at the latest, arrived or not.
const TOLD_AT_LATEST_MS: u64 = 7_000;

/// A key-value store with a watch.
#[derive(Default)]
struct Store {
    /// Open watches that hear of changes.
    watches: Mutex<Vec<TcpStream>>,
    /// Each engine's key, value and revision.
    keys: Mutex<Vec<(String, String, u64)>>,
}

impl Store {
    fn value(port: u16, lifecycle: &str) -> String {
        format!(
            r#"{{"hostPort":"127.0.0.1:{port}","zone":"main","machineType":"std-8","cell":0,"lifecycle":"{lifecycle}","startedAtMs":0}}"#
        )
    }

    fn revision(&self) -> u64 {
        lock(&self.keys).iter().map(|key| key.2).max().unwrap_or(1)
    }

    /// Sends watches a change as one message.
    fn tell(&self, engine: &str, value: &str, revision: u64) {
        let header = self.revision();
        let message = format!(
            r#"{{"result":{{"header":{{"revision":"{header}"}},"events":[{{"type":"PUT","kv":{}}}]}}}}"#,
            kv(engine, value, revision)
        );
        note(&format!(
            "the store tells revision {revision}: {engine} {value}"
        ));
        for watch in lock(&self.watches).iter_mut() {
            let _ = write_chunk(watch, &format!("{message}\n"));
        }
    }
}

fn kv(engine: &str, value: &str, revision: u64) -> String {
    let (key, value) = (base64(&format!("{PREFIX}{engine}")), base64(value));
    format!(
        r#"{{"key":"{key}","value":"{value}","create_revision":"2","mod_revision":"{revision}","version":"1"}}"#
    )
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

fn base64(text: &str) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for group in text.as_bytes().chunks(3) {
        let bytes = [
            group[0],
            *group.get(1).unwrap_or(&0),
            *group.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(bytes[0]) << 16 | u32::from(bytes[1]) << 8 | u32::from(bytes[2]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            encoded.push(if digit <= group.len() {
                char::from(DIGITS[index as usize])
            } else {
                '='
            });
        }
    }
    encoded
}

fn start_store(store: &Arc<Store>) -> u16 {
    let listener = run::listen();
    let port = listener.local_addr().map_or(0, |address| address.port());
    let store = store.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let store = store.clone();
            std::thread::spawn(move || serve_store(&stream, &store));
        }
    });
    port
}

/// Serves range and watch requests until the connection ends.
fn serve_store(stream: &TcpStream, store: &Store) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream);
    let mut writer = stream.try_clone().ok()?;
    loop {
        let head = read_head(&mut reader)?;
        let body = String::from_utf8(read_body(&mut reader, &head)?).ok()?;
        note(&format!("the store is asked: {} {body}", head.line));
        if head.line.starts_with("POST /v3/kv/range ") {
            let keys: Vec<String> = lock(&store.keys)
                .iter()
                .map(|key| kv(&key.0, &key.1, key.2))
                .collect();
            let (revision, count) = (store.revision(), keys.len());
            let body = format!(
                r#"{{"header":{{"revision":"{revision}"}},"kvs":[{}],"count":"{count}"}}"#,
                keys.join(",")
            );
            let length = body.len();
            writer
                .write_all(
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes(),
                )
                .ok()?;
        } else if head.line.starts_with("POST /v3/watch ") {
            let start = start_revision(&body);
            let created = r#"{"result":{"header":{"revision":"1"},"created":true}}"#;
            writer
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .ok()?;
            write_chunk(&mut writer, &format!("{created}\n")).ok()?;
            // Changes from the revision asked for on are told first.
            for (engine, value, revision) in lock(&store.keys).iter().filter(|key| key.2 >= start) {
                let event = kv(engine, value, *revision);
                let message = format!(
                    r#"{{"result":{{"header":{{"revision":"{revision}"}},"events":[{{"type":"PUT","kv":{event}}}]}}}}"#
                );
                write_chunk(&mut writer, &format!("{message}\n")).ok()?;
                note(&format!(
                    "a new watch is told revision {revision}: {engine} {value}"
                ));
            }
            lock(&store.watches).push(writer.try_clone().ok()?);
        } else {
            return None;
        }
    }
}

/// `start_revision` of a watch request.
fn start_revision(body: &str) -> u64 {
    let after = body.split("\"start_revision\":").nth(1).unwrap_or_default();
    let digits: String = after
        .chars()
        .skip_while(|c| !c.is_ascii_digit())
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().unwrap_or(0)
}

/// A coordinator with three engines listed in etcd, and clients that send reads.
struct Site {
    store: Arc<Store>,
    shared: Arc<Shared>,
    ports: Vec<u16>,
    coordinator: usize,
    stop: Arc<AtomicBool>,
}

fn start_site() -> Site {
    let (store, shared) = (Arc::new(Store::default()), Arc::new(Shared::default()));
    let names: Vec<String> = (1..=ENGINES).map(|n| format!("engine-{n}")).collect();
    let ports: Vec<u16> = names
        .iter()
        .map(|name| engine::start(name, &shared))
        .collect();
    for (index, name) in names.iter().enumerate() {
        let value = Store::value(ports[index], "ready");
        lock(&store.keys).push((name.clone(), value, index as u64 + 2));
    }
    let store_port = start_store(&store);
    let port = run::free_port();
    let file = run::write_file(
        "operator.kdl",
        &format!(
            r#"listen "127.0.0.1:{port}"
front "clickhouse"
engines {{ etcd "127.0.0.1:{store_port}" prefix="{PREFIX}" }}
class "lookup" wanted="500 ms" patience="2.5 s" worth=1 threads=1
class "import" wanted="3 s" patience="25 s" worth=7.5 threads=2 once=#true in-order=#true holds-tables=#true
reads "lookup"
writes "import"
limits memory-mb=192 sockets=1024 open=2000
"#
        ),
    );
    let coordinator = run::start_coordinator(&file, port);
    let stop = Arc::new(AtomicBool::new(false));
    for _ in 0..CLIENTS {
        let stop = stop.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                post(port, "/", "SELECT 1", Duration::from_secs(3));
                sleep_ms(40);
            }
        });
    }
    Site {
        store,
        shared,
        ports,
        coordinator,
        stop,
    }
}

impl Site {
    /// Writes the first engine's key, which drains, and returns its name, value and revision.
    fn drain_first(&self) -> (String, String, u64) {
        let revision = self.store.revision() + 1;
        let mut keys = lock(&self.store.keys);
        keys[0].1 = Store::value(self.ports[0], "draining");
        keys[0].2 = revision;
        keys[0].clone()
    }

    /// Ends the clients, and checks that nothing new reached the first engine after this time.
    fn check(&self, allowed_until: u64) -> Outcome {
        self.stop.store(true, Ordering::Relaxed);
        sleep_ms(300);
        let arrivals = lock(&self.shared.arrivals);
        for name in (1..=ENGINES).map(|n| format!("engine-{n}")) {
            let times: Vec<u64> = arrivals
                .iter()
                .filter(|a| a.1 == name)
                .map(|a| a.0)
                .collect();
            let (before, after) = (
                times.iter().filter(|t| **t <= allowed_until).count(),
                times.len(),
            );
            note(&format!("{name}: {before} statements until {allowed_until} ms, {} later, the last at {:?} ms", after - before, times.last()));
        }
        let first: Vec<u64> = arrivals
            .iter()
            .filter(|a| a.1 == "engine-1")
            .map(|a| a.0)
            .collect();
        let late: Vec<u64> = first
            .iter()
            .copied()
            .filter(|t| *t > allowed_until)
            .collect();
        if !run::is_running(self.coordinator) {
            return Outcome::NotRun("the coordinator has ended".into());
        }
        if first.is_empty() {
            return Outcome::NotRun("engine-1 never got a statement".into());
        }
        match (late.first(), late.last()) {
            (Some(begin), Some(end)) => Outcome::Broken(format!(
                "{} statements reached the draining engine after {allowed_until} ms, when its grace was over: from {begin} to {end} ms",
                late.len()
            )),
            _ => Outcome::Held(format!("no statement reached the draining engine after {allowed_until} ms")),
        }
    }
}

/// Two changes of one key arrive in the other order.
pub fn reordered() -> Outcome {
    let site = start_site();
    sleep_ms(2000);
    // The engine registers anew under the same value, and 100 ms later it begins to drain.
    let refreshed = {
        let mut keys = lock(&site.store.keys);
        keys[0].2 = keys.iter().map(|key| key.2).max().unwrap_or(1) + 1;
        keys[0].clone()
    };
    let draining = site.drain_first();
    let told_at;
    if run::has_trouble() {
        site.store.tell(&draining.0, &draining.1, draining.2);
        told_at = now_ms();
        sleep_ms(100);
        site.store.tell(&refreshed.0, &refreshed.1, refreshed.2);
    } else {
        site.store.tell(&refreshed.0, &refreshed.1, refreshed.2);
        sleep_ms(100);
        site.store.tell(&draining.0, &draining.1, draining.2);
        told_at = now_ms();
    }
    sleep_ms(10_000);
    site.check(told_at + DRAIN_GRACE_MS + SLACK_MS)
}

/// The open watch falls silent and stays open; the store takes new connections and answers them at once.
pub fn silent() -> Outcome {
    let site = start_site();
    sleep_ms(3000);
    if run::has_trouble() {
        // The store forgets its watches. Their connections stay open and carry nothing more.
        let forgotten = std::mem::take(&mut *lock(&site.store.watches));
        note(&format!("{} open watches fall silent", forgotten.len()));
        std::mem::forget(forgotten);
    }
    sleep_ms(1000);
    let draining = site.drain_first();
    let changed_at = now_ms();
    note(&format!(
        "the store holds revision {}: {} {}",
        draining.2, draining.0, draining.1
    ));
    site.store.tell(&draining.0, &draining.1, draining.2);
    sleep_ms(35_000);
    site.check(changed_at + TOLD_AT_LATEST_MS + DRAIN_GRACE_MS + SLACK_MS)
}
