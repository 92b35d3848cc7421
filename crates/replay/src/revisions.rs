//! Revisions of a day: what reached the streamers, held against the bound.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::interface::SubscriptionRequest;
use badgerledge_revisions::{bound, lease_duration_for};

use crate::operators::Pushed;
use crate::script::RevisionsDay;

/// A set-up as it came to a streamer: the streamer's cell, and the title.
#[derive(Clone, Copy, Debug)]
pub struct SetUp {
    pub at: Duration,
    pub cell: u32,
    pub title: u64,
}

/// Where titles may lie by the texts of a day.
#[derive(Clone, Debug, Default)]
pub struct Lie {
    /// All numbers of cells.
    pub cells: BTreeSet<u32>,
    /// By title, its first cells and copies: more than one where a push puts it elsewhere.
    pub places: BTreeMap<u64, BTreeSet<(u32, u32)>>,
}

/// What came of a day's revisions.
#[derive(Clone, Debug)]
pub struct Revised {
    pub told: RevisionsDay,
    pub pushed: Vec<Pushed>,
    /// How long set-ups came that only an earlier number of cells or place of a title allows, after the first that only a
    /// later one does.
    pub overlap: Duration,
    pub bound: Duration,
    /// Changes of the number of cells, and of places of titles, that were seen in set-ups.
    pub seen: usize,
    /// Set-ups that no text of the day allows.
    pub strays: usize,
    /// Streams that play in the end where the last text lets nobody play.
    pub left_behind: usize,
    /// Pushes that did not come to what the day wants, by name.
    pub surprises: Vec<String>,
    /// What each running controller acts on in the end, and whether it holds back.
    pub active: Vec<(usize, Option<(u32, bool)>)>,
}

impl Revised {
    pub fn good(&self) -> bool {
        let first = self.active.first().and_then(|one| one.1);
        let same = self.active.iter().all(|one| one.1 == first) && first.is_some_and(|(_, held)| !held);
        let acted = first.map_or(0, |one| one.0) >= self.told.acted_on;
        self.overlap <= self.bound
            && self.seen > 0
            && self.strays == 0
            && self.left_behind == 0
            && self.surprises.is_empty()
            && (!self.told.settles || same && acted)
    }
}

impl std::fmt::Display for Revised {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let word = if self.good() { "in order" } else { "NOT in order" };
        let mut acting: BTreeMap<String, usize> = BTreeMap::new();
        for (_, one) in &self.active {
            let name = one.map_or("no answer".to_owned(), |(number, held)| {
                format!("{number}{}", if held { ", held back" } else { "" })
            });
            *acting.entry(name).or_default() += 1;
        }
        writeln!(
            f,
            "revisions  {word}: contradicting set-ups for {:.2} s at most ({:.2} allowed), {} changes of places seen, {} strays, \
             {} left behind; in the end {:?}",
            self.overlap.as_secs_f64(),
            self.bound.as_secs_f64(),
            self.seen,
            self.strays,
            self.left_behind,
            acting
        )?;
        for (name, code) in &self.pushed {
            let surprise = if self.surprises.contains(name) { ", NOT what the day wants" } else { "" };
            writeln!(f, "push  {name}: {code:?}{surprise}")?;
        }
        Ok(())
    }
}

/// How long two controllers may act on contradicting revisions in a day.
pub fn day_bound(members: usize, tick: Duration) -> Duration {
    bound(lease_duration_for(members), tick * 2)
}

/// What a set-up can show to be acted on: a number of cells, or a place of a title.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Shown {
    Cells(u32),
    Place(u64, (u32, u32)),
}

impl Shown {
    /// What contradicts it: other numbers of cells, or other places of that title.
    fn about(self) -> Option<u64> {
        match self {
            Shown::Cells(_) => None,
            Shown::Place(title, _) => Some(title),
        }
    }
}

