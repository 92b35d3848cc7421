//! What crosses between buildings, counted from the joins into the accounts.

use badgerledge_accounts::Amount;

use super::Ends;
use crate::join::JoinLine;

impl Ends {
    /// Counts what has crossed on all joins since it was counted last, and stores the sums.
    pub fn settle_accounts(&mut self, ends: bool) {
        for join in self.joins.values_mut() {
            let crossed = join.take_crossed(self.now);
            if let Some(key) = join.key.as_ref().filter(|_| crossed != Amount::default()) {
                self.accounting.count(key, join.title, &crossed);
            }
        }
        self.accounting.store(self.now, ends);
    }

    /// Counts what has crossed on a join that ends.
    pub(super) fn settle_join(&mut self, join: &mut JoinLine) {
        let crossed = join.take_crossed(self.now);
        if let Some(key) = &join.key {
            self.accounting.count(key, join.title, &crossed);
        }
    }
}
