//! Transfer of content that exceeds a datagram, in fragments.
//!
//! The sender sends the first fragments, and the receiver requests the missing ones, so that the receiver controls the rate
//! and a lost datagram costs one more request.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Content bytes of a fragment.
pub const FRAGMENT_BYTES: usize = 1000;
/// Longest content of a transfer. A state that reaches all its limits takes a third of it.
pub const MAX_TRANSFER_BYTES: usize = 512 * 1024;
/// Fragments that are sent without a request.
const INITIAL_FRAGMENTS: usize = 4;
/// Most fragments per request.
const FRAGMENTS_PER_REQUEST: usize = 8;
/// Most transfers in progress in each direction; the oldest is dropped first.
pub const MAX_TRANSFERS: usize = 8;
/// A sender drops a transfer after this long without a request, a receiver after this long without a fragment.
pub const TRANSFER_TIMEOUT: Micros = 5_000_000;
/// Interval at which a receiver requests missing fragments.
const REQUEST_INTERVAL: Micros = 150_000;

/// A fragment of a transfer. Sent in postcard format: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// The transfer's number, assigned by the sender.
    pub transfer: u64,
    /// The code of the content's kind.
    pub kind: u8,
    /// The fragment's number, from 0.
    pub number: u16,
    /// The number of fragments of the transfer.
    pub count: u16,
    /// Its part of the content.
    pub bytes: Vec<u8>,
}

/// A completely received transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// The code of the content's kind.
    pub kind: u8,
    /// The content.
    pub bytes: Vec<u8>,
}

/// A request for missing fragments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FragmentRequest {
    /// The sender of the transfer.
    pub sender: String,
    /// The transfer's number, assigned by the sender.
    pub transfer: u64,
    /// The numbers of the missing fragments.
    pub numbers: Vec<u16>,
}

struct Outgoing {
    receiver: String,
    kind: u8,
    bytes: Vec<u8>,
    last_request: Micros,
}

impl Outgoing {
    fn fragment(&self, transfer: u64, number: u16) -> Option<Fragment> {
        let bytes = self.bytes.chunks(FRAGMENT_BYTES).nth(number.into())?;
        let count = self.bytes.len().div_ceil(FRAGMENT_BYTES);
        Some(Fragment {
            transfer,
            kind: self.kind,
            number,
            count: u16::try_from(count).ok()?,
            bytes: bytes.to_vec(),
        })
    }
}

struct Incoming {
    kind: u8,
    fragments: Vec<Option<Vec<u8>>>,
    last_fragment: Micros,
    last_request: Micros,
}

impl Incoming {
    fn new(now: Micros, kind: u8, count: usize) -> Incoming {
        Incoming {
            kind,
            fragments: vec![None; count],
            last_fragment: now,
            last_request: now,
        }
    }

    fn is_complete(&self) -> bool {
        self.fragments.iter().all(Option::is_some)
    }

    fn missing(&self) -> impl Iterator<Item = u16> + '_ {
        let numbered = (0..).zip(&self.fragments);
        numbered.filter_map(|(number, bytes)| bytes.is_none().then_some(number))
    }

    fn into_received(self) -> Received {
        Received {
            kind: self.kind,
            bytes: self.fragments.into_iter().flatten().flatten().collect(),
        }
    }
}

/// An incoming transfer: its sender and number.
type IncomingKey = (String, u64);

/// All transfers in progress.
#[derive(Default)]
pub struct Transfers {
    last_number: u64,
    outgoing: BTreeMap<u64, Outgoing>,
    incoming: BTreeMap<IncomingKey, Incoming>,
    /// Transfers dropped because of their number, age or size, and fragments that are invalid or contradict others.
    pub dropped: u64,
}

