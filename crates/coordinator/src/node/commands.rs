//! Executes the core's commands on client and engine connections. All decisions are made in the core.

use super::Node;
use crate::frontends::{ConnectionAction, ResponseWriter};
use crate::service_window::RequestOutcome;
use driftfront_core::{AttemptKey, Command, EngineId, Micros, ParsedRequest, RequestId};
use driftfront_scheduler::Idempotency;

impl Node {
    /// Executes the core's commands until none is left.
    pub(super) fn execute_commands(&mut self) {
        // The caller further up the stack executes the remaining commands in order.
        if std::mem::replace(&mut self.is_executing, true) {
            return;
        }
        while let Some(command) = self.core.next_command() {
            self.execute_command(self.now, command);
        }
        self.is_executing = false;
    }

    fn execute_command(&mut self, now: Micros, command: Command) {
        match command {
            Command::StartAttempt(key, engine) => {
                self.log_retry(now, key, engine);
                self.queue_attempt(now, key, engine, 0);
            }
            Command::AbandonAttempt(key, engine) => self.abandon_attempt(now, key, engine),
            Command::Probe(engine, tag) => self.queue_probe(now, engine, tag),
            Command::ForgetEngine(engine) => self.forget_engine(now, engine),
            Command::Log(line) => tracing::info!("{line}"),
            Command::Settled(ticket, outcome) => self.frontend.settle_request(now, ticket, outcome),
            Command::ForwardChunk(id, chunk) => self.write_response(now, id, false, |w, out| {
                w.write_chunk(&chunk, out);
                ConnectionAction::KeepOpen
            }),
            Command::Finish(id) => {
                self.write_final_response(now, id, RequestOutcome::Served, |w, out| w.finish(out));
            }
            Command::Reject(id, retry_after, message) => {
                self.write_final_response(now, id, RequestOutcome::Rejected, |w, out| {
                    w.reject(retry_after, message.as_deref(), out);
                    ConnectionAction::KeepOpen
                });
            }
            Command::Fail(id, message) => {
                self.write_final_response(now, id, RequestOutcome::Failed, |w, out| {
                    w.fail(message.as_deref(), out);
                    ConnectionAction::KeepOpen
                });
            }
            Command::Abort(id, message) => {
                self.write_final_response(now, id, RequestOutcome::Failed, |w, out| {
                    w.abort(message.as_deref(), out)
                });
            }
        }
    }

    /// Writes the last part of a request's response, and records how the request ended.
    fn write_final_response(
        &mut self,
        now: Micros,
        id: RequestId,
        outcome: RequestOutcome,
        write: impl FnOnce(&mut dyn ResponseWriter, &mut Vec<u8>) -> ConnectionAction,
    ) {
        self.record_outcome(now, id, outcome);
        self.write_response(now, id, true, write);
    }

    /// Logs each attempt after a request's first. The retry budget bounds the number of these lines.
    fn log_retry(&self, now: Micros, key: AttemptKey, engine: EngineId) {
        let Some(retry) = self.core.retry_context(key) else {
            return;
        };
        let name = |engine| self.registry.name(engine).unwrap_or("gone");
        let class = self.config.classes.names.get(usize::from(retry.class));
        let usage = self.core.retry_budget_usage(now).unwrap_or_default();
        tracing::info!(
            call = retry.name,
            class = class.map_or("unknown", String::as_str),
            attempt = key.number,
            engine = name(engine),
            failed_on = name(retry.failed_on),
            after = %retry.error,
            used = usage.used,
            allowed = %format_args!("{:.1}", usage.allowed),
            "retry"
        );
    }

    /// Records how a request ended, for operators.
    pub(super) fn record_outcome(&mut self, now: Micros, id: RequestId, outcome: RequestOutcome) {
        if self.control.is_none() {
            return;
        }
        if let Some(requester) = self.clients.requester(id) {
            self.record_class_service(now, requester.class, requester.accepted_at, outcome);
        }
    }

    /// Whether requests of a class may run more than once.
    fn class_idempotency(&self, class: u16) -> Option<Idempotency> {
        let class = self.config.settings.classes.get(usize::from(class));
        class.map(|c| c.idempotency)
    }

    /// Whether a request may run more than once.
    pub(super) fn idempotency(&self, request: &ParsedRequest) -> Option<Idempotency> {
        let class = self.class_idempotency(request.class)?;
        Some(request.idempotency(class))
    }

    /// Whether requests of a class must not run more than once.
    pub(super) fn is_non_idempotent(&self, class: u16) -> bool {
        self.class_idempotency(class) == Some(Idempotency::NotIdempotent)
    }
}
