//! The operator's file, in KDL, translated to the settings that the platform writes as JSON.
//!
//! Three steps: `Document::parse` (syntax, known nodes), `Document::validate` (types, ranges, names that must exist) and
//! `Site::into_platform_json` (defaults and derived settings, which cannot fail). `crate::config` reads the JSON, so that
//! both kinds of file go through the same checks. Only the first mistake of a file is reported, with its line and column
//! and what to write instead.

mod class;
mod cluster;
mod document;
mod engines;
mod error;
mod node_reader;
mod platform_json;
mod site;

pub use error::{Mistake, OperatorConfigError, Position};

use document::Document;
use tinyjson::JsonValue;

/// The file that `driftfront init` writes.
pub const EXAMPLE: &str = include_str!("../../../../deploy/appliance.kdl");

/// Translates an operator's file to the platform's JSON.
///
/// # Errors
///
/// The first mistake in the file, with its position.
pub fn read(text: &str) -> Result<JsonValue, OperatorConfigError> {
    let document = Document::parse(text)?;
    let site = document.validate()?;
    Ok(site.into_platform_json())
}
