//! Translates the operator's file, in KDL, to the JSON that the platform writes.
//!
//! Translation has three steps: `Document::parse` checks the syntax and the top-level nodes, `Document::validate` checks types,
//! ranges and references, and `ValidConfig::into_platform_json`, which cannot fail, applies defaults and derives settings.
//! `crate::config` reads the JSON, so that both kinds of file go through the same checks. Only the first error in a file is
//! reported, with its line, its column and a suggested correction.

mod class;
mod cluster;
mod document;
mod engines;
mod error;
mod node_reader;
mod platform_json;
mod valid_config;

pub use error::{ErrorKind, OperatorConfigError, Position};

use document::Document;
use tinyjson::JsonValue;

/// The example file that `driftfront init` writes.
pub const EXAMPLE: &str = include_str!("../../../../deploy/appliance.kdl");

/// Translates an operator's file to the platform's JSON.
///
/// # Errors
///
/// Returns the first error in the file, with its position.
pub fn read(text: &str) -> Result<JsonValue, OperatorConfigError> {
    let document = Document::parse(text)?;
    let config = document.validate()?;
    Ok(config.into_platform_json())
}
