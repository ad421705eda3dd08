//! What the ClickHouse front costs: processor time a request, added latency, throughput, memory.
//!
//! `cargo bench -p driftfront --bench clickhouse` prints a page; `BASELINE=PROGRAM` runs that build of the program as
//! well, in turns with this one, and prints ratios. Nothing else should run on the machine meanwhile. Options:
//! `--quick` for a tenth of the work, `--only NAME` for one part.

use driftfront_mock_servers::engine::{Engine, Options};
use driftfront_mock_servers::request_log::RequestLog;
use driftfront_test_support::coordinator::clickhouse_site::{read_some, Site, SiteOptions};
use driftfront_test_support::coordinator::{
    example_configuration, instance, read_response, unused_address, write_temp_file,
    MeasuredProcess,
};
use hdrhistogram::Histogram;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Rounds of each measurement, in turns: their spread is told.
const ROUNDS: usize = 5;

/// A build of the program, in front of one engine.
struct Through {
    process: MeasuredProcess,
    addr: SocketAddr,
}

impl Through {
    /// Starts `program`; `limits` is added to the limits of its configuration.
    fn start(program: &str, engine: SocketAddr, limits: &str) -> Through {
        let addr = unused_address();
        let list = write_temp_file(&format!(
            "{{\"instances\":[{}]}}",
            instance("e0", engine, "ready")
        ));
        let config = example_configuration()
            .replace("127.0.0.1:8123", &addr.to_string())
            .replace("deploy/engines.json", &list.display().to_string())
            .replace("\"sockets\": 1024", &format!("\"sockets\": 2048{limits}"));
        let config = write_temp_file(&config);
        let shell = "ulimit -n 4096; exec \"$0\" serve --log error --config \"$1\"";
        let process = MeasuredProcess::start(
            Command::new("sh").args(["-c", shell, program]).arg(&config),
            vec![list, config.clone()],
            || is_alive(addr),
        );
        Through { process, addr }
    }

    /// Processor time that it has used, in seconds.
    fn cpu(&self) -> f64 {
        self.process.processor_seconds()
    }
}

fn is_alive(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return false;
    };
    let _ = stream.write_all(b"GET /alive HTTP/1.1\r\nHost: t\r\n\r\n");
    read_response(&mut stream).status == 200
}

/// Requests one after another on a kept connection.
fn calls(addr: SocketAddr, count: usize) -> Histogram<u64> {
    let mut stream = TcpStream::connect(addr).expect("it listens");
    stream.set_nodelay(true).expect("no delay");
    let mut times = Histogram::new(3).expect("a histogram");
    let request = b"POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 8\r\n\r\nSELECT 1";
    for _ in 0..count {
        let begin = Instant::now();
        stream.write_all(request).expect("it reads");
        let answer = read_response(&mut stream);
        assert_eq!(answer.body, b"1\n");
        let nanos = u64::try_from(begin.elapsed().as_nanos()).expect("a few seconds");
        times.record(nanos).expect("in range");
    }
    times
}

/// MB a second of one large result, as it comes.
fn throughput(addr: SocketAddr, rows: usize, params: &str) -> f64 {
    let mut stream = TcpStream::connect(addr).expect("it listens");
    let query = format!("SELECT wide(20) FROM numbers({rows})");
    let target = format!("/?driftfront_class=report{params}");
    write!(
        stream,
        "POST {target} HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{query}",
        query.len()
    )
    .expect("it reads");
    let begin = Instant::now();
    let bytes = read_some(&mut stream, usize::MAX);
    bytes as f64 / 1e6 / begin.elapsed().as_secs_f64()
}

fn spread(values: &[f64]) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    format!(
        "{:.2} ({:.2} to {:.2})",
        sorted[sorted.len() / 2],
        sorted[0],
        sorted[sorted.len() - 1]
    )
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let quick = args.iter().any(|a| a == "--quick");
    let only = args
        .iter()
        .position(|a| a == "--only")
        .and_then(|at| args.get(at + 1))
        .cloned();
    let wanted = |name: &str| only.as_ref().is_none_or(|o| o == name);
    let scale = if quick { 10 } else { 1 };
    let own = env!("CARGO_BIN_EXE_driftfront").to_string();
    let baseline = std::env::var("BASELINE").ok();
    println!("| what | figure, median of {ROUNDS} rounds (least to most) |\n| --- | --- |");
    let engine = Engine::start(Options::default(), Arc::new(RequestLog::forgetful()));
    if wanted("requests") {
        requests(&own, baseline.as_deref(), &engine, 20_000 / scale);
    }
    if wanted("throughput") {
        results(&own, baseline.as_deref(), &engine, 4_000_000 / scale);
    }
    if wanted("memory") {
        memory(&own, &engine);
    }
    if wanted("insert") {
        insert(if quick { 200 } else { 2000 });
    }
}

