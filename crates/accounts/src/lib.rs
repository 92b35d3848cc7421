//! Traffic counters per pair of zones and room type. The package does no I/O.
//!
//! Each controller writes one [`Ledger`] of counters that only grow. [`Accounts`] holds the ledgers of any number of
//! controllers, each under the controller's number and the account that wrote it. Merging takes the maximum of each
//! counter, so that ledgers that are merged in any order, repeatedly or late, give the same sums (a state-based grow-only
//! counter, a join semilattice: Shapiro, Preguiça, Baquero and Zawirski, 2011). A restarted controller continues the
//! ledger that it stored; what it counted after the last write is lost, and is reported as an estimate with its error.

mod accounts;
mod file_format;
mod ledger;
mod sketch;
#[cfg(test)]
mod tests;

pub use accounts::{Accounts, Source};
pub use file_format::{decode_file, encode_file, FileFault};
pub use ledger::{Key, Ledger, TrafficCounters, MAX_WINDOWS, WINDOW_LENGTH};
pub use sketch::TopTitles;
