//! Datagrams between controllers.

use std::net::SocketAddr;

use badgerledge_deployment::Deployment;

use super::Connections;

impl Connections {
    /// Sends a message to another controller, signed where gossip is configured.
    pub fn send_to_peer(&mut self, peer: u32, bytes: &[u8]) {
        if let Some(gossiping) = &mut self.gossiping {
            return gossiping.send_message(&self.reactor, self.now, peer, bytes);
        }
        let address = self.deployment.place.peers.get(peer as usize);
        if let (Some(connection), Some(address)) = (self.peer_socket, address) {
            self.reactor.send_to(connection, *address, bytes);
        }
    }

    /// Sends a message of the module to one peer, or to all.
    pub(super) fn send_signal(&mut self, peer: Option<u16>, bytes: &[u8]) {
        /// Length limit of the module's messages, as the deployments permit.
        const MAX_SIGNAL_BYTES: usize = 256;
        let Some(connection) = self.peer_socket.filter(|_| bytes.len() <= MAX_SIGNAL_BYTES) else { return };
        let own_number = self.deployment.place.number as usize;
        let peers = self.deployment.place.peers.iter().enumerate();
        for (_, address) in peers.filter(|(number, _)| {
            *number != own_number && peer.is_none_or(|peer| usize::from(peer) == *number)
        }) {
            self.reactor.send_to(connection, *address, bytes);
        }
    }
}

/// The number of the peer that a datagram came from; `None` if it is not a peer.
pub fn peer_at(deployment: &Deployment, from: SocketAddr) -> Option<u32> {
    deployment.place.peers.iter().position(|peer| *peer == from).map(|number| number as u32)
}
