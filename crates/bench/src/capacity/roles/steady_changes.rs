//! Agreement under the plan's stream of changes: how many are in force in time, how long members hold joins back meanwhile,
//! and what a keeper and another member spend.

use std::time::Duration;

use anyhow::Result;
use badgerledge_revisions::{lease_duration_for, ActivationMode, Member};

use super::agreement::{Rates, KEEPERS};
use super::agreement_net::Net;
use super::signatures::SignatureCost;
use super::{Role, BYTES_A_SECOND, CHANGES_A_SECOND, CONTROLLERS, CORE_SHARE, IN_FORCE_WITHIN_S};
use crate::capacity::measure::Reading;

const CHANGES: usize = 20;
const LOOK_EVERY: Duration = Duration::from_millis(100);

pub const HOLD: Role = Role {
    name: "steady-changes-hold",
    size_unit: "members",
    sizes: &[15, 30, 60, 120, 180, 240, 480],
    plan_size: CONTROLLERS,
    measure: |size, seed| readings(size as Member, ActivationMode::Hold, seed),
};

pub const WAIT: Role = Role {
    name: "steady-changes-wait",
    size_unit: "members",
    sizes: &[15, 30, 60, 120, 180, 240, 480],
    plan_size: CONTROLLERS,
    measure: |size, seed| readings(size as Member, ActivationMode::Wait, seed),
};

/// Changes that fall due one after the other. The author pushes the next once the one before is certified: each has its
/// number, and none is refused for naming an old base.
struct Stream {
    begun: Duration,
    apart: Duration,
    pushed: usize,
    /// When each was acted on by all.
    in_force: Vec<Duration>,
}

impl Stream {
    fn due(&self, change: usize) -> Duration {
        self.begun + self.apart * change as u32
    }

    fn push(&mut self, net: &mut Net, author: Member) {
        let certified = net.next_number(author) as usize == self.pushed + 1;
        if self.pushed < CHANGES && net.now >= self.due(self.pushed) && certified {
            net.push(author, format!("change {}", self.pushed).as_bytes());
            self.pushed += 1;
        }
    }

    fn look(&mut self, net: &Net) {
        let all = net.oldest_active() as usize;
        self.in_force.resize(all.max(self.in_force.len()), net.now);
    }

    /// The part of all changes that was not in force within the plan's time of falling due.
    fn late(&self) -> f64 {
        let within = Duration::from_secs_f64(IN_FORCE_WITHIN_S);
        let in_time = self.in_force.iter().enumerate().filter(|(n, at)| **at <= self.due(*n) + within);
        1.0 - in_time.count() as f64 / CHANGES as f64
    }

    /// Seconds from falling due to being in force, of the slowest that was.
    fn slowest(&self) -> f64 {
        let took = self.in_force.iter().enumerate().map(|(n, at)| (*at - self.due(n)).as_secs_f64());
        took.fold(0.0, f64::max)
    }
}

fn readings(members: Member, regime: ActivationMode, seed: u64) -> Result<Vec<Reading>> {
    let cost = SignatureCost::measure()?;
    let author = members - 1;
    let mut net = Net::new(members, KEEPERS.min(members), regime, seed);
    net.run(net.now + lease_duration_for(usize::from(members)) * 2 + Duration::from_secs(20));
    let (keeper, member) = (net.spent(0), net.spent(author - 1));
    let apart = Duration::from_secs_f64(1.0 / CHANGES_A_SECOND);
    let mut stream = Stream { begun: net.now, apart, pushed: 0, in_force: Vec::new() };
    let (mut held, mut looks) = (0usize, 0usize);
    let end = stream.due(CHANGES) + Duration::from_secs_f64(IN_FORCE_WITHIN_S);
    while net.now < end {
        stream.push(&mut net, author);
        net.run(net.now + LOOK_EVERY);
        stream.look(&net);
        held += net.held();
        looks += usize::from(members);
    }
    let span = net.now - stream.begun;
    let keeper = Rates::between(keeper, net.spent(0), span);
    let member = Rates::between(member, net.spent(author - 1), span);
    Ok(vec![
        Reading::new("changes not in force in time", "of all", stream.late()).limited(0.0),
        Reading::new("changes in force at the end", "", stream.in_force.len() as f64),
        Reading::new("slowest change", "s", stream.slowest()).limited(IN_FORCE_WITHIN_S),
        Reading::new("time that members hold joins back", "of all", held as f64 / looks as f64),
        Reading::new("keeper, sent", "bytes a second", keeper.sent_bytes).limited(BYTES_A_SECOND),
        Reading::new("keeper, kept from sending by the ceiling", "datagrams a second", keeper.held_back),
        Reading::new("keeper, processor", "of a core", keeper.with_signatures(&cost)).limited(CORE_SHARE),
        Reading::new("member, sent", "bytes a second", member.sent_bytes).limited(BYTES_A_SECOND),
        Reading::new("member, processor", "of a core", member.with_signatures(&cost)).limited(CORE_SHARE),
    ])
}
