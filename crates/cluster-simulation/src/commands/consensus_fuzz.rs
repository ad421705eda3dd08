//! Fuzzes consensus: three voters exchange messages and send requests, and some messages are delivered a second time, corrupted.
//!
//! A replica may fail and be admitted again, but a voter must not panic.

use super::{number, CommandError, Outcome, SECOND};
use driftfront_cluster::consensus::leases::{Command, Outcome as LeaseOutcome};
use driftfront_cluster::consensus::{self, Consensus, Notice, Peer};
use driftfront_cluster::{MemberStatus, Micros};
use driftfront_cluster_simulation::world::member_name;
use pico_args::Arguments;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::panic::{catch_unwind, AssertUnwindSafe};

const VOTERS: usize = 3;
const STEP: Micros = 25_000;
/// Probability that a corrupted copy of a message is delivered.
const CORRUPTION_PROBABILITY: f64 = 0.02;
/// Probability that a voter sends a request in a step.
const REQUEST_PROBABILITY: f64 = 0.2;
/// Number of bits of a session number below the clock's milliseconds.
const SESSION_BITS: u32 = 20;

/// A message in flight.
struct InFlight {
    sender: usize,
    receiver: usize,
    bytes: Vec<u8>,
}

struct Fuzzer {
    rng: SmallRng,
    now: Micros,
    names: Vec<String>,
    voters: Vec<Consensus>,
    in_flight: Vec<InFlight>,
    corrupted: u64,
    granted: u64,
}

pub(super) fn run(mut args: Arguments) -> Outcome {
    let runs = number(&mut args, "--runs", 1_000_000u64)?;
    let seed = number(&mut args, "--seed", 1u64)?;
    let mut fuzzer = Fuzzer::new(seed);
    std::panic::set_hook(Box::new(|_| {}));
    while fuzzer.corrupted < runs {
        let done = fuzzer.step();
        done.map_err(|why| CommandError::Violated(format!("seed {seed}, {why}")))?;
    }
    let lost = fuzzer.sum(|counters| counters.replicas_lost);
    let malformed = fuzzer.sum(|counters| counters.malformed);
    println!(
        "{} corrupted messages from seed {seed}: malformed {malformed}, replicas failed and admitted again {lost}, leases granted {}",
        fuzzer.corrupted, fuzzer.granted
    );
    Ok(())
}

/// Describes the input that made a voter panic.
type Panicked = String;

impl Fuzzer {
    fn new(seed: u64) -> Fuzzer {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names: Vec<String> = (0..).take(VOTERS).map(member_name).collect();
        let mut voters = Vec::new();
        for (session, own) in (1..).zip(&names) {
            let options = consensus::Options {
                initial_voters: names.clone(),
                file: Some(Vec::new()),
                ..consensus::Options::default()
            };
            let session = session << SESSION_BITS;
            voters.push(Consensus::new(own, session, rng.random(), options).0);
        }
        Fuzzer {
            rng,
            now: 0,
            names,
            voters,
            in_flight: Vec::new(),
            corrupted: 0,
            granted: 0,
        }
    }

    fn step(&mut self) -> Result<(), Panicked> {
        self.now += STEP;
        let notices: Vec<Notice> = self.voters.iter().map(Consensus::notice).collect();
        for voter in 0..VOTERS {
            let peers = self.peers_of(voter, &notices);
            let ticked = catch_unwind(AssertUnwindSafe(|| self.tick(voter, peers)));
            ticked.map_err(|_| format!("after {} inputs, tick of m{voter}", self.corrupted))?;
        }
        for message in std::mem::take(&mut self.in_flight) {
            self.deliver(&message)?;
        }
        Ok(())
    }

    fn peers_of(&self, voter: usize, notices: &[Notice]) -> Vec<Peer> {
        let peer = |other: usize| Peer {
            name: self.names[other].clone(),
            status: MemberStatus::Alive,
            status_age: self.now,
            zone: String::new(),
            notice: Some(notices[other].clone()),
        };
        (0..VOTERS).filter(|&o| o != voter).map(peer).collect()
    }

    /// Ticks a voter, which releases granted leases and sometimes sends a request.
    fn tick(&mut self, number: usize, peers: Vec<Peer>) {
        let now = self.now;
        let voter = &mut self.voters[number];
        voter.tick(now, now, || peers);
        while let Some(completed) = voter.next_outcome() {
            if let Ok(LeaseOutcome::Granted { fence }) = completed.result {
                self.granted += 1;
                voter.release(fence);
            }
        }
        if self.rng.random_bool(REQUEST_PROBABILITY) {
            let command = Command::Acquire {
                resource: format!("p{}", self.rng.random_range(0..3)),
                amount: 1,
                limit: 1,
                duration: SECOND,
                stays: false,
                note: String::new(),
            };
            voter.submit(now, command, SECOND);
        }
        while let Some(write) = voter.next_write() {
            voter.confirm_write(now, write.number);
        }
        while let Some((receiver, bytes)) = voter.next_outgoing() {
            let receiver = self.names.iter().position(|n| *n == receiver);
            self.in_flight.extend(receiver.map(|receiver| InFlight {
                sender: number,
                receiver,
                bytes,
            }));
        }
    }

    /// Delivers a message, and sometimes a corrupted copy after it.
    fn deliver(&mut self, message: &InFlight) -> Result<(), Panicked> {
        let is_corrupted_too = self.rng.random_bool(CORRUPTION_PROBABILITY);
        self.handle(message, &message.bytes)?;
        if is_corrupted_too {
            let bytes = self.corrupt(&message.bytes);
            self.corrupted += 1;
            self.handle(message, &bytes)?;
        }
        Ok(())
    }

    fn handle(&mut self, message: &InFlight, bytes: &[u8]) -> Result<(), Panicked> {
        let sender = &self.names[message.sender];
        let (receiver, now) = (&mut self.voters[message.receiver], self.now);
        let handled = catch_unwind(AssertUnwindSafe(|| {
            receiver.handle_message(now, now, sender, bytes);
        }));
        handled.map_err(|_| format!("input {}: {bytes:02x?}", self.corrupted))
    }

    fn corrupt(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut bytes = bytes.to_vec();
        for _ in 0..self.rng.random_range(1..4) {
            let at = self.rng.random_range(0..bytes.len().max(1));
            match self.rng.random_range(0..4) {
                _ if bytes.is_empty() => {}
                0 => bytes[at] = self.rng.random(),
                1 => bytes[at] ^= 1 << self.rng.random_range(0..8),
                2 => bytes.truncate(at),
                _ => bytes.insert(at, self.rng.random()),
            }
        }
        bytes
    }

    fn sum(&self, count: impl Fn(&consensus::Counters) -> u64) -> u64 {
        self.voters.iter().map(|v| count(&v.counters())).sum()
    }
}
