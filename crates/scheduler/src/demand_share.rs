//! This coordinator's share of the cluster's demand, and the cluster's load, updated with each
//! tick.
//!
//! Input: own demand, peers' gossip, and load reports. Output: the values of [`ClusterLoad`].
//!
//! [`ClusterLoad`]: crate::cluster_load::ClusterLoad

use crate::capacity::{is_under_pressure, remaining_work};
use crate::engines::Engine;
use crate::slow_start::warm_capacity_share;
use crate::slowdown::{decayed, PRESSURE_SLOWDOWN};
use crate::state::SchedulerState;
use crate::types::Micros;

/// Weight of one tick in the smoothed share: a time constant of about two seconds.
const SHARE_WEIGHT: f64 = 0.03;
/// If the other coordinators on average have less than this fraction of this coordinator's queries,
/// they are down rather than idle.
const MIN_PEER_ACTIVITY_SHARE: f64 = 0.12;
/// The cluster is overloaded if more than one in this many reporting engines is under pressure.
const OVERLOAD_ONE_IN: usize = 2;
/// The same if engines that page cannot recover soon.
const PERMANENT_OVERLOAD_ONE_IN: usize = 5;
/// Minimum for the number of reporting engines in this ratio.
const MIN_REPORTING_ENGINES: usize = 4;

/// Updates the cluster's load and this coordinator's share.
pub(crate) fn update_cluster_load(state: &mut SchedulerState, now: Micros) {
    state.cluster.share = demand_share(state, now);
    if !state.uses_subset {
        for (&id, engine) in &mut state.engines {
            engine.peer_threads = state.peers.threads_on(now, id);
        }
    }
    let remaining = state
        .engines
        .values()
        .map(|e| remaining_work(state, now, e));
    state.cluster.remaining_work = remaining.sum();
    let warm_cores = state
        .ready_engines()
        .map(|e| state.cores(e) * warm_capacity_share(state, now, e));
    state.cluster.cores = warm_cores.sum();
    state.cluster.slowdown = decayed(state.cluster.slowdown, 1.0);
    state.cluster.is_overloaded = is_overloaded(state, now);
}

fn is_overloaded(state: &SchedulerState, now: Micros) -> bool {
    if !state.has_load_reports || state.cluster.slowdown > PRESSURE_SLOWDOWN {
        return true;
    }
    let (mut reporting, mut under_pressure) = (0, 0);
    for engine in state.ready_engines() {
        if engine.fresh_report(now).is_some() {
            reporting += 1;
            under_pressure += usize::from(is_under_pressure(state, now, engine));
        }
    }
    let one_in = if state.is_paging_permanent {
        PERMANENT_OVERLOAD_ONE_IN
    } else {
        OVERLOAD_ONE_IN
    };
    one_in * under_pressure > reporting.max(MIN_REPORTING_ENGINES)
}

/// This coordinator's share of the cluster's demand, with the peers that sent gossip recently as a
/// sample.
fn demand_share(state: &SchedulerState, now: Micros) -> f64 {
    let coordinators = f64::from(state.settings.coordinators.max(1));
    let own = state.cluster.demand;
    if state.peers.is_empty() || own <= 0.0 {
        let share = reported_share(state, now).unwrap_or(1.0 / coordinators);
        return state.cluster.share + SHARE_WEIGHT * (share - state.cluster.share);
    }
    let others = coordinators - 1.0;
    let peers = state.peers.recent_demand(now);
    if state.uses_subset {
        // The peers that sent gossip recently are a sample, and few queries are weak evidence of
        // this coordinator's own share, so the mean share counts for half of the result.
        let mean = peers.demand / (peers.count + 1e-9);
        return (0.5 * own / (own + mean * others)) + 0.5 / coordinators;
    }
    let silent = (others - state.peers.len() as f64).max(0.0);
    (own / (own + peers.demand + silent * own)).max(0.5 / coordinators)
}

/// This coordinator's share of the queries that engines report, if it shows that other coordinators
/// are down.
fn reported_share(state: &SchedulerState, now: Micros) -> Option<f64> {
    let active = |e: &Engine| e.fresh_report(now)?.active;
    let (mut own, mut all) = (0.0, 0.0);
    for engine in state.ready_engines() {
        if let Some(active) = active(engine) {
            let own_here = engine.in_flight.len() as f64;
            own += own_here;
            all += own_here.max(active);
        }
    }
    let others = f64::from(state.settings.coordinators) - 1.0;
    let are_down = all - own < MIN_PEER_ACTIVITY_SHARE * own * others;
    (!state.uses_subset && are_down).then_some(own / all)
}
