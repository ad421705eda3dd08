//! A mock engine that speaks the platform's line protocol. Words in a statement control how the engine responds:
//!
//! | word | response |
//! | --- | --- |
//! | `silent` | none |
//! | `mute` | none to the first attempt, a result to the following ones |
//! | `half` | half a line to the first attempt and then nothing; with `endless`, the first part of a result and then nothing |
//! | `full` | the first attempt is rejected without being executed |
//! | `fault` | the first attempt fails |
//! | `dies` | the connection closes at the first attempt |
//! | `nonsense` | the first attempt gets an invalid line |
//! | `pages` | a result of eight pages; with `lost`, the connection closes after the first page of the first attempt |

use super::start_mock_server;
use driftfront_mock_servers::request_log::RequestLog;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Number of pages of a paged result.
const PAGES: usize = 8;
/// Number of rows per page.
const ROWS_PER_PAGE: usize = 900;
/// Responses are written in chunks of this size, since readers must not rely on receiving whole lines.
const CHUNK_BYTES: usize = 700;

/// Starts engines that share a request log, and returns their addresses.
pub fn engines(number: usize, request_log: &Arc<RequestLog>) -> Vec<SocketAddr> {
    let engine = |n| {
        let request_log = request_log.clone();
        start_mock_server(move |stream| serve(stream, n, &request_log))
    };
    (0..number).map(engine).collect()
}

/// Reads the statement that follows a request line with its length.
pub fn read_statement(input: &mut impl Read, length: &str) -> String {
    let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
    input.read_exact(&mut body).unwrap();
    String::from_utf8_lossy(&body[..body.len() - 2]).into_owned()
}

/// Serves a connection to an engine until it closes. `engine` is the engine's number in the request log.
pub fn serve(stream: TcpStream, engine: usize, request_log: &RequestLog) {
    let mut session = Session {
        engine,
        request_log,
        pages: BTreeMap::new(),
    };
    let mut out = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    while input.read_line(&mut line).is_ok_and(|n| n > 0) {
        match session.respond(&line, &mut input) {
            Reply::Nothing => {}
            Reply::Bytes(response) => {
                let mut chunks = response.as_bytes().chunks(CHUNK_BYTES);
                if chunks.any(|chunk| out.write_all(chunk).is_err()) {
                    return;
                }
            }
            Reply::LastBytes(response) => {
                let _ = out.write_all(response.as_bytes());
                return;
            }
        }
        line.clear();
    }
}

/// The engine's reaction to a line.
enum Reply {
    Nothing,
    Bytes(String),
    /// The connection is closed after these bytes.
    LastBytes(String),
}

/// One connection to an engine.
struct Session<'a> {
    engine: usize,
    request_log: &'a RequestLog,
    /// The pages of results, by request.
    pages: BTreeMap<String, Vec<String>>,
}

impl Session<'_> {
    fn respond(&mut self, line: &str, input: &mut impl Read) -> Reply {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["STAT", tag] => Reply::Bytes(format!(
                "{tag} PONG gauges=inflight:1;queue:0;x0:0.1 0\r\n\r\n"
            )),
            ["FETCH", id, page] => Reply::Bytes(self.fetch_page(id, page)),
            ["END" | "STOP", _] => Reply::Nothing,
            ["REQ", id, fields, length] => {
                assert!(
                    fields.starts_with("kind=") && fields.contains(",ms="),
                    "{fields}"
                );
                let statement = read_statement(input, length);
                self.run(id, &statement)
            }
            _ => panic!("unexpected line from the coordinator: {line:?}"),
        }
    }

    fn fetch_page(&self, id: &str, number: &str) -> String {
        let pages = self.pages.get(id);
        match pages.and_then(|pages| pages.get(number.parse::<usize>().unwrap())) {
            Some(page) => format!("{id} PART fetch_no={number} {}\r\n{page}\r\n", page.len()),
            None => format!("{id} FAULT - 0\r\n\r\n"),
        }
    }

    fn run(&mut self, id: &str, statement: &str) -> Reply {
        let number = self.request_log.of("").len();
        let entry = self.request_log.begin(
            &self.engine.to_string(),
            &number.to_string(),
            statement,
            None,
        );
        let is_first = self.request_log.of(statement).len() == 1;
        let has = |word: &str| statement.contains(word);
        if has("silent") || has("mute") && is_first {
            return Reply::Nothing;
        }
        if has("half") && is_first {
            return Reply::Bytes(match has("endless") {
                true => format!("{id} HIT fetches=1 6000\r\n1\ta\tb\n"),
                false => format!("{id} HI"),
            });
        }
        self.request_log.end(entry, !has("full"));
        if is_first {
            if let Some(reply) = first_attempt_fault(id, statement) {
                return reply;
            }
        }
        if has("pages") {
            return self.send_first_page(id, has("lost") && is_first);
        }
        Reply::Bytes(format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n"))
    }

    /// Sends the first page of a result. With `closes` the connection is closed after it, and the other pages are lost.
    fn send_first_page(&mut self, id: &str, closes: bool) -> Reply {
        let pages: Vec<String> = (0..PAGES)
            .map(|n| format!("{n}\ta\tb\n").repeat(ROWS_PER_PAGE))
            .collect();
        let first = &pages[0];
        let first_page = format!("{id} HIT fetches={PAGES} {}\r\n{first}\r\n", first.len());
        if closes {
            return Reply::LastBytes(first_page);
        }
        self.pages.insert(id.into(), pages);
        Reply::Bytes(format!("{id} INFO res=p,figure=0.5 0\r\n\r\n{first_page}"))
    }
}

/// Returns the reaction to a first attempt if the statement requests a fault.
fn first_attempt_fault(id: &str, statement: &str) -> Option<Reply> {
    let has = |word: &str| statement.contains(word);
    if has("full") {
        Some(Reply::Bytes(format!("{id} SHED - 0\r\n\r\n")))
    } else if has("fault") {
        Some(Reply::Bytes(format!("{id} FAULT - 0\r\n\r\n")))
    } else if has("dies") {
        Some(Reply::LastBytes(String::new()))
    } else if has("nonsense") {
        Some(Reply::Bytes("what is this\r\n".into()))
    } else {
        None
    }
}