/// Holds the set-ups that came to streamers against each other: one that only one of all numbers of cells allows, or only
/// one place of its title, shows that this one was acted on then; and after the first that shows a later one, it may be for
/// so long. Gives the longest that it was, how many changes were seen, and set-ups that nothing allows.
pub fn judge(set_ups: &[SetUp], lie: &Lie) -> (Duration, usize, usize) {
    let mut shown: BTreeMap<Shown, (Duration, Duration)> = BTreeMap::new();
    let mut strays = 0;
    for set_up in set_ups {
        let Some(places) = lie.places.get(&set_up.title) else { continue };
        let mut cells = BTreeSet::new();
        let mut allowed = BTreeSet::new();
        for place in places {
            let asked = SubscriptionRequest {
                first_cell: place.0,
                copies: place.1,
                ..SubscriptionRequest::default()
            };
            let fit: Vec<u32> =
                lie.cells.iter().copied().filter(|cells| asked.is_held_by(set_up.cell, *cells)).collect();
            if !fit.is_empty() {
                allowed.insert(*place);
            }
            cells.extend(fit);
        }
        strays += usize::from(cells.is_empty());
        let one_of_cells = cells.first().filter(|_| cells.len() == 1 && lie.cells.len() > 1);
        let one_place = allowed.first().filter(|_| allowed.len() == 1 && places.len() > 1);
        let shows = [
            one_of_cells.map(|cells| Shown::Cells(*cells)),
            one_place.map(|place| Shown::Place(set_up.title, *place)),
        ];
        for one in shows.into_iter().flatten() {
            let (first, last) = shown.entry(one).or_insert((set_up.at, set_up.at));
            (*first, *last) = (set_up.at.min(*first), set_up.at.max(*last));
        }
    }
    let mut spans: BTreeMap<Option<u64>, Vec<(Duration, Duration)>> = BTreeMap::new();
    shown.iter().for_each(|(one, span)| spans.entry(one.about()).or_default().push(*span));
    let (mut longest, mut seen) = (Duration::ZERO, 0);
    for of_one in spans.values_mut() {
        of_one.sort_unstable();
        seen += of_one.len() - 1;
        for (n, before) in of_one.iter().enumerate() {
            let over = of_one[n + 1..].iter().map(|after| before.1.saturating_sub(after.0));
            longest = over.fold(longest, Duration::max);
        }
    }
    (longest, seen, strays)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set_up(at: u64, cell: u32) -> SetUp {
        SetUp { at: Duration::from_millis(at), cell, title: 7 }
    }

    /// A title whose first cell is 5 lies on cell 1 of 4 and on cell 2 of 3.
    #[test]
    fn set_ups_under_two_rules_at_once_are_found() {
        let places = BTreeMap::from([(7, BTreeSet::from([(5, 1)]))]);
        let lie = Lie { cells: BTreeSet::from([3, 4]), places };
        let good = [set_up(0, 1), set_up(900, 1), set_up(1000, 2), set_up(2000, 2)];
        assert_eq!(judge(&good, &lie), (Duration::ZERO, 1, 0));
        let late = [set_up(0, 1), set_up(1000, 2), set_up(1700, 1), set_up(9000, 2)];
        assert_eq!(judge(&late, &lie), (Duration::from_millis(700), 1, 0));
        assert_eq!(judge(&[set_up(0, 0)], &lie), (Duration::ZERO, 0, 1));
    }

    #[test]
    fn a_title_in_two_places_at_once_is_found() {
        let places = BTreeMap::from([(7, BTreeSet::from([(0, 2), (2, 2)]))]);
        let lie = Lie { cells: BTreeSet::from([6]), places };
        let good = [set_up(0, 0), set_up(10, 1), set_up(900, 3), set_up(1000, 2)];
        assert_eq!(judge(&good, &lie), (Duration::ZERO, 1, 0));
        let late = [set_up(0, 0), set_up(900, 3), set_up(1500, 1)];
        assert_eq!(judge(&late, &lie), (Duration::from_millis(600), 1, 0));
    }
}
