//! Reads INI files into validated structures.
//!
//! An [`IniFile`] is one file. [`IniFile::section`] deserializes a section into a type that derives
//! `serde::Deserialize` (with `deny_unknown_fields`) and `garde::Validate`; each [`Fault`] names the file,
//! the line, the section, the key, the value and the accepted values. Lists are separated by commas.

mod fault;
mod ini_file;
mod value;

pub use fault::{Fault, Faults};
pub use ini_file::IniFile;

use std::fmt::Display;

/// Returns a validator that accepts numbers from `min` to `max`, both included; its error names the range.
pub fn within<T: PartialOrd + Display + Copy>(min: T, max: T) -> impl FnOnce(&T, &()) -> garde::Result {
    move |value, ()| check_range(value, min, max)
}

/// Returns a validator that accepts non-empty lists of numbers from `min` to `max`, both included.
pub fn each_within<T: PartialOrd + Display + Copy>(
    min: T, max: T,
) -> impl FnOnce(&Vec<T>, &()) -> garde::Result {
    move |values, ()| {
        if values.is_empty() {
            return Err(garde::Error::new("at least one number is required"));
        }
        values.iter().try_for_each(|value| check_range(value, min, max))
    }
}

fn check_range<T: PartialOrd + Display>(value: &T, min: T, max: T) -> garde::Result {
    if *value >= min && *value <= max {
        return Ok(());
    }
    Err(garde::Error::new(format!("must be between {min} and {max}")))
}

/// Returns a validator that accepts only the listed values.
pub fn one_of(accepted: &'static [&'static str]) -> impl FnOnce(&String, &()) -> garde::Result {
    move |value, ()| match accepted.contains(&value.as_str()) {
        true => Ok(()),
        false => Err(garde::Error::new(format!("must be one of {}", accepted.join(", ")))),
    }
}
