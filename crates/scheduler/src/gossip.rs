//! Gossip between coordinators: the message format, and the last message of each peer.
//!
//! A message is the byte 2 (its version), the sender's demand as a big-endian `f32`, and as many
//! entries as fit into 256 bytes. An entry consists of the engine's id (6 bytes), the sender's
//! threads there, its slowdown in steps of 0.05, the age of its load report in units of 40 ms (255:
//! no report), and the report's values in the order of the settings (255: absent; fractions in
//! steps of 0.005).
//!
//! Bound: one record per coordinator that has sent a message.

use crate::load_reports::LoadReport;
use crate::settings::ReportField;
use crate::types::{EngineId, Micros};
use std::collections::BTreeMap;

/// Minimum interval between messages to a peer.
pub(crate) const GOSSIP_INTERVAL: Micros = 1_000_000;
/// A message has full weight for this many intervals; the weight halves with each further one.
const FULL_WEIGHT_INTERVALS: f64 = 3.0;
const VERSION: u8 = 2;
const MAX_MESSAGE_BYTES: usize = 256;
/// Bytes of an entry before the report's values.
const ENTRY_HEADER_BYTES: usize = 9;
/// Encodes a missing report or a missing value.
const ABSENT: u8 = 255;
const AGE_UNIT: Micros = 40_000;
const SHARE_STEPS: f64 = 200.0;
const SLOWDOWN_STEPS: f64 = 20.0;

/// Part of a message about one engine.
pub(crate) struct EngineEntry {
    /// The engine.
    pub engine: EngineId,
    /// The sender's own threads there.
    pub threads: f64,
    /// Slowdown of queries on the engine.
    pub slowdown: f64,
    /// Its newest load report.
    pub report: Option<LoadReport>,
}

/// A decoded message of a peer.
pub(crate) struct Message {
    /// The sender's demand, µs of work per µs.
    pub demand: f64,
    /// Entries for individual engines.
    pub engines: Vec<EngineEntry>,
}

/// Number of engines that fit into a message with this many report values per engine.
pub(crate) fn max_engines(fields: &[ReportField]) -> usize {
    let header_bytes = 1 + size_of::<f32>();
    (MAX_MESSAGE_BYTES - header_bytes) / (ENTRY_HEADER_BYTES + fields.len())
}

/// Encodes a message: the demand, then the engines in the given order, at most [`max_engines`] of
/// them.
#[allow(
    clippy::cast_possible_truncation,
    reason = "the message format stores whole steps that fit into its fields"
)]
pub(crate) fn encode(
    now: Micros,
    demand: f64,
    fields: &[ReportField],
    engines: impl Iterator<Item = EngineEntry>,
) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    bytes.extend((demand as f32).to_be_bytes());
    for entry in engines {
        let report = entry.report.unwrap_or_default();
        let age = entry
            .report
            .map_or(u64::from(ABSENT), |r| now.saturating_sub(r.at) / AGE_UNIT);
        bytes.extend(&entry.engine.0.to_be_bytes()[2..]);
        bytes.extend([
            entry.threads as u8,
            (entry.slowdown * SLOWDOWN_STEPS) as u8,
            age.min(u64::from(ABSENT)) as u8,
        ]);
        bytes.extend(fields.iter().map(|&field| encode_value(field, &report)));
    }
    bytes
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "the message format stores whole steps that fit into its fields"
)]
fn encode_value(field: ReportField, report: &LoadReport) -> u8 {
    let count = |value: Option<f64>| value.map_or(ABSENT, |x| x.min(254.0) as u8);
    let share = |value: Option<f64>| value.map_or(ABSENT, |x| (x * SHARE_STEPS) as u8);
    match field {
        ReportField::Active => count(report.active),
        ReportField::Waiting => count(report.waiting),
        ReportField::Busy => share(report.busy),
        ReportField::Memory => share(report.memory),
        ReportField::Disk => share(report.disk),
        ReportField::ServiceMs | ReportField::Rate | ReportField::Errors | ReportField::Unknown => {
            ABSENT
        }
    }
}

/// Decodes a message; `None` if it is malformed or has another version.
pub(crate) fn decode(now: Micros, fields: &[ReportField], bytes: &[u8]) -> Option<Message> {
    let body = bytes.strip_prefix(&[VERSION])?;
    let (demand, entries) = body.split_first_chunk::<4>()?;
    let demand = f64::from(f32::from_be_bytes(*demand));
    let entry_bytes = ENTRY_HEADER_BYTES + fields.len();
    if !demand.is_finite() || demand < 0.0 || entries.len() % entry_bytes != 0 {
        return None;
    }
    let entries = entries.chunks(entry_bytes);
    let engines = entries.map(|entry| decode_entry(now, fields, entry));
    Some(Message {
        demand,
        engines: engines.collect(),
    })
}

