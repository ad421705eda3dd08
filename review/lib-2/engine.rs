//! A stand-in engine that speaks the ClickHouse HTTP interface as a sound server does. It answers each read with one row. It
//! applies the rows of an insert in blocks of `max_insert_block_size` while they arrive, as the interface documents.

use crate::http::{read_body, read_chunk, read_head, read_line, Head};
use crate::run::{lock, note, now_ms, sleep_ms};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// The documented default of `max_insert_block_size`, in rows.
const DEFAULT_BLOCK_ROWS: usize = 1_048_449;
/// How long a read takes.
const READ_MS: u64 = 10;

/// What happens to the first insert that reaches any engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsertTrouble {
    /// The engine is full: it answers code 202 before it reads the rows.
    Refused,
    /// Each insert's connection is reset as it begins: nothing of any insert is read or applied.
    AlwaysReset,
    /// The connection is reset under the insert, this long after this many bytes of its first chunk have been read.
    ResetAfter { bytes: usize, ms: u64 },
}

/// Answers that bring more than is theirs, and answers to probes that take their time.
#[derive(Clone, Copy, Debug)]
pub struct SecondCopies {
    /// Each answer of this number gets a second copy ...
    pub every: u64,
    /// ... at most this much later; with 0, at once.
    pub within_ms: u64,
    /// The answer to a probe takes at most this long.
    pub probe_ms: u64,
}

/// When a statement arrived at an engine, and when its answer was written.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub begun_at: u64,
    pub answered_at: Option<u64>,
}

/// What all engines of a site share: the trouble to come, what they received and what they applied.
#[derive(Default)]
pub struct Shared {
    pub insert_trouble: Mutex<Option<InsertTrouble>>,
    /// Statements by time of arrival: milliseconds, engine.
    pub arrivals: Mutex<Vec<(u64, String)>>,
    pub second_copies: Mutex<Option<SecondCopies>>,
    /// Answers and probes so far, which decide the trouble of the next one.
    pub count: AtomicU64,
    /// Statements that end in a word of their own, by that word.
    pub served: Mutex<BTreeMap<String, Served>>,
    /// Engines that applied each row.
    pub applied: Mutex<BTreeMap<String, Vec<String>>>,
}

/// Starts an engine on a free port, and returns the port.
pub fn start(name: &str, shared: &Arc<Shared>) -> u16 {
    let listener = crate::run::listen();
    let port = listener.local_addr().map_or(0, |address| address.port());
    let (name, shared) = (name.to_string(), shared.clone());
    std::thread::spawn(move || serve(&listener, &name, &shared));
    port
}

fn serve(listener: &TcpListener, name: &str, shared: &Arc<Shared>) {
    for stream in listener.incoming().flatten() {
        let (name, shared) = (name.to_string(), shared.clone());
        std::thread::spawn(move || serve_connection(&stream, &name, &shared));
    }
}

/// Serves requests until the connection ends.
fn serve_connection(stream: &TcpStream, name: &str, shared: &Shared) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_head(&mut reader)?;
        if head.line.starts_with("GET /ping") {
            if let Some(copies) = *lock(&shared.second_copies) {
                sleep_ms(shared.count.fetch_add(7, Ordering::SeqCst) % copies.probe_ms);
            }
            answer(stream, &head, 200, "", "Ok.\n")?;
        } else if head.is_chunked() {
            serve_insert(stream, &mut reader, &head, name, shared)?;
        } else {
            lock(&shared.arrivals).push((now_ms(), name.to_string()));
            let statement = String::from_utf8(read_body(&mut reader, &head)?).ok()?;
            serve_statement(stream, &head, &statement, shared)?;
        }
    }
}

/// Answers a statement in one piece: a read with the statement's last word as its only row, an insert with nothing.
fn serve_statement(
    stream: &TcpStream,
    head: &Head,
    statement: &str,
    shared: &Shared,
) -> Option<()> {
    let word = statement.split(' ').next_back().unwrap_or_default();
    let (begun_at, number) = (now_ms(), shared.count.fetch_add(1, Ordering::SeqCst));
    lock(&shared.served).insert(
        word.into(),
        Served {
            begun_at,
            answered_at: None,
        },
    );
    sleep_ms(READ_MS);
    let (fields, body) = if statement.starts_with("INSERT") {
        ("", String::new())
    } else {
        ("X-ClickHouse-Format: TabSeparated\r\n", format!("{word}\n"))
    };
    lock(&shared.served).insert(
        word.into(),
        Served {
            begun_at,
            answered_at: Some(now_ms()),
        },
    );
    let copies =
        (*lock(&shared.second_copies)).filter(|copies| number.is_multiple_of(copies.every));
    let is_doubled = copies.is_some_and(|copies| copies.within_ms == 0);
    let text = response(head, 200, fields, &body).repeat(if is_doubled { 2 } else { 1 });
    let mut writer = stream;
    writer.write_all(text.as_bytes()).ok()?;
    if let Some(copies) = copies.filter(|_| !is_doubled) {
        let (mut stream, text) = (stream.try_clone().ok()?, response(head, 200, fields, &body));
        let delay_ms = 1 + number / copies.every % copies.within_ms;
        std::thread::spawn(move || {
            sleep_ms(delay_ms);
            let _ = stream.write_all(text.as_bytes());
        });
    }
    Some(())
}

