//! Names of engines: which are valid, their hash, and which one a mistyped name may mean.

use crate::Refusal;

/// Longest name of an engine, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Longest edit distance at which another name is suggested.
const MAX_SUGGESTION_DISTANCE: usize = 2;

/// Checks that a name can be used: it stands in files and messages that are split at control characters.
pub(crate) fn check_name(name: &str) -> Result<(), Refusal> {
    let is_valid =
        (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
    is_valid.then_some(()).ok_or(Refusal::InvalidName)
}

/// The known name that a mistyped one most likely means, if any is near.
pub(crate) fn suggest_name<'a>(
    known: impl Iterator<Item = &'a String>,
    typed: &str,
) -> Option<String> {
    known
        .map(|name| (edit_distance(name, typed), name))
        .min_by_key(|(distance, _)| *distance)
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .map(|(_, name)| name.clone())
}

/// The number of single-character edits from one name to another (Levenshtein distance).
pub fn edit_distance(a: &str, b: &str) -> usize {
    strsim::levenshtein(a, b)
}

/// The 64-bit FNV-1a hash: the same at every coordinator and in every process.
pub fn fnv1a_64(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
