//! Parsing of the header fields and the statement of a platform request.

use crate::frontends::QueryClasses;
use driftfront_clickhouse::sql::table_group;
use driftfront_core::{Micros, ParsedRequest};
use driftfront_http::{header, Request};
use std::rc::Rc;

/// Maximum accepted client timeout, as a multiple of the class's deadline. Typical timeouts are far below it.
const MAX_TIMEOUT_IN_DEADLINES: f64 = 2.0;
/// Maximum value of an estimate; larger ones are implausible and would distort scheduling.
const MAX_NUMBER: f64 = 1e9;
/// A request with an ordering key may arrive this late: clients send requests that share a key one after another while the timeout
/// is running. The timeout counted here starts only at arrival, so this delay is subtracted from it.
const KEY_DELAY_MS: f64 = 600.0;
/// For short timeouts the delay is at most this fraction (1/n) of the timeout.
const MIN_TIMEOUT_PER_KEY_DELAY: f64 = 10.0;
/// Maximum length of an idempotency key. Typical keys have 32 characters, and the engine protocol limits the length of a line.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
const MICROS_PER_MS: f64 = 1000.0;

/// Fields that may occur only once, since two values would be ambiguous.
const UNIQUE_FIELDS: [&str; 8] = [
    "X-Call-Id",
    "X-Patience-Ms",
    "X-Customer",
    "X-Repeat",
    "X-Dedupe-Key",
    "X-Weight-Ms",
    "X-Need-Mb",
    "X-Entity",
];

/// Why a request is rejected. The messages are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FieldError {
    #[error("a field stands twice")]
    Duplicate,
    #[error("X-Call-Id is missing")]
    NoCallId,
    #[error("X-Call-Id is no id")]
    BadCallId,
    #[error("X-Repeat is not 1")]
    BadRepeat,
    #[error("a header's number can't be read")]
    BadNumber,
    #[error("X-Patience-Ms is missing")]
    NoTimeout,
    #[error("X-Patience-Ms is out of range")]
    TimeoutOutOfRange,
    #[error("the statement is not text")]
    StatementNotUtf8,
    #[error("the statement is empty or no text")]
    StatementNotText,
    #[error("X-Entity is no key")]
    BadOrderingKey,
    #[error("X-Dedupe-Key is no key")]
    BadIdempotencyKey,
}

/// Whether a text consists of 16 hex digits, like ids and ordering keys.
pub(super) fn is_hex16(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

/// Parses a POST request with a statement of a class.
#[allow(
    clippy::cast_possible_truncation,
    reason = "a timeout is at most the class's deadline, and not negative"
)]
pub(super) fn parse_statement(
    request: &Request,
    class: u16,
    classes: &QueryClasses,
    tenants: &[String],
) -> Result<ParsedRequest, FieldError> {
    let fields = Fields(request);
    fields.check_unique()?;
    let id = fields.call_id()?;
    if fields.get("X-Repeat").is_some_and(|r| r != "1") {
        return Err(FieldError::BadRepeat);
    }
    let deadline = classes.timeout(class).unwrap_or(Micros::MAX);
    let timeout_ms = fields.timeout_ms(deadline)?;
    let statement = fields.statement()?;
    let ordering_key = fields.ordering_key()?;
    let idempotency_key = fields.idempotency_key()?;
    // A tenant that is not configured has no share, and does not use the share of another tenant.
    let tenant = fields
        .get("X-Customer")
        .and_then(|name| tenants.iter().position(|n| n == name));
    let key_delay_ms = match ordering_key {
        Some(_) => KEY_DELAY_MS.min(timeout_ms / MIN_TIMEOUT_PER_KEY_DELAY),
        None => 0.0,
    };
    Ok(ParsedRequest {
        name: id.into(),
        class,
        work: fields
            .number("X-Weight-Ms")?
            .map(|ms| ms * MICROS_PER_MS)
            .filter(|&work| work > 0.0),
        memory_mb: fields.number("X-Need-Mb")?.filter(|&mb| mb > 0.0),
        table_group: table_group(statement),
        ordering_key,
        tenant: tenant.and_then(|index| u32::try_from(index).ok()),
        idempotency_key: idempotency_key.map(Rc::from),
        client_timeout: ((timeout_ms - key_delay_ms) * MICROS_PER_MS) as Micros,
        statement: Rc::from(&*request.body),
        ..ParsedRequest::default()
    })
}

/// The header fields of a request.
struct Fields<'a>(&'a Request);

impl<'a> Fields<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        header(&self.0.headers, name)
    }

    fn check_unique(&self) -> Result<(), FieldError> {
        let count = |name: &&str| {
            let headers = self.0.headers.iter();
            headers.filter(|h| h.0.eq_ignore_ascii_case(name)).count()
        };
        if UNIQUE_FIELDS.iter().any(|name| count(name) > 1) {
            return Err(FieldError::Duplicate);
        }
        Ok(())
    }

    /// The request id is a word of the engine protocol: a space or line break in it would inject commands, and an engine that
    /// can't parse a line closes the connection with all attempts on it.
    fn call_id(&self) -> Result<&'a str, FieldError> {
        let id = self.get("X-Call-Id").ok_or(FieldError::NoCallId)?;
        if is_hex16(id) {
            Ok(id)
        } else {
            Err(FieldError::BadCallId)
        }
    }

    fn number(&self, name: &str) -> Result<Option<f64>, FieldError> {
        match self.get(name).map(str::parse::<f64>) {
            None => Ok(None),
            Some(Ok(n)) if (0.0..=MAX_NUMBER).contains(&n) => Ok(Some(n)),
            Some(_) => Err(FieldError::BadNumber),
        }
    }

    fn timeout_ms(&self, deadline: Micros) -> Result<f64, FieldError> {
        let timeout_ms = self.number("X-Patience-Ms")?.ok_or(FieldError::NoTimeout)?;
        let max_micros = MAX_TIMEOUT_IN_DEADLINES * deadline as f64;
        if timeout_ms <= 0.0 || timeout_ms * MICROS_PER_MS > max_micros {
            return Err(FieldError::TimeoutOutOfRange);
        }
        Ok(timeout_ms)
    }

    /// The statement as text. Invalid text is rejected here, because the error that engines return for it would look like an engine
    /// failure.
    fn statement(&self) -> Result<&'a str, FieldError> {
        let text = std::str::from_utf8(&self.0.body).map_err(|_| FieldError::StatementNotUtf8)?;
        let is_invalid = |c: char| c.is_control() && !c.is_whitespace();
        if text.trim().is_empty() || text.chars().any(is_invalid) {
            return Err(FieldError::StatementNotText);
        }
        Ok(text)
    }

    fn ordering_key(&self) -> Result<Option<u64>, FieldError> {
        let Some(key) = self.get("X-Entity") else {
            return Ok(None);
        };
        if !is_hex16(key) {
            return Err(FieldError::BadOrderingKey);
        }
        let key = u64::from_str_radix(key, 16).map_err(|_| FieldError::BadOrderingKey)?;
        Ok(Some(key))
    }

    /// The idempotency key. It becomes part of a list of fields in the engine protocol, where a comma, space or line break would
    /// inject other fields.
    fn idempotency_key(&self) -> Result<Option<&'a str>, FieldError> {
        let Some(idempotency_key) = self.get("X-Dedupe-Key") else {
            return Ok(None);
        };
        let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-._".contains(&b);
        let is_valid = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&idempotency_key.len())
            && idempotency_key.bytes().all(is_plain);
        if is_valid {
            Ok(Some(idempotency_key))
        } else {
            Err(FieldError::BadIdempotencyKey)
        }
    }
}
