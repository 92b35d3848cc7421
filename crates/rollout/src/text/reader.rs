//! A roll's sections made into its state, or all that is wrong with them.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_deployment::kinds::{canonical_value, kind_of, Kind, KINDS};
use badgerledge_settings::{Fault, Faults, IniFile};

use super::raw::Raw;
use super::{PaceDefaults, SECTION, SETTINGS_SECTION, SLASH};
use crate::explain::MEASURE_NAMES;
use crate::measure::Measure;
use crate::plan::{Member, Place, PlanFault};
use crate::state::{AfterStop, Bounds, Fleet, Pace, Progress, Spec, StageSpec, Status, Subject};

/// A sheet and what is wrong with its roll.
pub struct Reader<'a> {
    pub sheet: &'a IniFile,
}

impl Reader<'_> {
    pub fn fault(&self, key: &str, why: &str) -> Fault {
        self.fault_in(SECTION, key, why)
    }

    fn fault_in(&self, section: &str, key: &str, why: &str) -> Fault {
        self.sheet.fault(section, key, self.sheet.value(section, key).unwrap_or(""), why)
    }

    fn wanted<T>(&self, value: Option<T>, key: &str) -> Result<T, Faults> {
        value.ok_or_else(|| self.fault(key, "this key is missing").into())
    }

    /// A state names its pace: the settings that it was derived from may have changed since.
    pub fn pace_of_state(&self, raw: &Raw) -> Result<PaceDefaults, Faults> {
        Ok(PaceDefaults {
            at_once_share: self.wanted(raw.at_once_share, "at_once_share")?,
            settle: Duration::from_secs(self.wanted(raw.settle_s, "settle_s")?),
        })
    }

    pub fn spec(&self, raw: &Raw, defaults: PaceDefaults) -> Result<Spec, Faults> {
        let spec = Spec {
            number: raw.plan,
            subject: self.subject(raw)?,
            fleet: self.fleet(&raw.fleet)?,
            last: raw.last.clone(),
            stages: self.stages(raw)?,
            at_once: raw.at_once,
            at_once_share: raw.at_once_share.unwrap_or(defaults.at_once_share),
            ready_within: Duration::from_secs(raw.ready_within_s),
            settle: raw.settle_s.map_or(defaults.settle, Duration::from_secs),
            silent_after: Duration::from_secs(raw.silent_after_s),
            silent_share: raw.silent_share,
            bounds: Bounds {
                harm: self.measures("harm", &raw.harm)?,
                usual: self.measures("usual", &raw.usual)?,
                alpha: raw.alpha,
                restarts: raw.restarts,
            },
            after_stop: if raw.after_stop == "wait" { AfterStop::Wait } else { AfterStop::GoBack },
        };
        match spec.plan() {
            Ok(_) => Ok(spec),
            Err(wrong) => Err(self.fault(key_of(&wrong), &wrong.to_string()).into()),
        }
    }

    fn stages(&self, raw: &Raw) -> Result<Vec<StageSpec>, Faults> {
        if raw.shares.len() != raw.at_least_s.len() {
            return Err(self.fault("at_least_s", "one duration for each of the shares is taken").into());
        }
        let stages = raw.shares.iter().zip(&raw.at_least_s);
        Ok(stages
            .map(|(share, at_least)| StageSpec {
                share: *share,
                at_least: Duration::from_secs_f64(*at_least),
            })
            .collect())
    }

    fn subject(&self, raw: &Raw) -> Result<Subject, Faults> {
        let both = "either program or [rollout settings] is taken, one of them";
        match (&raw.program, self.sheet.has(SETTINGS_SECTION)) {
            (Some(build), false) => {
                if raw.wire.is_empty() {
                    let why = "the versions of the wire that the build speaks are wanted";
                    return Err(self.fault("wire", why).into());
                }
                Ok(Subject::Program { build: build.clone(), wire: raw.wire.clone() })
            }
            (None, true) if !raw.wire.is_empty() => {
                Err(self.fault("wire", "is taken only beside program").into())
            }
            (None, true) => self.settings(),
            (Some(_), true) => Err(self.fault("program", both).into()),
            (None, false) => Err(self.fault("program", both).into()),
        }
    }

    fn settings(&self) -> Result<Subject, Faults> {
        let (mut settings, mut faults) = (BTreeMap::new(), Vec::new());
        for (name, value) in self.sheet.keys(SETTINGS_SECTION) {
            match setting_of(name) {
                Ok(at) => drop(settings.insert(at, canonical_value(value))),
                Err(why) => faults.push(self.fault_in(SETTINGS_SECTION, name, why)),
            }
        }
        if !faults.is_empty() {
            return Err(Faults(faults));
        }
        if settings.is_empty() {
            return Err(self.fault_in(SETTINGS_SECTION, "", "at least one setting is wanted").into());
        }
        Ok(Subject::Settings(settings))
    }

    fn fleet(&self, ranges: &[String]) -> Result<Fleet, Faults> {
        let mut fleet = Fleet::default();
        for range in ranges {
            let wrong = || {
                Faults::from(
                    self.fault("fleet", &format!("{range}: ZONE FIRST-LAST or ZONE MEMBER is taken")),
                )
            };
            let (zone, members) = range.rsplit_once(' ').ok_or_else(wrong)?;
            let (first, last) = members.split_once('-').unwrap_or((members, members));
            let first: Member = first.parse().map_err(|_| wrong())?;
            let last: Member = last.parse().map_err(|_| wrong())?;
            if first > last {
                return Err(wrong());
            }
            let known = fleet.zones.iter().position(|name| name == zone.trim());
            let zone = known.unwrap_or_else(|| {
                fleet.zones.push(zone.trim().to_owned());
                fleet.zones.len() - 1
            });
            let zone = u16::try_from(zone).map_err(|_| wrong())?;
            fleet.places.extend((first..=last).map(|member| Place { member, zone }));
            // More than there are numbers of members: some are named twice.
            if fleet.places.len() > usize::from(Member::MAX) + 1 {
                return Err(self.fault("fleet", &format!("{range}: a member is named twice")).into());
            }
        }
        Ok(fleet)
    }

    fn measures(&self, key: &str, told: &[String]) -> Result<BTreeMap<Measure, f64>, Faults> {
        let mut measures = BTreeMap::new();
        for one in told {
            let names: Vec<&str> = MEASURE_NAMES.iter().map(|(_, name)| *name).collect();
            let why = format!("{one}: one of {} and a share over 0 and up to 1 is taken", names.join(" "));
            let read = one.split_once(' ').and_then(|(name, share)| {
                let (measure, _) = MEASURE_NAMES.iter().find(|(_, known)| *known == name)?;
                let share: f64 = share.trim().parse().ok()?;
                (share > 0.0 && share <= 1.0).then_some((*measure, share))
            });
            let (measure, share) = read.ok_or_else(|| Faults::from(self.fault(key, &why)))?;
            if measures.insert(measure, share).is_some() {
                return Err(self.fault(key, &format!("{one}: this measure is given twice")).into());
            }
        }
        Ok(measures)
    }

    pub fn progress(&self, raw: &Raw, spec: &Spec) -> Result<Progress, Faults> {
        let status = self.wanted(raw.status.clone(), "status")?;
        let known = Status::ALL.iter().find(|(_, name)| *name == status);
        let status = self.wanted(known.map(|(status, _)| *status), "status")?;
        let stage = self.wanted(raw.stage, "stage")?;
        if stage == 0 || stage > spec.stages.len() {
            return Err(self.fault("stage", &format!("1 to {} is taken", spec.stages.len())).into());
        }
        let wave = self.wanted(raw.wave, "wave")?;
        if wave == 0 {
            return Err(self.fault("wave", "1 or more is taken").into());
        }
        let pace = self.wanted(raw.pace.clone(), "pace")?;
        Ok(Progress {
            epoch: self.wanted(raw.epoch, "epoch")?,
            status,
            stage: stage - 1,
            wave,
            back_wave: self.wanted(raw.back_wave, "back_wave")?,
            pace: if pace == "quick" { Pace::Quick } else { Pace::Paced },
            since: self.wanted(raw.since, "since")?,
            why: raw.why.clone().unwrap_or_default(),
        })
    }
}

