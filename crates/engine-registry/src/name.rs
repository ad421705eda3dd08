//! Engine names: validation, hashing, and suggestions for mistyped names.

use crate::Refusal;

/// Maximum length of an engine name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum edit distance of a suggested name.
const MAX_SUGGESTION_DISTANCE: usize = 2;

/// Validates a name. Control characters are rejected because files and messages use them as separators.
pub(crate) fn check_name(name: &str) -> Result<(), Refusal> {
    let is_valid =
        (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
    is_valid.then_some(()).ok_or(Refusal::InvalidName)
}

/// The known name closest to a mistyped one, if it is close enough.
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

/// The Levenshtein distance between two names.
pub fn edit_distance(a: &str, b: &str) -> usize {
    strsim::levenshtein(a, b)
}

/// The 64-bit FNV-1a hash. It is stable across coordinators and processes.
pub fn fnv1a_64(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
