//! Golden transcripts of the simulator's wire protocol, byte for byte, which cover every kind of record and action; see
//! `golden/README.md`.
//!
//! Requests, engine responses and faults come from a seeded generator. Attempts are answered as they are sent, so that a
//! transcript changes with the scheduler's decisions as well as with the encoding.
#![allow(
    clippy::cast_possible_truncation,
    reason = "random numbers are drawn below a small bound"
)]

use driftfront_simulator_adapter::{read_batch, Host};
use driftfront_test_support::{assert_golden, read_golden};
use std::fmt::Write as _;

const INSTANCE: u16 = 3;
const ENGINES: u64 = 6;
const TICK: u64 = 5_000;

/// A seeded generator (splitmix64), identical on every machine.
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

fn record(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    let fields = fields.concat();
    let mut bytes = vec![code];
    bytes.extend((fields.len() as u32).to_be_bytes());
    bytes.extend(fields);
    bytes
}

/// A record for the tested instance.
fn of_instance(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    record(code, &[&INSTANCE.to_be_bytes(), &fields.concat()])
}

fn start(settings: &[u8]) -> Vec<u8> {
    let length = (settings.len() as u32).to_be_bytes();
    of_instance(0, &[&42u64.to_be_bytes(), &length, settings])
}

fn engine(n: u64) -> [u8; 6] {
    [10, 18, 74, n as u8, 0x23, 0x2b]
}

/// A list of engines, each with its number, phase and start time.
fn catalog(number: u32, engines: &[(u64, u8, u64)]) -> Vec<u8> {
    let mut fields = number.to_be_bytes().to_vec();
    fields.extend((engines.len() as u32).to_be_bytes());
    for (n, phase, started_at) in engines {
        fields.extend(engine(*n));
        fields.extend(((n % 2) as u16).to_be_bytes());
        fields.extend(((n % 2) as u16).to_be_bytes());
        fields.extend((*n as u16).to_be_bytes());
        fields.push(*phase);
        fields.extend(1f32.to_bits().to_be_bytes());
        fields.extend(started_at.to_be_bytes());
    }
    record(11, &[&fields])
}

fn topology(number: u32, scope: u8) -> Vec<u8> {
    of_instance(1, &[&number.to_be_bytes(), &7u64.to_be_bytes(), &[scope]])
}

struct SentAttempt {
    query: u64,
    engine: u64,
    attempt: u8,
    sent_at: u64,
    ends_at: u64,
}

/// Simulates the platform and its engines.
struct Platform {
    rng: Rng,
    host: Host,
    now: u64,
    last_query: u64,
    classes: u64,
    /// Attempts in flight.
    sent: Vec<SentAttempt>,
    /// Number of attempts by query.
    attempts: std::collections::BTreeMap<u64, u8>,
    /// Timers that are set: due time and token.
    timers: Vec<(u64, u64)>,
    probes: Vec<u64>,
    /// Codes of all actions so far.
    action_codes: std::collections::BTreeSet<u8>,
    transcript: String,
}

fn report(rng: &mut Rng) -> Vec<u8> {
    let mut bytes = vec![8];
    for _ in 0..8 {
        bytes.extend((rng.below(100) as f32 / 50.0).to_bits().to_be_bytes());
    }
    bytes
}

impl Platform {
    fn new(settings: &[u8], classes: u64) -> Platform {
        let mut platform = Platform {
            rng: Rng(7),
            host: Host::default(),
            now: 1_000_000,
            last_query: 0,
            classes,
            sent: Vec::new(),
            attempts: Default::default(),
            timers: Vec::new(),
            probes: Vec::new(),
            action_codes: Default::default(),
            transcript: String::new(),
        };
        let engines: Vec<_> = (0..ENGINES).map(|n| (n, 0, 0)).collect();
        let body = [start(settings), catalog(1, &engines), topology(1, 1)].concat();
        platform.batch(&body);
        platform
    }

    fn batch(&mut self, body: &[u8]) {
        // Frames the body as on the pipe and reads it back.
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend(self.now.to_be_bytes());
        frame.extend(body);
        let read = read_batch(&mut &frame[..])
            .expect("a complete batch")
            .expect("one batch");
        assert_eq!(read, (self.now, body.to_vec()));
        let reply = self.host.batch(self.now, body).expect("well formed");
        let _ = writeln!(self.transcript, "{}", self.now);
        let mut rest = &reply[8..];
        let _ = writeln!(self.transcript, "    {}", hex(&reply[..8]));
        while !rest.is_empty() {
            let size = u32::from_be_bytes([rest[1], rest[2], rest[3], rest[4]]) as usize;
            let (action, remaining) = rest.split_at(5 + size);
            let _ = writeln!(self.transcript, "    {} {}", action[0], hex(&action[1..]));
            self.handle_action(action[0], &action[7..]);
            rest = remaining;
        }
    }

