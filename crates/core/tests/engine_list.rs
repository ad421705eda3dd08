//! The list of engines, and requests that are bound to an engine that no longer accepts queries.

use driftfront_core::{Command, EngineId, ListKind, ParsedRequest, Phase, StickySession};
use driftfront_test_support::request_core::{core, listed, settings, LIMITS, LOAD, S};
use std::rc::Rc;

const NOW: u64 = 1000 * S;

// Guards against an attempt that is planned on an engine by the list before the one that is being applied.
#[test]
fn attempt_is_not_planned_on_an_engine_that_the_list_drains() {
    let mut core = core(settings(str::to_string), LIMITS);
    let bound_to = |engine, is_exclusive, name: &str| ParsedRequest {
        ordering_key: Some(1),
        sticky_session: Some(StickySession {
            engine: EngineId(engine),
            is_exclusive,
        }),
        name: name.into(),
        class: LOAD,
        client_timeout: 20 * S,
        statement: Rc::from(*b"x"),
        ..ParsedRequest::default()
    };
    let first = [listed(1, Phase::Draining), listed(2, Phase::Ready)];
    core.update_engines(NOW, ListKind::Full, &first);
    core.accept_request(NOW, bound_to(1, true, "stranded"));
    core.accept_request(NOW, bound_to(2, false, "next of its key"));
    while core.next_command().is_some() {}
    let second = [listed(1, Phase::Draining), listed(2, Phase::Draining)];
    core.update_engines(NOW, ListKind::Full, &second);
    let commands: Vec<Command> = std::iter::from_fn(|| core.next_command()).collect();
    let is_planned = |c: &Command| matches!(c, Command::StartAttempt(..));
    assert!(!commands.iter().any(is_planned), "{commands:?}");
}
