//! A coordinator in front of stand-in engines that speak ClickHouse's interface.

use super::{appliance, file, instance, post, Answer, Coordinator};
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::ledger::RequestLog;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;

pub(crate) struct Site {
    pub coordinator: Coordinator,
    pub ledger: Arc<RequestLog>,
    pub engines: Vec<Engine>,
    list: PathBuf,
}

/// How a site differs from the operator's example.
#[derive(Clone)]
pub(crate) struct Plan {
    pub engines: usize,
    pub descriptors: usize,
    pub options: Options,
    /// Texts of the configuration, and what stands there instead.
    pub changes: Vec<(String, String)>,
}

impl Plan {
    pub(crate) fn of(engines: usize) -> Plan {
        Plan {
            engines,
            descriptors: 1024,
            options: Options::default(),
            changes: Vec::new(),
        }
    }
    pub(crate) fn with(mut self, from: &str, to: &str) -> Plan {
        self.changes.push((from.into(), to.into()));
        self
    }
    /// A result that stands still is given up after so long.
    pub(crate) fn stall_ms(self, ms: u64) -> Plan {
        self.with(
            "\"write\": \"member-load\"",
            &format!("\"write\": \"member-load\", \"stall_ms\": {ms}"),
        )
    }
    pub(crate) fn memory_mb(self, mb: u64) -> Plan {
        self.with(
            "\"sockets\": 1024",
            &format!("\"sockets\": 1024, \"memory_mb\": {mb}"),
        )
    }
    pub(crate) fn start(self) -> Site {
        let ledger = Arc::new(RequestLog::default());
        let engine = |n| {
            Engine::start(
                Options {
                    name: format!("e{n}"),
                    ..self.options.clone()
                },
                ledger.clone(),
            )
        };
        let engines: Vec<Engine> = (0..self.engines).map(engine).collect();
        let list = file("");
        let mut config = appliance()
            .replace("127.0.0.1:8123", "127.0.0.1:0")
            .replace("deploy/engines.json", &list.display().to_string());
        for (from, to) in &self.changes {
            assert!(config.contains(from), "{from} is not in the example");
            config = config.replace(from, to);
        }
        let coordinator = Coordinator::limited(&config, self.descriptors);
        let site = Site {
            ledger,
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
    pub(crate) fn start(engines: usize) -> Site {
        Plan::of(engines).start()
    }

    pub(crate) fn write_list(&self, phases: &[&str]) {
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

    /// Writes the list and waits until the coordinator has taken it.
    pub(crate) fn list(&self, phases: &[&str]) {
        let before = self.coordinator.counter("lists_taken");
        self.write_list(phases);
        self.coordinator.wait_for("lists_taken", before + 1);
    }

    pub(crate) fn query(&self, statement: &str) -> Answer {
        post(self.coordinator.addr, "/", "", statement)
    }

    pub(crate) fn ask(&self, target: &str, statement: &str) -> Answer {
        post(self.coordinator.addr, target, "", statement)
    }

    /// Sends a query and leaves its answer on the connection.
    pub(crate) fn begin(&self, target: &str, statement: &str) -> TcpStream {
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

    /// Most memory that the coordinator ever held, in MB.
    pub(crate) fn memory_mb(&self) -> u64 {
        self.coordinator.memory_mb()
    }

    pub(crate) fn engine(&self, name: &str) -> &Engine {
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

/// Reads so many bytes, whatever they are.
pub(crate) fn read_some(stream: &mut TcpStream, most: usize) -> usize {
    let (mut total, mut bytes) = (0, vec![0; 64 * 1024]);
    while total < most {
        match stream.read(&mut bytes[..(most - total).min(64 * 1024)]) {
            Ok(n) if n > 0 => total += n,
            _ => break,
        }
    }
    total
}
