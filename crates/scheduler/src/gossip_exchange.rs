//! Gossip exchange: builds messages for peers from the state, and applies received ones to it.

use crate::actions::{Action, Actions};
use crate::gossip::{self, EngineEntry, GossipSchedule};
use crate::random::Random;
use crate::slowdown::{MAX_SLOWDOWN, MIN_SLOWDOWN};
use crate::state::SchedulerState;
use crate::types::Micros;
use std::cmp::Reverse;

/// Sends this coordinator's demand and the most recent engine reports to peers, which pass the
/// reports on.
pub(crate) fn send_round(
    state: &SchedulerState,
    schedule: &mut GossipSchedule,
    random: &mut Random,
    now: Micros,
    actions: &mut Actions,
) {
    let settings = &state.settings;
    let peers = (0..settings.coordinators).filter(|&n| n != settings.number);
    let mut peers: Vec<u32> = peers.collect();
    let count = schedule.begin_round(now, peers.len(), state.uses_subset);
    let mut engines: Vec<_> = state.engines.iter().collect();
    engines.sort_by_key(|(_, engine)| Reverse(engine.report.map_or(0, |r| r.at)));
    let fields = &settings.report_fields;
    let newest = engines.iter().take(gossip::max_engines(fields));
    let entries = newest.map(|(&id, engine)| EngineEntry {
        engine: id,
        threads: engine.threads,
        slowdown: engine.slowdown.ratio(),
        report: engine.report,
    });
    let message = gossip::encode(now, state.cluster.demand, fields, entries);
    random.shuffle_front(&mut peers, count);
    let recipients = peers.into_iter().take(count);
    actions.extend(recipients.map(|peer| Action::SendGossip {
        peer,
        message: message.clone(),
    }));
}

/// Applies a peer's message. If this coordinator has few answers of its own, a newer report
/// replaces its own.
pub(crate) fn receive(state: &mut SchedulerState, now: Micros, from: u32, bytes: &[u8]) {
    let fields = &state.settings.report_fields;
    let Some(message) = gossip::decode(now, fields, bytes) else {
        return;
    };
    state.peers.record(now, from, &message);
    if !state.uses_subset {
        return;
    }
    for entry in message.engines {
        let engine = state.engines.get_mut(&entry.engine);
        let (Some(report), Some(engine)) = (entry.report, engine) else {
            continue;
        };
        if engine.report.is_none_or(|own| own.at < report.at)
            && engine.started_at.is_none_or(|start| start < report.at)
        {
            engine.report = Some(report);
            let ratio = entry.slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
            engine.slowdown.record(ratio, report.at);
        }
    }
}
