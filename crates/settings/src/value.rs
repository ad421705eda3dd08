//! Reads and validates single values of the settings.

use crate::json::Json;
use crate::{KeyError, Problem};

/// Reads a required, non-negative number.
pub(crate) fn number(object: Json, key: &str) -> Result<f64, KeyError> {
    let number = object.get(key).number();
    let number = number.ok_or_else(|| KeyError::new(key, Problem::MissingOrNotNumber))?;
    if number >= 0.0 {
        Ok(number)
    } else {
        Err(KeyError::new(key, Problem::Negative))
    }
}

/// Reads a non-negative number; `None` if the key is missing or null.
pub(crate) fn optional_number(object: Json, key: &str) -> Result<Option<f64>, KeyError> {
    if object.get(key).is_null() {
        return Ok(None);
    }
    number(object, key).map(Some)
}

/// Reads a boolean; false if the key is missing.
pub(crate) fn flag(object: Json, key: &str) -> bool {
    object.get(key).flag()
}

/// Reads a list of indexes; `None` if the key is missing or null.
pub(crate) fn optional_indexes(object: Json, key: &str) -> Result<Option<Vec<u16>>, KeyError> {
    let value = object.get(key);
    if value.is_null() {
        return Ok(None);
    }
    if value.list().is_none() {
        return Err(KeyError::new(key, Problem::NotList));
    }
    let index = |value: Json| u16::try_from(value.integer()?).ok();
    let indexes: Option<Vec<u16>> = value.each().map(index).collect();
    let indexes = indexes.ok_or_else(|| KeyError::new(key, Problem::NotIndexes))?;
    Ok(Some(indexes))
}

macro_rules! to_integer {
    ($($name:ident: $kind:ty,)*) => {
        $(
            /// Converts a number to an integer: truncates the fraction and saturates if out of range.
            #[allow(clippy::cast_possible_truncation, reason = "see the doc comment")]
            pub(crate) fn $name(number: f64) -> $kind {
                number as $kind
            }
        )*
    };
}

to_integer! {
    to_u16: u16,
    to_u32: u32,
    to_u64: u64,
}
