//! Datagrams to the other controllers.

use std::net::SocketAddr;

use badgerledge_deployment::Deployment;

use super::Ends;

impl Ends {
    /// Sends another controller a message: signed, where there is gossip.
    pub fn tell(&mut self, peer: u32, bytes: &[u8]) {
        if let Some(gossiping) = &mut self.gossiping {
            return gossiping.send_message(&self.reactor, self.now, peer, bytes);
        }
        let at = self.deployment.place.peers.get(peer as usize);
        if let (Some(line), Some(at)) = (self.datagrams, at) {
            self.reactor.send_to(line, *at, bytes);
        }
    }

    /// Sends a module's message to one peer, or to all.
    pub(super) fn send_signal(&mut self, peer: Option<u16>, bytes: &[u8]) {
        /// The most that a message may carry, as the deployments permit.
        const LONGEST: usize = 256;
        let Some(line) = self.datagrams.filter(|_| bytes.len() <= LONGEST) else { return };
        let me = self.deployment.place.number as usize;
        let peers = self.deployment.place.peers.iter().enumerate();
        for (_, at) in peers.filter(|(n, _)| *n != me && peer.is_none_or(|peer| usize::from(peer) == *n)) {
            self.reactor.send_to(line, *at, bytes);
        }
    }
}

/// Which peer a datagram is from; nothing where it is from none.
pub fn peer_at(deployment: &Deployment, from: SocketAddr) -> Option<u32> {
    deployment.place.peers.iter().position(|peer| *peer == from).map(|n| n as u32)
}
