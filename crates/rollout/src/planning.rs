//! A plan held against the settings that the fleet acts on, before anything moves.

use badgerledge_deployment::{Shared, SHARED_SECTIONS};
use badgerledge_settings::{Fault, Faults, IniFile};

use crate::pace::derive;
use crate::state::{Spec, Subject};
use crate::text::{SECTION, SETTINGS_SECTION};

/// Reads a plan, with its pace from the settings where it names none, and checks it against them.
///
/// # Errors
/// All that is wrong with the plan or with the settings, with its place.
pub fn plan_of(plan: &IniFile, settings: &IniFile) -> Result<Spec, Faults> {
    let shared = Shared::of(settings)?;
    let spec = Spec::of_plan(plan, derive(&shared))?;
    let mut faults = unknown_zones(&spec, plan, &shared);
    if let Subject::Settings(changed) = &spec.subject {
        faults.extend(
            changed.keys().filter_map(|(section, key)| strange_section(plan, settings, section, key)),
        );
    }
    if !faults.is_empty() {
        return Err(Faults(faults));
    }
    if let Subject::Settings(_) = &spec.subject {
        Shared::of(&IniFile::parse(&changed_name(plan), &changed_text(&spec, settings))?)?;
    }
    Ok(spec)
}

fn unknown_zones(spec: &Spec, plan: &IniFile, shared: &Shared) -> Vec<Fault> {
    let told = plan.value(SECTION, "fleet").unwrap_or("");
    let unknown = spec.fleet.zones.iter().filter(|zone| !shared.fleet.zones.contains(zone));
    let why = |zone: &String| format!("there is no zone {zone}; there are {}", shared.fleet.zones.join(" "));
    unknown.map(|zone| plan.fault(SECTION, "fleet", told, &why(zone))).collect()
}

/// A section that comes or goes can't go in stages.
fn strange_section(plan: &IniFile, settings: &IniFile, section: &str, key: &str) -> Option<Fault> {
    let name = format!("{section}/{key}");
    let told = plan.value(SETTINGS_SECTION, &name).unwrap_or("");
    let why = "the settings have no such section, and one that comes does not go in stages";
    (!settings.has(section)).then(|| plan.fault(SETTINGS_SECTION, &name, told, why))
}

/// What faults name that stand in the settings as the roll would leave them.
fn changed_name(plan: &IniFile) -> String {
    format!("the settings as {} changes them", plan.file())
}

/// The settings as the roll leaves them.
fn changed_text(spec: &Spec, settings: &IniFile) -> String {
    let Subject::Settings(changed) = &spec.subject else { return settings.copy_sections(&SHARED_SECTIONS) };
    let is_shared = |section: &&str| SHARED_SECTIONS.contains(&section.split(' ').next().unwrap_or(section));
    let mut text = String::new();
    for section in settings.sections().filter(is_shared) {
        text += &format!("[{section}]\n");
        let is_changed = |key: &str| changed.contains_key(&(section.to_owned(), key.to_owned()));
        for (key, value) in settings.keys(section).into_iter().filter(|(key, _)| !is_changed(key)) {
            text += &format!("{key} = {value}\n");
        }
        for ((_, key), value) in changed.iter().filter(|((of, _), _)| of == section) {
            text += &format!("{key} = {value}\n");
        }
    }
    text
}
