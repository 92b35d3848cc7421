//! Keeps the numbers of zones, streamer kinds, rungs and room types stable across settings changes.

use std::collections::BTreeSet;

use badgerledge_deployment::Shared;

/// Arranges new settings so that existing numbers stay valid: room types keep their numbers and new ones are appended. A
/// removed room type keeps its number and is marked as retired, for the subscriptions that play under it.
///
/// # Errors
/// Where a zone, a streamer kind or a rung would change the number by which streamers and the list identify it.
pub fn preserve_numbers(current: &Shared, mut new: Shared) -> Result<Shared, String> {
    check_names("zone", &current.fleet.zones, &new.fleet.zones)?;
    check_names("kind", &current.fleet.kinds, &new.fleet.kinds)?;
    check_rungs(&current.ladder.rates_kb, &new.ladder.rates_kb)?;
    let max_rung = new.ladder.rates_kb.len().saturating_sub(1) as u8;
    let mut room_types = Vec::new();
    for (name, old) in &current.room_types {
        match new.room_types.iter().position(|(new_name, _)| new_name == name) {
            Some(index) => room_types.push(new.room_types.remove(index)),
            None => {
                let mut retired = old.clone();
                (retired.top, retired.floor) =
                    (retired.top.map(|top| top.min(max_rung)), retired.floor.min(max_rung));
                new.retired.insert(name.clone());
                room_types.push((name.clone(), retired));
            }
        }
    }
    room_types.append(&mut new.room_types);
    new.room_types = room_types;
    Ok(new)
}

/// Checks that names keep their numbers, because streamers and the list refer to zones and kinds by number. A name may be
/// replaced at its number, and new names may be appended.
fn check_names(kind: &str, old: &[String], new: &[String]) -> Result<(), String> {
    if new.len() < old.len() {
        let removed = &old[new.len()];
        return Err(format!(
            "{kind} {removed} has number {}, by which the list identifies it: it can't be removed",
            new.len()
        ));
    }
    let mut seen = BTreeSet::new();
    for (number, name) in new.iter().enumerate() {
        if !seen.insert(name) {
            return Err(format!("{kind} {name} is named twice"));
        }
        let old_number = old.iter().position(|old_value| old_value == name);
        if let Some(old_number) = old_number.filter(|old_number| *old_number != number) {
            return Err(format!(
                "{kind} {name} has number {old_number}, by which the list identifies it: it can't change to {number}"
            ));
        }
    }
    Ok(())
}

/// Checks that rungs keep their numbers, because a rung's number tells a streamer what to send. The highest rungs may be
/// removed and rates may change, but no rate may take another number.
fn check_rungs(old: &[f64], new: &[f64]) -> Result<(), String> {
    for (number, rate) in new.iter().enumerate() {
        let old_number = old.iter().position(|old_value| old_value == rate);
        if let Some(old_number) = old_number.filter(|old_number| *old_number != number) {
            return Err(format!(
                "the rung of {rate} kB/s has number {old_number} at the streamers: only the highest rungs can be removed, \
                 and new ones are added above"
            ));
        }
    }
    Ok(())
}
