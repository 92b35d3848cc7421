//! Links and rack uplinks that are shared in equal parts: who asks for how much gets which share.

use std::collections::BTreeMap;

/// What one link or uplink gives, and what is asked of it, kB a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pipe {
    pub gives: f64,
    pub asked: f64,
}

impl Pipe {
    /// What is asked over what it gives.
    pub fn fullness(&self) -> f64 {
        self.asked / self.gives.max(1e-9)
    }

    /// The share of its rate that everybody on it gets.
    pub fn share(&self) -> f64 {
        (1.0 / self.fullness().max(1e-9)).min(1.0)
    }
}

/// The links of a fleet and the uplinks of its racks.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// By streamer, with its rack.
    links: BTreeMap<usize, (Pipe, usize)>,
    uplinks: BTreeMap<usize, Pipe>,
}

impl Links {
    pub fn set_link(&mut self, streamer: usize, rack: usize, gives: f64) {
        let pipe = self.links.entry(streamer).or_insert((Pipe::default(), rack));
        (pipe.0.gives, pipe.1) = (gives, rack);
    }

    pub fn set_uplink(&mut self, rack: usize, gives: f64) {
        self.uplinks.entry(rack).or_default().gives = gives;
    }

    /// Sets anew what each streamer's streams ask of its link; the uplinks follow.
    pub fn ask(&mut self, asked: impl Iterator<Item = (usize, f64)>) {
        self.links.values_mut().for_each(|(link, _)| link.asked = 0.0);
        self.uplinks.values_mut().for_each(|uplink| uplink.asked = 0.0);
        for (streamer, rate) in asked {
            let Some((link, rack)) = self.links.get_mut(&streamer) else { continue };
            link.asked = rate;
            self.uplinks.entry(*rack).or_default().asked += rate;
        }
    }

    pub fn link(&self, streamer: usize) -> Pipe {
        self.links.get(&streamer).map_or(Pipe::default(), |(link, _)| *link)
    }

    pub fn uplink(&self, streamer: usize) -> Pipe {
        let rack = self.links.get(&streamer).map(|(_, rack)| *rack);
        rack.and_then(|rack| self.uplinks.get(&rack)).copied().unwrap_or_default()
    }

    /// The share of its rate that a stream of this streamer gets: the link and the uplink bind alike.
    pub fn share(&self, streamer: usize) -> f64 {
        self.link(streamer).share().min(self.uplink(streamer).share())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn links_and_uplinks_are_shared_in_equal_parts() {
        let mut links = Links::default();
        for streamer in 0..3 {
            links.set_link(streamer, streamer / 2, 100.0);
        }
        links.set_uplink(0, 120.0);
        links.set_uplink(1, 1000.0);
        links.ask([(0, 80.0), (1, 160.0), (2, 50.0)].into_iter());
        assert_eq!(links.share(0), 0.5, "the uplink of rack 0 is asked for 240 of 120");
        assert_eq!(links.share(1), 0.5, "and binds more than the link");
        assert_eq!((links.share(2), links.link(2).fullness()), (1.0, 0.5));
        links.ask([(1, 160.0)].into_iter());
        assert_eq!((links.share(0), links.share(1)), (0.75, 0.625));
    }
}