fn requests(own: &str, baseline: Option<&str>, engine: &Engine, count: usize) {
    let now = Through::start(own, engine.addr(), "");
    let before = baseline.map(|b| Through::start(b, engine.addr(), ""));
    let (mut cpu, mut cpu_before, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    let (mut p50, mut p99) = (Vec::new(), Vec::new());
    calls(now.addr, count / 4);
    for _ in 0..ROUNDS {
        let direct = calls(engine.addr(), count);
        let begin = now.cpu();
        let through = calls(now.addr, count);
        cpu.push((now.cpu() - begin) / count as f64 * 1e6);
        let added = |q: f64| {
            (through.value_at_quantile(q) as f64 - direct.value_at_quantile(q) as f64) / 1000.0
        };
        p50.push(added(0.5));
        p99.push(added(0.99));
        if let Some(before) = &before {
            let begin = before.cpu();
            calls(before.addr, count);
            cpu_before.push((before.cpu() - begin) / count as f64 * 1e6);
            ratios.push(cpu[cpu.len() - 1] / cpu_before[cpu_before.len() - 1]);
        }
    }
    println!(
        "| CPU for `SELECT 1` on a kept connection, µs | {} |",
        spread(&cpu)
    );
    if before.is_some() {
        println!(
            "| the same, the version before, µs | {} |",
            spread(&cpu_before)
        );
        println!("| ratio, now to before | {} |", spread(&ratios));
    }
    println!(
        "| added latency against direct, p50, µs | {} |",
        spread(&p50)
    );
    println!(
        "| added latency against direct, p99, µs | {} |",
        spread(&p99)
    );
}

fn results(own: &str, baseline: Option<&str>, engine: &Engine, rows: usize) {
    let now = Through::start(own, engine.addr(), "");
    let before = baseline.map(|b| Through::start(b, engine.addr(), ""));
    for (name, params) in [("plain", ""), ("LZ4 blocks", "&compress=1")] {
        let (mut direct, mut through, mut ratio, mut cpu) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut against = Vec::new();
        for _ in 0..ROUNDS {
            direct.push(throughput(engine.addr(), rows, params));
            let begin = now.cpu();
            through.push(throughput(now.addr, rows, params));
            cpu.push(now.cpu() - begin);
            ratio.push(through[through.len() - 1] / direct[direct.len() - 1]);
            if let Some(before) = before.as_ref().filter(|_| params.is_empty()) {
                against.push(through[through.len() - 1] / throughput(before.addr, rows, params));
            }
        }
        println!("| {name} result, direct, MB/s | {} |", spread(&direct));
        println!("| {name} result, through, MB/s | {} |", spread(&through));
        println!("| ratio, through to direct | {} |", spread(&ratio));
        println!("| processor seconds for it | {} |", spread(&cpu));
        if !against.is_empty() {
            println!(
                "| ratio, now to the version before | {} |",
                spread(&against)
            );
        }
    }
}

fn memory(own: &str, engine: &Engine) {
    let now = Through::start(own, engine.addr(), ", \"memory_mb\": 48");
    let idle: Vec<TcpStream> = (0..500)
        .map(|_| TcpStream::connect(now.addr).expect("room"))
        .collect();
    let mut open = idle;
    for stream in &mut open {
        stream
            .write_all(b"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n")
            .expect("it reads");
        assert_eq!(read_response(stream).status, 200);
    }
    println!(
        "| memory with 500 open clients, MB | {:.1} |",
        now.process.resident_mb()
    );
    drop(open);
    // Each reads 1 KB a second; engines take 64 queries each, so there are more.
    let site: Site = SiteOptions::with_engines(14).memory_mb(48).start();
    let mut slow: Vec<TcpStream> = (0..200)
        .map(|n| {
            site.begin(
                "/?driftfront_class=report",
                &format!("SELECT wide(20), {n} FROM numbers(400000)"),
            )
        })
        .collect();
    let mut bytes = [0; 1024];
    for _ in 0..5 {
        std::thread::sleep(Duration::from_secs(1));
        for stream in &mut slow {
            stream.set_nonblocking(true).expect("sockets");
            let _ = stream.read(&mut bytes);
        }
    }
    let paused = site.coordinator.counter("results_paused");
    println!(
        "| most memory with 200 clients at 1 KB/s ({paused} results wait for theirs), MB | {} |",
        site.memory_mb()
    );
}

fn insert(mb: usize) {
    let site: Site = SiteOptions::with_engines(1).memory_mb(48).start();
    let mut stream = TcpStream::connect(site.coordinator.addr).expect("it listens");
    let piece = "0123456789,abcde\n".repeat(61_680).into_bytes();
    let length = piece.len() * mb;
    let target = "/?query=INSERT+INTO+o.large+FORMAT+CSV";
    write!(
        stream,
        "POST {target} HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n"
    )
    .expect("it reads");
    let begin = Instant::now();
    for _ in 0..mb {
        stream.write_all(&piece).expect("it reads on");
    }
    let answer = read_response(&mut stream);
    let seconds = begin.elapsed().as_secs_f64();
    let arrived = site.engines[0].table("o.large");
    assert_eq!(
        (answer.status, arrived.bytes, arrived.rows),
        (200, length as u64, 61_680 * mb as u64)
    );
    let rate = length as f64 / 1e6 / seconds;
    println!(
        "| insert of {:.2} GB through 48 MB: MB/s | {rate:.0} |",
        length as f64 / 1e9
    );
    println!("| the same: most memory, MB | {} |", site.memory_mb());
}