impl Transfers {
    /// Starts a transfer and returns its first fragments; returns no fragments if the content is empty or too long.
    pub fn send(&mut self, now: Micros, receiver: &str, kind: u8, bytes: Vec<u8>) -> Vec<Fragment> {
        if bytes.is_empty() || bytes.len() > MAX_TRANSFER_BYTES {
            self.dropped += 1;
            return Vec::new();
        }
        // An earlier transfer of this kind to the same receiver is outdated.
        self.outgoing
            .retain(|_, o| o.receiver != receiver || o.kind != kind);
        if self.outgoing.len() >= MAX_TRANSFERS {
            self.outgoing.pop_first();
            self.dropped += 1;
        }
        self.last_number += 1;
        let outgoing = Outgoing {
            receiver: receiver.into(),
            kind,
            bytes,
            last_request: now,
        };
        let numbers = (0..).take(INITIAL_FRAGMENTS);
        let first = numbers
            .filter_map(|n| outgoing.fragment(self.last_number, n))
            .collect();
        self.outgoing.insert(self.last_number, outgoing);
        first
    }

    /// The fragments that the receiver of a transfer requested.
    pub fn resend(
        &mut self,
        now: Micros,
        receiver: &str,
        transfer: u64,
        numbers: &[u16],
    ) -> Vec<Fragment> {
        let outgoing = self.outgoing.get_mut(&transfer);
        let Some(outgoing) = outgoing.filter(|o| o.receiver == receiver) else {
            return Vec::new();
        };
        outgoing.last_request = now;
        numbers
            .iter()
            .take(FRAGMENTS_PER_REQUEST)
            .filter_map(|&n| outgoing.fragment(transfer, n))
            .collect()
    }

    /// Stores a received fragment; returns the whole transfer once it is complete.
    pub fn receive(&mut self, now: Micros, sender: &str, fragment: Fragment) -> Option<Received> {
        if !is_valid(&fragment) {
            self.dropped += 1;
            return None;
        }
        let key = (sender.to_string(), fragment.transfer);
        let count = usize::from(fragment.count);
        if !self.incoming.contains_key(&key) {
            self.make_room(sender, &fragment);
        }
        let incoming = self
            .incoming
            .entry(key.clone())
            .or_insert_with(|| Incoming::new(now, fragment.kind, count));
        if incoming.fragments.len() != count || incoming.kind != fragment.kind {
            self.dropped += 1;
            return None;
        }
        incoming.last_fragment = now;
        incoming.fragments[usize::from(fragment.number)].get_or_insert(fragment.bytes);
        if !incoming.is_complete() {
            return None;
        }
        self.incoming.remove(&key).map(Incoming::into_received)
    }

    /// Makes room for a new incoming transfer, which replaces earlier ones of its kind from the same sender.
    fn make_room(&mut self, sender: &str, fragment: &Fragment) {
        self.incoming.retain(|(from, number), incoming| {
            from != sender || *number > fragment.transfer || incoming.kind != fragment.kind
        });
        if self.incoming.len() < MAX_TRANSFERS {
            return;
        }
        self.dropped += 1;
        let oldest = self.incoming.iter().min_by_key(|i| i.1.last_fragment);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.incoming.remove(&key);
        }
    }

    /// Drops stalled transfers, and returns requests for the missing fragments of the others.
    pub fn tick(&mut self, now: Micros) -> Vec<FragmentRequest> {
        let before = self.outgoing.len() + self.incoming.len();
        self.outgoing
            .retain(|_, o| now <= o.last_request + TRANSFER_TIMEOUT);
        self.incoming
            .retain(|_, i| now <= i.last_fragment + TRANSFER_TIMEOUT);
        self.dropped += (before - self.outgoing.len() - self.incoming.len()) as u64;
        let mut requests = Vec::new();
        for ((sender, transfer), incoming) in &mut self.incoming {
            if now >= incoming.last_request + REQUEST_INTERVAL {
                incoming.last_request = now;
                requests.push(FragmentRequest {
                    sender: sender.clone(),
                    transfer: *transfer,
                    numbers: incoming.missing().take(FRAGMENTS_PER_REQUEST).collect(),
                });
            }
        }
        requests
    }

    /// The number of outgoing transfers.
    pub fn outgoing_count(&self) -> usize {
        self.outgoing.len()
    }

    /// The number of incoming transfers.
    pub fn incoming_count(&self) -> usize {
        self.incoming.len()
    }
}

fn is_valid(fragment: &Fragment) -> bool {
    let count = usize::from(fragment.count);
    count <= MAX_TRANSFER_BYTES.div_ceil(FRAGMENT_BYTES)
        && fragment.number < fragment.count
        && fragment.bytes.len() <= FRAGMENT_BYTES
}
