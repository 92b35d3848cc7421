//! Service as the users count it: benefit within the join objective over benefit asked for.

use std::time::Duration;

use badgerledge_deployment::Shared;

/// Sums of benefit by second and by room type.
#[derive(Clone, Debug)]
pub struct Tally {
    names: Vec<String>,
    /// For each second of the day, offered and earned; the same by room type.
    seconds: Vec<(f64, f64)>,
    room_types: Vec<(f64, f64)>,
    /// Steps in each second.
    steps: Vec<Steps>,
}

/// Changes of the rung that viewers saw while they played.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Steps {
    pub up: u64,
    pub down: u64,
    /// Those of them that took back the one before, of the same subscription, within [`SWING`].
    pub swings: u64,
}

/// A step that is taken back sooner than this is a swing: a viewer sees the picture flicker.
pub const SWING: Duration = Duration::from_secs(5);

/// The stretch whose worst the users look at.
const WINDOW: usize = 10;

impl Tally {
    pub fn new(shared: &Shared) -> Self {
        let names: Vec<String> = shared.room_types.iter().map(|(name, _)| name.clone()).collect();
        Self { room_types: vec![(0.0, 0.0); names.len()], names, seconds: Vec::new(), steps: Vec::new() }
    }

    /// Counts benefit that was offered, and what of it was earned, around a time since the day's start.
    pub fn count(&mut self, at: Duration, room_type: usize, offered: f64, earned: f64) {
        let second = at.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0.0, 0.0));
        }
        for sum in [Some(&mut self.seconds[second]), self.room_types.get_mut(room_type)].into_iter().flatten()
        {
            *sum = (sum.0 + offered, sum.1 + earned);
        }
    }

    /// Counts a step up or down.
    pub fn step(&mut self, at: Duration, up: bool, swing: bool) {
        let second = at.as_secs() as usize;
        if self.steps.len() <= second {
            self.steps.resize(second + 1, Steps::default());
        }
        let steps = &mut self.steps[second];
        *if up { &mut steps.up } else { &mut steps.down } += 1;
        steps.swings += u64::from(swing);
    }

    /// Each second's steps, as far as there were any.
    pub fn steps(&self) -> &[Steps] {
        &self.steps
    }

    /// Over the whole day.
    pub fn whole(&self) -> f64 {
        ratio(self.seconds.iter())
    }

    /// Over the worst ten seconds in which anything was asked for.
    pub fn worst_window(&self) -> f64 {
        let windows = self.seconds.windows(WINDOW.min(self.seconds.len().max(1)));
        windows.map(|window| ratio(window.iter())).fold(1.0, f64::min)
    }

    /// Of the worst room type, with its name.
    pub fn worst_room_type(&self) -> (f64, &str) {
        let each = self
            .room_types
            .iter()
            .zip(&self.names)
            .map(|(sum, name)| (ratio([sum].into_iter()), name.as_str()));
        each.fold((1.0, ""), |worst, one| if one.0 < worst.0 || worst.1.is_empty() { one } else { worst })
    }

    /// Each second: benefit offered and earned.
    pub fn seconds(&self) -> &[(f64, f64)] {
        &self.seconds
    }

    pub fn room_types(&self) -> impl Iterator<Item = (&str, f64)> {
        self.names.iter().zip(&self.room_types).map(|(name, sum)| (name.as_str(), ratio([sum].into_iter())))
    }
}

fn ratio<'a>(sums: impl Iterator<Item = &'a (f64, f64)>) -> f64 {
    let (offered, earned) = sums.fold((0.0, 0.0), |(o, e), (offered, earned)| (o + offered, e + earned));
    if offered > 0.0 {
        earned / offered
    } else {
        1.0
    }
}
