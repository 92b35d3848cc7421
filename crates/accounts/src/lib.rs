//! Accounts of what crosses from building to building, without I/O.
//!
//! Each controller writes one [`Ledger`], whose figures only grow; [`Accounts`] holds the ledgers of any number of
//! controllers, each under the number and the account that wrote it. Merging takes the greater of each figure, so
//! that accounts merge in any order, twice or late, to the same sums (a join of a semilattice, as state-based
//! counters of Shapiro, Preguiça, Baquero and Zawirski, 2011, have it). A controller that is reborn goes on with
//! the ledger that it stored; what it counted after the last store is lost, and told as an estimate with its error.

mod accounts;
mod ledger;
mod seal;
mod sketch;
#[cfg(test)]
mod tests;

pub use accounts::{Accounts, Source};
pub use ledger::{Amount, Key, Ledger, WINDOW, WINDOWS};
pub use seal::{open, seal, SealFault};
pub use sketch::Heaviest;
