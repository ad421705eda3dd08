//! Alarms: conditions that need the attention of an operator.

use super::engine_state::{is_silent, running_sentence};
use super::units::{capitalized, counted, format_millis, format_seconds};
use driftfront_control::snapshot::{Class, Consensus, Engine, Member, Snapshot};

/// Age of the last message from the source of the engine list, in seconds, beyond which an alarm is raised.
const MAX_SOURCE_AGE_S: u64 = 10;
/// Minimum number of requests per minute for a meaningful in-time share of a class.
const MIN_SAMPLE_REQUESTS: u64 = 10;
/// In-time share below which an alarm is raised.
const MIN_IN_TIME_SHARE: f64 = 0.8;
/// Maximum number of coordinators named in one alarm.
const MAX_NAMED_MEMBERS: usize = 5;

/// All alarms, most severe first, each of one or two sentences.
pub fn alarms(s: &Snapshot) -> Vec<String> {
    let mut alarms: Vec<String> = Vec::new();
    alarms.extend(shutdown_alarm(s));
    alarms.extend(pause_alarm(s));
    alarms.extend(no_engine_alarm(s));
    let silent = s.engines.iter().filter(|engine| is_silent(engine));
    alarms.extend(silent.map(silence_alarm));
    alarms.extend(s.engines.iter().filter_map(drain_alarm));
    alarms.extend(rolling_restart_alarm(s));
    alarms.extend(s.classes.iter().filter_map(service_alarm));
    alarms.extend(source_alarm(s));
    alarms.extend(members_alarm(s));
    alarms.extend(s.agreed.as_ref().and_then(consensus_alarm));
    alarms
}

fn shutdown_alarm(s: &Snapshot) -> Option<String> {
    let left = counted(s.open, "request is", "requests are");
    s.stopping
        .then(|| format!("The program is shutting down: {left} left to answer."))
}

fn pause_alarm(s: &Snapshot) -> Option<String> {
    let clients = s.connections.first().copied().unwrap_or(0);
    match s.state.as_str() {
        "draining" => Some(format!(
            "Paused by an operator: clients are sent away, {} left.",
            counted(clients, "connection is", "connections are")
        )),
        "drained" => Some(
            "Paused by an operator: no client is left. driftfront unpause ends it.".to_string(),
        ),
        "handing over" => {
            Some("A new version serves at this address: this one answers the rest.".to_string())
        }
        _ => None,
    }
}

fn no_engine_alarm(s: &Snapshot) -> Option<String> {
    let is_any_ready = s.engines.iter().any(|engine| engine.phase == "ready");
    (!is_any_ready).then(|| "No engine takes work: every request is refused.".into())
}

fn silence_alarm(engine: &Engine) -> String {
    let silent_for = format_seconds(engine.heard_ms.unwrap_or(0) / 1000);
    let running = running_sentence(engine);
    format!(
        "{} has said nothing for {silent_for}.{running}",
        engine.name
    )
}

fn drain_alarm(engine: &Engine) -> Option<String> {
    if engine.phase != "draining" || is_silent(engine) || engine.running == 0 {
        return None;
    }
    let by = match engine.order.as_str() {
        "" => "its source",
        _ => &engine.order_by,
    };
    let running = running_sentence(engine);
    Some(format!("{} drains, by {by}.{running}", engine.name))
}

fn rolling_restart_alarm(s: &Snapshot) -> Option<String> {
    let roll = s.roll.as_ref().filter(|roll| !roll.why.is_empty())?;
    Some(format!("Roll: {}.", roll.why.trim_end_matches('.')))
}

fn service_alarm(class: &Class) -> Option<String> {
    let share = class.minute.in_time_share();
    if class.minute.asked < MIN_SAMPLE_REQUESTS || share >= MIN_IN_TIME_SHARE {
        return None;
    }
    let wanted = format_millis(class.wanted_ms as f64);
    Some(format!(
        "{}: only {:.0} in 100 were answered within {wanted} in the last minute.",
        class.name,
        share * 100.0
    ))
}

fn source_alarm(s: &Snapshot) -> Option<String> {
    let age = s.source_age_s.filter(|&age| age > MAX_SOURCE_AGE_S)?;
    Some(format!(
        "The list of engines is {} old: {} says nothing.",
        format_seconds(age),
        s.source
    ))
}

fn members_alarm(s: &Snapshot) -> Option<String> {
    let others: Vec<&Member> = s.members.iter().filter(|member| !member.me).collect();
    let gone = others.iter().filter(|member| member.standing == "gone");
    let gone: Vec<&str> = gone.map(|member| member.name.as_str()).collect();
    if gone.is_empty() {
        return None;
    }
    if gone.len() == others.len() {
        let ended = match gone.len() {
            1 => "the other has",
            _ => "all others have",
        };
        return Some(format!(
            "No other coordinator is heard: this one is cut off, or {ended} ended. It serves by itself."
        ));
    }
    let are_gone = counted(gone.len() as u64, "coordinator is", "coordinators are");
    let named: Vec<&str> = gone.iter().take(MAX_NAMED_MEMBERS).copied().collect();
    Some(format!(
        "{} gone: {}.",
        capitalized(&are_gone),
        named.join(", ")
    ))
}

fn consensus_alarm(a: &Consensus) -> Option<String> {
    if a.part == "unfit" {
        return Some(
            "This coordinator's log can't go on: it met what only a later build knows, or broke. The others decide."
                .into(),
        );
    }
    if !a.missing.is_empty() {
        let missing = a.missing.join(", ");
        return Some(format!("Nothing is agreed yet: waiting for {missing}."));
    }
    if a.voters.is_empty() || !a.leader.is_empty() {
        return None;
    }
    let gone = a.voters.iter().filter(|voter| !voter.there);
    let gone: Vec<&str> = gone.map(|voter| voter.name.as_str()).collect();
    let gone = match gone.as_slice() {
        [] => String::new(),
        gone => format!(" ({} gone)", gone.join(", ")),
    };
    Some(format!(
        "No majority of those who decide is heard{gone}: nothing new is agreed; what is held ends by itself."
    ))
}
