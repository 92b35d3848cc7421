//! Reads INI files into checked structures.
//!
//! A [`Sheet`] is one file. [`Sheet::section`] makes a section into a type that derives `serde::Deserialize` (with
//! `deny_unknown_fields`) and `garde::Validate`; each [`Fault`] names the file, the line, the section, the key, the
//! value and what would be taken instead. Lists are written with commas.

mod fault;
mod sheet;
mod words;

pub use fault::{Fault, Faults};
pub use sheet::Sheet;

use std::fmt::Display;

/// A check that a number lies within a range, ends included; its message names the range.
pub fn within<T: PartialOrd + Display + Copy>(least: T, most: T) -> impl FnOnce(&T, &()) -> garde::Result {
    move |value, ()| one_within(value, least, most)
}

/// The same for each number of a list, which must not be empty.
pub fn each_within<T: PartialOrd + Display + Copy>(
    least: T, most: T,
) -> impl FnOnce(&Vec<T>, &()) -> garde::Result {
    move |values, ()| {
        if values.is_empty() {
            return Err(garde::Error::new("at least one number is wanted"));
        }
        values.iter().try_for_each(|value| one_within(value, least, most))
    }
}

fn one_within<T: PartialOrd + Display>(value: &T, least: T, most: T) -> garde::Result {
    if *value >= least && *value <= most {
        return Ok(());
    }
    Err(garde::Error::new(format!("{least} to {most} is taken")))
}

/// A check that a word is one of these.
pub fn one_of(words: &'static [&'static str]) -> impl FnOnce(&String, &()) -> garde::Result {
    move |value, ()| match words.contains(&value.as_str()) {
        true => Ok(()),
        false => Err(garde::Error::new(format!("one of {} is taken", words.join(", ")))),
    }
}
