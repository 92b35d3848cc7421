//! A control machine's part where a region is cut off: it vouches for the revision that it acts on.

use std::time::Duration;

use crate::control::{ControlMachine, ControlOutput};
use crate::message::{PartitionStatus, PeerMessage};
use crate::regional::RegionalGrant;
use crate::state::{Edit, State};
use crate::{Digest, MachineId, Signer};

/// Tells whether edits of a state change what two controllers must not act on in both ways at once.
pub type ExclusiveCheck = Box<dyn FnMut(&State, &[Edit]) -> bool + Send>;

/// Takes every change for exclusive.
pub(crate) fn all_exclusive() -> ExclusiveCheck {
    Box::new(|_, _| true)
}

impl<H: Signer> ControlMachine<H> {
    /// Has the edits of each revision judged, for regions apart. Without this every revision counts as exclusive.
    pub fn set_exclusive_check(&mut self, check: ExclusiveCheck) {
        self.exclusive_check = check;
    }

    /// What an operator is shown of regions apart.
    pub fn apart_status(&self, now: Duration) -> PartitionStatus {
        let waits = self.revisions.exclusive_waits(now).into_iter();
        PartitionStatus {
            max_partition_ms: self.config.apart.as_millis() as u64,
            vouches: self.revisions.may_vouch(now).is_some(),
            waits_ms: waits.map(|(machine, left)| (machine, left.as_millis() as u64)).collect(),
            regional_leases: self.relay.regional_leases(),
        }
    }

    /// This machine's regional grant, while it may vouch.
    fn regional_grant(&self, now: Duration, root: Digest) -> Option<RegionalGrant> {
        let allowed = self.revisions.may_vouch(now)?;
        Some(RegionalGrant::sign(self.hand(), self.config.me, root, allowed))
    }

    pub(super) fn serve_regional_grant(
        &mut self, now: Duration, from: MachineId, root: Digest, out: &mut Vec<ControlOutput>,
    ) {
        if self.peers.may_ask(now, from) {
            let grant = self.regional_grant(now, root).map(PeerMessage::RegionalGrant);
            out.extend(grant.map(|message| ControlOutput::ToPeer(from, message)));
        }
    }

    pub(super) fn take_regional_grant(
        &mut self, from: MachineId, grant: RegionalGrant, out: &mut Vec<ControlOutput>,
    ) {
        if grant.machine == from && self.relay.awaits_regional(&grant) && grant.holds(self.hand()) {
            self.relay.vouched(grant, out);
        }
    }

    /// Asks this machine and all others that it can reach to vouch, for watchers whom no quorum of acceptors answered.
    pub(super) fn ask_for_regional_grants(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        if self.config.apart.is_zero() {
            return;
        }
        let enough = crate::quorum(self.hand().acceptors().len());
        let me = self.config.me;
        for (root, vouched) in self.relay.regional_asks(now, enough) {
            if let Some(grant) = self.regional_grant(now, root).filter(|_| !vouched.contains(&me)) {
                self.take_regional_grant(me, grant, out);
            }
            let members = self.hand().members().iter().copied();
            let others: Vec<MachineId> =
                members.filter(|peer| *peer != me && !vouched.contains(peer)).collect();
            for peer in others.into_iter().filter(|peer| self.peers.is_heard(now, *peer)) {
                out.push(ControlOutput::ToPeer(peer, PeerMessage::RequestRegionalGrant { root }));
            }
        }
    }
}
