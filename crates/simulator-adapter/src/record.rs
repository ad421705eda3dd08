//! Decodes the records of a batch.

use crate::fields::{positive, Fields};
use crate::WireError;
use driftfront_scheduler::{
    AttemptEnded, EngineId, Event, ListKind, ListedEngine, Outcome, Phase, ProgressReport, Query,
    QueryId,
};

/// Record codes.
mod code {
    pub(super) const START: u8 = 0;
    pub(super) const TOPOLOGY: u8 = 1;
    pub(super) const QUERY_ARRIVED: u8 = 2;
    pub(super) const STREAM_STARTED: u8 = 3;
    pub(super) const ATTEMPT_ENDED: u8 = 4;
    pub(super) const CLIENT_LEFT: u8 = 5;
    pub(super) const TIMER_FIRED: u8 = 6;
    pub(super) const PROBE_ENDED: u8 = 7;
    pub(super) const GOSSIP_RECEIVED: u8 = 8;
    pub(super) const STOP: u8 = 9;
    pub(super) const PROGRESS_REPORTED: u8 = 10;
    pub(super) const CATALOG: u8 = 11;
}

/// Topology scope that reports a failure of discovery.
const SCOPE_FAILED: u8 = 3;
/// Flag of a query that carries an estimate of its work.
const WORK_IS_KNOWN: u8 = 1;
/// Unit of memory usage, in MB.
const MEMORY_STEP_MB: f64 = 4.0;
/// Unit of work, in microseconds.
const WORK_STEP_MICROS: f64 = 1_000.0;
/// Maximum capacity reserved for a list of engines from its declared length, before any entry has been decoded.
const MAX_RESERVED_ENGINES: usize = 1 << 16;

/// A decoded record.
pub(crate) enum Record<'a> {
    /// A list of engines, with the catalog number by which topology records refer to it.
    Catalog(u32, Vec<ListedEngine>),
    /// A record for one instance.
    ForInstance(u16, InstanceRecord<'a>),
    /// A record with an unknown code.
    Unknown,
}

/// A record for one instance.
pub(crate) enum InstanceRecord<'a> {
    /// Start the instance with a seed and its settings.
    Start(u64, &'a [u8]),
    /// Stop the instance.
    Stop,
    /// Apply the list of engines with this catalog number.
    Topology(ListKind, u32),
    /// An attempt has ended. The event's own report is empty; the second field holds the load report.
    AttemptEnded(AttemptEnded<'static>, Vec<f64>),
    /// A probe has ended, with its load report.
    ProbeEnded(EngineId, Outcome, Vec<f64>),
    /// Any other event.
    Event(Event<'a>),
    /// A record without a meaning here, such as a progress report of an unknown kind.
    Ignored,
}

/// Decodes a record.
pub(crate) fn decode(code: u8, mut fields: Fields) -> Result<Record, WireError> {
    if code == code::CATALOG {
        let number = fields.u32()?;
        return Ok(Record::Catalog(number, decode_engines(&mut fields)?));
    }
    if code > code::CATALOG {
        return Ok(Record::Unknown);
    }
    let instance = fields.u16()?;
    let record = decode_for_instance(code, &mut fields)?;
    Ok(Record::ForInstance(instance, record))
}

fn decode_for_instance<'a>(
    code: u8,
    fields: &mut Fields<'a>,
) -> Result<InstanceRecord<'a>, WireError> {
    let event = match code {
        code::START => {
            let seed = fields.u64()?;
            let length = fields.u32()?;
            let settings = fields.bytes(length as usize)?;
            return Ok(InstanceRecord::Start(seed, settings));
        }
        code::STOP => return Ok(InstanceRecord::Stop),
        code::TOPOLOGY => return decode_topology(fields),
        code::ATTEMPT_ENDED => return decode_attempt_ended(fields),
        code::PROBE_ENDED => return decode_probe_ended(fields),
        code::PROGRESS_REPORTED => return decode_progress(fields),
        code::QUERY_ARRIVED => Event::QueryArrived(decode_query(fields)?),
        code::STREAM_STARTED => Event::StreamStarted {
            query: QueryId(fields.u64()?),
            attempt: fields.u8()?,
        },
        code::CLIENT_LEFT => Event::ClientLeft(QueryId(fields.u64()?)),
        code::TIMER_FIRED => Event::TimerFired(fields.u64()?),
        code::GOSSIP_RECEIVED => {
            let sender = u32::from(fields.u16()?);
            let length = usize::from(fields.u16()?);
            Event::GossipReceived {
                from: sender,
                message: fields.bytes(length)?,
            }
        }
        _ => return Ok(InstanceRecord::Ignored),
    };
    Ok(InstanceRecord::Event(event))
}

fn decode_engines(fields: &mut Fields) -> Result<Vec<ListedEngine>, WireError> {
    let count = fields.u32()? as usize;
    let mut engines = Vec::with_capacity(count.min(MAX_RESERVED_ENGINES));
    for _ in 0..count {
        engines.push(decode_engine(fields)?);
    }
    Ok(engines)
}

