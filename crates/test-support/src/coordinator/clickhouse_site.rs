//! A coordinator in front of mock engines that speak ClickHouse's interface, and a file with their list.

use super::{example_configuration, instance, post, write_temp_file, Coordinator, Response};
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::request_log::RequestLog;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;

/// Bytes read at once.
const READ_BYTES: usize = 64 * 1024;

/// A coordinator and its engines.
pub struct Site {
    /// The coordinator.
    pub coordinator: Coordinator,
    /// What the engines were sent.
    pub request_log: Arc<RequestLog>,
    /// The engines, `e0` and on.
    pub engines: Vec<Engine>,
    /// The file with the list of engines.
    list: PathBuf,
}

/// How a site differs from the example.
#[derive(Clone)]
pub struct SiteOptions {
    /// How many engines it has.
    pub engines: usize,
    /// Descriptors that the coordinator may hold.
    pub descriptors: usize,
    /// The options of each engine, but for its name.
    pub options: Options,
    /// Texts of the configuration, and what stands there instead.
    pub changes: Vec<(String, String)>,
}

impl SiteOptions {
    /// The example with so many engines.
    pub fn with_engines(engines: usize) -> SiteOptions {
        SiteOptions {
            engines,
            descriptors: 1024,
            options: Options::default(),
            changes: Vec::new(),
        }
    }

    /// Puts `to` in the place of `from` in the configuration.
    pub fn with(mut self, from: &str, to: &str) -> SiteOptions {
        self.changes.push((from.into(), to.into()));
        self
    }

    /// A result of which nothing comes for so long is given up.
    pub fn stall_ms(self, ms: u64) -> SiteOptions {
        self.with(
            "\"write\": \"member-load\"",
            &format!("\"write\": \"member-load\", \"stall_ms\": {ms}"),
        )
    }

    /// Limits the memory for what passes through.
    pub fn memory_mb(self, mb: u64) -> SiteOptions {
        self.with(
            "\"sockets\": 1024",
            &format!("\"sockets\": 1024, \"memory_mb\": {mb}"),
        )
    }

    /// Starts the site, and waits until its coordinator is ready.
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
            assert!(config.contains(from), "{from} is not in the example");
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
    /// Starts the example with so many engines.
    pub fn start(engines: usize) -> Site {
        SiteOptions::with_engines(engines).start()
    }

    /// Writes the list with each engine in its phase.
    pub fn write_list(&self, phases: &[&str]) {
        let lines = self.engines.iter().zip(phases);
        let lines: Vec<String> = lines
            .map(|(e, phase)| instance(e.name(), e.addr(), phase))
            .collect();
        std::fs::write(
            &self.list,
            format!("{{\"instances\":[{}]}}", lines.join(",")),
        )
        .expect("the list");
    }

    /// As [`Site::write_list`], and waits until the coordinator has read it.
    pub fn list(&self, phases: &[&str]) {
        let before = self.coordinator.counter("lists_taken");
        self.write_list(phases);
        self.coordinator.wait_for_counter("lists_taken", before + 1);
    }

    /// Sends a statement, and waits for its response.
    pub fn query(&self, statement: &str) -> Response {
        post(self.coordinator.addr, "/", "", statement)
    }

    /// Sends a statement to this target, which carries its parameters, and waits for its response.
    pub fn request(&self, target: &str, statement: &str) -> Response {
        post(self.coordinator.addr, target, "", statement)
    }

    /// Sends a statement and returns the connection, from which its response can be read.
    pub fn begin(&self, target: &str, statement: &str) -> TcpStream {
        let mut stream =
            TcpStream::connect(self.coordinator.addr).expect("the coordinator listens");
        let length = statement.len();
        write!(
            stream,
            "POST {target} HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{statement}"
        )
        .expect("it reads");
        stream
    }

    /// The most memory that the coordinator has held, in MB.
    pub fn memory_mb(&self) -> u64 {
        self.coordinator.memory_mb()
    }

    /// The engine of this name.
    pub fn engine(&self, name: &str) -> &Engine {
        self.engines
            .iter()
            .find(|e| e.name() == name)
            .expect("an engine of this name")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.list);
    }
}

/// Reads up to `max` bytes and drops them; returns how many came.
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
