//! Fuzzes a member with datagrams that no correct member sends.
//!
//! A member receives corrupted datagrams, and authentic ones with corrupted payloads, while it exchanges datagrams with another
//! member. A run ends at an input that makes the member panic. The seed and the number of the input reproduce it.

use super::{number, CommandError, Outcome};
use driftfront_cluster::message_authentication::{MessageAuthenticator, Payload};
use driftfront_cluster::{Cluster, Identity, MemberMetadata, Micros, Options};
use driftfront_cluster_simulation::world::{keyring, member_addr, member_name};
use pico_args::Arguments;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Time between inputs.
const INPUT_INTERVAL: Micros = 50;
/// Number of inputs between exchanges of the two members.
const INPUTS_PER_EXCHANGE: u64 = 500;
/// Maximum number of valid datagrams stored for corruption.
const MAX_VALID_DATAGRAMS: usize = 400;
/// Upper bound (exclusive) of the length of a random input.
const MAX_RANDOM_BYTES: usize = 1300;
/// Length of a datagram's header and tag, and offset of the payload kind.
const HEAD_BYTES: usize = 29;
const TAG_BYTES: usize = 16;
const KIND_AT: usize = 28;
/// Maximum length of a corrupted payload.
const MAX_PAYLOAD_BYTES: usize = 1150;
const TARGET: u32 = 1;
const PEER: u32 = 2;
const FORGER_SESSION: u64 = 99;

struct Fuzzer {
    rng: SmallRng,
    clock: Micros,
    target: Cluster,
    peer: Cluster,
    forger: MessageAuthenticator,
    /// Valid datagrams sent by the peer.
    valid: Vec<Vec<u8>>,
}

pub(super) fn run(mut args: Arguments) -> Outcome {
    let runs = number(&mut args, "--runs", 1_000_000u64)?;
    let seed = number(&mut args, "--seed", 1u64)?;
    let mut fuzzer = Fuzzer::new(seed);
    for n in 0..runs {
        fuzzer.clock += INPUT_INTERVAL;
        if n % INPUTS_PER_EXCHANGE == 0 {
            fuzzer.exchange();
        }
        let input = fuzzer.draw_input();
        if !fuzzer.survives(&input) {
            let why = format!("seed {seed}, input {n}: {input:02x?}");
            return Err(CommandError::Violated(why));
        }
    }
    let counters = fuzzer.target.counters();
    println!(
        "{runs} inputs from seed {seed}: accepted {}, wrong tag {}, unknown protocol {}, replayed {}",
        counters.accepted, counters.wrong_tag, counters.unknown_protocol, counters.replayed
    );
    println!(
        "  unreadable {}, records refused {}, unknown kind {}",
        counters.unreadable, counters.refused, counters.unknown_kind
    );
    println!(
        "  no panic; the member sees {} others",
        fuzzer.target.peer_count()
    );
    Ok(())
}

fn member(number: u32, rng: &mut SmallRng) -> Cluster {
    let options = Options {
        identity: Identity {
            name: member_name(number),
            addr: member_addr(number),
            session: u64::from(number),
            rejoins: 0,
        },
        metadata: MemberMetadata::default(),
        keys: keyring(),
        seeds: vec![member_addr(TARGET), member_addr(PEER)],
        seed: rng.random(),
        consensus: None,
    };
    Cluster::new(0, options)
}

impl Fuzzer {
    fn new(seed: u64) -> Fuzzer {
        let mut rng = SmallRng::seed_from_u64(seed);
        Fuzzer {
            target: member(TARGET, &mut rng),
            peer: member(PEER, &mut rng),
            rng,
            clock: 0,
            forger: MessageAuthenticator::new(keyring(), FORGER_SESSION),
            valid: Vec::new(),
        }
    }

    /// Lets the two members exchange datagrams, and stores those of the peer.
    fn exchange(&mut self) {
        for _ in 0..2 {
            self.target.tick(self.clock);
            self.peer.tick(self.clock);
            let kind = self.rng.random_range(2..6);
            self.peer.publish(kind, &self.rng.random::<[u8; 8]>());
            while let Some((_, bytes)) = self.target.next_outgoing() {
                self.peer.handle_datagram(self.clock, &bytes);
            }
            while let Some((_, bytes)) = self.peer.next_outgoing() {
                self.target.handle_datagram(self.clock, &bytes);
                self.store(bytes);
            }
        }
    }

    fn store(&mut self, datagram: Vec<u8>) {
        if self.valid.len() < MAX_VALID_DATAGRAMS {
            self.valid.push(datagram);
        } else {
            let replaced = self.rng.random_range(0..MAX_VALID_DATAGRAMS);
            self.valid[replaced] = datagram;
        }
    }

    fn draw_input(&mut self) -> Vec<u8> {
        let mut input = self.draw_datagram();
        let kind = self.rng.random_range(0..4);
        if kind < 3 && input.len() > HEAD_BYTES + TAG_BYTES {
            return self.corrupt_payload(&input);
        }
        if !input.is_empty() {
            let at = self.rng.random_range(0..input.len());
            input[at] ^= 1 << self.rng.random_range(0..8);
        }
        input
    }

    /// Draws a valid datagram, or sometimes random bytes.
    fn draw_datagram(&mut self) -> Vec<u8> {
        match self.valid.choose(&mut self.rng) {
            Some(one) if self.rng.random_bool(0.9) => one.clone(),
            _ => (0..self.rng.random_range(0..MAX_RANDOM_BYTES))
                .map(|_| self.rng.random())
                .collect(),
        }
    }

    /// Returns an authentic datagram with a corrupted payload.
    fn corrupt_payload(&mut self, datagram: &[u8]) -> Vec<u8> {
        let payloads = [
            Payload::Members,
            Payload::GossipState,
            Payload::Versions,
            Payload::Unknown(77),
        ];
        let payload = payloads[usize::from(datagram[KIND_AT].clamp(1, 4)) - 1];
        let mut bytes = datagram[HEAD_BYTES..datagram.len() - TAG_BYTES].to_vec();
        for _ in 0..self.rng.random_range(0..6) {
            let at = self.rng.random_range(0..bytes.len());
            match self.rng.random_range(0..4) {
                0 => bytes[at] = self.rng.random(),
                1 => bytes[at] ^= 1 << self.rng.random_range(0..8),
                2 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, self.rng.random()),
            }
        }
        bytes.truncate(MAX_PAYLOAD_BYTES);
        let receiver = u64::from(self.rng.random_bool(0.5));
        self.forger
            .seal(payload, &bytes, receiver)
            .unwrap_or_default()
    }

    /// Returns whether the target handles an input without a panic.
    fn survives(&mut self, input: &[u8]) -> bool {
        let (target, clock) = (&mut self.target, self.clock);
        let handled = catch_unwind(AssertUnwindSafe(|| {
            target.handle_datagram(clock, input);
            while target.next_outgoing().is_some() {}
        }));
        handled.is_ok()
    }
}