/// Reads the rows of an insert and applies them. `None` if the connection ends.
fn serve_insert(
    stream: &TcpStream,
    reader: &mut impl BufRead,
    head: &Head,
    name: &str,
    shared: &Shared,
) -> Option<()> {
    let trouble = {
        let mut next = lock(&shared.insert_trouble);
        match *next {
            Some(InsertTrouble::AlwaysReset) => *next,
            _ => next.take(),
        }
    };
    if trouble == Some(InsertTrouble::AlwaysReset) {
        // A close over unread bytes resets the connection.
        return None;
    }
    if trouble == Some(InsertTrouble::Refused) {
        let text = "Code: 202. DB::Exception: Too many simultaneous queries. Maximum: 100. \
                    (TOO_MANY_SIMULTANEOUS_QUERIES)\n";
        answer(
            stream,
            head,
            500,
            "X-ClickHouse-Exception-Code: 202\r\nConnection: close\r\n",
            text,
        )?;
        note(&format!(
            "{name}: refused the insert with code 202, having applied nothing"
        ));
        // What the peer still sends is read and dropped, so that it can read the answer.
        while read_chunk(reader).is_some_and(|chunk| !chunk.is_empty()) {}
        return None;
    }
    note(&format!("{name}: an insert begins"));
    let block_rows = head
        .param("max_insert_block_size")
        .and_then(|rows| rows.parse().ok());
    let mut insert = Insert {
        name,
        shared,
        block_rows: block_rows.unwrap_or(DEFAULT_BLOCK_ROWS),
        partial: Vec::new(),
        rows: Vec::new(),
    };
    if let Some(InsertTrouble::ResetAfter { bytes, ms }) = trouble {
        // The start of the first chunk, which is longer. A close over unread bytes resets the connection.
        read_line(reader)?;
        let mut rows = vec![0; bytes];
        reader.read_exact(&mut rows).ok()?;
        insert.add(&rows);
        sleep_ms(ms);
        note(&format!(
            "{name}: the connection is reset after {bytes} bytes of the insert"
        ));
        return None;
    }
    let mut received = 0;
    loop {
        let Some(chunk) = read_chunk(reader) else {
            note(&format!(
                "{name}: the insert breaks off after {received} bytes"
            ));
            return None;
        };
        if chunk.is_empty() {
            break;
        }
        received += chunk.len();
        insert.add(&chunk);
    }
    insert.apply_block();
    note(&format!("{name}: the insert is complete, {received} bytes"));
    answer(stream, head, 200, "", "")
}

/// An insert that is being read.
struct Insert<'a> {
    name: &'a str,
    shared: &'a Shared,
    block_rows: usize,
    /// The row that has not arrived whole.
    partial: Vec<u8>,
    /// The rows of the block that is not full yet.
    rows: Vec<String>,
}

impl Insert<'_> {
    fn add(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if byte != b'\n' {
                self.partial.push(byte);
                continue;
            }
            let row = std::mem::take(&mut self.partial);
            self.rows.push(String::from_utf8_lossy(&row).into_owned());
            if self.rows.len() >= self.block_rows {
                self.apply_block();
            }
        }
    }

    fn apply_block(&mut self) {
        let mut applied = lock(&self.shared.applied);
        for row in self.rows.drain(..) {
            applied.entry(row).or_default().push(self.name.to_string());
        }
    }
}

/// Writes a response. `None` if the connection ends.
fn answer(
    mut stream: &TcpStream,
    head: &Head,
    status: u16,
    fields: &str,
    body: &str,
) -> Option<()> {
    stream
        .write_all(response(head, status, fields, body).as_bytes())
        .ok()
}

fn response(head: &Head, status: u16, fields: &str, body: &str) -> String {
    let id = head
        .param("query_id")
        .map(|id| format!("X-ClickHouse-Query-Id: {id}\r\n"))
        .unwrap_or_default();
    let (reason, length) = (
        if status == 200 {
            "OK"
        } else {
            "Internal Server Error"
        },
        body.len(),
    );
    format!("HTTP/1.1 {status} {reason}\r\n{id}{fields}Content-Length: {length}\r\n\r\n{body}")
}
