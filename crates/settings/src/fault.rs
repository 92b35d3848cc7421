//! Errors in a settings file, each with its place in the file.

use std::fmt;

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path or name of the file.
    pub file: String,
    /// Line number from 1; 0 if the error concerns something that is missing from the file.
    pub line: usize,
    /// Name of the section, or empty.
    pub section: String,
    /// Name of the key, or empty if the error concerns the whole section or file.
    pub key: String,
    /// Value of the key as written in the file, or empty.
    pub value: String,
    /// What is wrong, and which values are accepted.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, ": [{}]", self.section)?;
        }
        match (self.key.is_empty(), self.value.is_empty()) {
            (true, _) => write!(f, ": {}", self.reason),
            (false, true) => write!(f, " {}: {}", self.key, self.reason),
            (false, false) => write!(f, " {} = {}: {}", self.key, self.value, self.reason),
        }
    }
}

/// All errors found in a file, displayed one per line; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let end = if index + 1 == self.0.len() { "" } else { "\n" };
            write!(f, "{fault}{end}")?;
        }
        Ok(())
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Faults(vec![fault])
    }
}

impl Faults {
    /// Returns both values, or the errors of both results together.
    pub fn combine<A, B>(first: Result<A, Faults>, second: Result<B, Faults>) -> Result<(A, B), Faults> {
        match (first, second) {
            (Ok(a), Ok(b)) => Ok((a, b)),
            (Err(a), Err(b)) => Err(Faults([a.0, b.0].concat())),
            (Err(a), Ok(_)) => Err(a),
            (Ok(_), Err(b)) => Err(b),
        }
    }
}
