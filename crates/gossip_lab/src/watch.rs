//! What came of a run.

use badgerledge_gossip::{Member, MemberState};

use crate::Net;

/// Pairs of members in which one holds the other for what it is not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Live ones that are held for dead, or not known.
    pub missed: usize,
    /// Dead ones that are held for alive or suspect.
    pub haunted: usize,
    /// Live ones under suspicion.
    pub suspected: usize,
}

impl Settled {
    pub fn is(&self) -> bool {
        self.missed == 0 && self.haunted == 0
    }
}

/// How far the views of all live members agree with what is so.
pub fn settled(net: &Net) -> Settled {
    let live: Vec<Member> = net.live().map(|(member, _)| member).collect();
    let mut found = Settled::default();
    for (_, gossip) in net.live() {
        for member in &live {
            match gossip.view().state_of(*member) {
                Some(MemberState::Alive) => {}
                Some(MemberState::Suspect) => found.suspected += 1,
                _ => found.missed += 1,
            }
        }
        let held = gossip.view().members().filter(|(_, known)| known.state.is_active());
        found.haunted += held.filter(|(member, _)| live.binary_search(member).is_err()).count();
    }
    found
}
