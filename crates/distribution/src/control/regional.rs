//! Regional leases of a partitioned region: a control machine vouches for its active revision.

use std::time::Duration;

use crate::control::{ControlMachine, ControlOutput};
use crate::message::{PartitionStatus, PeerMessage};
use crate::regional::RegionalGrant;
use crate::state::{Edit, State};
use crate::{Digest, MachineId, Signer};

/// Decides whether edits of a state are exclusive: two controllers must not act on the old and the new state
/// at the same time.
pub type ExclusiveCheck = Box<dyn FnMut(&State, &[Edit]) -> bool + Send>;

/// Treats every change as exclusive.
pub(crate) fn all_exclusive() -> ExclusiveCheck {
    Box::new(|_, _| true)
}

impl<H: Signer> ControlMachine<H> {
    /// Sets the check that classifies the edits of each revision, for partitioned regions. The default treats
    /// every revision as exclusive.
    pub fn set_exclusive_check(&mut self, check: ExclusiveCheck) {
        self.exclusive_check = check;
    }

    /// The status of partitioned regions that is shown to operators.
    pub fn partition_status(&self, now: Duration) -> PartitionStatus {
        let waits = self.revisions.exclusive_waits(now).into_iter();
        PartitionStatus {
            max_partition_ms: self.config.max_partition.as_millis() as u64,
            vouches: self.revisions.may_vouch(now).is_some(),
            waits_ms: waits.map(|(machine, remaining)| (machine, remaining.as_millis() as u64)).collect(),
            regional_leases: self.relay.regional_leases(),
        }
    }

    /// This machine's regional grant; `None` while it must not vouch.
    fn regional_grant(&self, now: Duration, root: Digest) -> Option<RegionalGrant> {
        let allowed = self.revisions.may_vouch(now)?;
        Some(RegionalGrant::sign(self.signer(), self.config.machine, root, allowed))
    }

    pub(super) fn serve_regional_grant(
        &mut self, now: Duration, from: MachineId, root: Digest, out: &mut Vec<ControlOutput>,
    ) {
        if self.peers.try_request(now, from) {
            let grant = self.regional_grant(now, root).map(PeerMessage::RegionalGrant);
            out.extend(grant.map(|message| ControlOutput::ToPeer(from, message)));
        }
    }

    pub(super) fn on_regional_grant(
        &mut self, from: MachineId, grant: RegionalGrant, out: &mut Vec<ControlOutput>,
    ) {
        if grant.machine == from && self.relay.awaits_regional(&grant) && grant.is_valid(self.signer()) {
            self.relay.on_regional_grant(grant, out);
        }
    }

    /// Requests regional grants from this machine and all reachable others, for watchers that no quorum of
    /// acceptors granted a lease.
    pub(super) fn request_regional_grants(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        if self.config.max_partition.is_zero() {
            return;
        }
        let quorum = crate::quorum(self.signer().acceptors().len());
        let local_id = self.config.machine;
        for (root, vouched) in self.relay.regional_requests(now, quorum) {
            if let Some(grant) = self.regional_grant(now, root).filter(|_| !vouched.contains(&local_id)) {
                self.on_regional_grant(local_id, grant, out);
            }
            let members = self.signer().members().iter().copied();
            let others: Vec<MachineId> =
                members.filter(|peer| *peer != local_id && !vouched.contains(peer)).collect();
            for peer in others.into_iter().filter(|peer| self.peers.is_reachable(now, *peer)) {
                out.push(ControlOutput::ToPeer(peer, PeerMessage::RequestRegionalGrant { root }));
            }
        }
    }
}
