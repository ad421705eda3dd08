//! The simulator's wire: framing, settings and id mapping around [`driftfront_scheduler::Controller`].
#![warn(missing_docs)]
#![forbid(unsafe_code)]

use driftfront_scheduler::interface::{
    Action, AttemptEnded, EngineId, Event, ListKind, ListedEngine, Outcome, Phase, ProgressReport,
    Query, QueryId,
};
use driftfront_scheduler::Controller;
use std::collections::BTreeMap;
use std::io::Read;
use std::panic::{catch_unwind, AssertUnwindSafe};

pub use driftfront_settings::parse_settings;

/// Reads one batch: its clock and its records. `None` at a clean end of input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<(u64, Vec<u8>)>, String> {
    let mut header = [0u8; 12];
    let mut got = 0;
    while got < header.len() {
        match input.read(&mut header[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err("input ends inside a batch header".into()),
            Ok(n) => got += n,
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read a batch header: {e}")),
        }
    }
    let (length, now) = header.split_at(4);
    let length = u32::from_be_bytes(length.try_into().map_err(|_| "bad header")?);
    let now = u64::from_be_bytes(now.try_into().map_err(|_| "bad header")?);
    let mut body = Vec::new();
    let read = input.take(u64::from(length)).read_to_end(&mut body);
    match read {
        Ok(n) if n == length as usize => Ok(Some((now, body))),
        Ok(n) => Err(format!("input ends inside a batch: {n} of {length} bytes")),
        Err(e) => Err(format!("cannot read a batch: {e}")),
    }
}

/// Takes fields from the front of a record.
struct Fields<'a>(&'a [u8], u8);

impl<'a> Fields<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], String> {
        if self.0.len() < n {
            return Err(format!("record of code {} is cut short", self.1));
        }
        let (head, tail) = self.0.split_at(n);
        self.0 = tail;
        Ok(head)
    }
    fn uint(&mut self, n: usize) -> Result<u64, String> {
        Ok(self.bytes(n)?.iter().fold(0, |a, &b| a << 8 | u64::from(b)))
    }
    fn u8(&mut self) -> Result<u8, String> {
        Ok(self.uint(1)? as u8)
    }
    fn u16(&mut self) -> Result<u16, String> {
        Ok(self.uint(2)? as u16)
    }
    fn f32(&mut self) -> Result<f64, String> {
        Ok(f64::from(f32::from_bits(self.uint(4)? as u32)))
    }
    fn engine(&mut self) -> Result<EngineId, String> {
        Ok(EngineId(self.uint(6)?))
    }
    fn report(&mut self) -> Result<Vec<f64>, String> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
}

/// An estimate counts only if it is a positive, finite number.
fn positive(x: f64) -> Option<f64> {
    (x.is_finite() && x > 0.0).then_some(x)
}

fn listed(body: &[u8]) -> Result<Vec<ListedEngine>, String> {
    let mut f = Fields(body, 11);
    let n = f.uint(4)? as usize;
    let mut all = Vec::with_capacity(n.min(1 << 16));
    for _ in 0..n {
        let engine = f.engine()?;
        let (zone, kind, cell) = (f.u16()?, f.u16()?, f.u16()?);
        let phase = match f.u8()? {
            0 => Phase::Ready,
            1 => Phase::Draining,
            2 => Phase::Gone,
            other => return Err(format!("list entry with unknown state {other}")),
        };
        f.f32()?;
        let started_at = Some(f.uint(8)?).filter(|&t| t > 0);
        all.push(ListedEngine {
            engine,
            zone,
            kind,
            cell,
            phase,
            started_at,
        });
    }
    Ok(all)
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Rejected,
        40 => Outcome::TimedOut,
        50 => Outcome::Unreachable,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::Superseded,
        other => return Err(format!("unknown outcome {other}")),
    })
}

/// Many isolated controllers behind one pair of streams.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Controller>,
    lists: BTreeMap<u32, Vec<ListedEngine>>,
    actions: Vec<Action>,
}

