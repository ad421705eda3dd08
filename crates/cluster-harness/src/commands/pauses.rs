//! Measures the response time of a trivial request, alternately for a member of a cluster and for a standalone process.

use super::{micros, NO_ENGINE};
use driftfront_cluster_harness::ClusterHarness;
use driftfront_cluster_simulation::percentile;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Number of measurements, every other one in a cluster.
const ROUNDS: usize = 4;
/// A request that needs only the event loop.
const REQUEST: &[u8] = b"GET /alive HTTP/1.1\r\nHost: t\r\n\r\n";
/// Pause between requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(700);

/// Measures for the given time in each round, and prints the response times.
pub(crate) fn run(binary: &str, seconds: u64) {
    let (mut in_cluster, mut alone): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        let is_in_cluster = round % 2 == 0;
        let harness = if is_in_cluster {
            start_cluster(binary)
        } else {
            start_alone(binary)
        };
        let latencies = measure(harness.client_addr(0), Duration::from_secs(seconds));
        if is_in_cluster {
            in_cluster.extend(latencies);
        } else {
            alone.extend(latencies);
        }
    }
    print_latencies("cluster of five", &mut in_cluster);
    print_latencies("standalone", &mut alone);
}

fn start_cluster(binary: &str) -> ClusterHarness {
    let harness = ClusterHarness::start(binary, NO_ENGINE, "members 5\nvoters 3 keeps=#true");
    let all = [0, 1, 2, 3, 4];
    harness.wait_until_members_are(&all, &all);
    harness.wait_for_leader(&[0, 1, 2], None);
    harness
}

/// Starts a process without a cluster in its configuration.
fn start_alone(binary: &str) -> ClusterHarness {
    let mut harness = ClusterHarness::start(binary, NO_ENGINE, "members 1");
    harness.change_config(0, |text| {
        let others = text.lines().filter(|l| !l.starts_with("fleet"));
        others.collect::<Vec<_>>().join("\n")
    });
    harness.apply_script("kill \"m0\"");
    harness.start_without_cluster(0);
    harness
}

/// Measures response times, in microseconds, for the given time or until the connection closes.
fn measure(addr: SocketAddr, time: Duration) -> Vec<u64> {
    let mut latencies = Vec::new();
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return latencies;
    };
    let _ = stream.set_nodelay(true);
    let until = Instant::now() + time;
    let mut bytes = [0; 4096];
    while Instant::now() < until {
        let sent = Instant::now();
        if stream.write_all(REQUEST).is_err() {
            break;
        }
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => latencies.push(micros(sent.elapsed())),
            _ => break,
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    latencies
}

fn print_latencies(processes: &str, latencies: &mut [u64]) {
    latencies.sort_unstable();
    println!(
        "{processes}: response time p50 {:.3} ms  p99.9 {:.3} ms  max {:.3} ms, {} requests",
        percentile(latencies, 0.5) * 1e3,
        percentile(latencies, 0.999) * 1e3,
        percentile(latencies, 1.0) * 1e3,
        latencies.len()
    );
}
