//! The limit on open file descriptors.

use rustix::process::{getrlimit, setrlimit, Resource};

/// Raises the soft limit on open files to the hard limit, and returns it (getrlimit(2)).
pub fn raise_descriptors() -> usize {
    let mut limit = getrlimit(Resource::Nofile);
    let soft_limit = limit.current;
    limit.current = limit.maximum;
    let effective = if setrlimit(Resource::Nofile, limit).is_ok() { limit.maximum } else { soft_limit };
    effective.map_or(usize::MAX, |count| usize::try_from(count).unwrap_or(usize::MAX))
}
