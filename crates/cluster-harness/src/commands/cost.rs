//! Measures the overhead of clustering in idle processes.

use super::NO_ENGINE;
use driftfront_cluster_harness::ClusterHarness;
use std::ops::{AddAssign, Sub};
use std::time::Duration;

/// Milliseconds per system clock tick (`USER_HZ` is 100).
const MILLIS_PER_TICK: f64 = 10.0;

/// Resources used by processes.
#[derive(Clone, Copy, Default)]
struct Usage {
    processor_ticks: u64,
    datagrams: u64,
    bytes: u64,
    memory_kilobytes: u64,
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Usage) {
        self.processor_ticks += other.processor_ticks;
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
        self.memory_kilobytes += other.memory_kilobytes;
    }
}

impl Sub for Usage {
    type Output = Usage;

    /// Returns the usage since `before`. Memory is the current value.
    fn sub(self, before: Usage) -> Usage {
        Usage {
            processor_ticks: self.processor_ticks - before.processor_ticks,
            datagrams: self.datagrams - before.datagrams,
            bytes: self.bytes - before.bytes,
            memory_kilobytes: self.memory_kilobytes,
        }
    }
}

/// Runs idle members for the given time and prints the average usage per member.
pub(crate) fn run(binary: &str, members: u32, seconds: u64) {
    let mut harness = ClusterHarness::start(binary, NO_ENGINE, &format!("members {members}"));
    let all: Vec<u32> = (0..members).collect();
    harness.wait_until_members_are(&all, &all);
    let before = total_usage(&mut harness, members);
    std::thread::sleep(Duration::from_secs(seconds));
    let used = total_usage(&mut harness, members) - before;
    let longest_turn = (0..members)
        .map(|m| harness.counter(m, "fleet_turn_longest_us"))
        .max();
    let per_second = |n: u64| n as f64 / seconds as f64 / f64::from(members);
    println!(
        "{members} processes, each: {:.1} ms of processor time, {:.1} datagrams and {:.0} bytes per second, {:.1} MB resident; \
         longest event loop turn {} µs",
        per_second(used.processor_ticks) * MILLIS_PER_TICK,
        per_second(used.datagrams),
        per_second(used.bytes),
        used.memory_kilobytes as f64 / 1024.0 / f64::from(members),
        longest_turn.unwrap_or(0)
    );
}

fn total_usage(harness: &mut ClusterHarness, members: u32) -> Usage {
    let mut total = Usage::default();
    for member in 0..members {
        let process = harness.process(member).usage();
        total += Usage {
            processor_ticks: process.processor_ticks,
            datagrams: harness.counter(member, "fleet_datagrams_sent"),
            bytes: harness.counter(member, "fleet_bytes_sent"),
            memory_kilobytes: process.memory_kilobytes,
        };
    }
    total
}