/// Why an exclusive key is refused.
const EXCLUSIVE: &str = "this key is exclusive: two values of it must not be acted on at once, \
                         so it can't go in stages; change it by a revision";

/// The section and key of a setting that a roll may change, or why it may not.
fn setting_of(name: &str) -> Result<(String, String), &'static str> {
    let Some((section, key)) = name.rsplit_once(SLASH) else {
        return Err("SECTION/KEY is taken, as in rules/warm_up_ms");
    };
    let family = section.split(' ').next().unwrap_or(section);
    if family == "title" {
        return Err("titles don't go in stages: they are changed by a revision");
    }
    if !KINDS.iter().any(|(known, of, _)| (*known, *of) == (family, key)) {
        return Err("there is no such setting");
    }
    if kind_of(section, key) == Kind::Exclusive {
        return Err(EXCLUSIVE);
    }
    Ok((section.to_owned(), key.to_owned()))
}

/// The key that a plan's fault is about.
fn key_of(wrong: &PlanFault) -> &'static str {
    match wrong {
        PlanFault::Twice(_) => "fleet",
        PlanFault::Unknown(_) => "last",
        PlanFault::Share(..) | PlanFault::Unfinished(_) | PlanFault::Empty(_) | PlanFault::Nothing => {
            "shares"
        }
    }
}
