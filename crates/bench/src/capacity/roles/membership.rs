//! Membership by gossip, in simulated time: what each member spends when quiet, how soon all know all, how soon a death is
//! settled.

use std::time::Duration;

use anyhow::Result;
use badgerledge_gossip::{Member, MAX_MEMBERS};
use badgerledge_gossip_lab::{settled, Net};

use super::signatures::SignatureCost;
use super::{Role, BYTES_A_SECOND, CONTROLLERS, CORE_SHARE, MEMORY_BYTES};
use crate::capacity::measure::{processor_ms, with_live_bytes, Reading};

/// One in so many members is lost at once.
const ZONES: Member = 12;
/// Simulated time of the quiet stretch.
const QUIET: Duration = Duration::from_secs(20);
/// All pairs are looked at so seldom: it takes longer than the play between.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// A start or a death that is not settled by then is told as this.
const MAX_RUN: Duration = Duration::from_secs(400);

pub const ROLE: Role = Role {
    name: "membership",
    size_unit: "members",
    sizes: &[50, 100, 200, 300, 400, 600],
    plan_size: CONTROLLERS,
    measure: readings,
};

fn work(net: &Net) -> (f64, f64) {
    let counts = net.live().map(|(_, gossip)| &gossip.counts);
    counts.fold((0.0, 0.0), |(signed, checked), counts| {
        (signed + counts.signed as f64, checked + counts.checked as f64)
    })
}

fn readings(size: u64, seed: u64) -> Result<Vec<Reading>> {
    anyhow::ensure!(size as usize <= MAX_MEMBERS, "a ring has {MAX_MEMBERS} members at most");
    let members = size as Member;
    let cost = SignatureCost::measure()?;
    let mut net = Net::new(members, seed);
    net.start_all(Duration::from_secs(1));
    net.run(Duration::from_secs(1));
    let started_s = settled_within(&mut net) + 1.0;
    net.run(Duration::from_secs(20));
    let (since, before) = (net.now, work(&net));
    let used_ms = processor_ms(|| net.run(QUIET));
    let after = work(&net);
    let member_seconds = size as f64 * QUIET.as_secs_f64();
    let signing_ms = (after.0 - before.0) * cost.sign_ms + (after.1 - before.1) * cost.check_ms;
    let quiet_bytes = net.mean_rate(since);
    let memory = memory_of_view(&net);
    net.kill(members - 1);
    let death_s = settled_within(&mut net);
    let zone = || (0..members).filter(|member| member % ZONES == 1);
    zone().for_each(|member| net.kill(member));
    let lost_s = settled_within(&mut net);
    net.run(Duration::from_secs(30));
    zone().for_each(|member| net.start(member, 2));
    let returned_s = settled_within(&mut net);
    Ok(vec![
        Reading::new("members that the ring takes", "", size as f64).limited(MAX_MEMBERS as f64),
        Reading::new("quiet, sent", "bytes a second", quiet_bytes).limited(BYTES_A_SECOND),
        Reading::new("quiet, processor", "of a core", (used_ms + signing_ms) / 1000.0 / member_seconds)
            .limited(CORE_SHARE),
        Reading::new("memory of a member's records", "bytes", memory).limited(MEMORY_BYTES),
        Reading::new("all start in a second, all known to all", "s", started_s),
        Reading::new("one dies, all know", "s", death_s),
        Reading::new("one in twelve dies, all know", "s", lost_s),
        Reading::new("one in twelve returns at once without records, all know", "s", returned_s),
        Reading::new("worst second of any member, sent", "bytes", net.worst_second().0 as f64),
    ])
}

/// Seconds until all that live know all that live, and hold the others for dead.
fn settled_within(net: &mut Net) -> f64 {
    let begun = net.now;
    while !settled(net).is() && net.now < begun + MAX_RUN {
        net.run(LOOK_EVERY);
    }
    (net.now - begun).as_secs_f64()
}

/// Live bytes of one member that is told all records of another.
fn memory_of_view(net: &Net) -> f64 {
    let Some((_, gossip)) = net.live().next() else { return 0.0 };
    let records = gossip.records();
    let (me, now) = (0, net.now);
    let (member, bytes) = with_live_bytes(|| {
        let at = badgerledge_gossip_lab::address(me);
        let mut member = badgerledge_gossip::Gossip::new(me, net.keyring(me), 9, at, Vec::new(), now, 1);
        member.restore_records(now, records.clone(), &mut Vec::new());
        member
    });
    drop(member);
    bytes
}
