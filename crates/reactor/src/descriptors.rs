//! How many files a process may hold open.

use rustix::process::{getrlimit, setrlimit, Resource};

/// Raises the process's own limit of open files to what it is permitted, and tells it (getrlimit(2)).
pub fn raise_descriptors() -> usize {
    let mut limit = getrlimit(Resource::Nofile);
    let before = limit.current;
    limit.current = limit.maximum;
    let now = if setrlimit(Resource::Nofile, limit).is_ok() { limit.maximum } else { before };
    now.map_or(usize::MAX, |count| usize::try_from(count).unwrap_or(usize::MAX))
}
