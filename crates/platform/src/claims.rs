//! Handed-over sessions that nothing has confirmed yet, by the viewers' connection that they were handed over
//! on. Anybody may claim any number of sessions, so each connection has an equal part of the room.

use std::collections::{BTreeMap, BTreeSet};

use badgerledge_core::interface::JobId;
use badgerledge_reactor::SocketId;

/// The unconfirmed sessions.
#[derive(Default)]
pub struct Claims {
    by_connection: BTreeMap<SocketId, BTreeSet<JobId>>,
    count: usize,
    /// Open connections on which a session was handed over that its streamer has spoken of.
    trusted: BTreeSet<SocketId>,
}

impl Claims {
    /// The number of unconfirmed sessions.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Adds a session.
    pub fn insert(&mut self, connection: SocketId, job: JobId) {
        if self.by_connection.entry(connection).or_default().insert(job) {
            self.count += 1;
        }
    }

    /// Removes a session, if it is here.
    pub fn remove(&mut self, connection: SocketId, job: JobId) {
        let Some(jobs) = self.by_connection.get_mut(&connection) else { return };
        if jobs.remove(&job) {
            self.count -= 1;
        }
        if jobs.is_empty() {
            self.by_connection.remove(&connection);
        }
    }

    /// Whether what is handed over on a connection is believed.
    pub fn is_trusted(&self, connection: SocketId) -> bool {
        self.trusted.contains(&connection)
    }

    /// Forgets that a connection was trusted, as it closes.
    pub fn connection_closed(&mut self, connection: SocketId) {
        self.trusted.remove(&connection);
    }

    /// Trusts a connection. Removes all its sessions and returns them.
    pub fn trust(&mut self, connection: SocketId) -> BTreeSet<JobId> {
        self.trusted.insert(connection);
        let jobs = self.by_connection.remove(&connection).unwrap_or_default();
        self.count -= jobs.len();
        jobs
    }

    /// The session that gives way if there is no room for another one on this connection: the latest of the
    /// connection with the most. None if that would leave this connection with the most.
    pub fn displaced_by(&self, connection: SocketId) -> Option<JobId> {
        let own = self.by_connection.get(&connection).map_or(0, BTreeSet::len);
        let largest = self.by_connection.values().max_by_key(|jobs| jobs.len())?;
        largest.last().copied().filter(|_| largest.len() > own + 1)
    }
}
