//! What a controller spends while subscriptions play, and for a further one beside them.

use std::time::Duration;

use anyhow::Result;

use crate::backdrop::Backdrop;
use crate::capacity::child::processor_time_of;
use crate::fixture::{Controller, Source};
use crate::load::{Load, Then};

/// What a controller spends with so many subscriptions playing.
pub struct Playing {
    pub subscriptions: usize,
    pub resident_bytes: f64,
    pub descriptors: f64,
    /// Processor time of a further set-up and its end beside what plays, less what play alone takes in that time; nothing
    /// where too little is left to tell it from play.
    pub set_up_seconds: Option<f64>,
    /// Processor time, packets and lost packets of a second of play.
    pub processor_a_second: f64,
    pub packets_a_second: f64,
    pub lost_a_second: f64,
}

/// Play that is measured, by the clock on the wall.
const PLAYS_FOR: Duration = Duration::from_secs(6);
/// Set-ups that take longer in all are left at what plays by then.
const SET_UP_WITHIN: Duration = Duration::from_secs(120);

/// Set-ups that are made beside what plays, and how many of them at a time.
const FURTHER: u64 = 400;
const FURTHER_AT_A_TIME: usize = 8;
/// The part of the processor time that must be left for them once play is taken off.
const LEAST_LEFT: f64 = 0.2;

/// Lets so many subscriptions play, and measures the controller meanwhile.
pub fn measure(subscriptions: usize) -> Result<Playing> {
    let mut backdrop = Backdrop::new()?;
    let controller = backdrop.controller(Source::File)?;
    let (resident, descriptors) = (controller.resident_kb()?, controller.descriptors()?);
    let mut load = backdrop.start_playing(&controller, subscriptions, SET_UP_WITHIN)?;
    backdrop.serve(&mut load, Duration::from_secs(3))?;
    let metric = |name: &str| controller.metric(&format!("badgerledge_{name}")).unwrap_or(0.0);
    let seen = || (metric("media_packets_total"), metric("media_packets_lost_total"));
    let (before, from, since) = (seen(), processor_time_of(controller.process())?, backdrop.reactor.clock());
    backdrop.serve(&mut load, PLAYS_FOR)?;
    let (used, span) = (processor_time_of(controller.process())? - from, backdrop.reactor.clock() - since);
    let after = seen();
    let playing = load.playing();
    anyhow::ensure!(playing > 0, "nothing plays");
    let seconds = span.as_secs_f64();
    let processor_a_second = used.as_secs_f64() / seconds;
    Ok(Playing {
        subscriptions: playing,
        resident_bytes: (controller.resident_kb()? - resident) as f64 * 1024.0,
        descriptors: (controller.descriptors()? - descriptors) as f64,
        set_up_seconds: further_set_ups(&mut backdrop, &controller, &mut load, processor_a_second)?,
        processor_a_second,
        packets_a_second: (after.0 - before.0) / seconds,
        lost_a_second: (after.1 - before.1) / seconds,
    })
}

/// Processor time of a set-up that ends at once, beside what plays.
fn further_set_ups(
    backdrop: &mut Backdrop, controller: &Controller, playing: &mut Load, processor_a_second: f64,
) -> Result<Option<f64>> {
    let mut further = Load::new(vec![controller.at], Then::Leave, FURTHER)?;
    let (from, since) = (processor_time_of(controller.process())?, backdrop.reactor.clock());
    let end = since + SET_UP_WITHIN;
    while further.granted + further.turned_away < FURTHER && backdrop.reactor.clock() < end {
        backdrop.turn_beside(&mut further, FURTHER_AT_A_TIME, Some(playing))?;
    }
    let used = (processor_time_of(controller.process())? - from).as_secs_f64();
    let span = (backdrop.reactor.clock() - since).as_secs_f64();
    let left = used - span * processor_a_second;
    Ok((left > LEAST_LEFT * used && further.granted > 0).then(|| left / further.granted as f64))
}
