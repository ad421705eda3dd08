//! KILL QUERY, which the coordinator sends to each engine that may run the query.

use super::codes::QUERY_WAS_CANCELLED;
use super::query::engine_parameters;
use super::response::StreamWriter;
use super::ClickHouse;
use crate::frontends::{FrontendAction, KillRequest};
use crate::net::fnv1a_64;
use driftfront_clickhouse::exception::{Exception, NETWORK_ERROR};
use driftfront_clickhouse::keyed_hash::keyed_hash;
use driftfront_clickhouse::request::Query;
use driftfront_core::{EngineId, ParsedRequest, StickySession};
use driftfront_http::response;
use std::rc::Rc;

impl ClickHouse {
    /// Builds the kill request for these query ids; `options` follows the condition.
    pub(super) fn kill(
        &mut self,
        query: &Query,
        query_ids: Vec<String>,
        options: &str,
        class: u16,
        writer: Box<StreamWriter>,
    ) -> FrontendAction {
        self.kill_count += 1;
        let kill_template = KillTemplate {
            seed: keyed_hash(self.seed, &self.kill_count.to_le_bytes()),
            options: options.to_string(),
            request: ParsedRequest {
                class,
                client_timeout: self.timeout(class),
                table_group: query.statement.table_group,
                parameters: engine_parameters(query, query.forwarded_params.clone()),
                ..ParsedRequest::default()
            },
        };
        let head = [("Content-Type", "text/tab-separated-values; charset=UTF-8")];
        FrontendAction::Kill(Box::new(KillRequest {
            query_ids,
            is_test: options.to_ascii_lowercase().starts_with("test"),
            message: Exception::new(QUERY_WAS_CANCELLED, "Query was cancelled by KILL QUERY").text,
            none_running_response: response(200, &head, b"", false),
            request_for: Box::new(move |engine, name| kill_template.request_for(engine, name)),
            writer,
        }))
    }
}

/// What the kill requests to all engines have in common.
struct KillTemplate {
    /// Distinguishes the ids of these kill requests from those of others.
    seed: u64,
    options: String,
    request: ParsedRequest,
}

impl KillTemplate {
    /// Builds the request to one engine for the query with this id there.
    #[allow(
        clippy::cast_possible_truncation,
        reason = "half of a hash is enough to distinguish query ids"
    )]
    fn request_for(&self, engine: EngineId, name: &str) -> ParsedRequest {
        let quoted = name.replace('\\', "\\\\").replace('\'', "\\'");
        let statement = format!("KILL QUERY WHERE query_id = '{quoted}' {}", self.options);
        let id = format!(
            "kill-{:016x}-{}-{:08x}",
            self.seed,
            engine.0,
            fnv1a_64(name.as_bytes()) as u32
        );
        let lost = Exception::new(
            NETWORK_ERROR,
            "The query's engine takes nothing more: it drains",
        );
        ParsedRequest {
            name: id.into(),
            statement: Rc::from(statement.trim_end().as_bytes()),
            sticky_session: Some(StickySession {
                engine,
                is_exclusive: true,
            }),
            session_lost_error: Some(lost.text.into()),
            ..self.request.clone()
        }
    }
}
