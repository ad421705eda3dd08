//! The greeting, the first line of a connection.

use crate::json::{ObjectReader, ObjectWriter};
use crate::VERSION;

/// The program's greeting, with a challenge if the client must authenticate.
pub fn greeting(version: &str, challenge: Option<&str>) -> String {
    let object = ObjectWriter::new()
        .with("driftfront", &version.to_string())
        .with("v", &VERSION);
    match challenge {
        Some(challenge) => object.with("challenge", &challenge.to_string()).into_line(),
        None => object.into_line(),
    }
}

/// The challenge in a greeting, if there is one; `None` if the line is not a greeting.
pub fn challenge_in(greeting: &str) -> Option<Option<String>> {
    let object = ObjectReader::parse(greeting)?;
    Some(object.get("challenge"))
}
