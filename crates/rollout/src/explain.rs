//! Evidence and waits in words. No commas: the words become the value of a setting, where a comma begins
//! another one.

use std::fmt;

use crate::measure::Measure;
use crate::verdict::{Evidence, Waits};

/// The names of the measures in settings and messages.
pub const MEASURE_NAMES: [(Measure, &str); 5] = [
    (Measure::JoinsLost, "joins_lost"),
    (Measure::Throttled, "throttled"),
    (Measure::Terminated, "terminated"),
    (Measure::Late, "late"),
    (Measure::Unserved, "unserved"),
];

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = MEASURE_NAMES.iter().find(|(measure, _)| measure == self);
        f.write_str(named.map_or("unknown", |(_, name)| name))
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Evidence::CrashLoop(member) => write!(f, "member {member} is in a crash loop"),
            Evidence::NotReady(member) => write!(f, "member {member} is not ready on the new side in time"),
            Evidence::BrokeARule(member) => write!(f, "member {member} broke a rule by its own count"),
            Evidence::NearALimit(member) => write!(f, "member {member} is near a limit of its resources"),
            Evidence::Refuses(member) => write!(f, "member {member} refuses its revision"),
            Evidence::Worse { measure, zone, room_type, more, deviation } => {
                write!(f, "{measure} is worse by {more:.4} (deviation {deviation:.4})")?;
                if let Some(zone) = zone {
                    write!(f, " in zone {zone}")?;
                }
                if let Some(room_type) = room_type {
                    write!(f, " for room type {room_type}")?;
                }
                Ok(())
            }
        }
    }
}

impl fmt::Display for Waits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Waits::Time => f.write_str("the stage's least duration"),
            Waits::Silent(member) => write!(f, "word of member {member}"),
            Waits::Zones => f.write_str("a zone with both sides and no trouble of its own"),
            Waits::BothSuffer(measure) => write!(f, "{measure} to be usual again on the old side"),
            Waits::TooFew(measure) => {
                write!(f, "more requests: what was seen would not show the harm in {measure}")
            }
        }
    }
}
