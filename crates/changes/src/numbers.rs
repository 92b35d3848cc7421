//! Numbers under which subscriptions are held.

use std::collections::BTreeSet;

use badgerledge_deployment::Shared;

/// New settings, in the numbers of those that are held: room types keep theirs, new ones come behind, and
/// one that was taken away stays under its number, retired, for what plays under it.
///
/// # Errors
/// Where a zone, a kind or a rung would change the number by which streamers and the list know it.
pub fn arrange(held: &Shared, mut new: Shared) -> Result<Shared, String> {
    places("zone", &held.fleet.zones, &new.fleet.zones)?;
    places("kind", &held.fleet.kinds, &new.fleet.kinds)?;
    rungs(&held.ladder.rates_kb, &new.ladder.rates_kb)?;
    let highest = new.ladder.rates_kb.len().saturating_sub(1) as u8;
    let mut room_types = Vec::new();
    for (name, old) in &held.room_types {
        match new.room_types.iter().position(|(known, _)| known == name) {
            Some(at) => room_types.push(new.room_types.remove(at)),
            None => {
                let mut old = old.clone();
                (old.top, old.floor) = (old.top.map(|top| top.min(highest)), old.floor.min(highest));
                new.retired.insert(name.clone());
                room_types.push((name.clone(), old));
            }
        }
    }
    room_types.append(&mut new.room_types);
    new.room_types = room_types;
    Ok(new)
}

/// Streamers and the list name zones and kinds by number: a name may change in its place, and new ones come behind.
fn places(what: &str, old: &[String], new: &[String]) -> Result<(), String> {
    if new.len() < old.len() {
        let gone = &old[new.len()];
        return Err(format!(
            "{what} {gone} has number {}, by which the list knows it: it can't go",
            new.len()
        ));
    }
    let mut seen = BTreeSet::new();
    for (number, name) in new.iter().enumerate() {
        if !seen.insert(name) {
            return Err(format!("{what} {name} is named twice"));
        }
        let before = old.iter().position(|known| known == name);
        if let Some(before) = before.filter(|before| *before != number) {
            return Err(format!(
                "{what} {name} has number {before}, by which the list knows it: {number} would be another"
            ));
        }
    }
    Ok(())
}

/// A rung's number says to a streamer what to send: the highest may go, and rates may be stated anew, but none may take
/// another's number.
fn rungs(old: &[f64], new: &[f64]) -> Result<(), String> {
    for (number, rate) in new.iter().enumerate() {
        let before = old.iter().position(|known| known == rate);
        if let Some(before) = before.filter(|before| *before != number) {
            return Err(format!(
                "the rung of {rate} kB/s has number {before} at the streamers: only the highest rungs can go, \
                 and new ones come above"
            ));
        }
    }
    Ok(())
}
