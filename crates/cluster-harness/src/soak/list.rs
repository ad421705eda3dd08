//! A mock of the platform's engine list: a stream of server-sent events, served on two addresses.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Interval of keep-alive comments on an idle stream.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// All events so far. Every connection receives them.
#[derive(Default)]
struct EventStream {
    events: Mutex<Vec<String>>,
    added: Condvar,
}

/// An engine that was reported as draining.
#[derive(Clone, Copy)]
pub(super) struct Drain {
    /// The engine's address.
    pub engine: SocketAddr,
    /// When the list reported it.
    pub reported_at: Instant,
}

/// The engine list.
pub(super) struct EngineList {
    /// The addresses that serve the list. SIGHUP switches coordinators from one to the other.
    pub addrs: [SocketAddr; 2],
    engines: Vec<SocketAddr>,
    stream: Arc<EventStream>,
    drains: Mutex<Vec<Drain>>,
}

impl EngineList {
    /// Serves a list of these engines, all of them ready.
    pub(super) fn start(engines: Vec<SocketAddr>) -> EngineList {
        let stream = Arc::<EventStream>::default();
        let addrs = [serve(&stream), serve(&stream)];
        let list = EngineList {
            addrs,
            engines,
            stream,
            drains: Mutex::default(),
        };
        let lines: Vec<String> = (0..list.engines.len())
            .map(|number| list.line(number, "ready"))
            .collect();
        list.add_event(&lines);
        list
    }

    /// Reports engines as draining, each at its time relative to `started`.
    pub(super) fn play(&self, drains: &[(Duration, usize)], started: Instant) {
        for &(time, engine) in drains {
            std::thread::sleep(time.saturating_sub(started.elapsed()));
            self.add_event(&[self.line(engine, "draining")]);
            let drain = Drain {
                engine: self.engines[engine],
                reported_at: Instant::now(),
            };
            self.drains.lock().expect("locking the drains").push(drain);
        }
    }

    /// Returns all reported drains.
    pub(super) fn drains(&self) -> Vec<Drain> {
        self.drains.lock().expect("locking the drains").clone()
    }

    /// Returns the JSON object of an engine.
    fn line(&self, engine: usize, lifecycle: &str) -> String {
        format!(
            "{{\"instanceId\":\"e{engine}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"std\",\"cell\":0,\
             \"lifecycle\":\"{lifecycle}\",\"startedAtMs\":0}}",
            self.engines[engine]
        )
    }

    /// Adds an event with the JSON objects of engines.
    fn add_event(&self, lines: &[String]) {
        let mut events = self.stream.events.lock().expect("locking the events");
        let (index, lines) = (events.len() + 1, lines.join(","));
        events.push(format!(
            "{{\"index\":{index},\"endpoints\":{{\"generation\":1,\"reset\":false,\"instances\":[{lines}]}}}}"
        ));
        self.stream.added.notify_all();
    }
}

/// Serves the events on a new address.
fn serve(events: &Arc<EventStream>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binding a loopback port");
    let addr = listener.local_addr().expect("reading the local address");
    let events = events.clone();
    std::thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            let events = events.clone();
            std::thread::spawn(move || drop(write_events(connection, &events)));
        }
    });
    addr
}

/// Writes the events after the last one that the client knows until the connection closes.
fn write_events(mut connection: TcpStream, stream: &EventStream) -> std::io::Result<()> {
    let Some(mut next) = read_last_event(&connection)? else {
        return Ok(());
    };
    connection
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")?;
    loop {
        let new = stream.wait_for_events_after(next);
        if new.is_empty() {
            connection.write_all(b": still here\n\n")?;
        }
        for event in new {
            next += 1;
            connection.write_all(format!("id: {next}\ndata: {event}\n\n").as_bytes())?;
        }
    }
}

/// Reads a request head. Returns the number of the last event that the client knows, or `None` if the connection closes before the
/// end of the head.
fn read_last_event(connection: &TcpStream) -> std::io::Result<Option<usize>> {
    let mut input = BufReader::new(connection.try_clone()?);
    let mut last = 0;
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if let Some(number) = line.strip_prefix("Last-Event-ID: ") {
            last = number.trim().parse().unwrap_or(0);
        }
    }
    Ok(Some(last))
}

impl EventStream {
    /// Waits for events after the first `known` ones and returns them; empty if there are none in time.
    fn wait_for_events_after(&self, known: usize) -> Vec<String> {
        let events = self.events.lock().expect("locking the events");
        let waited = self
            .added
            .wait_timeout_while(events, COMMENT_INTERVAL, |all| all.len() <= known);
        let (events, _) = waited.expect("locking the events");
        events.iter().skip(known).cloned().collect()
    }
}
