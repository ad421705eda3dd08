//! A stand-in for the platform's list of engines, at two addresses: a stream of server-sent events.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A comment goes out this often where nothing changes.
const COMMENT_EVERY: Duration = Duration::from_secs(1);

/// What has been told so far.
#[derive(Default)]
struct Told {
    events: Mutex<Vec<String>>,
    news: Condvar,
}

/// The list.
pub(super) struct List {
    /// Where it is told: a SIGHUP moves coordinators from one to the other.
    pub addrs: [SocketAddr; 2],
    engines: Vec<SocketAddr>,
    told: Arc<Told>,
    /// Engines that drain, and when that was told.
    drained: Mutex<Vec<(SocketAddr, Instant)>>,
}

impl List {
    /// Tells that these engines are ready.
    pub(super) fn start(engines: Vec<SocketAddr>) -> List {
        let told = Arc::<Told>::default();
        let addrs = [serve(&told), serve(&told)];
        let list = List {
            addrs,
            engines,
            told,
            drained: Mutex::default(),
        };
        let all: Vec<String> = (0..list.engines.len())
            .map(|n| list.line(n, "ready"))
            .collect();
        list.tell(&all);
        list
    }

    /// Tells of these drains, each at its time.
    pub(super) fn play(&self, drains: &[(Duration, usize)], begun: Instant) {
        for &(at, engine) in drains {
            std::thread::sleep(at.saturating_sub(begun.elapsed()));
            self.tell(&[self.line(engine, "draining")]);
            self.drained
                .lock()
                .expect("the drains")
                .push((self.engines[engine], Instant::now()));
        }
    }

    /// Engines that drain, and when that was told.
    pub(super) fn drained(&self) -> Vec<(SocketAddr, Instant)> {
        self.drained.lock().expect("the drains").clone()
    }

    fn line(&self, engine: usize, lifecycle: &str) -> String {
        format!(
            "{{\"instanceId\":\"e{engine}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"std\",\"cell\":0,\
             \"lifecycle\":\"{lifecycle}\",\"startedAtMs\":0}}",
            self.engines[engine]
        )
    }

    fn tell(&self, lines: &[String]) {
        let mut events = self.told.events.lock().expect("the events");
        let (index, lines) = (events.len() + 1, lines.join(","));
        events.push(format!(
            "{{\"index\":{index},\"endpoints\":{{\"generation\":1,\"reset\":false,\"instances\":[{lines}]}}}}"
        ));
        self.told.news.notify_all();
    }
}

fn serve(told: &Arc<Told>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let told = told.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let told = told.clone();
            std::thread::spawn(move || drop(stream_events(stream, &told)));
        }
    });
    addr
}

/// Writes events behind the last one that the caller knows, until the connection ends.
fn stream_events(mut stream: TcpStream, told: &Told) -> std::io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    let mut next = 0;
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if let Some(last) = line.strip_prefix("Last-Event-ID: ") {
            next = last.trim().parse().unwrap_or(0);
        }
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")?;
    loop {
        let events = told.events.lock().expect("the events");
        let waited = told
            .news
            .wait_timeout_while(events, COMMENT_EVERY, |all| all.len() <= next);
        let new: Vec<String> = waited
            .expect("the events")
            .0
            .iter()
            .skip(next)
            .cloned()
            .collect();
        if new.is_empty() {
            stream.write_all(b": still here\n\n")?;
        }
        for event in new {
            next += 1;
            stream.write_all(format!("id: {next}\ndata: {event}\n\n").as_bytes())?;
        }
    }
}
