//! `driftfront demo`: a coordinator, three stand-in engines and a gentle load in one process, and the console on it.

use crate::config::Config;
use crate::node::Node;
use calloop::EventLoop;
use driftfront_console::remote::{Endpoint, Remote};
use driftfront_control::Request;
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::ledger::RequestLog;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two requests of the load.
const PACE: Duration = Duration::from_millis(120);

/// A demo that runs; its engines and its socket go with it.
pub struct Demo {
    /// Where operators find it.
    pub socket: PathBuf,
    /// Where its clients connect.
    pub listen: SocketAddr,
    _engines: Vec<Engine>,
}

impl Demo {
    /// Starts all of it; the coordinator and the load go on until the process ends.
    ///
    /// # Errors
    ///
    /// No port is free, or the coordinator does not start.
    pub fn start() -> Result<Demo, String> {
        let ledger = Arc::new(RequestLog::forgetful());
        let options = |n: usize| Options {
            name: format!("engine-{n}"),
            ..Options::default()
        };
        let engines: Vec<Engine> = (1..=3)
            .map(|n| Engine::start(options(n), ledger.clone()))
            .collect();
        let port = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .map_err(|e| e.to_string())?;
        let socket =
            std::env::temp_dir().join(format!("driftfront-demo-{}.sock", std::process::id()));
        let line = |e: &Engine| {
            format!(
                "    engine \"{}\" at=\"{}\" building=\"main\" kind=\"std-8\"\n",
                e.name(),
                e.addr()
            )
        };
        let lines: String = engines.iter().map(line).collect();
        let text = format!(
            "name \"demo\"\nlisten \"{port}\"\nengines {{\n{lines}}}\ncontrol \"{}\"\n",
            socket.display()
        );
        Config::of_operator(&text).map_err(|error| error.to_string())?;
        std::thread::spawn(move || {
            // Read where it is used: a configuration stays on its thread.
            let config = Config::of_operator(&text).map_err(|error| error.to_string())?;
            let events = EventLoop::try_new().map_err(|e| e.to_string())?;
            Node::new(config, &events)?.run(events)
        });
        let begin = Instant::now();
        while Remote::connect(&Endpoint::Socket(socket.clone())).is_err() {
            if begin.elapsed() > Duration::from_secs(10) {
                return Err("the demo's coordinator did not start".into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::spawn(move || load(port));
        Ok(Demo {
            socket,
            listen: port,
            _engines: engines,
        })
    }

    /// Asks it to take an engine out, as an operator would.
    ///
    /// # Errors
    ///
    /// The coordinator does not answer.
    pub fn drain(&self, engine: &str) -> Result<(), String> {
        let mut remote =
            Remote::connect(&Endpoint::Socket(self.socket.clone())).map_err(|e| e.to_string())?;
        let drain = Request::Drain {
            engine: engine.into(),
            force: false,
        };
        remote.ask(&drain).map(|_| ()).map_err(|e| e.to_string())
    }
}

/// Look-ups, now and then a report, now and then an import.
fn load(addr: SocketAddr) {
    for n in 0u64.. {
        let statement = match n % 20 {
            7 => format!("INSERT INTO graduates.list VALUES ({n}) /* standin: sleep_ms=1500 */"),
            3 | 13 => format!("SELECT count() FROM numbers({n}) /* standin: sleep_ms=600 */"),
            _ => format!("SELECT {n} /* standin: sleep_ms=40 */"),
        };
        let class = if n % 10 == 3 { "report" } else { "" };
        std::thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect(addr) else {
                return;
            };
            let (target, length) = (format!("/?driftfront_class={class}"), statement.len());
            let head = format!("POST {target} HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
            let _ = stream.write_all((head + &statement).as_bytes());
            let _ = stream.read_to_end(&mut Vec::new());
        });
        std::thread::sleep(PACE);
    }
}
