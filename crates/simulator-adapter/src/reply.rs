//! Encodes the reply to a batch.

use driftfront_scheduler::{Action, EngineId, QueryId};

/// Action codes.
mod code {
    pub(super) const START_ATTEMPT: u8 = 64;
    pub(super) const REJECT: u8 = 65;
    pub(super) const FAIL: u8 = 66;
    pub(super) const CANCEL_ATTEMPT: u8 = 67;
    pub(super) const SET_TIMER: u8 = 68;
    pub(super) const PROBE: u8 = 69;
    pub(super) const SEND_GOSSIP: u8 = 71;
    pub(super) const LOG: u8 = 72;
    pub(super) const INSTANCE_FAILED: u8 = 73;
    pub(super) const WATCH_ENGINES: u8 = 74;
    pub(super) const SET_RESOURCES: u8 = 76;
}

/// Size of the header: number of actions and length of their encoding (4 bytes each).
const HEADER_BYTES: usize = 8;
/// Maximum length of a log line or of a failure's reason; longer texts are truncated.
const MAX_TEXT_BYTES: usize = 1_000;
/// Maximum length of a gossip message; longer messages are truncated.
const MAX_GOSSIP_BYTES: usize = 256;

/// A reply under construction.
pub(crate) struct Reply {
    bytes: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Creates a reply without actions.
    pub(crate) fn new() -> Reply {
        Reply {
            bytes: vec![0; HEADER_BYTES],
            count: 0,
        }
    }

    /// Fills in the header and returns the encoded reply.
    pub(crate) fn into_frame(mut self) -> Vec<u8> {
        let length = saturating_u32(self.bytes.len() - HEADER_BYTES);
        self.bytes[..4].copy_from_slice(&self.count.to_be_bytes());
        self.bytes[4..HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        self.bytes
    }

    /// Appends an action of an instance.
    pub(crate) fn push_action(&mut self, instance: u16, action: &Action) {
        match action {
            Action::SetResources {
                query,
                memory_mb,
                priority,
            } => {
                let fields: [&[u8]; 3] =
                    [&query_bytes(*query), &float_bytes(*memory_mb), &[*priority]];
                self.push(code::SET_RESOURCES, instance, &fields);
            }
            Action::StartAttempt {
                query,
                engine,
                timeout,
            } => {
                let fields: [&[u8]; 3] = [
                    &query_bytes(*query),
                    &time_bytes(*timeout),
                    &engine_bytes(*engine),
                ];
                self.push(code::START_ATTEMPT, instance, &fields);
            }
            Action::CancelAttempt { query, attempt } => {
                let fields: [&[u8]; 2] = [&query_bytes(*query), &[*attempt]];
                self.push(code::CANCEL_ATTEMPT, instance, &fields);
            }
            Action::Reject { query, retry_after } => {
                let fields: [&[u8]; 2] = [&query_bytes(*query), &time_bytes(*retry_after)];
                self.push(code::REJECT, instance, &fields);
            }
            Action::Fail(query) => self.push(code::FAIL, instance, &[&query_bytes(*query)]),
            Action::SetTimer { after, token } => {
                let fields: [&[u8]; 2] = [&time_bytes(*after), &token.to_be_bytes()];
                self.push(code::SET_TIMER, instance, &fields);
            }
            Action::Probe(engine) => self.push(code::PROBE, instance, &[&engine_bytes(*engine)]),
            Action::SendGossip { peer, message } => {
                let message = truncate(message, MAX_GOSSIP_BYTES);
                let fields: [&[u8]; 3] = [&peer.to_be_bytes(), &length_bytes(message), message];
                self.push(code::SEND_GOSSIP, instance, &fields);
            }
            Action::WatchEngines => self.push(code::WATCH_ENGINES, instance, &[&[1]]),
            Action::Log(text) => self.push_text(code::LOG, instance, text),
        }
    }

    /// Appends a notice that an instance has failed for this reason.
    pub(crate) fn push_failure(&mut self, instance: u16, reason: &str) {
        self.push_text(code::INSTANCE_FAILED, instance, reason);
    }

    fn push_text(&mut self, code: u8, instance: u16, text: &str) {
        let text = truncate(text.as_bytes(), MAX_TEXT_BYTES);
        self.push(code, instance, &[&length_bytes(text), text]);
    }

    fn push(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        let instance = instance.to_be_bytes();
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.bytes.push(code);
        self.bytes
            .extend(saturating_u32(instance.len() + length).to_be_bytes());
        self.bytes.extend(instance);
        for field in fields {
            self.bytes.extend(*field);
        }
        self.count += 1;
    }
}

fn truncate(bytes: &[u8], max_bytes: usize) -> &[u8] {
    &bytes[..bytes.len().min(max_bytes)]
}

fn length_bytes(bytes: &[u8]) -> [u8; 2] {
    u16::try_from(bytes.len()).unwrap_or(u16::MAX).to_be_bytes()
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn query_bytes(query: QueryId) -> [u8; 8] {
    query.0.to_be_bytes()
}

/// The engine's address, which is the lower 6 bytes of its id.
fn engine_bytes(engine: EngineId) -> [u8; 6] {
    let [_, _, address @ ..] = engine.0.to_be_bytes();
    address
}

/// Encodes a duration in microseconds, saturating at 32 bits.
fn time_bytes(micros: u64) -> [u8; 4] {
    u32::try_from(micros).unwrap_or(u32::MAX).to_be_bytes()
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "the protocol's floating point numbers have 32 bits"
)]
fn float_bytes(number: f64) -> [u8; 4] {
    (number as f32).to_be_bytes()
}