    fn handle_action(&mut self, code: u8, fields: &[u8]) {
        self.action_codes.insert(code);
        let number = |bytes: &[u8]| bytes.iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
        match code {
            64 => {
                let query = number(&fields[..8]);
                let number = self.attempts.entry(query).or_default();
                let attempt = *number;
                *number += 1;
                let spent = 2_000 + self.rng.below(90_000);
                self.sent.push(SentAttempt {
                    query,
                    engine: u64::from(fields[15]),
                    attempt,
                    sent_at: self.now,
                    ends_at: self.now + spent,
                });
            }
            68 => {
                let at = self.now + number(&fields[..4]);
                self.timers.push((at, number(&fields[4..12])));
            }
            69 => self.probes.push(u64::from(fields[3])),
            _ => {}
        }
    }

    fn request(&mut self) -> Vec<u8> {
        self.last_query += 1;
        let rng = &mut self.rng;
        let class = rng.below(self.classes) as u16;
        let memory = if rng.below(4) == 0 {
            f32::NAN
        } else {
            rng.below(64) as f32
        };
        let key = if rng.below(3) == 0 {
            rng.below(3) + 1
        } else {
            0
        };
        of_instance(
            2,
            &[
                &self.last_query.to_be_bytes(),
                &memory.to_bits().to_be_bytes(),
                &class.to_be_bytes(),
                &(rng.below(2) as u32).to_be_bytes(),
                &[rng.below(2) as u8],
                &(rng.below(90_000) as u32).to_be_bytes(),
                &(rng.below(12) as f32).to_bits().to_be_bytes(),
                &key.to_be_bytes(),
                &(200_000 + rng.below(3_000_000) as u32).to_be_bytes(),
            ],
        )
    }

    fn attempt_ended(&mut self, sent: &SentAttempt) -> Vec<u8> {
        let outcomes = [10, 10, 10, 10, 10, 10, 10, 10, 20, 30, 40, 50, 60, 70, 80];
        let outcome: u16 = outcomes[self.rng.below(outcomes.len() as u64) as usize];
        let last = outcome == 10 || outcome == 70;
        let stats = (self.rng.next() as u32) & 0x0003_f0ff;
        let report = if self.rng.below(2) == 0 {
            report(&mut self.rng)
        } else {
            vec![0]
        };
        of_instance(
            4,
            &[
                &sent.query.to_be_bytes(),
                &outcome.to_be_bytes(),
                &stats.to_be_bytes(),
                &[u8::from(last), sent.attempt],
                &engine(sent.engine),
                &((self.now - sent.sent_at) as u32).to_be_bytes(),
                &report,
            ],
        )
    }

