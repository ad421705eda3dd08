//! `driftfront demo`: a coordinator, three mock engines and a light load in one process.

use crate::config::{Config, ConfigError};
use crate::node::{Node, StartError};
use calloop::EventLoop;
use driftfront_console::remote::{Endpoint, Remote};
use driftfront_control::Request;
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::request_log::RequestLog;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The number of mock engines.
const ENGINE_COUNT: usize = 3;
/// Interval between requests of the load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);
/// How long the coordinator may take to open its control socket.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between attempts to connect to the control socket.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why the demo does not start. `Display` gives the message that operators read.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// No loopback port is free.
    #[error(transparent)]
    Port(io::Error),
    /// The generated configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The coordinator's event loop can't be created.
    #[error(transparent)]
    EventLoop(#[from] calloop::Error),
    /// The coordinator does not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The coordinator did not open its control socket in time.
    #[error("the demo's coordinator did not open its control socket in time")]
    TimedOut,
}

/// A running demo. Dropping it stops its engines.
pub struct Demo {
    /// The path of the control socket.
    pub socket: PathBuf,
    /// The clients' address.
    pub listen: SocketAddr,
    _engines: Vec<Engine>,
}

impl Demo {
    /// Starts engines, coordinator and load. Coordinator and load run until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if no port is free or the coordinator does not start.
    pub fn start() -> Result<Demo, DemoError> {
        let engines = start_engines();
        let listen = free_address().map_err(DemoError::Port)?;
        let socket =
            std::env::temp_dir().join(format!("driftfront-demo-{}.sock", std::process::id()));
        let text = operator_file(listen, &socket, &engines);
        Config::from_operator_text(&text)?;
        std::thread::spawn(move || run_coordinator(&text));
        wait_for_control_socket(&socket)?;
        std::thread::spawn(move || send_load(listen));
        Ok(Demo {
            socket,
            listen,
            _engines: engines,
        })
    }

    /// Drains an engine over the control socket.
    ///
    /// # Errors
    ///
    /// Fails if the coordinator does not reply.
    pub fn drain(&self, engine: &str) -> io::Result<()> {
        let mut remote = Remote::connect(&Endpoint::Socket(self.socket.clone()))?;
        let drain = Request::Drain {
            engine: engine.into(),
            force: false,
        };
        remote.ask(&drain)?;
        Ok(())
    }
}

fn start_engines() -> Vec<Engine> {
    let request_log = Arc::new(RequestLog::discarding());
    let start = |number: usize| {
        let options = Options {
            name: format!("engine-{number}"),
            ..Options::default()
        };
        Engine::start(options, request_log.clone())
    };
    (1..=ENGINE_COUNT).map(start).collect()
}

/// Returns a loopback address with a free port.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Builds the operator's file of the demo's coordinator.
fn operator_file(listen: SocketAddr, socket: &Path, engines: &[Engine]) -> String {
    let engine_line = |engine: &Engine| {
        let (name, address) = (engine.name(), engine.addr());
        format!("    engine \"{name}\" at=\"{address}\" building=\"main\" kind=\"std-8\"\n")
    };
    let engine_lines: String = engines.iter().map(engine_line).collect();
    format!(
        "name \"demo\"\nlisten \"{listen}\"\nengines {{\n{engine_lines}}}\ncontrol \"{}\"\n",
        socket.display()
    )
}

/// Runs the coordinator until the process exits. The configuration is parsed in this thread, since it is not `Send`.
fn run_coordinator(operator_file: &str) -> Result<(), DemoError> {
    let config = Config::from_operator_text(operator_file)?;
    let events = EventLoop::try_new()?;
    Node::new(config, &events)?.run(events);
    Ok(())
}

fn wait_for_control_socket(socket: &Path) -> Result<(), DemoError> {
    let started = Instant::now();
    while Remote::connect(&Endpoint::Socket(socket.into())).is_err() {
        if started.elapsed() > START_TIMEOUT {
            return Err(DemoError::TimedOut);
        }
        std::thread::sleep(START_POLL_INTERVAL);
    }
    Ok(())
}

/// Sends look-ups, with a report in every tenth request and an import in every twentieth.
fn send_load(address: SocketAddr) {
    for number in 0u64.. {
        let statement = match number % 20 {
            7 => {
                format!("INSERT INTO graduates.list VALUES ({number}) /* standin: sleep_ms=1500 */")
            }
            3 | 13 => format!("SELECT count() FROM numbers({number}) /* standin: sleep_ms=600 */"),
            _ => format!("SELECT {number} /* standin: sleep_ms=40 */"),
        };
        let class = if number % 10 == 3 { "report" } else { "" };
        std::thread::spawn(move || send_query(address, class, &statement));
        std::thread::sleep(REQUEST_INTERVAL);
    }
}

/// Sends a query on its own connection. Errors are ignored here, since the console shows them.
fn send_query(address: SocketAddr, class: &str, statement: &str) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return;
    };
    let length = statement.len();
    let head = format!(
        "POST /?driftfront_class={class} HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    let _ = stream.write_all((head + statement).as_bytes());
    let _ = stream.read_to_end(&mut Vec::new());
}
