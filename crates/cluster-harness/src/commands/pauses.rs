//! How long clients wait for an answer that needs nothing, by turns in a cluster and alone.

use super::{micros, NO_ENGINE};
use driftfront_cluster_harness::ClusterHarness;
use driftfront_cluster_simulation::percentile;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Turns, every other one in a cluster.
const TURNS: usize = 4;
/// A request that needs nothing but the event loop.
const REQUEST: &[u8] = b"GET /alive HTTP/1.1\r\nHost: t\r\n\r\n";
/// Time between requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(700);

/// Measures for so many seconds in each turn, and prints the times.
pub(crate) fn run(binary: &str, seconds: u64) {
    let (mut in_cluster, mut alone): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for turn in 0..TURNS {
        let is_in_cluster = turn % 2 == 0;
        let harness = if is_in_cluster {
            start_cluster(binary)
        } else {
            start_alone(binary)
        };
        let waits = measure(harness.client_addr(0), Duration::from_secs(seconds));
        if is_in_cluster {
            in_cluster.extend(waits);
        } else {
            alone.extend(waits);
        }
    }
    print_waits("in a fleet of five", &mut in_cluster);
    print_waits("with no fleet", &mut alone);
}

fn start_cluster(binary: &str) -> ClusterHarness {
    let harness = ClusterHarness::start(binary, NO_ENGINE, "members 5\nvoters 3 keeps=#true");
    let all = [0, 1, 2, 3, 4];
    harness.wait_until_members_are(&all, &all);
    harness.wait_for_leader(&[0, 1, 2], None);
    harness
}

/// A process whose file has no cluster.
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

/// How long each answer took, in microseconds, until this time is over or the connection ends.
fn measure(addr: SocketAddr, time: Duration) -> Vec<u64> {
    let mut waits = Vec::new();
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return waits;
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
            Ok(n) if n > 0 => waits.push(micros(sent.elapsed())),
            _ => break,
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    waits
}

fn print_waits(processes: &str, waits: &mut [u64]) {
    waits.sort_unstable();
    println!(
        "{processes}: an answer after p50 {:.3} ms  p99.9 {:.3} ms  max {:.3} ms, of {}",
        percentile(waits, 0.5) * 1e3,
        percentile(waits, 0.999) * 1e3,
        percentile(waits, 1.0) * 1e3,
        waits.len()
    );
}
