//! The platform's client protocol: statements are sent by POST, results are returned as JSON.
//!
//! | module | purpose |
//! | --- | --- |
//! | `fields` | parsing of header fields and statements |
//! | `response` | results and errors as JSON |

mod fields;
mod response;

use super::{Frontend, FrontendAction, QueryClasses};
use driftfront_core::Micros;
use driftfront_http::{header, response as http_response, Request, RequestLimits, MAX_HEAD_BYTES};
use fields::is_hex16;
use response::{json_error, JsonWriter, OVERLOADED};
use std::rc::Rc;

/// Maximum size of a statement. With the maximum number of connections, all statements must fit the memory of the smallest machine.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The frontend for platform clients.
pub struct Platform {
    /// The query classes.
    pub classes: QueryClasses,
    /// The tenants' names, by index in the settings.
    pub tenants: Rc<[String]>,
}

impl Frontend for Platform {
    fn request_limits(&self) -> RequestLimits {
        RequestLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            streams_larger_bodies: false,
        }
    }

    fn is_sequential(&self) -> bool {
        true
    }

    fn overload_response(&self) -> Vec<u8> {
        http_response(429, &[], OVERLOADED, true)
    }

    fn parse_request(
        &mut self,
        request: Request,
        _now: Micros,
        _reserved_bytes: usize,
    ) -> FrontendAction {
        let path = request.target.split('?').next().unwrap_or_default();
        match path.strip_prefix("/ops/") {
            Some(class) => match self.classes.index(class) {
                Some(class) => self.parse_query(&request, class),
                None => reject(404, "no such class"),
            },
            None => match (request.method.as_str(), path) {
                ("GET", "/alive") => FrontendAction::ReportReadiness {
                    ready: http_response(200, &[], b"", false),
                    not_ready: http_response(503, &[], b"", false),
                },
                ("GET", "/counters") => FrontendAction::ReportCounters,
                _ => reject(404, "no such path"),
            },
        }
    }
}

impl Platform {
    /// Parses a statement, or the cancellation of one.
    fn parse_query(&self, request: &Request, class: u16) -> FrontendAction {
        let call = header(&request.headers, "X-Call-Id").filter(|id| is_hex16(id));
        if let ("DELETE", Some(call)) = (request.method.as_str(), call) {
            return FrontendAction::CancelRequest {
                request_id: call.into(),
                reply: http_response(200, &[], b"", false),
            };
        }
        if request.method != "POST" {
            return reject(405, "statements are posted");
        }
        match fields::parse_statement(request, class, &self.classes, &self.tenants) {
            Ok(request) => FrontendAction::Accept(request, Box::new(JsonWriter::default())),
            Err(error) => reject(400, &error.to_string()),
        }
    }
}

fn reject(status: u16, message: &str) -> FrontendAction {
    tracing::debug!(status, "request rejected: {message}");
    FrontendAction::RejectBadRequest(json_error(status, message))
}
