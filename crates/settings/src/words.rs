//! Makes the words of a section into typed fields: a small deserializer, since INI values are all text.

use std::fmt::Display;

use serde::de::value::{MapDeserializer, SeqDeserializer, StringDeserializer};
use serde::de::{self, DeserializeOwned, IntoDeserializer, Visitor};

/// A fault without its place: the key, the value, and why.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key} = {value}: {why}")]
pub struct Misfit {
    pub key: String,
    pub value: String,
    pub why: String,
}

impl de::Error for Misfit {
    fn custom<T: Display>(why: T) -> Self {
        Misfit { key: String::new(), value: String::new(), why: why.to_string() }
    }

    fn unknown_field(field: &str, expected: &'static [&'static str]) -> Self {
        let why = format!("no such key; there are {}", expected.join(", "));
        Misfit { key: field.to_owned(), value: String::new(), why }
    }

    fn missing_field(field: &'static str) -> Self {
        Misfit { key: field.to_owned(), value: String::new(), why: "this key is missing".to_owned() }
    }
}

/// Makes keys and values into a type.
pub fn typed<'a, T: DeserializeOwned>(words: impl Iterator<Item = (&'a str, &'a str)>) -> Result<T, Misfit> {
    let words = words.map(|(key, value)| (key, Word { key, value }));
    T::deserialize(MapDeserializer::new(words))
}

/// One value, which knows its key for the sake of a fault.
#[derive(Clone, Copy)]
struct Word<'a> {
    key: &'a str,
    value: &'a str,
}

impl Word<'_> {
    fn misfit(&self, why: impl Display) -> Misfit {
        Misfit { key: self.key.to_owned(), value: self.value.to_owned(), why: why.to_string() }
    }

    /// What a visitor says against a value gets the key and the value.
    fn placed<T>(&self, result: Result<T, Misfit>) -> Result<T, Misfit> {
        result.map_err(|misfit| if misfit.key.is_empty() { self.misfit(misfit.why) } else { misfit })
    }
}

impl<'de> IntoDeserializer<'de, Misfit> for Word<'_> {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

macro_rules! parsed {
    ($($method:ident $visit:ident $what:literal)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Misfit> {
            let value = self.value.parse().map_err(|_| self.misfit(concat!($what, " is taken")))?;
            self.placed(visitor.$visit(value))
        })*
    };
}

impl<'de> de::Deserializer<'de> for Word<'_> {
    type Error = Misfit;

    parsed! {
        deserialize_bool visit_bool "true or false"
        deserialize_u8 visit_u8 "a whole number of 0 to 255"
        deserialize_u16 visit_u16 "a whole number of 0 to 65535"
        deserialize_u32 visit_u32 "a whole number of 0 to 4294967295"
        deserialize_u64 visit_u64 "a whole number of 0 or more"
        deserialize_i8 visit_i8 "a whole number of -128 to 127"
        deserialize_i16 visit_i16 "a whole number"
        deserialize_i32 visit_i32 "a whole number"
        deserialize_i64 visit_i64 "a whole number"
    }

    fn deserialize_f32<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Misfit> {
        self.deserialize_f64(visitor)
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Misfit> {
        let number: Option<f64> = self.value.parse().ok().filter(|number: &f64| number.is_finite());
        self.placed(visitor.visit_f64(number.ok_or_else(|| self.misfit("a number is taken"))?))
    }

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Misfit> {
        self.placed(visitor.visit_str(self.value))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Misfit> {
        if self.value.is_empty() {
            visitor.visit_none()
        } else {
            visitor.visit_some(self)
        }
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Misfit> {
        let parts = self.value.split(',').map(str::trim).filter(|part| !part.is_empty());
        let parts = parts.map(|value| Word { key: self.key, value });
        self.placed(visitor.visit_seq(SeqDeserializer::new(parts)))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self, name: &'static str, variants: &'static [&'static str], visitor: V,
    ) -> Result<V::Value, Misfit> {
        let word: StringDeserializer<Misfit> = self.value.to_owned().into_deserializer();
        let found = word.deserialize_enum(name, variants, visitor);
        found.map_err(|_| self.misfit(format!("one of {} is taken", variants.join(", "))))
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self, _name: &'static str, visitor: V,
    ) -> Result<V::Value, Misfit> {
        visitor.visit_newtype_struct(self)
    }

    serde::forward_to_deserialize_any! {
        char str string bytes byte_buf unit unit_struct tuple tuple_struct map struct identifier ignored_any
        i128 u128
    }
}
