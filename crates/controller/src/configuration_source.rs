//! The source of the shared configuration while the controller runs: revisions that controllers agree on
//! among themselves, or those that control machines distribute. The event loop treats both alike.

use std::time::Duration;

use anyhow::Result;
use badgerledge_catalogue::Catalogue;
use badgerledge_deployment::Deployment;
use badgerledge_reactor::{Reactor, ReactorEvent, SocketId};

use crate::changing::Change;
use crate::distributing::DistributionDriver;
use crate::gossiping::GossipDriver;
use crate::revising::RevisionDriver;

/// A source of changes of the shared configuration.
pub enum ConfigurationSource {
    Revisions(Box<RevisionDriver>),
    Distribution(Box<DistributionDriver>),
}

impl ConfigurationSource {
    /// `None` where the shared configuration comes from the settings file alone.
    ///
    /// # Errors
    /// If the settings of the source are invalid or its files unusable.
    pub fn new(
        reactor: &mut Reactor, deployment: &Deployment, titles: &Catalogue, gossip: Option<&GossipDriver>,
        seed: u64,
    ) -> Result<Option<Self>> {
        if let Some(distribution) = DistributionDriver::new(reactor, deployment, titles, seed)? {
            return Ok(Some(Self::Distribution(Box::new(distribution))));
        }
        let Some(gossip) = gossip else { return Ok(None) };
        let revisions = RevisionDriver::new(reactor, deployment, titles, gossip, seed)?;
        Ok(revisions.map(|revisions| Self::Revisions(Box::new(revisions))))
    }

    /// The driver of revisions among controllers, which also exchanges positions of the list.
    pub fn revisions(&mut self) -> Option<&mut RevisionDriver> {
        match self {
            Self::Revisions(revisions) => Some(revisions),
            Self::Distribution(_) => None,
        }
    }

    /// When [`Self::poll`] has work to do next.
    pub fn next_due(&self) -> Duration {
        match self {
            Self::Revisions(revisions) => revisions.next_due(),
            Self::Distribution(distribution) => distribution.next_due(),
        }
    }

    /// Sets the one time that all events of this iteration of the event loop are handled with.
    pub fn set_now(&mut self, now: Duration) {
        match self {
            Self::Revisions(revisions) => revisions.set_now(now),
            Self::Distribution(distribution) => distribution.set_now(now),
        }
    }

    /// Does the work that is due.
    pub fn poll(&mut self, reactor: &mut Reactor, gossip: Option<&mut GossipDriver>, now: Duration) {
        match (self, gossip) {
            (Self::Revisions(revisions), Some(gossip)) => {
                gossip.take_new_keys().iter().for_each(|keys| revisions.replace_keys(keys));
                revisions.poll(reactor, gossip, now);
            }
            (Self::Revisions(_), None) => {}
            (Self::Distribution(distribution), _) => distribution.poll(reactor, now),
        }
    }

    /// Accepts a connection if it came in on a listener of this source.
    pub fn accept(&mut self, reactor: &mut Reactor, connection: SocketId, listener: SocketId) -> bool {
        self.revisions().is_some_and(|revisions| revisions.accept(reactor, connection, listener))
    }

    /// Whether a connection belongs to this source.
    pub fn owns(&self, connection: SocketId) -> bool {
        match self {
            Self::Revisions(revisions) => revisions.owns(connection),
            Self::Distribution(distribution) => distribution.owns(connection),
        }
    }

    /// Handles an event on one of its connections.
    pub fn handle_event(
        &mut self, reactor: &mut Reactor, gossip: Option<&mut GossipDriver>, connection: SocketId,
        event: &ReactorEvent,
    ) {
        match (self, event) {
            (Self::Revisions(revisions), ReactorEvent::Opened(_)) => revisions.opened(reactor, connection),
            (Self::Revisions(revisions), ReactorEvent::Closed(..)) => revisions.closed(connection),
            (Self::Revisions(revisions), _) => {
                gossip.into_iter().for_each(|gossip| revisions.readable(reactor, gossip, connection));
            }
            (Self::Distribution(distribution), ReactorEvent::Opened(_)) => {
                distribution.opened(reactor, connection)
            }
            (Self::Distribution(distribution), ReactorEvent::Closed(..)) => {
                distribution.closed(reactor, connection)
            }
            (Self::Distribution(distribution), _) => distribution.readable(reactor, connection),
        }
    }

    /// The configuration to apply from now on, if it has changed.
    pub fn take_change(&mut self) -> Option<Change> {
        match self {
            Self::Revisions(revisions) => revisions.take_change(),
            Self::Distribution(distribution) => distribution.take_change(),
        }
    }

    /// Whether new joins are held back at this time, and if so the retry delay for viewers.
    pub fn hold_new_joins(&mut self, now: Duration) -> Option<Duration> {
        match self {
            Self::Revisions(revisions) => revisions.hold_new_joins(now),
            Self::Distribution(distribution) => distribution.hold_new_joins(now),
        }
    }

    /// The index of this controller's zone, which is stable while its name may change.
    pub fn zone(&self) -> usize {
        match self {
            Self::Revisions(revisions) => revisions.zone(),
            Self::Distribution(distribution) => distribution.zone(),
        }
    }

    /// Records that the catalogue's own file was reloaded.
    pub fn catalogue_reloaded(&self, titles: &Catalogue) {
        match self {
            Self::Revisions(revisions) => revisions.catalogue_reloaded(titles),
            Self::Distribution(distribution) => distribution.catalogue_reloaded(titles),
        }
    }
}
