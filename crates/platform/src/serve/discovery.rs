//! Discovery: the name service is asked for the list of streamers, and its answers go to the pool and the module; SIGHUP
//! reads the configuration anew for the name service's address.

use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_core::interface::{Health, Listing};

use super::{Service, ORIGIN};
use crate::configuration;
use crate::hearing::Entries;
use crate::session_table::ListEntry;

/// The list is asked for this often: an event counts as told after 1.5 s, and a lost answer is asked for again
/// several times until then. An answer costs some 0.1 ms.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// A configuration that is not in order may be half written: it is read again this often, for so long.
const READ_AGAIN: Duration = Duration::from_millis(100);
const READ_FOR: Duration = Duration::from_secs(4);
/// How late the list may be. Only what it says this long after the process's birth tells all starts before it: until
/// then new-born processes would join cold streamers as if they were warm, each for itself and all at once.
const LIST_LATE: Duration = Duration::from_millis(1500);

impl Service {
    /// Asks the name service for the list, if it is time.
    pub(super) fn ask_names(&mut self, now: Duration) {
        if now < self.ask_at {
            return;
        }
        // The random part keeps controllers that were started together from asking at one moment.
        self.ask_at = now + ASK_EVERY.mul_f64(0.9 + 0.2 * self.chance.unit_interval());
        let query = self.names.query((self.chance.unit_interval() * 65536.0) as u16);
        if now >= ORIGIN + LIST_LATE {
            self.fresh_from.get_or_insert(self.names.asked());
        }
        let names = SocketAddr::V4(self.ends.place.names);
        self.ends.reactor.send_to(self.names_line, names, &query);
    }

    /// SIGHUP: the configuration is read now, and again for a while where it is not in order.
    pub(super) fn reload(&mut self, now: Duration) {
        self.read_again = Some((now, now + READ_FOR));
        self.read_configuration_again();
    }

    /// Reads the file anew for the name service's address. One that is not in order changes nothing, and is looked at
    /// again for a while: it may be half written.
    pub(super) fn read_configuration_again(&mut self) {
        let now = self.ends.now;
        let Some((_, until)) = self.read_again.take_if(|(at, _)| *at <= now) else { return };
        match configuration::read(&self.path) {
            Ok(place) => {
                tracing::info!(names = %place.names, "the configuration was read anew");
                self.ends.place.names = place.names;
                self.names.forget_queries();
                self.ask_at = now;
            }
            Err(fault) => {
                tracing::warn!("{fault:#}; the configuration read before goes on counting");
                self.read_again = Some((now + READ_AGAIN, until)).filter(|(at, _)| *at < until);
            }
        }
    }

    /// An answer of the name service; what it changes goes to the pool and the module.
    pub(super) fn hear_names(&mut self, bytes: &[u8]) {
        let mut list = self.entries();
        match self.names.answer(bytes, &mut list) {
            Ok(changed) => {
                let entries = list.entries;
                self.listed |= self.fresh_from.is_some_and(|place| self.names.answered() >= place);
                if changed {
                    self.tell(Listing::Changes, entries);
                }
            }
            Err(fault) => tracing::debug!(%fault, "an answer of the name service that changes nothing"),
        }
    }

    /// The whole list, as it is known, goes to the pool and the module.
    pub(super) fn tell_whole(&mut self, how: Listing) {
        let mut list = self.entries();
        self.names.tell_all(&mut list);
        let entries = list.entries;
        self.tell(how, entries);
    }

    fn tell(&mut self, how: Listing, entries: Vec<ListEntry>) {
        let now = self.ends.now;
        let ends = &mut self.ends;
        // Those gone first: another may have come at the address.
        for entry in entries.iter().filter(|entry| entry.health == Health::Gone) {
            ends.pool.unlisted(entry.id, now, &mut ends.reactor);
        }
        for entry in entries.iter().filter(|entry| entry.health != Health::Gone) {
            ends.pool.listed(entry.id, entry.at, now, &mut ends.reactor);
            if !entry.came_up.at.is_zero() {
                self.sessions.lost(now, entry.id, entry.came_up.at, ends);
            }
        }
        tracing::debug!(last = self.names.last(), changed = entries.len(), "list");
        self.sessions.list(how, entries);
    }

    fn entries(&self) -> Entries {
        let terms = &self.sessions.calls.terms;
        Entries {
            zones: terms.zones.clone(),
            kinds: terms.kinds.clone(),
            epoch: self.epoch,
            entries: Vec::new(),
        }
    }
}
