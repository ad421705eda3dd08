//! Values of the settings, checked.

use crate::json::Json;
use crate::{KeyError, Problem};

/// A number of 0 or more.
pub(crate) fn number(object: Json, key: &str) -> Result<f64, KeyError> {
    let number = object.get(key).number();
    let number = number.ok_or_else(|| KeyError::new(key, Problem::MissingOrNoNumber))?;
    if number >= 0.0 {
        Ok(number)
    } else {
        Err(KeyError::new(key, Problem::Negative))
    }
}

/// A number of 0 or more, or `None` where the key is missing or null.
pub(crate) fn optional_number(object: Json, key: &str) -> Result<Option<f64>, KeyError> {
    if object.get(key).is_null() {
        return Ok(None);
    }
    number(object, key).map(Some)
}

/// A truth value; false where it is missing.
pub(crate) fn flag(object: Json, key: &str) -> bool {
    object.get(key).flag()
}

/// A list of indexes, or `None` where the key is missing or null.
pub(crate) fn optional_indexes(object: Json, key: &str) -> Result<Option<Vec<u16>>, KeyError> {
    let value = object.get(key);
    if value.is_null() {
        return Ok(None);
    }
    if value.list().is_none() {
        return Err(KeyError::new(key, Problem::NoList));
    }
    let index = |value: Json| u16::try_from(value.integer()?).ok();
    let indexes: Option<Vec<u16>> = value.each().map(index).collect();
    let indexes = indexes.ok_or_else(|| KeyError::new(key, Problem::NoIndexes))?;
    Ok(Some(indexes))
}

macro_rules! to_whole_number {
    ($($name:ident: $kind:ty,)*) => {
        $(
            /// A number as a whole one: its fraction is cut off, and one out of range saturates.
            #[allow(clippy::cast_possible_truncation, reason = "see the doc comment")]
            pub(crate) fn $name(number: f64) -> $kind {
                number as $kind
            }
        )*
    };
}

to_whole_number! {
    to_u16: u16,
    to_u32: u32,
    to_u64: u64,
}
