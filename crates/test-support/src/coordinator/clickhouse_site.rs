//! A coordinator in front of mock engines with ClickHouse's HTTP interface, and an engine list file.

use super::{example_configuration, instance, post, write_temp_file, Coordinator, Response};
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::request_log::RequestLog;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;

/// Read buffer size.
const READ_BYTES: usize = 64 * 1024;

/// A coordinator and its engines.
pub struct Site {
    /// The coordinator.
    pub coordinator: Coordinator,
    /// The log of requests that the engines received.
    pub request_log: Arc<RequestLog>,
    /// The engines, named `e0`, `e1` and so on.
    pub engines: Vec<Engine>,
    /// The path of the engine list file.
    list: PathBuf,
}

/// Options of a site that differ from the example.
#[derive(Clone)]
pub struct SiteOptions {
    /// Number of engines.
    pub engines: usize,
    /// Limit on the coordinator's file descriptors.
    pub descriptors: usize,
    /// Options of each engine, except for its name.
    pub options: Options,
    /// Texts of the configuration and their replacements.
    pub changes: Vec<(String, String)>,
}

impl SiteOptions {
    /// The example site with this number of engines.
    pub fn with_engines(engines: usize) -> SiteOptions {
        SiteOptions {
            engines,
            descriptors: 1024,
            options: Options::default(),
            changes: Vec::new(),
        }
    }

    /// Replaces `from` with `to` in the configuration.
    pub fn with(mut self, from: &str, to: &str) -> SiteOptions {
        self.changes.push((from.into(), to.into()));
        self
    }

    /// Sets how long a result may stall before the coordinator gives up on it.
    pub fn stall_ms(self, ms: u64) -> SiteOptions {
        self.with(
            "\"write\": \"member-load\"",
            &format!("\"write\": \"member-load\", \"stall_ms\": {ms}"),
        )
    }

    /// Limits the memory for request and response bodies.
    pub fn memory_mb(self, mb: u64) -> SiteOptions {
        self.with(
            "\"sockets\": 1024",
            &format!("\"sockets\": 1024, \"memory_mb\": {mb}"),
        )
    }

    /// Starts the site and waits until its coordinator is ready.
    pub fn start(self) -> Site {
        let request_log = Arc::new(RequestLog::default());
        let engine = |n| {
            Engine::start(
                Options {
                    name: format!("e{n}"),
                    ..self.options.clone()
                },
                request_log.clone(),
            )
        };
        let engines: Vec<Engine> = (0..self.engines).map(engine).collect();
        let list = write_temp_file("");
        let mut config = example_configuration()
            .replace("127.0.0.1:8123", "127.0.0.1:0")
            .replace("deploy/engines.json", &list.display().to_string());
        for (from, to) in &self.changes {
            assert!(
                config.contains(from),
                "the example configuration does not contain {from}"
            );
            config = config.replace(from, to);
        }
        let coordinator = Coordinator::with_descriptor_limit(&config, self.descriptors);
        let site = Site {
            request_log,
            list,
            coordinator,
            engines,
        };
        site.write_list(&vec!["ready"; site.engines.len()]);
        site.coordinator.wait_until_ready();
        site
    }
}

impl Site {
    /// Starts the example site with this number of engines.
    pub fn start(engines: usize) -> Site {
        SiteOptions::with_engines(engines).start()
    }

    /// Writes the engine list, with each engine in the given phase.
    pub fn write_list(&self, phases: &[&str]) {
        let lines = self.engines.iter().zip(phases);
        let lines: Vec<String> = lines
            .map(|(e, phase)| instance(e.name(), e.addr(), phase))
            .collect();
        std::fs::write(
            &self.list,
            format!("{{\"instances\":[{}]}}", lines.join(",")),
        )
        .expect("writing the engine list");
    }

    /// Like [`Site::write_list`], and waits until the coordinator has read the list.
    pub fn list(&self, phases: &[&str]) {
        let before = self.coordinator.counter("lists_taken");
        self.write_list(phases);
        self.coordinator.wait_for_counter("lists_taken", before + 1);
    }

    /// Sends a statement and waits for its response.
    pub fn query(&self, statement: &str) -> Response {
        post(self.coordinator.addr, "/", "", statement)
    }

    /// Sends a statement to this request target, which contains the parameters, and waits for its response.
    pub fn request(&self, target: &str, statement: &str) -> Response {
        post(self.coordinator.addr, target, "", statement)
    }

    /// Sends a statement and returns the connection for reading its response.
    pub fn begin(&self, target: &str, statement: &str) -> TcpStream {
        let mut stream =
            TcpStream::connect(self.coordinator.addr).expect("connecting to the coordinator");
        let length = statement.len();
        write!(
            stream,
            "POST {target} HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{statement}"
        )
        .expect("sending the request");
        stream
    }

    /// Returns the coordinator's peak memory usage, in MB.
    pub fn memory_mb(&self) -> u64 {
        self.coordinator.memory_mb()
    }

    /// Returns the engine with this name.
    pub fn engine(&self, name: &str) -> &Engine {
        self.engines
            .iter()
            .find(|e| e.name() == name)
            .expect("an engine with this name")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.list);
    }
}

/// Reads and discards up to `max` bytes. Returns the number of bytes read.
pub fn read_some(stream: &mut TcpStream, max: usize) -> usize {
    let (mut total, mut bytes) = (0, vec![0; READ_BYTES]);
    while total < max {
        match stream.read(&mut bytes[..(max - total).min(READ_BYTES)]) {
            Ok(n) if n > 0 => total += n,
            _ => break,
        }
    }
    total
}
