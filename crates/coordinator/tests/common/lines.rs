//! A site in the platform's form: stand-in engines that speak in lines, and a stand-in list of engines.
#![allow(
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    clippy::cast_possible_truncation,
    reason = "tests: long lists of cases, and numbers known to be small"
)]

use super::{appliance, instance, post, stand_in, Answer, Coordinator};
use driftfront_mock_servers::ledger::RequestLog;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};

/// The statement behind a request's line, of the length told there.
pub(crate) fn read_statement(input: &mut impl Read, length: &str) -> String {
    let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
    input.read_exact(&mut body).unwrap();
    String::from_utf8_lossy(&body[..body.len() - 2]).into_owned()
}

/// A caller's whole head; `None` if it goes before that.
pub(crate) fn read_head(input: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if input.read_line(&mut head).unwrap_or(0) == 0 {
            return None;
        }
    }
    Some(head)
}

/// An engine that speaks in lines; a word in the statement says what it does.
pub(crate) fn serve(stream: TcpStream, engine: usize, ledger: &RequestLog) {
    let mut out = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    let mut pages: BTreeMap<String, Vec<String>> = BTreeMap::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let answer = match words[..] {
            ["STAT", tag] => format!("{tag} PONG gauges=inflight:1;queue:0;x0:0.1 0\r\n\r\n"),
            ["FETCH", id, n] => match pages
                .get(id)
                .and_then(|p| p.get(n.parse::<usize>().unwrap()))
            {
                Some(page) => format!("{id} PART fetch_no={n} {}\r\n{page}\r\n", page.len()),
                None => format!("{id} FAULT - 0\r\n\r\n"),
            },
            ["END" | "STOP", _] => String::new(),
            ["REQ", id, fields, length] => {
                assert!(
                    fields.starts_with("kind=") && fields.contains(",ms="),
                    "{fields}"
                );
                let statement = read_statement(&mut input, length);
                let entry = ledger.begin(
                    &engine.to_string(),
                    &ledger.of("").len().to_string(),
                    &statement,
                    None,
                );
                let first = ledger.of(&statement).len() == 1;
                let is = |word: &str| statement.contains(word);
                if is("silent") || is("mute") && first {
                    continue;
                }
                if is("half") && first {
                    // Half a line, or an answer that never ends, and then nothing on a connection that stays.
                    let begun = if is("endless") {
                        format!("{id} HIT fetches=1 6000\r\n1\ta\tb\n")
                    } else {
                        format!("{id} HI")
                    };
                    let _ = out.write_all(begun.as_bytes());
                    continue;
                }
                ledger.end(entry, !is("full"));
                if is("full") && first {
                    format!("{id} SHED - 0\r\n\r\n")
                } else if is("fault") && first {
                    format!("{id} FAULT - 0\r\n\r\n")
                } else if is("dies") && first {
                    return;
                } else if is("nonsense") && first {
                    "what is this\r\n".into()
                } else if is("pages") {
                    let all: Vec<String> =
                        (0..8).map(|n| format!("{n}\ta\tb\n").repeat(900)).collect();
                    let (page, size) = (all[0].clone(), all[0].len());
                    // The first attempt's engine dies with its pages.
                    if is("lost") && first {
                        let _ = write!(out, "{id} HIT fetches=8 {size}\r\n{page}\r\n");
                        return;
                    }
                    pages.insert(id.into(), all);
                    format!("{id} INFO res=p,figure=0.5 0\r\n\r\n{id} HIT fetches=8 {size}\r\n{page}\r\n")
                } else {
                    format!("{id} HIT fetches=1 6\r\n1\ta\tb\n\r\n")
                }
            }
            _ => panic!("the coordinator wrote {line:?}"),
        };
        // In small pieces: the other side must not count on whole lines.
        for piece in answer.as_bytes().chunks(700) {
            if out.write_all(piece).is_err() {
                return;
            }
        }
    }
}

/// What has been told, and whom to wake with news.
pub(crate) type Events = (Vec<String>, Vec<Sender<()>>);

/// A list of engines as a stream of events; each connection gets what has come behind its last.
pub(crate) struct List {
    pub addr: SocketAddr,
    pub events: Arc<Mutex<Events>>,
    pub asked: Arc<Mutex<Vec<String>>>,
}

