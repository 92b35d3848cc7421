//! Hollow members: watchers with real sockets and real signatures and no viewers, many in one process, against control
//! machines' processes; and real controllers beside them.
//!
//! | module | job |
//! |---|---|
//! | `disk` | how long the disk that all share stood still |
//! | [`host`] | a process of many watchers |
//! | `orders` | what the run tells its hosts, and what they tell it |
//! | `rig` | keys, files and processes of control machines and real controllers |
//! | [`run`] | a whole run: starts all, pushes changes, strikes, gathers what was seen, ends all |

mod disk;
pub mod host;
mod orders;
pub mod pages;
mod real;
mod rig;
pub mod run;
