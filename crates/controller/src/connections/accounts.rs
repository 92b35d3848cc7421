//! Counts the traffic of joins into the accounts of what crosses between zones.

use badgerledge_accounts::TrafficCounters;

use super::Connections;
use crate::join_connection::JoinConnection;

impl Connections {
    /// Counts the traffic of all joins since the last count, and stores the sums. `is_last` marks an orderly
    /// stop.
    pub fn account_traffic(&mut self, is_last: bool) {
        for join in self.joins.values_mut() {
            let traffic = join.take_uncounted_traffic(self.now);
            if let Some(account_key) =
                join.account_key.as_ref().filter(|_| traffic != TrafficCounters::default())
            {
                self.accounting.count(account_key, join.title, &traffic);
            }
        }
        self.accounting.store(self.now, is_last);
    }

    /// Counts the remaining traffic of a join that ends.
    pub(super) fn account_join_traffic(&mut self, join: &mut JoinConnection) {
        let traffic = join.take_uncounted_traffic(self.now);
        if let Some(account_key) = &join.account_key {
            self.accounting.count(account_key, join.title, &traffic);
        }
    }
}
