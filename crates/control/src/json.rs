//! Objects to and from JSON, a member at a time.

use std::collections::HashMap;
use tinyjson::JsonValue;

/// A value that may be a member of an object.
pub trait Field: Sized {
    /// As JSON.
    fn to_json(&self) -> JsonValue;
    /// From JSON; `None` where the value is of another kind.
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

/// JSON's numbers are floating point: beyond 2^53 they lose digits, and a fraction that comes is cut off.
impl Field for u64 {
    fn to_json(&self) -> JsonValue {
        JsonValue::Number(*self as f64)
    }
    fn from_json(value: &JsonValue) -> Option<u64> {
        let number = value.get::<f64>().filter(|n| **n >= 0.0)?;
        Some(whole_number(*number))
    }
}

/// JSON has no infinity and no NaN: they are written as 0.
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
    reason = "the fraction is cut off; a number out of range saturates"
)]
fn whole_number(number: f64) -> u64 {
    number as u64
}

/// Builds an object, a member at a time.
#[derive(Default)]
pub(crate) struct ObjectWriter(HashMap<String, JsonValue>);

impl ObjectWriter {
    /// An object without members.
    pub(crate) fn new() -> ObjectWriter {
        ObjectWriter::default()
    }

    /// Adds a member.
    pub(crate) fn with(mut self, name: &str, value: &impl Field) -> ObjectWriter {
        self.0.insert(name.into(), value.to_json());
        self
    }

    /// The object as JSON.
    pub(crate) fn into_json(self) -> JsonValue {
        JsonValue::Object(self.0)
    }

    /// The object as a line of the protocol.
    pub(crate) fn into_line(self) -> String {
        let text = self.into_json().stringify();
        text.unwrap_or_else(|_| "{}".into()) + "\n"
    }
}

/// Reads an object, a member at a time.
pub(crate) struct ObjectReader<'a>(std::borrow::Cow<'a, HashMap<String, JsonValue>>);

impl ObjectReader<'static> {
    /// Reads a line of the protocol; `None` where it is no JSON object.
    pub(crate) fn parse(line: &str) -> Option<ObjectReader<'static>> {
        match line.parse() {
            Ok(JsonValue::Object(members)) => Some(ObjectReader(std::borrow::Cow::Owned(members))),
            _ => None,
        }
    }
}

impl<'a> ObjectReader<'a> {
    /// Reads a value; `None` where it is no object.
    pub(crate) fn of(value: &'a JsonValue) -> Option<ObjectReader<'a>> {
        let members = value.get::<HashMap<String, JsonValue>>()?;
        Some(ObjectReader(std::borrow::Cow::Borrowed(members)))
    }

    /// A member's value, as it stands there.
    pub(crate) fn value(&self, name: &str) -> Option<&JsonValue> {
        self.0.get(name)
    }

    /// A member; `None` where it is missing or of another kind.
    pub(crate) fn get<T: Field>(&self, name: &str) -> Option<T> {
        T::from_json(self.value(name)?)
    }

    /// A member, or the default where it is missing; `None` where it is of another kind.
    pub(crate) fn get_or_default<T: Field + Default>(&self, name: &str) -> Option<T> {
        match self.value(name) {
            Some(value) => T::from_json(value),
            None => Some(T::default()),
        }
    }

    /// A member that is a number, as a whole one: its fraction is cut off, and below 0 it is 0.
    pub(crate) fn get_whole_number(&self, name: &str) -> Option<u64> {
        self.get(name).map(whole_number)
    }

    /// The texts in a list; what is no text is left out, and a member that is no list counts as an empty one.
    pub(crate) fn get_texts(&self, name: &str) -> Vec<String> {
        let values = self.value(name).and_then(|v| v.get::<Vec<JsonValue>>());
        let values = values.map(Vec::as_slice).unwrap_or_default();
        values.iter().filter_map(Field::from_json).collect()
    }
}

/// A struct that is an object in JSON, with the same names. Members that are missing take their default, so that an older
/// console reads a newer program's snapshot and the other way round.
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
