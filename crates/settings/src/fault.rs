//! What is wrong with a file, and where.

use std::fmt;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    /// From 1; 0 where the fault is a thing that is not there.
    pub line: usize,
    pub section: String,
    pub key: String,
    pub value: String,
    pub why: String,
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
            (true, _) => write!(f, ": {}", self.why),
            (false, true) => write!(f, " {}: {}", self.key, self.why),
            (false, false) => write!(f, " {} = {}: {}", self.key, self.value, self.why),
        }
    }
}

/// All that is wrong, a line each; never empty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            let end = if i + 1 == self.0.len() { "" } else { "\n" };
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
    /// Both results, or all that is wrong with either.
    pub fn both<A, B>(first: Result<A, Faults>, second: Result<B, Faults>) -> Result<(A, B), Faults> {
        match (first, second) {
            (Ok(a), Ok(b)) => Ok((a, b)),
            (Err(a), Err(b)) => Err(Faults([a.0, b.0].concat())),
            (Err(a), Ok(_)) => Err(a),
            (Ok(_), Err(b)) => Err(b),
        }
    }
}