impl Host {
    /// Handles one batch and returns the whole reply frame.
    pub fn batch(&mut self, now: u64, mut body: &[u8]) -> Result<Vec<u8>, String> {
        let mut reply = vec![0u8; 8];
        let mut count = 0u32;
        while !body.is_empty() {
            let mut head = Fields(body, body[0]);
            let code = head.u8()?;
            let size = head.uint(4)? as usize;
            let fields = Fields(head.bytes(size)?, code);
            body = head.0;
            self.record(now, code, fields, &mut reply, &mut count)?;
        }
        let length = (reply.len() - 8) as u32;
        reply[..4].copy_from_slice(&count.to_be_bytes());
        reply[4..8].copy_from_slice(&length.to_be_bytes());
        Ok(reply)
    }

    fn record(
        &mut self,
        now: u64,
        code: u8,
        mut f: Fields,
        reply: &mut Vec<u8>,
        count: &mut u32,
    ) -> Result<(), String> {
        if code == 11 {
            let number = f.uint(4)? as u32;
            self.lists.insert(number, listed(f.0)?);
            return Ok(());
        }
        if code > 11 {
            return Ok(());
        }
        let inst = f.u16()?;
        match code {
            0 => {
                let seed = f.uint(8)?;
                let n = f.uint(4)? as usize;
                match parse_settings(f.bytes(n)?) {
                    Ok(settings) => {
                        let controller = Controller::new(settings, seed);
                        self.instances.insert(inst, controller);
                    }
                    Err(e) => bail(reply, count, inst, &e),
                }
                return Ok(());
            }
            9 => {
                self.instances.remove(&inst);
                return Ok(());
            }
            _ => {}
        }
        let report;
        let list;
        let event = match code {
            1 => {
                let number = f.uint(4)? as u32;
                f.uint(8)?;
                let kind = match f.u8()? {
                    0 => ListKind::Changes,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => return self.tell(now, inst, Event::DiscoveryFailed, reply, count),
                    other => return Err(format!("topology of unknown scope {other}")),
                };
                list = self
                    .lists
                    .get(&number)
                    .cloned()
                    .ok_or("topology without its catalog")?;
                Event::EnginesListed(kind, &list)
            }
            2 => {
                let id = QueryId(f.uint(8)?);
                let memory_mb = positive(f.f32()?);
                let class = f.u16()?;
                let tenant = f.uint(4)? as u32;
                let flags = f.u8()?;
                let guess = f.uint(4)? as f64;
                let tables = positive(f.f32()?).unwrap_or(0.0) as u32;
                let key = Some(f.uint(8)?).filter(|&k| k != 0);
                let budget = f.uint(4)?;
                Event::QueryArrived(Query {
                    id,
                    class,
                    tenant,
                    work: positive(guess).filter(|_| flags & 1 != 0),
                    memory_mb,
                    tables,
                    key,
                    token: true,
                    idempotent_until: None,
                    pin: None,
                    budget,
                })
            }
            3 => Event::StreamStarted(QueryId(f.uint(8)?), f.u8()?),
            4 => {
                let query = QueryId(f.uint(8)?);
                let outcome = outcome(f.u16()?)?;
                let stats = f.uint(4)?;
                let last = f.u8()? != 0;
                let attempt = f.u8()?;
                f.engine()?;
                let spent = f.uint(4)?;
                report = f.report()?;
                Event::AttemptEnded(AttemptEnded {
                    query,
                    attempt,
                    outcome,
                    last,
                    spent,
                    work: positive((stats >> 12) as f64 * 1000.0),
                    memory_mb: positive((stats & 0xfff) as f64 * 4.0),
                    report: &report,
                })
            }
            5 => Event::ClientLeft(QueryId(f.uint(8)?)),
            6 => Event::TimerFired(f.uint(8)?),
            7 => {
                let engine = f.engine()?;
                let outcome = outcome(f.u16()?)?;
                f.uint(4)?;
                report = f.report()?;
                Event::ProbeEnded(engine, outcome, &report)
            }
            8 => {
                let from = u32::from(f.u16()?);
                let n = f.uint(2)? as usize;
                Event::GossipReceived(from, f.bytes(n)?)
            }
            10 => {
                let query = QueryId(f.uint(8)?);
                f.engine()?;
                let attempt = f.u8()?;
                let sort = f.u8()?;
                let amount = f.f32()?;
                let note = match sort {
                    1 if amount.is_finite() => ProgressReport::Progress(amount.clamp(0.0, 1.0)),
                    2 if amount.is_finite() => ProgressReport::Spills(amount.max(0.0)),
                    3 if amount == 1.0 => ProgressReport::WaitsForMemory,
                    3 if amount == 2.0 => ProgressReport::WaitsForLoad,
                    _ => return Ok(()),
                };
                Event::ProgressReported(query, attempt, note)
            }
            _ => return Ok(()),
        };
        self.tell(now, inst, event, reply, count)
    }

