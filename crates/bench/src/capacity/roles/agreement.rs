//! Agreement on settings: the stated bound, the time from a push until all act on it, and what a keeper and another member
//! spend.

use std::time::Duration;

use anyhow::Result;
use badgerledge_revisions::{lease_duration_for, ActivationMode, Member};

use super::agreement_net::{Net, Spent};
use super::signatures::SignatureCost;
use super::{Role, BYTES_A_SECOND, CONTROLLERS, CORE_SHARE, IN_FORCE_WITHIN_S, MEMORY_BYTES};
use crate::capacity::measure::{with_live_bytes, Reading};

pub const KEEPERS: Member = 5;
const SETTLES: Duration = Duration::from_secs(20);
const QUIET: Duration = Duration::from_secs(30);
/// A push that is not in force by then is told as this.
const MAX_RUN: Duration = Duration::from_secs(600);

pub const ROLE: Role = Role {
    name: "agreement",
    size_unit: "members",
    sizes: &[30, 60, 120, 240, 480, 960],
    plan_size: CONTROLLERS,
    measure: |size, seed| readings(size as Member, seed),
};

fn readings(members: Member, seed: u64) -> Result<Vec<Reading>> {
    let cost = SignatureCost::measure()?;
    let keepers = KEEPERS.min(members);
    let settles = SETTLES.max(lease_duration_for(usize::from(members)) * 2);
    let (mut net, live) = with_live_bytes(|| {
        let mut net = Net::new(members, keepers, ActivationMode::Hold, seed);
        net.run(net.now + settles);
        net
    });
    let (keeper, member) = (net.spent(0), net.spent(members - 1));
    let span = QUIET.max(net.lease());
    net.run(net.now + span);
    let quiet_keeper = Rates::between(keeper, net.spent(0), span);
    let quiet_member = Rates::between(member, net.spent(members - 1), span);
    let held_quiet = net.held();
    net.push(members - 1, b"changed");
    let all_act = |net: &Net| net.acting_on(1) == usize::from(members);
    let took = net.run_until(MAX_RUN, all_act).unwrap_or(MAX_RUN);
    let none_held = net.run_until(MAX_RUN - took, |net| net.held() == 0);
    let free_again = took + none_held.unwrap_or(MAX_RUN - took);
    Ok(vec![
        Reading::new("stated bound", "s", net.bound().as_secs_f64()).limited(IN_FORCE_WITHIN_S),
        Reading::new("push until all act on it", "s", took.as_secs_f64()).limited(IN_FORCE_WITHIN_S),
        Reading::new("push until none holds joins back", "s", free_again.as_secs_f64()),
        Reading::new("members that hold joins back before the push", "", held_quiet as f64),
        Reading::new("members that hold joins back at the end", "", net.held() as f64),
        Reading::new("keeper, received", "datagrams a second", quiet_keeper.received),
        Reading::new("keeper, sent", "bytes a second", quiet_keeper.sent_bytes).limited(BYTES_A_SECOND),
        Reading::new("keeper, processor", "of a core", quiet_keeper.with_signatures(&cost))
            .limited(CORE_SHARE),
        Reading::new(
            "keeper, kept from sending by the ceiling",
            "datagrams a second",
            quiet_keeper.held_back,
        ),
        Reading::new("member, sent", "bytes a second", quiet_member.sent_bytes).limited(BYTES_A_SECOND),
        Reading::new("member, processor", "of a core", quiet_member.with_signatures(&cost))
            .limited(CORE_SHARE),
        Reading::new("memory of a member", "bytes", live / f64::from(members)).limited(MEMORY_BYTES),
    ])
}

/// What a seat spends in a second.
pub struct Rates {
    pub sent: f64,
    pub sent_bytes: f64,
    pub received: f64,
    pub held_back: f64,
    pub processor: f64,
}

impl Rates {
    pub fn between(before: Spent, after: Spent, span: Duration) -> Self {
        let rate = |of: fn(&Spent) -> u64| (of(&after) - of(&before)) as f64 / span.as_secs_f64();
        Self {
            sent: rate(|spent| spent.sent),
            sent_bytes: rate(|spent| spent.sent_bytes),
            received: rate(|spent| spent.received),
            held_back: rate(|spent| spent.held_back),
            processor: (after.processor - before.processor).as_secs_f64() / span.as_secs_f64(),
        }
    }

    /// Each datagram is signed by who sends it and checked by who takes it.
    pub fn with_signatures(&self, cost: &SignatureCost) -> f64 {
        self.processor + (self.sent * cost.sign_ms + self.received * cost.check_ms) / 1000.0
    }
}
