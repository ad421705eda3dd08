//! Requests that must not run twice although their class is idempotent.

use driftfront_core::{Command, ListKind, ParsedRequest, Phase, Progress};
use driftfront_test_support::request_core::{core, listed, settings, LIMITS, LOOKUP, S};
use std::rc::Rc;

const NOW: u64 = 1000 * S;

// Guards against a rejection at exit, which invites the client to repeat a write that may have run.
#[test]
fn request_that_runs_once_fails_at_exit_if_it_may_have_run() {
    for (runs_once, is_written, is_rejected) in [
        (true, true, false),
        (true, false, true),
        (false, true, true),
    ] {
        let mut core = core(settings(str::to_string), LIMITS);
        core.update_engines(NOW, ListKind::Full, &[listed(1, Phase::Ready)]);
        let parsed = ParsedRequest {
            name: "a".into(),
            class: LOOKUP,
            runs_once,
            client_timeout: 20 * S,
            statement: Rc::from(*b"x"),
            ..ParsedRequest::default()
        };
        core.accept_request(NOW, parsed);
        let Some(Command::StartAttempt(key, _)) = core.next_command() else {
            panic!("no attempt");
        };
        if is_written {
            assert!(core.may_write_attempt(NOW, key).is_some());
            core.record_progress(key, Progress::FullyWritten);
        }
        core.answer_all_requests(NOW);
        let answers: Vec<Command> = std::iter::from_fn(|| core.next_command()).collect();
        let has_rejection = answers.iter().any(|c| matches!(c, Command::Reject(..)));
        let has_failure = answers.iter().any(|c| matches!(c, Command::Fail(..)));
        let expected = (is_rejected, !is_rejected);
        assert_eq!(
            (has_rejection, has_failure),
            expected,
            "{runs_once} {is_written}"
        );
    }
}
