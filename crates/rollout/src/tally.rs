//! What is counted of one controller for one measure.

/// A part that went wrong, of a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub bad: f64,
    pub of: f64,
}
