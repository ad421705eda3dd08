//! A mock of the platform's engine list: a stream of server-sent events.

use super::{instance, start_mock_server};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval of keep-alive comments on an idle stream.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);

/// An engine list. Each connection receives the events after the last one that it knows. An event that contains `"hang up"` closes
/// the connections that receive it.
pub struct EngineList {
    /// The address of its server.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    events: Vec<String>,
    /// A sender for each connection, to notify it of new events.
    connections: Vec<Sender<()>>,
    /// The `Last-Event-ID` of each connection made so far.
    last_event_ids: Vec<String>,
}

impl EngineList {
    /// Starts a list without events.
    pub fn start() -> EngineList {
        let state: Arc<Mutex<State>> = Arc::default();
        let server_state = state.clone();
        let addr = start_mock_server(move |stream| serve(stream, &server_state));
        EngineList { addr, state }
    }

    /// A list that the test itself serves at this address.
    pub fn at(addr: SocketAddr) -> EngineList {
        EngineList {
            addr,
            state: Arc::default(),
        }
    }

    /// Publishes an event with these engine entries. `more` is appended to the members of the event's JSON object.
    pub fn publish(&self, instances: &[String], more: &str) {
        let mut state = self.state.lock().unwrap();
        let event = event(state.events.len() + 1, instances, more);
        state.events.push(event);
        for connection in &state.connections {
            let _ = connection.send(());
        }
    }

    /// Replaces the events with those of another list.
    pub fn copy_events(&self, from: &EngineList) {
        let events = from.state.lock().unwrap().events.clone();
        self.state.lock().unwrap().events = events;
    }

    /// The `Last-Event-ID` of each connection made so far.
    pub fn last_event_ids(&self) -> Vec<String> {
        self.state.lock().unwrap().last_event_ids.clone()
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let Some(head) = read_head(&mut input) else {
        return;
    };
    let last = head
        .lines()
        .find_map(|l| l.strip_prefix("Last-Event-ID: "))
        .unwrap();
    let known: usize = last.parse().unwrap();
    let (sender, new_events) = channel();
    {
        let mut state = state.lock().unwrap();
        state.last_event_ids.push(last.to_string());
        state.connections.push(sender);
    }
    let _ =
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n");
    let _ = write_events(&mut stream, known, state, &new_events);
}

/// Writes the events after the first `known` ones until the connection closes or an event closes it.
fn write_events(
    stream: &mut TcpStream,
    mut known: usize,
    state: &Mutex<State>,
    new_events: &Receiver<()>,
) -> std::io::Result<()> {
    loop {
        let state = state.lock().unwrap();
        let new: Vec<String> = state.events.iter().skip(known).cloned().collect();
        drop(state);
        for event in new {
            known += 1;
            stream.write_all(format!("id: {known}\ndata: {event}\n\n").as_bytes())?;
            if event.contains("\"hang up\"") {
                return Ok(());
            }
        }
        let _ = new_events.recv_timeout(COMMENT_INTERVAL);
        stream.write_all(b": still here\n\n")?;
    }
}

/// Reads a request head. Returns `None` if the connection closes before its end.
pub fn read_head(input: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if input.read_line(&mut head).unwrap_or(0) == 0 {
            return None;
        }
    }
    Some(head)
}

/// Returns an event with these engine entries. `more` is appended to the members of the event's JSON object.
pub fn event(index: usize, instances: &[String], more: &str) -> String {
    let all = instances.join(",");
    format!(
        "{{\"index\":{index},\"endpoints\":{{\"generation\":1,\"reset\":false,\"instances\":[{all}]}}{more}}}"
    )
}

/// Returns the list entries of these engines, named `e0`, `e1` and so on, each in the given phase.
pub fn instances(engines: &[SocketAddr], phases: &[&str]) -> Vec<String> {
    let each = engines.iter().zip(phases).enumerate();
    each.map(|(n, (addr, phase))| instance(&format!("e{n}"), *addr, phase))
        .collect()
}