fn decode_entry(now: Micros, fields: &[ReportField], entry: &[u8]) -> EngineEntry {
    let id = entry[..6]
        .iter()
        .fold(0u64, |id, &b| id << 8 | u64::from(b));
    let (threads, slowdown, age) = (entry[6], entry[7], entry[8]);
    let report = (age < ABSENT).then(|| {
        let encoded = fields.iter().zip(&entry[ENTRY_HEADER_BYTES..]);
        let values: Vec<f64> = encoded.map(|(&f, &byte)| decode_value(f, byte)).collect();
        let at = now.saturating_sub(u64::from(age) * AGE_UNIT);
        LoadReport::read(at, fields, &values)
    });
    EngineEntry {
        engine: EngineId(id),
        threads: f64::from(threads),
        slowdown: f64::from(slowdown) / SLOWDOWN_STEPS,
        report,
    }
}

/// Decodes a value of a report. An absent value becomes negative, which [`LoadReport::read`]
/// ignores.
fn decode_value(field: ReportField, byte: u8) -> f64 {
    match field {
        _ if byte == ABSENT => -1.0,
        ReportField::Busy | ReportField::Memory | ReportField::Disk => {
            f64::from(byte) / SHARE_STEPS
        }
        ReportField::Active
        | ReportField::Waiting
        | ReportField::ServiceMs
        | ReportField::Rate
        | ReportField::Errors
        | ReportField::Unknown => f64::from(byte),
    }
}

/// The last message of a peer.
struct Peer {
    last_contact_at: Micros,
    demand: f64,
    threads: BTreeMap<EngineId, f64>,
}

impl Peer {
    /// Weight of the message: 1 at first, then halved with each interval.
    fn weight(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.last_contact_at) as f64 / GOSSIP_INTERVAL as f64;
        0.5f64.powf((age - FULL_WEIGHT_INTERVALS).max(0.0))
    }
}

/// Sums over the known peers, weighted by the age of their messages.
pub(crate) struct PeerDemand {
    /// Their demand, µs of work per µs.
    pub demand: f64,
    /// Their number.
    pub count: f64,
}

/// All peers that have sent a message.
#[derive(Default)]
pub(crate) struct Peers {
    peers: BTreeMap<u32, Peer>,
}

impl Peers {
    /// Records a peer's message.
    pub(crate) fn record(&mut self, now: Micros, from: u32, message: &Message) {
        let threads = message.engines.iter().map(|e| (e.engine, e.threads));
        let peer = Peer {
            last_contact_at: now,
            demand: message.demand,
            threads: threads.collect(),
        };
        self.peers.insert(from, peer);
    }

    /// Whether no peer has ever sent a message.
    pub(crate) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Number of peers that have ever sent a message.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Demand and number of the peers, weighted by the age of their messages.
    pub(crate) fn recent_demand(&self, now: Micros) -> PeerDemand {
        let demand = self.peers.values().map(|p| p.demand * p.weight(now));
        PeerDemand {
            demand: demand.sum(),
            count: self.peers.values().map(|p| p.weight(now)).sum(),
        }
    }

    /// Threads of the peers on an engine, weighted by the age of their messages.
    pub(crate) fn threads_on(&self, now: Micros, engine: EngineId) -> f64 {
        let threads = |p: &Peer| p.threads.get(&engine).unwrap_or(&0.0) * p.weight(now);
        self.peers.values().map(threads).sum()
    }
}

/// Message credit that each accepted query adds, which bounds gossip regardless of the number of
/// peers.
const MESSAGES_PER_QUERY: f64 = 0.5;

/// When gossip is sent, and to how many peers.
#[derive(Default)]
pub(crate) struct GossipSchedule {
    last_round_at: Micros,
    /// Messages that may be sent, if not all peers receive one.
    credit: f64,
}

impl GossipSchedule {
    /// Adds the credit of an accepted query.
    pub(crate) fn record_query(&mut self, coordinators: u32) {
        self.credit = (self.credit + MESSAGES_PER_QUERY).min(f64::from(coordinators));
    }

    /// Whether a round is due.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        now >= self.last_round_at + GOSSIP_INTERVAL
    }

    /// Begins a round and returns the number of recipients: all peers if they are few, otherwise as
    /// many as the credit allows.
    #[allow(
        clippy::cast_possible_truncation,
        reason = "a whole number of messages, at most the number of coordinators"
    )]
    pub(crate) fn begin_round(&mut self, now: Micros, peers: usize, uses_subset: bool) -> usize {
        self.last_round_at = now;
        let count = if uses_subset {
            self.credit as usize
        } else {
            peers
        };
        self.credit = (self.credit - count as f64).max(0.0);
        count
    }
}