    /// Advances the clock by one tick and sends one batch.
    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        let mut body = Vec::new();
        let (due, later) = std::mem::take(&mut self.timers)
            .into_iter()
            .partition(|timer| timer.0 <= now);
        self.timers = later;
        let due: Vec<(u64, u64)> = due;
        for (_, token) in due {
            body.extend(of_instance(6, &[&token.to_be_bytes()]));
        }
        for probed in std::mem::take(&mut self.probes) {
            let outcome: u16 = if self.rng.below(4) == 0 { 40 } else { 10 };
            let report = report(&mut self.rng);
            let fields: [&[u8]; 4] = [
                &engine(probed),
                &outcome.to_be_bytes(),
                &900u32.to_be_bytes(),
                &report,
            ];
            body.extend(of_instance(7, &fields));
        }
        let (ended, running): (Vec<SentAttempt>, Vec<SentAttempt>) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|s| s.ends_at <= now);
        self.sent = running;
        for sent in &ended {
            if self.rng.below(4) == 0 {
                let query = sent.query.to_be_bytes();
                body.extend(of_instance(3, &[&query, &[sent.attempt]]));
            }
            body.extend(self.attempt_ended(sent));
        }
        if let Some(sent) = self.sent.first() {
            let kind = 1 + self.rng.below(4) as u8;
            let amount = [0.5f32, 1.0, 2.0, f32::INFINITY][self.rng.below(4) as usize];
            let fields: [&[u8]; 4] = [
                &sent.query.to_be_bytes(),
                &engine(sent.engine),
                &[sent.attempt, kind],
                &amount.to_bits().to_be_bytes(),
            ];
            body.extend(of_instance(10, &fields));
        }
        for _ in 0..self.rng.below(3) {
            body.extend(self.request());
        }
        if self.rng.below(30) == 0 && self.last_query > 0 {
            let query = 1 + self.rng.below(self.last_query);
            body.extend(of_instance(5, &[&query.to_be_bytes()]));
        }
        self.batch(&body);
    }

    fn run(&mut self, steps: u64) {
        (0..steps).for_each(|_| self.step());
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn transcript(settings: &[u8], classes: u64) -> (String, Vec<u8>) {
    let mut platform = Platform::new(settings, classes);
    platform.run(150);
    // One engine drains, one has restarted, one is removed and one returns later; discovery fails once.
    let now = platform.now;
    let engines = [(0, 1, 0), (1, 0, now - 10), (2, 2, 0)];
    platform.batch(&[catalog(2, &engines), topology(2, 0)].concat());
    platform.batch(&topology(0, 3));
    platform.run(120);
    let engines = [(0, 0, 0), (1, 0, now - 10), (2, 0, now), (3, 0, 0)];
    platform.batch(&[catalog(3, &engines), topology(3, 2)].concat());
    let message = of_instance(8, &[&1u16.to_be_bytes(), &3u16.to_be_bytes(), b"abc"]);
    platform.batch(&message);
    platform.run(120);
    // Unknown records are ignored, and so are records for an instance that has stopped.
    platform.batch(&[record(200, &[b"xyz"]), of_instance(9, &[])].concat());
    platform.batch(&of_instance(5, &[&1u64.to_be_bytes()]));
    (
        platform.transcript,
        platform.action_codes.into_iter().collect(),
    )
}

#[test]
fn transcripts_match_golden_files() {
    let mut action_codes = Vec::new();
    for (name, classes) in [("push", 1), ("ask", 3), ("least", 1)] {
        let settings = read_golden!(&format!("settings-{name}.json"));
        let (text, codes) = transcript(&settings, classes);
        assert_golden!(&format!("transcript-{name}.txt"), text);
        action_codes.extend(codes);
    }
    action_codes.sort_unstable();
    action_codes.dedup();
    assert_golden!("codes.txt", format!("{action_codes:?}\n"));
}

#[test]
fn errors_of_malformed_input_match_golden_file() {
    let mut text = String::new();
    for (title, bytes) in [
        ("header cut", &[0u8, 0, 0][..]),
        ("body cut", &[0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 1]),
    ] {
        let error = read_batch(&mut &bytes[..]).map(|_| ()).expect_err(title);
        let _ = writeln!(text, "{title}: {error}");
    }
    let settings = read_golden!("settings-push.json");
    let entry = |phase: u8| catalog(1, &[(1, phase, 0)]);
    let ended =
        |outcome: u16| of_instance(4, &[&1u64.to_be_bytes(), &outcome.to_be_bytes(), &[0; 17]]);
    for (title, body) in [
        ("record cut", vec![2, 0, 0]),
        ("fields cut", record(2, &[&[0, 3]])),
        ("length beyond", vec![2, 0, 0, 0, 9, 1]),
        ("list entry cut", entry(0)[..20].to_vec()),
        ("list entry's state", entry(3)),
        ("no catalog", topology(9, 1)),
        ("scope", [entry(0), topology(1, 4)].concat()),
        ("outcome", ended(11)),
        ("settings cut", start(&settings)[..30].to_vec()),
    ] {
        let mut host = Host::default();
        host.batch(5, &start(&settings)).expect("it starts");
        let error = host.batch(5, &body).expect_err(title);
        let _ = writeln!(text, "{title}: {error}");
    }
    // Invalid settings end only the instance; the reply contains the reason.
    let mut host = Host::default();
    for settings in [&b"{"[..], b"[]", br#"{"Profiles": []}"#] {
        let reply = host.batch(5, &start(settings)).expect("a reply");
        let _ = writeln!(text, "{}", reply.escape_ascii());
    }
    assert_golden!("errors.txt", text);
}
