//! Benchmarks of the ClickHouse frontend: processor time per request, added latency, throughput and memory.
//!
//! `cargo bench -p driftfront --bench clickhouse` prints a table. `BASELINE=PROGRAM` also runs that build of the
//! coordinator, alternating with this one, and prints ratios. Run it on an otherwise idle machine. Options: `--quick`
//! does a tenth of the work, `--only NAME` runs one part.

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

/// Rounds of each measurement. Variants alternate between rounds; the median, minimum and maximum are printed.
const ROUNDS: usize = 5;

/// A running coordinator of one build with a single engine.
struct RunningCoordinator {
    process: MeasuredProcess,
    addr: SocketAddr,
}

impl RunningCoordinator {
    /// Starts the executable `program`. `limits` is appended to the limits of its configuration.
    fn start(program: &str, engine: SocketAddr, limits: &str) -> RunningCoordinator {
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
        RunningCoordinator { process, addr }
    }

    /// Processor time used so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
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

/// Sends requests one after another on a keep-alive connection and returns their latencies in nanoseconds.
fn measure_latencies(addr: SocketAddr, count: usize) -> Histogram<u64> {
    let mut stream = TcpStream::connect(addr).expect("connect");
    stream.set_nodelay(true).expect("set TCP_NODELAY");
    let mut latencies = Histogram::new(3).expect("a histogram");
    let request = b"POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 8\r\n\r\nSELECT 1";
    for _ in 0..count {
        let begin = Instant::now();
        stream.write_all(request).expect("send");
        let answer = read_response(&mut stream);
        assert_eq!(answer.body, b"1\n");
        let nanos = u64::try_from(begin.elapsed().as_nanos()).expect("a few seconds");
        latencies.record(nanos).expect("in range");
    }
    latencies
}

/// Returns the throughput of one large result in MB/s, counted in bytes as received.
fn throughput(addr: SocketAddr, rows: usize, params: &str) -> f64 {
    let mut stream = TcpStream::connect(addr).expect("connect");
    let query = format!("SELECT wide(20) FROM numbers({rows})");
    let target = format!("/?driftfront_class=report{params}");
    write!(
        stream,
        "POST {target} HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{query}",
        query.len()
    )
    .expect("send");
    let begin = Instant::now();
    let bytes = read_some(&mut stream, usize::MAX);
    bytes as f64 / 1e6 / begin.elapsed().as_secs_f64()
}

fn median_and_range(values: &[f64]) -> String {
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
        .and_then(|index| args.get(index + 1))
        .cloned();
    let is_selected = |name: &str| only.as_ref().is_none_or(|o| o == name);
    let scale = if quick { 10 } else { 1 };
    let current_program = env!("CARGO_BIN_EXE_driftfront").to_string();
    let baseline_program = std::env::var("BASELINE").ok();
    println!("| measurement | median of {ROUNDS} rounds (minimum to maximum) |\n| --- | --- |");
    let engine = Engine::start(Options::default(), Arc::new(RequestLog::discarding()));
    if is_selected("requests") {
        measure_requests(
            &current_program,
            baseline_program.as_deref(),
            &engine,
            20_000 / scale,
        );
    }
    if is_selected("throughput") {
        measure_throughput(
            &current_program,
            baseline_program.as_deref(),
            &engine,
            4_000_000 / scale,
        );
    }
    if is_selected("memory") {
        measure_memory(&current_program, &engine);
    }
    if is_selected("insert") {
        measure_insert(if quick { 200 } else { 2000 });
    }
}

fn measure_requests(program: &str, baseline_program: Option<&str>, engine: &Engine, count: usize) {
    let current = RunningCoordinator::start(program, engine.addr(), "");
    let baseline = baseline_program.map(|p| RunningCoordinator::start(p, engine.addr(), ""));
    let (mut cpu, mut baseline_cpu, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    let (mut p50, mut p99) = (Vec::new(), Vec::new());
    measure_latencies(current.addr, count / 4);
    for _ in 0..ROUNDS {
        let direct = measure_latencies(engine.addr(), count);
        let begin = current.cpu_seconds();
        let through = measure_latencies(current.addr, count);
        cpu.push((current.cpu_seconds() - begin) / count as f64 * 1e6);
        let added_micros = |q: f64| {
            (through.value_at_quantile(q) as f64 - direct.value_at_quantile(q) as f64) / 1000.0
        };
        p50.push(added_micros(0.5));
        p99.push(added_micros(0.99));
        if let Some(baseline) = &baseline {
            let begin = baseline.cpu_seconds();
            measure_latencies(baseline.addr, count);
            baseline_cpu.push((baseline.cpu_seconds() - begin) / count as f64 * 1e6);
            ratios.push(cpu[cpu.len() - 1] / baseline_cpu[baseline_cpu.len() - 1]);
        }
    }
    println!(
        "| CPU time for `SELECT 1` on a keep-alive connection, µs | {} |",
        median_and_range(&cpu)
    );
    if baseline.is_some() {
        println!(
            "| the same with the baseline build, µs | {} |",
            median_and_range(&baseline_cpu)
        );
        println!(
            "| ratio to the baseline build | {} |",
            median_and_range(&ratios)
        );
    }
    println!(
        "| latency added to a direct request, p50, µs | {} |",
        median_and_range(&p50)
    );
    println!(
        "| latency added to a direct request, p99, µs | {} |",
        median_and_range(&p99)
    );
}

fn measure_throughput(program: &str, baseline_program: Option<&str>, engine: &Engine, rows: usize) {
    let current = RunningCoordinator::start(program, engine.addr(), "");
    let baseline = baseline_program.map(|p| RunningCoordinator::start(p, engine.addr(), ""));
    for (name, params) in [("plain", ""), ("LZ4 blocks", "&compress=1")] {
        let (mut direct, mut through, mut ratio, mut cpu) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut baseline_ratio = Vec::new();
        for _ in 0..ROUNDS {
            direct.push(throughput(engine.addr(), rows, params));
            let begin = current.cpu_seconds();
            through.push(throughput(current.addr, rows, params));
            cpu.push(current.cpu_seconds() - begin);
            ratio.push(through[through.len() - 1] / direct[direct.len() - 1]);
            if let Some(baseline) = baseline.as_ref().filter(|_| params.is_empty()) {
                baseline_ratio
                    .push(through[through.len() - 1] / throughput(baseline.addr, rows, params));
            }
        }
        println!(
            "| {name} result direct, MB/s | {} |",
            median_and_range(&direct)
        );
        println!(
            "| {name} result through the coordinator, MB/s | {} |",
            median_and_range(&through)
        );
        println!("| ratio to direct | {} |", median_and_range(&ratio));
        println!("| CPU time, s | {} |", median_and_range(&cpu));
        if !baseline_ratio.is_empty() {
            println!(
                "| ratio to the baseline build | {} |",
                median_and_range(&baseline_ratio)
            );
        }
    }
}

fn measure_memory(program: &str, engine: &Engine) {
    let current = RunningCoordinator::start(program, engine.addr(), ", \"memory_mb\": 48");
    let mut clients: Vec<TcpStream> = (0..500)
        .map(|_| TcpStream::connect(current.addr).expect("connect"))
        .collect();
    for stream in &mut clients {
        stream
            .write_all(b"GET /ping HTTP/1.1\r\nHost: t\r\n\r\n")
            .expect("send");
        assert_eq!(read_response(stream).status, 200);
    }
    println!(
        "| memory with 500 open client connections, MB | {:.1} |",
        current.process.resident_mb()
    );
    drop(clients);
    // Each client reads 1 KB/s. An engine accepts 64 queries, so several engines are needed.
    let site: Site = SiteOptions::with_engines(14).memory_mb(48).start();
    let mut slow_clients: Vec<TcpStream> = (0..200)
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
        for stream in &mut slow_clients {
            stream.set_nonblocking(true).expect("set non-blocking");
            let _ = stream.read(&mut bytes);
        }
    }
    let paused = site.coordinator.counter("results_paused");
    println!(
        "| peak memory with 200 clients at 1 KB/s ({paused} results paused), MB | {} |",
        site.memory_mb()
    );
}

fn measure_insert(mb: usize) {
    let site: Site = SiteOptions::with_engines(1).memory_mb(48).start();
    let mut stream = TcpStream::connect(site.coordinator.addr).expect("connect");
    let chunk = "0123456789,abcde\n".repeat(61_680).into_bytes();
    let length = chunk.len() * mb;
    let target = "/?query=INSERT+INTO+o.large+FORMAT+CSV";
    write!(
        stream,
        "POST {target} HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n"
    )
    .expect("send");
    let begin = Instant::now();
    for _ in 0..mb {
        stream.write_all(&chunk).expect("send");
    }
    let answer = read_response(&mut stream);
    let seconds = begin.elapsed().as_secs_f64();
    let inserted = site.engines[0].table("o.large");
    assert_eq!(
        (answer.status, inserted.bytes, inserted.rows),
        (200, length as u64, 61_680 * mb as u64)
    );
    let rate = length as f64 / 1e6 / seconds;
    println!(
        "| insert of {:.2} GB with a 48 MB memory limit, MB/s | {rate:.0} |",
        length as f64 / 1e9
    );
    println!("| the same, peak memory, MB | {} |", site.memory_mb());
}