fn decode_engine(fields: &mut Fields) -> Result<ListedEngine, WireError> {
    let engine = fields.engine()?;
    let (zone, kind, cell) = (fields.u16()?, fields.u16()?, fields.u16()?);
    let phase = match fields.u8()? {
        0 => Phase::Ready,
        1 => Phase::Draining,
        2 => Phase::Gone,
        other => return Err(WireError::UnknownPhase(other)),
    };
    let _weight = fields.f32()?;
    let started_at = Some(fields.u64()?).filter(|&at| at > 0);
    Ok(ListedEngine {
        engine,
        zone,
        kind,
        cell,
        phase,
        started_at,
    })
}

fn decode_topology<'a>(fields: &mut Fields<'a>) -> Result<InstanceRecord<'a>, WireError> {
    let catalog = fields.u32()?;
    let _version = fields.u64()?;
    let kind = match fields.u8()? {
        0 => ListKind::Changes,
        1 => ListKind::Full,
        2 => ListKind::Cached,
        SCOPE_FAILED => return Ok(InstanceRecord::Event(Event::DiscoveryFailed)),
        other => return Err(WireError::UnknownScope(other)),
    };
    Ok(InstanceRecord::Topology(kind, catalog))
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "table groups are integers; out of range values saturate"
)]
fn decode_query(fields: &mut Fields) -> Result<Query, WireError> {
    let id = QueryId(fields.u64()?);
    let memory_mb = fields.estimate()?;
    let class = fields.u16()?;
    let tenant = fields.u32()?;
    let flags = fields.u8()?;
    let work = positive(f64::from(fields.u32()?));
    let table_group = fields.estimate()?.unwrap_or(0.0) as u32;
    let ordering_key = Some(fields.u64()?).filter(|&key| key != 0);
    let client_timeout = u64::from(fields.u32()?);
    Ok(Query {
        id,
        class,
        tenant,
        work: work.filter(|_| flags & WORK_IS_KNOWN != 0),
        memory_mb,
        table_group,
        ordering_key,
        has_idempotency_key: true,
        idempotent_until: None,
        runs_once: false,
        sticky_session: None,
        client_timeout,
    })
}

fn decode_attempt_ended<'a>(fields: &mut Fields<'a>) -> Result<InstanceRecord<'a>, WireError> {
    let query = QueryId(fields.u64()?);
    let outcome = decode_outcome(fields)?;
    let cost = fields.u32()?;
    let last = fields.u8()? != 0;
    let attempt = fields.u8()?;
    let _engine = fields.engine()?;
    let spent = u64::from(fields.u32()?);
    let report = fields.report()?;
    // The upper 20 bits hold the work, the lower 12 bits the memory.
    let (work_steps, memory_steps) = (cost >> 12, cost & 0xfff);
    let ended = AttemptEnded {
        query,
        attempt,
        outcome,
        query_answered: last,
        elapsed: spent,
        work: positive(f64::from(work_steps) * WORK_STEP_MICROS),
        memory_mb: positive(f64::from(memory_steps) * MEMORY_STEP_MB),
        report: &[],
    };
    Ok(InstanceRecord::AttemptEnded(ended, report))
}

fn decode_probe_ended<'a>(fields: &mut Fields<'a>) -> Result<InstanceRecord<'a>, WireError> {
    let engine = fields.engine()?;
    let outcome = decode_outcome(fields)?;
    let _spent = fields.u32()?;
    let report = fields.report()?;
    Ok(InstanceRecord::ProbeEnded(engine, outcome, report))
}

fn decode_progress<'a>(fields: &mut Fields<'a>) -> Result<InstanceRecord<'a>, WireError> {
    let query = QueryId(fields.u64()?);
    let _engine = fields.engine()?;
    let attempt = fields.u8()?;
    let kind = fields.u8()?;
    let amount = fields.f32()?;
    let report = match kind {
        1 if amount.is_finite() => ProgressReport::Progress(amount.clamp(0.0, 1.0)),
        2 if amount.is_finite() => ProgressReport::Spills(amount.max(0.0)),
        3 if amount == 1.0 => ProgressReport::WaitsForMemory,
        3 if amount == 2.0 => ProgressReport::WaitsForLoad,
        _ => return Ok(InstanceRecord::Ignored),
    };
    let event = Event::ProgressReported {
        query,
        attempt,
        report,
    };
    Ok(InstanceRecord::Event(event))
}

fn decode_outcome(fields: &mut Fields) -> Result<Outcome, WireError> {
    Ok(match fields.u16()? {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Rejected,
        40 => Outcome::TimedOut,
        50 => Outcome::Unreachable,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::Superseded,
        other => return Err(WireError::UnknownOutcome(other)),
    })
}
