//! Where the shared configuration comes from while the controller runs: revisions that controllers agree on among
//! themselves, or those that control machines hand down. The program's loop has one path for both.

use std::time::Duration;

use anyhow::Result;
use badgerledge_catalogue::Catalogue;
use badgerledge_deployment::Deployment;
use badgerledge_reactor::{Happening, Line, Reactor};

use crate::changing::Change;
use crate::distributing::Distributing;
use crate::gossiping::Gossiping;
use crate::revising::Revising;

/// A source of changes of the shared configuration.
pub enum ConfigurationSource {
    Revisions(Box<Revising>),
    Distribution(Box<Distributing>),
}

impl ConfigurationSource {
    /// Nothing where the deployment has the shared configuration in its file alone.
    ///
    /// # Errors
    /// Where what the deployment names is not in order.
    pub fn new(
        reactor: &mut Reactor, deployment: &Deployment, titles: &Catalogue, gossiping: Option<&Gossiping>,
        seed: u64,
    ) -> Result<Option<Self>> {
        if let Some(distributing) = Distributing::new(reactor, deployment, titles, seed)? {
            return Ok(Some(Self::Distribution(Box::new(distributing))));
        }
        let Some(gossiping) = gossiping else { return Ok(None) };
        let revising = Revising::new(reactor, deployment, titles, gossiping, seed)?;
        Ok(revising.map(|revising| Self::Revisions(Box::new(revising))))
    }

    /// The revisions among controllers, which also tell each other of their lists.
    pub fn revisions(&mut self) -> Option<&mut Revising> {
        match self {
            Self::Revisions(revising) => Some(revising),
            Self::Distribution(_) => None,
        }
    }

    pub fn next_due(&self) -> Duration {
        match self {
            Self::Revisions(revising) => revising.next_due(),
            Self::Distribution(distributing) => distributing.next_due(),
        }
    }

    /// One time for all that a wake brings.
    pub fn wakes(&mut self, now: Duration) {
        match self {
            Self::Revisions(revising) => revising.wakes(now),
            Self::Distribution(distributing) => distributing.wakes(now),
        }
    }

    /// Does what is due.
    pub fn tend(&mut self, reactor: &mut Reactor, gossiping: Option<&mut Gossiping>, now: Duration) {
        match (self, gossiping) {
            (Self::Revisions(revising), Some(gossiping)) => {
                gossiping.take_new_keys().iter().for_each(|keys| revising.take_keys(keys));
                revising.tend(reactor, gossiping, now);
            }
            (Self::Revisions(_), None) => {}
            (Self::Distribution(distributing), _) => distributing.tend(reactor, now),
        }
    }

    /// Takes a connection that came in, if it is for this.
    pub fn accepts(&mut self, reactor: &mut Reactor, line: Line, listener: Line) -> bool {
        self.revisions().is_some_and(|revising| revising.accepts(reactor, line, listener))
    }

    /// Whether a line is one of this part's own.
    pub fn is(&self, line: Line) -> bool {
        match self {
            Self::Revisions(revising) => revising.is(line),
            Self::Distribution(distributing) => distributing.is(line),
        }
    }

    /// Something happened on one of its lines.
    pub fn take(
        &mut self, reactor: &mut Reactor, gossiping: Option<&mut Gossiping>, line: Line,
        happening: &Happening,
    ) {
        match (self, happening) {
            (Self::Revisions(revising), Happening::Opened(_)) => revising.opened(reactor, line),
            (Self::Revisions(revising), Happening::Closed(..)) => revising.closed(line),
            (Self::Revisions(revising), _) => {
                gossiping.into_iter().for_each(|gossiping| revising.readable(reactor, gossiping, line));
            }
            (Self::Distribution(distributing), Happening::Opened(_)) => distributing.opened(reactor, line),
            (Self::Distribution(distributing), Happening::Closed(..)) => distributing.closed(reactor, line),
            (Self::Distribution(distributing), _) => distributing.readable(reactor, line),
        }
    }

    /// What to act on from now on, if it has changed.
    pub fn take_change(&mut self) -> Option<Change> {
        match self {
            Self::Revisions(revising) => revising.take_change(),
            Self::Distribution(distributing) => distributing.take_change(),
        }
    }

    /// Whether new joins are held back at this time, and when viewers may come back.
    pub fn holds_back(&mut self, now: Duration) -> Option<Duration> {
        match self {
            Self::Revisions(revising) => revising.holds_back(now),
            Self::Distribution(distributing) => distributing.holds_back(now),
        }
    }

    /// The number of this controller's zone: the name may change.
    pub fn zone(&self) -> usize {
        match self {
            Self::Revisions(revising) => revising.zone(),
            Self::Distribution(distributing) => distributing.zone(),
        }
    }

    /// The catalogue's own file was read anew.
    pub fn titles_read(&self, titles: &Catalogue) {
        match self {
            Self::Revisions(revising) => revising.titles_read(titles),
            Self::Distribution(distributing) => distributing.titles_read(titles),
        }
    }
}
