//! What a day's script of revisions does to its stage, and what came of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use badgerledge_core::interface::SubscriptionRequest;
use badgerledge_deployment::kinds::read_revision;
use badgerledge_settings::IniFile;
use badgerledge_ways::LinkFaults;

use crate::gossip::KeyFolder;
use crate::play::Stage;
use crate::revisions::{day_bound, judge, Lie, Revised, SetUp};
use crate::script::{ProcessDay, PushDay};

/// The tick of a day's controllers: their settings' default.
const TICK: Duration = Duration::from_millis(10);

impl Stage<'_> {
    /// Controllers by the names that the day has for them, now.
    fn ends(&mut self, names: &[String]) -> Vec<usize> {
        let mut all = BTreeSet::new();
        for name in names {
            all.extend(self.named(name));
        }
        all.into_iter().collect()
    }

    fn named(&mut self, name: &str) -> Vec<usize> {
        let keepers = self.day.revisions.as_ref().map_or(0, |script| usize::from(script.told.keepers));
        let zones = &self.day.shared.fleet.zones;
        let all = 0..self.controllers.len();
        match name.split_once(' ').unwrap_or((name, "")) {
            ("all", _) => all.collect(),
            ("keepers", _) => all.take(keepers).collect(),
            ("others", _) => all.skip(keepers).collect(),
            ("zone", zone) => {
                let zone = zones.iter().position(|known| known == zone.trim());
                zone.map_or(Vec::new(), |zone| self.controllers.in_zone(zone))
            }
            ("build", build) => self.controllers.of_build(build.trim() == "other"),
            ("revision", number) => {
                number.trim().parse().map_or(Vec::new(), |number| self.operators.acting_on(number))
            }
            ("part", part) => {
                let part = part.trim().parse::<f64>().unwrap_or(0.0).clamp(0.0, 1.0);
                self.draw.some(all.len(), (all.len() as f64 * part).round() as usize)
            }
            (number, _) => number.parse().ok().filter(|number| all.contains(number)).into_iter().collect(),
        }
    }

    /// A way of the day begins to fare otherwise, or is as usual again.
    pub(crate) fn strike_way(&mut self, number: usize, begins: bool) {
        let script = self.day.revisions.as_ref();
        let Some(told) = script.and_then(|script| script.ways.get(number)) else { return };
        let struck = match begins {
            true => {
                let (from, to) = (self.ends(&told.from), self.ends(&told.to));
                println!("way {number}: from {from:?} to {to:?}");
                self.struck_ways.insert(number, (from.clone(), to.clone()));
                Some((from, to))
            }
            false => self.struck_ways.remove(&number),
        };
        let Some((from, to)) = struck else { return };
        let way = if begins { told.way() } else { LinkFaults::default() };
        let ways = &mut self.messages.ways;
        ways.change_links(&from, &to, |one| *one = way);
        if told.both {
            ways.change_links(&to, &from, |one| *one = way);
        }
    }

    /// Controllers are struck as the day says, or go on.
    pub(crate) fn strike_process(&mut self, number: usize, begins: bool) -> Result<()> {
        let script = self.day.revisions.as_ref();
        let Some(told) = script.and_then(|script| script.processes.get(number)) else { return Ok(()) };
        if begins {
            let struck = self.ends(&told.controllers);
            println!("process {number}: {} {struck:?}", told.what);
            struck.iter().for_each(|one| self.strike_one(told, *one));
            self.struck.insert(number, struck);
            return Ok(());
        }
        for one in self.struck.remove(&number).unwrap_or_default() {
            if told.what == "stop" {
                self.go_on(one);
                continue;
            }
            if let Some(build) = &told.build {
                self.controllers.take_build(one, build == "other")?;
            }
            if let Some(line) = &told.file {
                self.controllers.change_file(one, line)?;
            }
            self.start(one)?;
        }
        Ok(())
    }

    fn strike_one(&mut self, told: &ProcessDay, number: usize) {
        match told.what.as_str() {
            "stop" => self.stop(number),
            "restart" => {
                self.witness.controller_down(number as u32);
                self.controllers.end(number);
            }
            _ => {
                self.kill(number);
                if told.without_disk {
                    self.controllers.lose_disk(number);
                }
            }
        }
    }

    /// An author's key is taken out of the ring, which all read anew.
    pub(crate) fn revoke(&mut self, number: usize) -> Result<()> {
        let script = self.day.revisions.as_ref();
        let told = script.and_then(|script| script.revokes.get(number));
        told.map_or(Ok(()), |told| KeyFolder::revoke(&self.folder, told.author))
    }

    /// What revisions came to, by what reached the streamers and what the controllers say in the end.
    pub(crate) fn revised(&mut self) -> Result<Option<Revised>> {
        let Some(script) = self.day.revisions.as_ref() else { return Ok(None) };
        let pushed = self.operators.all();
        let (overlap, seen, strays) = judge(&self.set_ups(), &self.lie(&script.pushes)?);
        let running = self.controllers.running();
        let reports = self.operators.reports(&running);
        let active = reports.into_iter().map(|(number, report)| {
            (number, report.ok().map(|report| (report.active, report.held.is_some())))
        });
        let active = active.collect();
        let wants = |name: &str| script.pushes.iter().find(|push| push.0 == name)?.1.comes_to;
        let surprising =
            pushed.iter().filter(|(name, code)| wants(name).is_some_and(|code_| *code != Ok(code_)));
        let surprises = surprising.map(|(name, _)| name.clone()).collect();
        Ok(Some(Revised {
            told: script.told.clone(),
            surprises,
            pushed,
            overlap,
            bound: day_bound(self.controllers.len(), TICK),
            seen,
            strays,
            left_behind: self.left_behind(running.first().copied())?,
            active,
        }))
    }

    /// All set-ups as they came to streamers.
    fn set_ups(&self) -> Vec<SetUp> {
        let cells: BTreeMap<_, u32> =
            (0..self.streamers.len()).map(|n| (self.streamers.at(n), self.streamers.told(n).cell)).collect();
        let made = self.witness.set_ups().iter();
        made.filter_map(|(at, streamer, title)| {
            Some(SetUp { at: *at, cell: *cells.get(streamer)?, title: *title })
        })
        .collect()
    }

    /// Where titles may lie by all texts of the day.
    fn lie(&self, pushes: &[(String, PushDay)]) -> Result<Lie> {
        let places = self.titles.iter().map(|t| (t.id, BTreeSet::from([(t.first_cell, t.copies)])));
        let mut lie = Lie { cells: BTreeSet::from([self.day.shared.fleet.cells]), places: places.collect() };
        for (name, push) in pushes.iter().filter(|(_, push)| !push.remove) {
            let number = || push.value.parse::<u32>().with_context(|| format!("[push {name}] value"));
            match (push.section.split_once(' '), push.key.as_str()) {
                (None, "cells") if push.section == "fleet" => drop(lie.cells.insert(number()?)),
                (Some(("title", id)), "first_cell") => {
                    let id = u64::from_str_radix(id, 16).with_context(|| format!("[push {name}] section"))?;
                    let title = self.titles.iter().find(|title| title.id == id);
                    let Some(title) = title else { bail!("[push {name}]: there is no title {id:x}") };
                    lie.places.entry(id).or_default().insert((number()?, title.copies));
                }
                _ => {}
            }
        }
        Ok(lie)
    }

    /// Streams that play where the text that this controller acts on in the end lets nobody play; those of titles that it
    /// does not have play out.
    fn left_behind(&self, by: Option<usize>) -> Result<usize> {
        let script = self.day.revisions.as_ref();
        let Some(by) =
            by.filter(|_| script.is_some_and(|script| script.told.settles && script.told.catalogue))
        else {
            return Ok(0);
        };
        let text = self.operators.active(by)?;
        let (shared, titles) = read_revision(&IniFile::parse("the last text", &text)?)?;
        let astray = self.streamers.streams().filter(|(cell, id)| {
            titles.title(*id).is_some_and(|title| {
                let asked = SubscriptionRequest {
                    first_cell: title.first_cell,
                    copies: title.copies,
                    ..SubscriptionRequest::default()
                };
                !asked.is_held_by(*cell, shared.fleet.cells)
            })
        });
        Ok(astray.count())
    }
}
