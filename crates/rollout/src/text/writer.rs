//! A roll's state as it is written.

use std::collections::BTreeMap;

use badgerledge_deployment::entries::setting_key;
use badgerledge_distribution::state::Entry;

use super::{SECTION, SETTINGS_SECTION, SLASH};
use crate::measure::Measure;
use crate::plan::Member;
use crate::state::{AfterStop, Fleet, Pace, Progress, Rollout, Spec, Subject};

impl Rollout {
    /// Its sections as text that [`Rollout::of`] reads again.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (section, keys) in self.sections() {
            text += &format!("[{section}]\n");
            keys.iter().for_each(|(key, value)| text += &format!("{key} = {value}\n"));
        }
        text
    }

    /// Its entries in the configuration's state, by key: for each section one that says its place, and
    /// one for each key.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (place, (section, keys)) in self.sections().into_iter().enumerate() {
            entries.push((setting_key(section, ""), place.to_string()));
            entries.extend(keys.into_iter().map(|(key, value)| (setting_key(section, &key), value)));
        }
        entries.into_iter().map(|(key, value)| Entry { key, value: value.into_bytes() }).collect()
    }

    fn sections(&self) -> Vec<(&'static str, BTreeMap<String, String>)> {
        let Self { spec, progress } = self;
        let mut keys = spec_keys(spec);
        keys.extend(progress_keys(progress));
        let own = keys.into_iter().filter(|(_, value)| !value.is_empty());
        let mut sections = vec![(SECTION, own.map(|(key, value)| (key.to_owned(), value)).collect())];
        if let Subject::Settings(settings) = &spec.subject {
            let settings = settings.iter();
            let keys =
                settings.map(|((section, key), value)| (format!("{section}{SLASH}{key}"), value.clone()));
            sections.push((SETTINGS_SECTION, keys.collect()));
        }
        sections
    }
}

fn spec_keys(spec: &Spec) -> Vec<(&'static str, String)> {
    let (build, wire) = match &spec.subject {
        Subject::Program { build, wire } => (build.clone(), list(wire)),
        Subject::Settings(_) => (String::new(), String::new()),
    };
    let shares: Vec<f64> = spec.stages.iter().map(|stage| stage.share).collect();
    let at_least: Vec<f64> = spec.stages.iter().map(|stage| stage.at_least.as_secs_f64()).collect();
    let after_stop = if spec.after_stop == AfterStop::GoBack { "back" } else { "wait" };
    vec![
        ("plan", spec.number.to_string()),
        ("program", build),
        ("wire", wire),
        ("fleet", list(&ranges(&spec.fleet))),
        ("last", list(&spec.last)),
        ("shares", list(&shares)),
        ("at_least_s", list(&at_least)),
        ("at_once", spec.at_once.to_string()),
        ("at_once_share", spec.at_once_share.to_string()),
        ("ready_within_s", spec.ready_within.as_secs().to_string()),
        ("settle_s", spec.settle.as_secs().to_string()),
        ("silent_after_s", spec.silent_after.as_secs().to_string()),
        ("silent_share", spec.silent_share.to_string()),
        ("harm", measures(&spec.bounds.harm)),
        ("usual", measures(&spec.bounds.usual)),
        ("alpha", spec.bounds.alpha.to_string()),
        ("restarts", spec.bounds.restarts.to_string()),
        ("after_stop", after_stop.to_owned()),
    ]
}

fn progress_keys(progress: &Progress) -> Vec<(&'static str, String)> {
    let pace = if progress.pace == Pace::Paced { "paced" } else { "quick" };
    vec![
        ("epoch", progress.epoch.to_string()),
        ("status", progress.status.to_string()),
        // People count stages from 1.
        ("stage", (progress.stage + 1).to_string()),
        ("wave", progress.wave.to_string()),
        ("back_wave", progress.back_wave.to_string()),
        ("pace", pace.to_owned()),
        ("since", progress.since.to_string()),
        ("why", progress.why.clone()),
    ]
}

fn list<T: ToString>(values: &[T]) -> String {
    values.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

fn measures(values: &BTreeMap<Measure, f64>) -> String {
    let named: Vec<String> = values.iter().map(|(measure, value)| format!("{measure} {value}")).collect();
    list(&named)
}

/// Members as `ZONE FIRST-LAST`, zones in their order.
fn ranges(fleet: &Fleet) -> Vec<String> {
    let mut places = fleet.places.clone();
    places.sort_unstable_by_key(|place| (place.zone, place.member));
    let mut ranges: Vec<(u16, Member, Member)> = Vec::new();
    for place in places {
        match ranges.last_mut() {
            Some((zone, _, last)) if *zone == place.zone && last.checked_add(1) == Some(place.member) => {
                *last = place.member;
            }
            _ => ranges.push((place.zone, place.member, place.member)),
        }
    }
    let named = ranges.into_iter().map(|(zone, first, last)| match first == last {
        true => format!("{} {first}", fleet.zone_name(zone)),
        false => format!("{} {first}-{last}", fleet.zone_name(zone)),
    });
    named.collect()
}
