//! Discovery: queries the name service for the list of streamers and passes its answers to the streamer pool
//! and the decision module. SIGHUP rereads the configuration for the address of the name service and the
//! longest client timeout.

use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_core::interface::{Health, Listing};

use super::{Service, CLOCK_START};
use crate::configuration;
use crate::inbound::ListEntries;
use crate::request::PlatformSettings;
use crate::session_table::ListEntry;

/// Query interval: an event counts as reported after 1.5 s, so a lost answer is requested again several times
/// until then. An answer costs about 0.1 ms to process.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// An invalid configuration file may be half written: it is reread at this interval, for this period.
const REREAD_INTERVAL: Duration = Duration::from_millis(100);
const REREAD_PERIOD: Duration = Duration::from_secs(4);
/// Maximum delay of the list. Only an answer received this long after the start of the process is sure to
/// include all streamers that started before it. Without it, each restarted controller would send cold
/// streamers joins as if they were warm, all at once.
const MAX_LIST_DELAY: Duration = Duration::from_millis(1500);

impl Service {
    /// Queries the name service for the list, if a query is due.
    pub(super) fn query_name_service(&mut self, now: Duration) {
        if now < self.next_query_at {
            return;
        }
        // The random part keeps controllers that started together from querying at the same moment.
        self.next_query_at = now + QUERY_INTERVAL.mul_f64(0.9 + 0.2 * self.rng.unit_interval());
        let query = self.streamers.next_query((self.rng.unit_interval() * 65536.0) as u16);
        if now >= CLOCK_START + MAX_LIST_DELAY {
            self.first_fresh_query.get_or_insert(self.streamers.queries_sent());
        }
        let name_service = SocketAddr::V4(self.connections.configuration.name_service);
        self.connections.reactor.send_to(self.name_service_socket, name_service, &query);
    }

    /// Handles SIGHUP: rereads the configuration now, and retries for a while if it is invalid.
    pub(super) fn reload(&mut self, now: Duration) {
        self.reread = Some((now, now + REREAD_PERIOD));
        self.reread_configuration();
    }

    /// Rereads the configuration for the address of the name service and the longest client timeout. An
    /// invalid file changes nothing and is retried for a while, since it may be half written.
    pub(super) fn reread_configuration(&mut self) {
        let now = self.connections.now;
        let Some((_, until)) = self.reread.take_if(|(at, _)| *at <= now) else { return };
        match configuration::read(&self.configuration_path) {
            Ok(configuration) => {
                tracing::info!(names = %configuration.name_service, "configuration reread");
                let settings = PlatformSettings::new(&configuration.settings);
                self.sessions.store.settings.max_client_timeout = settings.max_client_timeout;
                self.shorten_shutdown(settings.max_client_timeout);
                self.connections.configuration.name_service = configuration.name_service;
                self.streamers.forget_queries();
                self.next_query_at = now;
            }
            Err(fault) => {
                tracing::warn!("{fault:#}; keeping the previous configuration");
                self.reread = Some((now + REREAD_INTERVAL, until)).filter(|(at, _)| *at < until);
            }
        }
    }

    /// Handles an answer of the name service, and publishes the changes that it contains.
    pub(super) fn handle_name_service_answer(&mut self, bytes: &[u8]) {
        let mut collected = self.new_entries();
        match self.streamers.apply_answer(bytes, &mut collected) {
            Ok(changed) => {
                let entries = collected.entries;
                self.list_is_fresh |=
                    self.first_fresh_query.is_some_and(|query| self.streamers.last_answered_query() >= query);
                if changed {
                    self.publish(Listing::Changes, entries);
                }
            }
            Err(fault) => tracing::debug!(%fault, "ignoring an answer of the name service"),
        }
    }

    /// Publishes the whole list as it is known.
    pub(super) fn publish_list(&mut self, listing: Listing) {
        let mut collected = self.new_entries();
        self.streamers.report_all(&mut collected);
        let entries = collected.entries;
        self.publish(listing, entries);
    }

    /// Passes list entries to the streamer pool and the decision module.
    fn publish(&mut self, listing: Listing, entries: Vec<ListEntry>) {
        let now = self.connections.now;
        let connections = &mut self.connections;
        // Removed streamers first: another may have started at the same address.
        for entry in entries.iter().filter(|entry| entry.health == Health::Gone) {
            connections.streamer_pool.streamer_removed(entry.id, now, &mut connections.reactor);
        }
        for entry in entries.iter().filter(|entry| entry.health != Health::Gone) {
            connections.streamer_pool.streamer_listed(
                entry.id,
                entry.address,
                entry.started.at,
                now,
                &mut connections.reactor,
            );
            if !entry.started.at.is_zero() {
                self.sessions.streamer_restarted(now, entry.id, entry.started.at, connections);
            }
        }
        tracing::debug!(last = self.streamers.last_event(), changed = entries.len(), "list");
        self.sessions.apply_list(listing, entries);
    }

    /// An empty collector of list entries.
    fn new_entries(&self) -> ListEntries {
        let settings = &self.sessions.store.settings;
        ListEntries {
            zones: settings.zones.clone(),
            kinds: settings.kinds.clone(),
            unix_at_zero: self.unix_at_zero,
            entries: Vec::new(),
        }
    }
}