impl List {
    pub(crate) fn start() -> List {
        let events: Arc<Mutex<Events>> = Arc::default();
        let asked: Arc<Mutex<Vec<String>>> = Arc::default();
        let (held, heads) = (events.clone(), asked.clone());
        let addr = stand_in(move |mut stream| {
            let mut input = BufReader::new(stream.try_clone().unwrap());
            let Some(head) = read_head(&mut input) else {
                return;
            };
            let last = head
                .lines()
                .find_map(|l| l.strip_prefix("Last-Event-ID: "))
                .unwrap()
                .to_string();
            let mut told: usize = last.parse().unwrap();
            heads.lock().unwrap().push(last);
            let (wake, woken) = channel();
            held.lock().unwrap().1.push(wake);
            let _ = stream.write_all(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n",
            );
            loop {
                let new: Vec<String> = held.lock().unwrap().0.iter().skip(told).cloned().collect();
                for event in new {
                    told += 1;
                    let text = format!("id: {told}\ndata: {event}\n\n");
                    if stream.write_all(text.as_bytes()).is_err() || event.contains("\"hang up\"") {
                        return;
                    }
                }
                let comment = std::time::Duration::from_secs(1);
                let _ = woken.recv_timeout(comment);
                if stream.write_all(b": still here\n\n").is_err() {
                    return;
                }
            }
        });
        List {
            addr,
            events,
            asked,
        }
    }

    pub(crate) fn tell(&self, instances: &[String], more: &str) {
        let mut events = self.events.lock().unwrap();
        let event = event(events.0.len() + 1, instances, more);
        events.0.push(event);
        for wake in &events.1 {
            let _ = wake.send(());
        }
    }
}

/// The list's lines on these engines, e0 and on.
pub(crate) fn instances(engines: &[SocketAddr], phases: &[&str]) -> Vec<String> {
    let each = engines.iter().zip(phases).enumerate();
    each.map(|(n, (addr, phase))| instance(&format!("e{n}"), *addr, phase))
        .collect()
}

/// An event that tells these engines' lines, and more if that is not empty.
pub(crate) fn event(index: usize, instances: &[String], more: &str) -> String {
    let all = instances.join(",");
    format!(
        "{{\"index\":{index},\"endpoints\":{{\"generation\":1,\"reset\":false,\"instances\":[{all}]}}{more}}}"
    )
}

/// So many engines that speak in lines, with one ledger.
pub(crate) fn engines(number: usize, ledger: &Arc<RequestLog>) -> Vec<SocketAddr> {
    let engine = |n| {
        let ledger = ledger.clone();
        stand_in(move |stream| serve(stream, n, &ledger))
    };
    (0..number).map(engine).collect()
}

pub(crate) struct Site {
    pub coordinator: Coordinator,
    pub ledger: Arc<RequestLog>,
    pub engines: Vec<SocketAddr>,
    pub list: List,
}

/// What the platform tells a coordinator whose list of engines is told at this address.
pub(crate) fn config(list: SocketAddr) -> String {
    appliance()
        .replace("127.0.0.1:8123", "127.0.0.1:0")
        .replace(
            "\"front\": \"clickhouse\"",
            &format!("\"coordinator\": \"{list}\""),
        )
        .replace("\"membership\"", "\"unknown\"")
}

impl Site {
    pub(crate) fn start(engines: usize) -> Site {
        Site::set(engines, |config| config)
    }

    pub(crate) fn set(engines: usize, edit: impl Fn(String) -> String) -> Site {
        Site::with(engines, |config| Coordinator::start(&edit(config)))
    }

    /// A site whose coordinator is started in a way of its own.
    pub(crate) fn with(engines: usize, start: impl FnOnce(String) -> Coordinator) -> Site {
        let ledger = Arc::new(RequestLog::default());
        let engines = self::engines(engines, &ledger);
        Site::of(ledger, engines, start)
    }

    /// A site of these engines, with its coordinator ready.
    pub(crate) fn of(
        ledger: Arc<RequestLog>,
        engines: Vec<SocketAddr>,
        start: impl FnOnce(String) -> Coordinator,
    ) -> Site {
        let list = List::start();
        let site = Site {
            ledger,
            coordinator: start(config(list.addr)),
            list,
            engines,
        };
        site.tell(&vec!["ready"; site.engines.len()], "");
        site.coordinator.wait_until_ready();
        site
    }

    pub(crate) fn tell(&self, phases: &[&str], more: &str) {
        self.list.tell(&instances(&self.engines, phases), more);
    }

    pub(crate) fn ask(&self, class: &str, patience: u32, statement: &str) -> Answer {
        let id = driftfront::net::fnv1a_64(statement.as_bytes());
        let headers = format!(
            "X-Call-Id: {id:016x}\r\nX-Patience-Ms: {patience}\r\nX-Entity: 000000000000000a\r\n"
        );
        post(
            self.coordinator.addr,
            &format!("/ops/{class}"),
            &headers,
            statement,
        )
    }
}
