//! Converts a query to a request of the core, with its session and ordering key.

use super::codes::{BAD_ARGUMENTS, NOT_IMPLEMENTED, SESSION_NOT_FOUND};
use super::response::StreamWriter;
use super::{replies, ClickHouse, OpenQuery};
use crate::backends::clickhouse::{COMPRESSED_BLOCKS, REQUEST_HEADERS, URL_PARAMETERS};
use crate::frontends::FrontendAction;
use crate::net::fnv1a_64;
use driftfront_clickhouse::exception::Exception;
use driftfront_clickhouse::request::Query;
use driftfront_clickhouse::session::{SessionAffinity, SessionError, SessionKey, SessionQuery};
use driftfront_clickhouse::sql::KillQuery;
use driftfront_core::{EngineId, Micros, ParsedRequest, StickySession};
use driftfront_http::Request;
use std::rc::Rc;

const SESSION_LOST: &str =
    "Session not found: the engine that holds it takes nothing more, and what was set or \
     created in the session is lost with it. Begin a new session and create that anew";
const KILL_BY_ID_ONLY: &str =
    "KILL QUERY is carried out by query_id alone here: WHERE query_id = '...', or \
     query_id IN ('...')";

impl ClickHouse {
    /// Accepts a query; the error is the complete response to a query that is rejected.
    pub(super) fn parse_query(
        &mut self,
        query: &Query,
        request: &Request,
        now: Micros,
        reserved_bytes: usize,
    ) -> Result<FrontendAction, Vec<u8>> {
        let class = self.class(query)?;
        let id = match &query.id {
            Some(id) => id.clone(),
            None => self.generate_id(now),
        };
        let writer = Box::new(StreamWriter::new(query, &id));
        if let Some(kill) = &query.statement.kill {
            return self.parse_kill(query, kill, class, writer);
        }
        let session = self
            .begin_session(now, query)
            .map_err(|e| replies::exception(&e.into(), query.is_head))?;
        let ticket = self.next_number();
        let open = OpenQuery {
            session: session.map(|s| s.key),
            reserved_bytes,
        };
        self.open.insert(ticket, open);
        let parsed = ParsedRequest {
            name: id.into(),
            class,
            client_timeout: self.time_budget(query, class, request.has_more_body),
            is_body_streamed: request.has_more_body,
            statement: Rc::from(&*request.body),
            ticket,
            ..engine_request(query, session.and_then(|s| s.affinity))
        };
        Ok(FrontendAction::Accept(parsed, writer))
    }

    /// Accepts a KILL QUERY whose condition names queries by id.
    fn parse_kill(
        &mut self,
        query: &Query,
        kill: &KillQuery,
        class: u16,
        writer: Box<StreamWriter>,
    ) -> Result<FrontendAction, Vec<u8>> {
        let Some(ids) = kill.ids.clone() else {
            let e = Exception::new(NOT_IMPLEMENTED, KILL_BY_ID_ONLY);
            return Err(replies::exception(&e, query.is_head));
        };
        Ok(self.kill(query, ids, &kill.options, class, writer))
    }

    /// The class that the client names, or the default class of the statement.
    fn class(&self, query: &Query) -> Result<u16, Vec<u8>> {
        let statement = &query.statement;
        match &query.class {
            Some(name) => self.classes.index(name).ok_or_else(|| {
                let e = Exception::new(BAD_ARGUMENTS, &format!("There is no class {name}"));
                replies::exception_with(404, &e, &[], query.is_head)
            }),
            None if statement.is_idempotent => Ok(self.config.read_class),
            None if query.is_deduplicated => Ok(self
                .config
                .deduplicated_class
                .unwrap_or(self.config.write_class)),
            None => Ok(self.config.write_class),
        }
    }

    /// The client's timeout, including the time for a streamed body.
    fn time_budget(&self, query: &Query, class: u16, has_more_body: bool) -> Micros {
        let max = self.timeout(class);
        let budget = query
            .max_execution_time
            .map_or(max, |wanted| wanted.min(max));
        if has_more_body {
            budget + self.config.upload_timeout
        } else {
            budget
        }
    }

    /// Starts the query in its session, if it has one.
    fn begin_session(
        &mut self,
        now: Micros,
        query: &Query,
    ) -> Result<Option<BegunSession>, SessionError> {
        let Some(session) = &query.session else {
            return Ok(None);
        };
        let user = query.credentials.user.as_deref().unwrap_or_default();
        let key = self.sessions.key(user, &session.id);
        let session_query = SessionQuery {
            session: key,
            must_exist: session.must_exist,
            timeout: session.timeout,
            effect: query.statement.session_effect,
        };
        let affinity = self.sessions.begin_query(now, &session_query)?;
        Ok(Some(BegunSession { key, affinity }))
    }
}

/// A session in which a query was started.
#[derive(Clone, Copy)]
struct BegunSession {
    key: SessionKey,
    /// The session's engine, if it is bound to one.
    affinity: Option<SessionAffinity<EngineId>>,
}

/// The part of a core request that depends on the query and its session's affinity.
fn engine_request(query: &Query, affinity: Option<SessionAffinity<EngineId>>) -> ParsedRequest {
    let sticky_session = affinity.map(|affinity| StickySession {
        engine: affinity.engine,
        is_exclusive: affinity.is_exclusive,
    });
    let is_exclusive = affinity.is_some_and(|affinity| affinity.is_exclusive);
    let deduplication_token = query.deduplication_token.as_deref();
    let deduplication_token = deduplication_token.filter(|_| query.is_deduplicated);
    let mut url_parameters = query.forwarded_params.clone();
    if is_exclusive {
        // An engine that restarted unnoticed has lost the session; it must report that instead of running the query without
        // the session's state.
        url_parameters.push_str("&session_check=1");
    }
    ParsedRequest {
        table_group: query.statement.table_group,
        ordering_key: ordering_key(query),
        idempotency_key: deduplication_token.map(Rc::from),
        runs_once: !query.statement.is_idempotent,
        parameters: engine_parameters(query, url_parameters),
        sticky_session,
        session_lost_error: is_exclusive
            .then(|| Exception::new(SESSION_NOT_FOUND, SESSION_LOST).text.into()),
        ..ParsedRequest::default()
    }
}

/// The ordering key: the client's, or the table that is written, so that batches into one table stay in order.
fn ordering_key(query: &Query) -> Option<u64> {
    let key = query
        .ordering_key
        .as_ref()
        .or(query.statement.written_table.as_ref())?;
    Some(fnv1a_64(key.as_bytes()))
}

/// Parameters for the backend, in addition to the statement.
pub(super) fn engine_parameters(query: &Query, url_parameters: String) -> Rc<[(String, String)]> {
    let mut parameters = vec![
        (URL_PARAMETERS.to_string(), url_parameters),
        (
            REQUEST_HEADERS.to_string(),
            query.forwarded_headers.0.clone(),
        ),
    ];
    if query.wants_blocks {
        parameters.push((COMPRESSED_BLOCKS.into(), String::new()));
    }
    parameters.into()
}
