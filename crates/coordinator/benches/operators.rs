//! What operators cost: the loop's longest pause and processor time with 0, 1 and 8 consoles at ten snapshots a second
//! and 500 engines; a snapshot against the number of engines; the memory of an hour of history.
//!
//! `cargo bench -p driftfront --bench operators` prints a page. Nothing else should run on the machine meanwhile.
#![allow(
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    clippy::cast_possible_truncation,
    reason = "tests: long lists of cases, and numbers known to be small"
)]

use driftfront::service_window::{RequestOutcome, ServiceWindow};
use driftfront_console::remote::{Endpoint, Remote};
use driftfront_control::{Reply, Request};
use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::ledger::RequestLog;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const ROUND: Duration = Duration::from_secs(4);

struct Program {
    child: Child,
    addr: SocketAddr,
    socket: PathBuf,
    file: PathBuf,
}

impl Program {
    fn start(engines: usize, engine: SocketAddr) -> Program {
        let addr = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a port");
        let name = |what: &str| {
            std::env::temp_dir().join(format!(
                "driftfront-bench-{}-{engines}.{what}",
                std::process::id()
            ))
        };
        let (socket, file) = (name("sock"), name("kdl"));
        let mut text = format!(
            "listen \"{addr}\"\ncontrol \"{}\"\nengines {{\n",
            socket.display()
        );
        for n in 0..engines {
            let _ = writeln!(text, "    engine \"engine-{n}\" at=\"{engine}\"");
        }
        text.push_str("}\n");
        std::fs::write(&file, text).expect("a file");
        let child = Command::new(env!("CARGO_BIN_EXE_driftfront"))
            .args(["serve", "--log", "error", "--config"])
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let program = Program {
            child,
            addr,
            socket,
            file,
        };
        let begin = Instant::now();
        while Remote::connect(&Endpoint::Socket(program.socket.clone())).is_err() {
            assert!(
                begin.elapsed() < Duration::from_secs(20),
                "it never got ready"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
        program
    }

    fn remote(&self) -> Remote {
        Remote::connect(&Endpoint::Socket(self.socket.clone())).expect("it answers")
    }

    fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))
            .expect("its figures");
        let fields: Vec<&str> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        (fields[11].parse::<f64>().expect("utime") + fields[12].parse::<f64>().expect("stime"))
            / 100.0
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = (
            std::fs::remove_file(&self.file),
            std::fs::remove_file(&self.socket),
        );
    }
}

/// The longest that a ping took over a round, in ms: the loop's longest pause shows in it.
fn longest_ping(addr: SocketAddr) -> (f64, f64) {
    let mut stream = TcpStream::connect(addr).expect("it listens");
    let (begin, mut times, mut bytes) = (Instant::now(), Vec::new(), [0; 512]);
    while begin.elapsed() < ROUND {
        let asked = Instant::now();
        stream
            .write_all(b"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n")
            .expect("it reads");
        let mut text = Vec::new();
        while !text.ends_with(b"Ok.\n") {
            let n = stream.read(&mut bytes).expect("an answer");
            text.extend_from_slice(&bytes[..n]);
        }
        times.push(asked.elapsed().as_secs_f64() * 1000.0);
        std::thread::sleep(Duration::from_millis(1));
    }
    times.sort_by(f64::total_cmp);
    (times[times.len() * 99 / 100], times[times.len() - 1])
}

fn main() {
    let engine = Engine::start(Options::default(), Arc::new(RequestLog::forgetful()));
    println!("| consoles at 10 a second, 500 engines | CPU, in 100 of a core | ping p99, ms | longest, ms |\n| --- | --- | --- | --- |");
    let program = Program::start(500, engine.addr());
    for consoles in [0, 1, 8] {
        let stop = Arc::new(AtomicBool::new(false));
        let readers: Vec<_> = (0..consoles)
            .map(|_| {
                let (mut remote, stop) = (program.remote(), stop.clone());
                std::thread::spawn(move || {
                    let id = remote.send(&Request::Follow(100)).expect("sent");
                    let mut count = 0;
                    while !stop.load(Ordering::Relaxed) {
                        count += u64::from(matches!(remote.reply(id), Ok(Reply::Snapshot(_))));
                    }
                    count
                })
            })
            .collect();
        let before = program.cpu();
        let (p99, longest) = longest_ping(program.addr);
        let cpu = (program.cpu() - before) / ROUND.as_secs_f64() * 100.0;
        stop.store(true, Ordering::Relaxed);
        let told: u64 = readers
            .into_iter()
            .map(|r| r.join().expect("no panic"))
            .sum();
        println!("| {consoles} ({told} snapshots) | {cpu:.1} | {p99:.2} | {longest:.2} |");
    }
    drop(program);
    println!("\n| engines | a snapshot, ms of processor time | bytes |\n| --- | --- | --- |");
    for engines in [10, 100, 1000] {
        let program = Program::start(engines, engine.addr());
        let mut remote = program.remote();
        let rest = program.cpu();
        std::thread::sleep(Duration::from_secs(3));
        let idle = (program.cpu() - rest) / 3.0;
        let (before, begin) = (program.cpu(), Instant::now());
        let mut bytes = 0;
        for _ in 0..50 {
            // Beyond the time for which one serves all.
            std::thread::sleep(Duration::from_millis(60));
            let Ok(Reply::Snapshot(s)) = remote.ask(&Request::Snapshot) else {
                panic!("no snapshot")
            };
            bytes = Reply::Snapshot(s).line(1).len();
        }
        let spent = program.cpu() - before - idle * begin.elapsed().as_secs_f64();
        println!(
            "| {engines} | {:.2} | {bytes} |",
            spent.max(0.0) / 50.0 * 1000.0
        );
    }
    let mut hour = ServiceWindow::hour();
    (0..360_000u64).for_each(|n| {
        hour.add(
            n * 10_000,
            RequestOutcome::Served,
            n * 7919 % 30_000_000,
            500_000,
        )
    });
    println!(
        "\nAn hour of history of one class at 100 requests a second holds {} KB.",
        hour.bytes() / 1024
    );
}
