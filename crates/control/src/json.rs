//! Objects to and from JSON, a field at a time.

use std::collections::HashMap;
use tinyjson::JsonValue;

/// A value that may stand in a field.
pub trait Field: Sized {
    /// As JSON.
    fn to_json(&self) -> JsonValue;
    /// From JSON; `None` where it is of another kind.
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

impl Field for u64 {
    fn to_json(&self) -> JsonValue {
        JsonValue::Number(*self as f64)
    }
    fn from_json(value: &JsonValue) -> Option<u64> {
        value.get::<f64>().filter(|n| **n >= 0.0).map(|n| *n as u64)
    }
}

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
        value
            .get::<Vec<JsonValue>>()?
            .iter()
            .map(T::from_json)
            .collect()
    }
}

/// A field of an object, or its default where it is missing.
pub fn field<T: Field + Default>(fields: &HashMap<String, JsonValue>, name: &str) -> Option<T> {
    match fields.get(name) {
        Some(value) => T::from_json(value),
        None => Some(T::default()),
    }
}

/// A struct that is an object in JSON, with the same names. Fields that are missing take their default, so that an older
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
                let fields = [$((stringify!($field).to_string(), $crate::json::Field::to_json(&self.$field)),)*];
                tinyjson::JsonValue::Object(fields.into_iter().collect())
            }
            fn from_json(value: &tinyjson::JsonValue) -> Option<$name> {
                let fields = value.get::<std::collections::HashMap<String, tinyjson::JsonValue>>()?;
                Some($name { $($field: $crate::json::field(fields, stringify!($field))?,)* })
            }
        }
    };
}

pub(crate) use object;
