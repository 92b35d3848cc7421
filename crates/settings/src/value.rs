//! A serde deserializer for the keys and values of one INI section. INI values are plain text, so each value
//! is parsed as the type that the field asks for.

use std::fmt::Display;

use serde::de::value::{MapDeserializer, SeqDeserializer, StringDeserializer};
use serde::de::{self, DeserializeOwned, IntoDeserializer, Visitor};

/// A value that could not be deserialized: the key, the value and the reason, without file and line.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key} = {value}: {reason}")]
pub struct ValueError {
    pub key: String,
    pub value: String,
    pub reason: String,
}

impl de::Error for ValueError {
    fn custom<T: Display>(reason: T) -> Self {
        ValueError { key: String::new(), value: String::new(), reason: reason.to_string() }
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        let reason = format!("no such key; known keys are {}", expected.join(", "));
        ValueError { key: field.to_owned(), value: String::new(), reason }
    }

    fn missing_field(field: &'static str) -> Self {
        ValueError { key: field.to_owned(), value: String::new(), reason: "this key is missing".to_owned() }
    }
}

/// Deserializes the keys and values of a section into a type.
pub fn deserialize_section<'a, T: DeserializeOwned>(
    entries: impl Iterator<Item = (&'a str, &'a str)>,
) -> Result<T, ValueError> {
    let entries = entries.map(|(key, value)| (key, ValueDeserializer { key, value }));
    T::deserialize(MapDeserializer::new(entries))
}

/// Deserializes one value; the key is kept for errors.
#[derive(Clone, Copy)]
struct ValueDeserializer<'a> {
    key: &'a str,
    value: &'a str,
}

impl ValueDeserializer<'_> {
    fn error(&self, reason: impl Display) -> ValueError {
        ValueError { key: self.key.to_owned(), value: self.value.to_owned(), reason: reason.to_string() }
    }

    /// Adds the key and the value to an error of a visitor, which knows neither.
    fn with_key<T>(&self, result: Result<T, ValueError>) -> Result<T, ValueError> {
        result.map_err(|error| if error.key.is_empty() { self.error(error.reason) } else { error })
    }
}

impl<'de> IntoDeserializer<'de, ValueError> for ValueDeserializer<'_> {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

macro_rules! deserialize_by_parsing {
    ($($method:ident $visit:ident $expected:literal)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
            let value = self.value.parse().map_err(|_| self.error(concat!("must be ", $expected)))?;
            self.with_key(visitor.$visit(value))
        })*
    };
}

impl<'de> de::Deserializer<'de> for ValueDeserializer<'_> {
    type Error = ValueError;

    deserialize_by_parsing! {
        deserialize_bool visit_bool "true or false"
        deserialize_u8 visit_u8 "a whole number between 0 and 255"
        deserialize_u16 visit_u16 "a whole number between 0 and 65535"
        deserialize_u32 visit_u32 "a whole number between 0 and 4294967295"
        deserialize_u64 visit_u64 "a whole number of at least 0"
        deserialize_i8 visit_i8 "a whole number between -128 and 127"
        deserialize_i16 visit_i16 "a whole number"
        deserialize_i32 visit_i32 "a whole number"
        deserialize_i64 visit_i64 "a whole number"
    }

    fn deserialize_f32<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        self.deserialize_f64(visitor)
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        let number: Option<f64> = self.value.parse().ok().filter(|number: &f64| number.is_finite());
        self.with_key(visitor.visit_f64(number.ok_or_else(|| self.error("must be a number"))?))
    }

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        self.with_key(visitor.visit_str(self.value))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        if self.value.is_empty() {
            visitor.visit_none()
        } else {
            visitor.visit_some(self)
        }
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        let elements = self.value.split(',').map(str::trim).filter(|element| !element.is_empty());
        let elements = elements.map(|value| ValueDeserializer { key: self.key, value });
        self.with_key(visitor.visit_seq(SeqDeserializer::new(elements)))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self, name: &'static str, variants: &'static [&'static str], visitor: V,
    ) -> Result<V::Value, ValueError> {
        let variant: StringDeserializer<ValueError> = self.value.to_owned().into_deserializer();
        let found = variant.deserialize_enum(name, variants, visitor);
        found.map_err(|_| self.error(format!("must be one of {}", variants.join(", "))))
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self, _name: &'static str, visitor: V,
    ) -> Result<V::Value, ValueError> {
        visitor.visit_newtype_struct(self)
    }

    serde::forward_to_deserialize_any! {
        char str string bytes byte_buf unit unit_struct tuple tuple_struct map struct identifier ignored_any
        i128 u128
    }
}
