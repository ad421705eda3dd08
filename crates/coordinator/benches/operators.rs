//! Benchmarks of the operator interface: the event loop's longest pause and processor time with 0, 1 and 8 consoles at
//! ten snapshots a second and 500 engines; the cost of a snapshot by the number of engines; the memory of an hour of
//! history.
//!
//! `cargo bench -p driftfront --bench operators` prints tables. Run it on an otherwise idle machine.

use driftfront::service_window::{RequestOutcome, ServiceWindow};
use driftfront_console::remote::{Endpoint, Remote};
use driftfront_control::{Reply, Request};
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::request_log::RequestLog;
use driftfront_test_support::coordinator::{unused_address, MeasuredProcess};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Duration of the measurement for each number of consoles.
const ROUND: Duration = Duration::from_secs(4);
/// Number of engines of the coordinator to which consoles connect.
const ENGINES: usize = 500;
/// Interval between the snapshots sent to a console, in milliseconds.
const FOLLOW_INTERVAL_MS: u64 = 100;
/// Number of snapshots over which the mean cost is taken.
const SNAPSHOTS: u32 = 50;
/// Longer than the time for which a snapshot is cached, so that each request builds a new one.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(60);
/// Duration of the measurement of the idle processor time.
const IDLE_TIME: Duration = Duration::from_secs(3);

struct RunningCoordinator {
    process: MeasuredProcess,
    addr: SocketAddr,
    socket: PathBuf,
}

impl RunningCoordinator {
    /// Starts a coordinator with `engines` engines, all at one address.
    fn start(engines: usize, engine: SocketAddr) -> RunningCoordinator {
        let addr = unused_address();
        let path = |extension: &str| {
            let process = std::process::id();
            std::env::temp_dir().join(format!("driftfront-bench-{process}-{engines}.{extension}"))
        };
        let (socket, file) = (path("sock"), path("kdl"));
        let mut text = format!(
            "listen \"{addr}\"\ncontrol \"{}\"\nengines {{\n",
            socket.display()
        );
        for n in 0..engines {
            let _ = writeln!(text, "    engine \"engine-{n}\" at=\"{engine}\"");
        }
        text.push_str("}\n");
        std::fs::write(&file, text).expect("write the configuration");
        let process = MeasuredProcess::start(
            Command::new(env!("CARGO_BIN_EXE_driftfront"))
                .args(["serve", "--log", "error", "--config"])
                .arg(&file),
            vec![file.clone(), socket.clone()],
            || Remote::connect(&Endpoint::Socket(socket.clone())).is_ok(),
        );
        RunningCoordinator {
            process,
            addr,
            socket,
        }
    }

    fn remote(&self) -> Remote {
        Remote::connect(&Endpoint::Socket(self.socket.clone()))
            .expect("connect to the control socket")
    }

    /// Processor time used so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
        self.process.processor_seconds()
    }
}

/// Ping latencies over a round, in milliseconds. The longest shows the longest pause of the event loop.
struct PingTimes {
    p99: f64,
    longest: f64,
}

fn measure_pings(addr: SocketAddr) -> PingTimes {
    let mut stream = TcpStream::connect(addr).expect("connect");
    let (begin, mut times, mut bytes) = (Instant::now(), Vec::new(), [0; 512]);
    while begin.elapsed() < ROUND {
        let sent_at = Instant::now();
        stream
            .write_all(b"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n")
            .expect("send");
        let mut text = Vec::new();
        while !text.ends_with(b"Ok.\n") {
            let n = stream.read(&mut bytes).expect("a response");
            text.extend_from_slice(&bytes[..n]);
        }
        times.push(sent_at.elapsed().as_secs_f64() * 1000.0);
        std::thread::sleep(Duration::from_millis(1));
    }
    times.sort_by(f64::total_cmp);
    PingTimes {
        p99: times[times.len() * 99 / 100],
        longest: times[times.len() - 1],
    }
}

fn main() {
    let engine = Engine::start(Options::default(), Arc::new(RequestLog::discarding()));
    measure_consoles(engine.addr());
    measure_snapshots(engine.addr());
    print_history_size();
}

/// Prints the cost of 0, 1 and 8 consoles that follow the coordinator.
fn measure_consoles(engine: SocketAddr) {
    println!("| consoles at 10 a second, 500 engines | CPU, % of a core | ping p99, ms | longest, ms |\n| --- | --- | --- | --- |");
    let coordinator = RunningCoordinator::start(ENGINES, engine);
    for consoles in [0, 1, 8] {
        let stop = Arc::new(AtomicBool::new(false));
        let readers: Vec<_> = (0..consoles)
            .map(|_| follow(coordinator.remote(), stop.clone()))
            .collect();
        let before = coordinator.cpu_seconds();
        let pings = measure_pings(coordinator.addr);
        let cpu = (coordinator.cpu_seconds() - before) / ROUND.as_secs_f64() * 100.0;
        stop.store(true, Ordering::Relaxed);
        let snapshots: u64 = readers
            .into_iter()
            .map(|r| r.join().expect("no panic"))
            .sum();
        println!(
            "| {consoles} ({snapshots} snapshots) | {cpu:.1} | {:.2} | {:.2} |",
            pings.p99, pings.longest
        );
    }
}

/// Starts a console that reads snapshots until `stop` is set and returns their number.
fn follow(mut remote: Remote, stop: Arc<AtomicBool>) -> JoinHandle<u64> {
    std::thread::spawn(move || {
        let id = remote
            .send(&Request::Follow(FOLLOW_INTERVAL_MS))
            .expect("sent");
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            count += u64::from(matches!(remote.reply(id), Ok(Reply::Snapshot(_))));
        }
        count
    })
}

/// Prints the cost of a snapshot by the number of engines.
fn measure_snapshots(engine: SocketAddr) {
    println!("\n| engines | CPU time per snapshot, ms | bytes |\n| --- | --- | --- |");
    for engines in [10, 100, 1000] {
        let coordinator = RunningCoordinator::start(engines, engine);
        let mut remote = coordinator.remote();
        let idle_start = coordinator.cpu_seconds();
        std::thread::sleep(IDLE_TIME);
        let idle_rate = (coordinator.cpu_seconds() - idle_start) / IDLE_TIME.as_secs_f64();
        let (before, begin) = (coordinator.cpu_seconds(), Instant::now());
        let mut bytes = 0;
        for _ in 0..SNAPSHOTS {
            std::thread::sleep(SNAPSHOT_INTERVAL);
            let Ok(Reply::Snapshot(snapshot)) = remote.ask(&Request::Snapshot) else {
                panic!("no snapshot")
            };
            bytes = Reply::Snapshot(snapshot).line(1).len();
        }
        let spent = coordinator.cpu_seconds() - before - idle_rate * begin.elapsed().as_secs_f64();
        println!(
            "| {engines} | {:.2} | {bytes} |",
            spent.max(0.0) / f64::from(SNAPSHOTS) * 1000.0
        );
    }
}

/// Prints the memory used by an hour of history of one class.
fn print_history_size() {
    let mut hour = ServiceWindow::hour();
    for n in 0..360_000u64 {
        hour.add(
            n * 10_000,
            RequestOutcome::Served,
            n * 7919 % 30_000_000,
            500_000,
        );
    }
    println!(
        "\nAn hour of history of one class at 100 requests a second holds {} KB.",
        hour.bytes() / 1024
    );
}