    fn tell(
        &mut self,
        now: u64,
        inst: u16,
        event: Event,
        reply: &mut Vec<u8>,
        count: &mut u32,
    ) -> Result<(), String> {
        let Some(controller) = self.instances.get_mut(&inst) else {
            return Ok(());
        };
        self.actions.clear();
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| controller.handle(now, event, actions)));
        match handled {
            Ok(()) => {
                for action in &self.actions {
                    write_action(reply, count, inst, action);
                }
            }
            Err(panic) => {
                let text = panic
                    .downcast_ref::<String>()
                    .cloned()
                    .or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_string()))
                    .unwrap_or_else(|| "panic in the decision code".into());
                self.instances.remove(&inst);
                bail(reply, count, inst, &text);
            }
        }
        Ok(())
    }
}

fn record(reply: &mut Vec<u8>, count: &mut u32, code: u8, inst: u16, parts: &[&[u8]]) {
    let size = 2 + parts.iter().map(|p| p.len()).sum::<usize>();
    reply.push(code);
    reply.extend((size as u32).to_be_bytes());
    reply.extend(inst.to_be_bytes());
    for part in parts {
        reply.extend(*part);
    }
    *count += 1;
}

fn bail(reply: &mut Vec<u8>, count: &mut u32, inst: u16, text: &str) {
    let (n, text) = short_text(text.as_bytes(), 1000);
    record(reply, count, 73, inst, &[&n, text]);
}

fn short_text(text: &[u8], most: usize) -> ([u8; 2], &[u8]) {
    let text = &text[..text.len().min(most)];
    ((text.len() as u16).to_be_bytes(), text)
}

fn write_action(reply: &mut Vec<u8>, count: &mut u32, inst: u16, action: &Action) {
    let id = |q: &QueryId| q.0.to_be_bytes();
    let span = |t: &u64| u32::try_from(*t).unwrap_or(u32::MAX).to_be_bytes();
    let engine = |e: &EngineId| e.0.to_be_bytes();
    match action {
        Action::SetResources(q, mb, priority) => {
            let mb = (*mb as f32).to_bits().to_be_bytes();
            record(reply, count, 76, inst, &[&id(q), &mb, &[*priority]]);
        }
        Action::StartAttempt(q, e, patience) => {
            record(
                reply,
                count,
                64,
                inst,
                &[&id(q), &span(patience), &engine(e)[2..]],
            );
        }
        Action::CancelAttempt(q, attempt) => record(reply, count, 67, inst, &[&id(q), &[*attempt]]),
        Action::Reject(q, after) => record(reply, count, 65, inst, &[&id(q), &span(after)]),
        Action::Fail(q) => record(reply, count, 66, inst, &[&id(q)]),
        Action::SetTimer(after, token) => {
            record(
                reply,
                count,
                68,
                inst,
                &[&span(after), &token.to_be_bytes()],
            );
        }
        Action::Probe(e) => record(reply, count, 69, inst, &[&engine(e)[2..]]),
        Action::SendGossip(peer, bytes) => {
            let (n, bytes) = short_text(bytes, 256);
            record(reply, count, 71, inst, &[&peer.to_be_bytes(), &n, bytes]);
        }
        Action::WatchEngines => record(reply, count, 74, inst, &[&[1]]),
        Action::Log(text) => {
            let (n, text) = short_text(text.as_bytes(), 1000);
            record(reply, count, 72, inst, &[&n, text]);
        }
    }
}
