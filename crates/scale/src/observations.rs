//! What was seen of members during a run. Simulator and hollow hosts note the same; observations of several hosts are
//! merged.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_distribution::{ControllerId, Number};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// A controller began to act on a revision, or to hold back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transition {
    pub controller: ControllerId,
    pub at: Duration,
    /// The revision that it acts on; nothing where it holds back or is off.
    pub acts_on: Option<Number>,
}

/// For each revision the first and the last time that any controller acted on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActedOn {
    spans: BTreeMap<Number, (Duration, Duration)>,
}

impl ActedOn {
    /// A controller acts on a revision at this time.
    pub fn note(&mut self, number: Number, at: Duration) {
        let span = self.spans.entry(number).or_insert((at, at));
        span.0 = span.0.min(at);
        span.1 = span.1.max(at);
    }

    pub fn merge(&mut self, other: &Self) {
        for (number, (first, last)) in &other.spans {
            self.note(*number, *first);
            self.note(*number, *last);
        }
    }

    /// When a revision, or a later one, was first acted on.
    pub fn first(&self, number: Number) -> Option<Duration> {
        self.spans.range(number..).map(|(_, span)| span.0).min()
    }

    /// The highest revision that was acted on by that time.
    pub fn highest_at(&self, at: Duration) -> Number {
        self.spans.iter().rev().find(|(_, span)| span.0 <= at).map_or(0, |(number, _)| *number)
    }

    /// The longest that a revision was still acted on after a later one was, and which one it was.
    pub fn longest_contradiction(&self) -> (Duration, Number) {
        self.longest_contradiction_of(|_| true)
    }

    /// The same where only some revisions contradict all before them, and with them those that come after.
    pub fn longest_contradiction_of(&self, exclusive: impl Fn(Number) -> bool) -> (Duration, Number) {
        let (mut longest, mut first_later, mut first_contradicting) =
            ((Duration::ZERO, 0), Duration::MAX, Duration::MAX);
        let highest = self.spans.keys().next_back().copied().unwrap_or(0);
        for number in (0..=highest).rev() {
            if let Some((first, last)) = self.spans.get(&number) {
                let contradiction = last.saturating_sub(first_contradicting);
                if contradiction > longest.0 {
                    longest = (contradiction, number);
                }
                first_later = first_later.min(*first);
            }
            if exclusive(number) {
                first_contradicting = first_later;
            }
        }
        longest
    }
}

/// Bytes of one member, by whole seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    second: u64,
    in_second: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub messages: u64,
}

/// The bytes of single members in single seconds.
#[derive(Clone, Debug)]
pub struct Seconds(Histogram<u64>);

impl Default for Seconds {
    fn default() -> Self {
        Self(histogram())
    }
}

/// A histogram that grows, of three digits.
pub fn histogram() -> Histogram<u64> {
    // Three significant digits are always taken.
    Histogram::new(3).unwrap_or_else(|_| unreachable!("a constant that the histogram takes"))
}

impl Meter {
    /// Notes a message, in or out, at this time.
    pub fn note(&mut self, at: Duration, bytes: u64, inwards: bool, seconds: &mut Seconds) {
        self.roll(at, seconds);
        self.in_second += bytes;
        self.messages += 1;
        if inwards {
            self.bytes_in += bytes;
        } else {
            self.bytes_out += bytes;
        }
    }

    /// Closes the seconds before this time.
    pub fn roll(&mut self, at: Duration, seconds: &mut Seconds) {
        let second = at.as_secs();
        if second > self.second {
            seconds.note(self.in_second, 1);
            seconds.note(0, second - self.second - 1);
            (self.second, self.in_second) = (second, 0);
        }
    }

    /// Forgets what was counted, from this time on.
    pub fn restart(&mut self, at: Duration) {
        *self = Self { second: at.as_secs(), ..Self::default() };
    }
}

impl Seconds {
    fn note(&mut self, bytes: u64, count: u64) {
        if count > 0 {
            // It grows as needed; more than a u64 holds can't come.
            let _ = self.0.record_n(bytes, count);
        }
    }

    pub fn merge(&mut self, other: &Self) {
        // Both grow by themselves.
        let _ = self.0.add(&other.0);
    }

    pub fn p99(&self) -> u64 {
        self.0.value_at_quantile(0.99)
    }

    pub fn worst(&self) -> u64 {
        self.0.max()
    }

    /// Value and count of each that was seen, for another process.
    pub fn counts(&self) -> Vec<(u64, u64)> {
        self.0.iter_recorded().map(|step| (step.value_iterated_to(), step.count_at_value())).collect()
    }

    pub fn of_counts(counts: &[(u64, u64)]) -> Self {
        let mut seconds = Self::default();
        counts.iter().for_each(|(value, count)| seconds.note(*value, *count));
        seconds
    }
}

/// What one member used in a run.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Used {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub messages: u64,
    pub cpu: Duration,
}

/// A change that an author was to push.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PushedChange {
    pub pushed: Duration,
    /// When its author heard what became of it.
    pub settled: Option<Duration>,
    /// The revision that it became part of.
    pub number: Option<Number>,
    /// It changed what must not be acted on in both ways at once.
    #[serde(default)]
    pub exclusive: bool,
}

/// All that was seen of a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The controllers that were looked at.
    pub members: Vec<ControllerId>,
    pub acted_on: ActedOn,
    pub transitions: Vec<Transition>,
    pub seconds: Seconds,
    pub controllers: Vec<Used>,
    pub machines: Vec<Used>,
    /// Spans in which a controller was off or cut off.
    pub away: BTreeMap<ControllerId, Vec<(Duration, Duration)>>,
    pub changes: Vec<PushedChange>,
    /// Changes that were turned down, with the reason.
    pub turned_down: Vec<String>,
    /// How long the rig itself stood still at most; the simulation never does.
    pub stalled: Duration,
    /// The longest time that the disk which all members share took for one block.
    pub disk_stalled: Duration,
    /// Memory of a controller and of a control machine, in bytes, on the mean.
    pub controller_memory: u64,
    pub machine_memory: u64,
}
