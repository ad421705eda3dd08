//! Conversion of objects to and from JSON.

use std::collections::HashMap;
use tinyjson::JsonValue;

/// A value that can be a member of a JSON object.
pub trait Field: Sized {
    /// Converts to JSON.
    fn to_json(&self) -> JsonValue;
    /// Converts from JSON; `None` if the value has another type.
    fn from_json(value: &JsonValue) -> Option<Self>;
}

impl Field for String {
    fn to_json(&self) -> JsonValue {
        JsonValue::String(self.clone())
    }
    fn from_json(value: &JsonValue) -> Option<String> {
        value.get::<String>().cloned()
    }
}

/// JSON numbers are floating point: integers beyond 2^53 lose precision. Fractions in the input are truncated.
impl Field for u64 {
    fn to_json(&self) -> JsonValue {
        JsonValue::Number(*self as f64)
    }
    fn from_json(value: &JsonValue) -> Option<u64> {
        let number = value.get::<f64>().filter(|n| **n >= 0.0)?;
        Some(truncate_to_u64(*number))
    }
}

/// JSON can represent neither infinity nor NaN; both are written as 0.
impl Field for f64 {
    fn to_json(&self) -> JsonValue {
        JsonValue::Number(if self.is_finite() { *self } else { 0.0 })
    }
    fn from_json(value: &JsonValue) -> Option<f64> {
        value.get::<f64>().copied()
    }
}

impl Field for bool {
    fn to_json(&self) -> JsonValue {
        JsonValue::Boolean(*self)
    }
    fn from_json(value: &JsonValue) -> Option<bool> {
        value.get::<bool>().copied()
    }
}

impl<T: Field> Field for Option<T> {
    fn to_json(&self) -> JsonValue {
        self.as_ref().map_or(JsonValue::Null, Field::to_json)
    }
    fn from_json(value: &JsonValue) -> Option<Option<T>> {
        match value {
            JsonValue::Null => Some(None),
            value => T::from_json(value).map(Some),
        }
    }
}

impl<T: Field> Field for Vec<T> {
    fn to_json(&self) -> JsonValue {
        JsonValue::Array(self.iter().map(Field::to_json).collect())
    }
    fn from_json(value: &JsonValue) -> Option<Vec<T>> {
        let values = value.get::<Vec<JsonValue>>()?;
        values.iter().map(T::from_json).collect()
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "fractions are truncated, and numbers out of range saturate"
)]
fn truncate_to_u64(number: f64) -> u64 {
    number as u64
}

/// Builds a JSON object member by member.
#[derive(Default)]
pub(crate) struct ObjectWriter(HashMap<String, JsonValue>);

impl ObjectWriter {
    /// Creates an empty object.
    pub(crate) fn new() -> ObjectWriter {
        ObjectWriter::default()
    }

    /// Adds a member.
    pub(crate) fn with(mut self, name: &str, value: &impl Field) -> ObjectWriter {
        self.0.insert(name.into(), value.to_json());
        self
    }

    /// Converts the object to a JSON value.
    pub(crate) fn into_json(self) -> JsonValue {
        JsonValue::Object(self.0)
    }

    /// Formats the object as a line of the protocol.
    pub(crate) fn into_line(self) -> String {
        let text = self.into_json().stringify();
        text.unwrap_or_else(|_| "{}".into()) + "\n"
    }
}

/// Reads a JSON object member by member.
pub(crate) struct ObjectReader<'a>(std::borrow::Cow<'a, HashMap<String, JsonValue>>);

impl ObjectReader<'static> {
    /// Parses a line of the protocol; `None` if it is not a JSON object.
    pub(crate) fn parse(line: &str) -> Option<ObjectReader<'static>> {
        match line.parse() {
            Ok(JsonValue::Object(members)) => Some(ObjectReader(std::borrow::Cow::Owned(members))),
            _ => None,
        }
    }
}

impl<'a> ObjectReader<'a> {
    /// Wraps a JSON value; `None` if it is not an object.
    pub(crate) fn of(value: &'a JsonValue) -> Option<ObjectReader<'a>> {
        let members = value.get::<HashMap<String, JsonValue>>()?;
        Some(ObjectReader(std::borrow::Cow::Borrowed(members)))
    }

    /// The raw value of a member.
    pub(crate) fn value(&self, name: &str) -> Option<&JsonValue> {
        self.0.get(name)
    }

    /// The value of a member; `None` if it is missing or has another type.
    pub(crate) fn get<T: Field>(&self, name: &str) -> Option<T> {
        T::from_json(self.value(name)?)
    }

    /// The value of a member, or the default if it is missing; `None` if it has another type.
    pub(crate) fn get_or_default<T: Field + Default>(&self, name: &str) -> Option<T> {
        match self.value(name) {
            Some(value) => T::from_json(value),
            None => Some(T::default()),
        }
    }

    /// The value of a numeric member as an integer: fractions are truncated, and negative numbers become 0.
    pub(crate) fn get_u64(&self, name: &str) -> Option<u64> {
        self.get(name).map(truncate_to_u64)
    }

    /// The strings in an array member. Other elements are ignored; a member that is not an array is treated as empty.
    pub(crate) fn get_strings(&self, name: &str) -> Vec<String> {
        let values = self.value(name).and_then(|v| v.get::<Vec<JsonValue>>());
        let values = values.map(Vec::as_slice).unwrap_or_default();
        values.iter().filter_map(Field::from_json).collect()
    }
}

/// Defines a struct that is represented as a JSON object with the same member names. Unknown members are ignored and missing
/// ones take their default, so that a console and a program of different versions can read each other's snapshots.
macro_rules! object {
    ($(#[$about:meta])* $name:ident { $($(#[$field_about:meta])* $field:ident: $kind:ty,)* }) => {
        $(#[$about])*
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct $name {
            $($(#[$field_about])* pub $field: $kind,)*
        }

        impl $crate::json::Field for $name {
            fn to_json(&self) -> tinyjson::JsonValue {
                $crate::json::ObjectWriter::new()
                    $(.with(stringify!($field), &self.$field))*
                    .into_json()
            }
            fn from_json(value: &tinyjson::JsonValue) -> Option<$name> {
                let object = $crate::json::ObjectReader::of(value)?;
                Some($name { $($field: object.get_or_default(stringify!($field))?,)* })
            }
        }
    };
}

pub(crate) use object;
