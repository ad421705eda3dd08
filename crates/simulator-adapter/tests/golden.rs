//! The simulator's wire, byte for byte: a transcript in which every kind of record and every kind of action comes; see
//! `golden/README.md`.
//!
//! Requests, engines' answers and faults are drawn from a fixed seed; attempts are answered as they are sent, so a transcript
//! shows changed decisions as well as a changed wire.
#![allow(
    clippy::cast_possible_truncation,
    reason = "draws are below the bound that is asked for"
)]

use driftfront_simulator_adapter::{read_batch, Host};
use driftfront_test_support::{assert_golden, read_golden};
use std::fmt::Write as _;

const INSTANCE: u16 = 3;
const ENGINES: u64 = 6;
const TICK: u64 = 5_000;

/// The same numbers on every machine (splitmix64).
struct Draws(u64);

impl Draws {
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

/// A record of one instance.
fn of_instance(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    record(code, &[&INSTANCE.to_be_bytes(), &fields.concat()])
}

fn up(settings: &[u8]) -> Vec<u8> {
    let length = (settings.len() as u32).to_be_bytes();
    of_instance(0, &[&42u64.to_be_bytes(), &length, settings])
}

fn engine(n: u64) -> [u8; 6] {
    [10, 18, 74, n as u8, 0x23, 0x2b]
}

/// A list of the engines, each with a phase and a start.
fn catalog(number: u32, lines: &[(u64, u8, u64)]) -> Vec<u8> {
    let mut fields = number.to_be_bytes().to_vec();
    fields.extend((lines.len() as u32).to_be_bytes());
    for (n, phase, started_at) in lines {
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

struct Sent {
    query: u64,
    engine: u64,
    attempt: u8,
    at: u64,
    ends: u64,
}

/// The platform and its engines, as far as the wire shows them.
struct Platform {
    draws: Draws,
    host: Host,
    now: u64,
    last_query: u64,
    classes: u64,
    sent: Vec<Sent>,
    attempts: std::collections::BTreeMap<u64, u8>,
    wakes: Vec<(u64, u64)>,
    probes: Vec<u64>,
    seen: std::collections::BTreeSet<u8>,
    text: String,
}

fn report(draws: &mut Draws) -> Vec<u8> {
    let mut bytes = vec![8];
    for _ in 0..8 {
        bytes.extend((draws.below(100) as f32 / 50.0).to_bits().to_be_bytes());
    }
    bytes
}

impl Platform {
    fn new(settings: &[u8], classes: u64) -> Platform {
        let mut platform = Platform {
            draws: Draws(7),
            host: Host::default(),
            now: 1_000_000,
            last_query: 0,
            classes,
            sent: Vec::new(),
            attempts: Default::default(),
            wakes: Vec::new(),
            probes: Vec::new(),
            seen: Default::default(),
            text: String::new(),
        };
        let lines: Vec<_> = (0..ENGINES).map(|n| (n, 0, 0)).collect();
        let body = [up(settings), catalog(1, &lines), topology(1, 1)].concat();
        platform.batch(&body);
        platform
    }

    fn batch(&mut self, body: &[u8]) {
        // As it is framed on the pipe.
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend(self.now.to_be_bytes());
        frame.extend(body);
        let read = read_batch(&mut &frame[..]).expect("whole").expect("one");
        assert_eq!(read, (self.now, body.to_vec()));
        let reply = self.host.batch(self.now, body).expect("well formed");
        let _ = writeln!(self.text, "{}", self.now);
        let mut rest = &reply[8..];
        let _ = writeln!(self.text, "    {}", hex(&reply[..8]));
        while !rest.is_empty() {
            let size = u32::from_be_bytes([rest[1], rest[2], rest[3], rest[4]]) as usize;
            let (action, behind) = rest.split_at(5 + size);
            let _ = writeln!(self.text, "    {} {}", action[0], hex(&action[1..]));
            self.note(action[0], &action[7..]);
            rest = behind;
        }
    }

    fn note(&mut self, code: u8, fields: &[u8]) {
        self.seen.insert(code);
        let number = |bytes: &[u8]| bytes.iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
        match code {
            64 => {
                let query = number(&fields[..8]);
                let number = self.attempts.entry(query).or_default();
                let attempt = *number;
                *number += 1;
                let spent = 2_000 + self.draws.below(90_000);
                self.sent.push(Sent {
                    query,
                    engine: u64::from(fields[15]),
                    attempt,
                    at: self.now,
                    ends: self.now + spent,
                });
            }
            68 => {
                let at = self.now + number(&fields[..4]);
                self.wakes.push((at, number(&fields[4..12])));
            }
            69 => self.probes.push(u64::from(fields[3])),
            _ => {}
        }
    }

    fn request(&mut self) -> Vec<u8> {
        self.last_query += 1;
        let draws = &mut self.draws;
        let class = draws.below(self.classes) as u16;
        let memory = if draws.below(4) == 0 {
            f32::NAN
        } else {
            draws.below(64) as f32
        };
        let key = if draws.below(3) == 0 {
            draws.below(3) + 1
        } else {
            0
        };
        of_instance(
            2,
            &[
                &self.last_query.to_be_bytes(),
                &memory.to_bits().to_be_bytes(),
                &class.to_be_bytes(),
                &(draws.below(2) as u32).to_be_bytes(),
                &[draws.below(2) as u8],
                &(draws.below(90_000) as u32).to_be_bytes(),
                &(draws.below(12) as f32).to_bits().to_be_bytes(),
                &key.to_be_bytes(),
                &(200_000 + draws.below(3_000_000) as u32).to_be_bytes(),
            ],
        )
    }

    fn ended(&mut self, sent: &Sent) -> Vec<u8> {
        let outcomes = [10, 10, 10, 10, 10, 10, 10, 10, 20, 30, 40, 50, 60, 70, 80];
        let outcome: u16 = outcomes[self.draws.below(outcomes.len() as u64) as usize];
        let last = outcome == 10 || outcome == 70;
        let stats = (self.draws.next() as u32) & 0x0003_f0ff;
        let report = if self.draws.below(2) == 0 {
            report(&mut self.draws)
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
                &((self.now - sent.at) as u32).to_be_bytes(),
                &report,
            ],
        )
    }

    /// What happens in one batch.
    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        let mut body = Vec::new();
        let (due, later) = std::mem::take(&mut self.wakes)
            .into_iter()
            .partition(|w| w.0 <= now);
        self.wakes = later;
        let due: Vec<(u64, u64)> = due;
        for (_, token) in due {
            body.extend(of_instance(6, &[&token.to_be_bytes()]));
        }
        for probed in std::mem::take(&mut self.probes) {
            let outcome: u16 = if self.draws.below(4) == 0 { 40 } else { 10 };
            let report = report(&mut self.draws);
            let fields: [&[u8]; 4] = [
                &engine(probed),
                &outcome.to_be_bytes(),
                &900u32.to_be_bytes(),
                &report,
            ];
            body.extend(of_instance(7, &fields));
        }
        let (over, running): (Vec<Sent>, Vec<Sent>) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|s| s.ends <= now);
        self.sent = running;
        for sent in &over {
            if self.draws.below(4) == 0 {
                let query = sent.query.to_be_bytes();
                body.extend(of_instance(3, &[&query, &[sent.attempt]]));
            }
            body.extend(self.ended(sent));
        }
        if let Some(sent) = self.sent.first() {
            let sort = 1 + self.draws.below(4) as u8;
            let amount = [0.5f32, 1.0, 2.0, f32::INFINITY][self.draws.below(4) as usize];
            let fields: [&[u8]; 4] = [
                &sent.query.to_be_bytes(),
                &engine(sent.engine),
                &[sent.attempt, sort],
                &amount.to_bits().to_be_bytes(),
            ];
            body.extend(of_instance(10, &fields));
        }
        for _ in 0..self.draws.below(3) {
            body.extend(self.request());
        }
        if self.draws.below(30) == 0 && self.last_query > 0 {
            let query = 1 + self.draws.below(self.last_query);
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
    // One drains, one has started anew, one is gone, and one is there again; discovery fails once.
    let now = platform.now;
    let lines = [(0, 1, 0), (1, 0, now - 10), (2, 2, 0)];
    platform.batch(&[catalog(2, &lines), topology(2, 0)].concat());
    platform.batch(&topology(0, 3));
    platform.run(120);
    let lines = [(0, 0, 0), (1, 0, now - 10), (2, 0, now), (3, 0, 0)];
    platform.batch(&[catalog(3, &lines), topology(3, 2)].concat());
    let message = of_instance(8, &[&1u16.to_be_bytes(), &3u16.to_be_bytes(), b"abc"]);
    platform.batch(&message);
    platform.run(120);
    // An unknown record is passed over; what comes behind an instance's end is too.
    platform.batch(&[record(200, &[b"xyz"]), of_instance(9, &[])].concat());
    platform.batch(&platform.request_of_nobody());
    (platform.text, platform.seen.into_iter().collect())
}

impl Platform {
    fn request_of_nobody(&self) -> Vec<u8> {
        of_instance(5, &[&1u64.to_be_bytes()])
    }
}

#[test]
fn transcripts_are_as_before() {
    let mut seen = Vec::new();
    for (name, classes) in [("push", 1), ("ask", 3), ("least", 1)] {
        let settings = read_golden!(&format!("settings-{name}.json"));
        let (text, codes) = transcript(&settings, classes);
        assert_golden!(&format!("transcript-{name}.txt"), text);
        seen.extend(codes);
    }
    seen.sort_unstable();
    seen.dedup();
    assert_golden!("codes.txt", format!("{seen:?}\n"));
}

#[test]
fn what_cannot_be_read_is_described_as_before() {
    let mut text = String::new();
    for (title, bytes) in [
        ("header cut", &[0u8, 0, 0][..]),
        ("body cut", &[0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 1]),
    ] {
        let said = read_batch(&mut &bytes[..]).map(|_| ()).expect_err(title);
        let _ = writeln!(text, "{title}: {said}");
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
        ("settings cut", up(&settings)[..30].to_vec()),
    ] {
        let mut host = Host::default();
        host.batch(5, &up(&settings)).expect("it starts");
        let said = host.batch(5, &body).expect_err(title);
        let _ = writeln!(text, "{title}: {said}");
    }
    // Bad settings end the instance alone: the reply says why.
    let mut host = Host::default();
    for settings in [&b"{"[..], b"[]", br#"{"Profiles": []}"#] {
        let reply = host.batch(5, &up(settings)).expect("a reply");
        let _ = writeln!(text, "{}", reply.escape_ascii());
    }
    assert_golden!("errors.txt", text);
}
