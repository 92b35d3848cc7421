//! What a change costs a controller between two rounds, by how many titles there are.

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::Instant;

use anyhow::Result;
use badgerledge_changes::{outcome, Configuration, Stage, Subscription};
use badgerledge_core::interface::SubscriptionRequest;
use badgerledge_deployment::entries::entries_from_text;
use badgerledge_deployment::kinds::canonical;
use badgerledge_deployment::{RevisionText, StateReader};
use badgerledge_distribution::state::{Edit, State};
use badgerledge_settings::IniFile;

pub const SHARED: &str = "[fleet]\nzones = a\nkinds = k\nkind_streams = 50\ncells = 40\nracks = 2\nlink_unit_kb = 1000\nlinks_kb = 4000\n\
    uplink_kb = 2000\n[ladder]\nrates_kb = 10, 20\nbenefit = 0.5, 1\n[room_type clip]\njoin_objective_ms = 1000\nclient_timeout_ms = 2000\n\
    benefit = 1\n";

/// Milliseconds of a few runs, the least: what else the machine did is not of interest.
fn least(mut run: impl FnMut() -> Result<()>) -> Result<f64> {
    let mut best = f64::INFINITY;
    for _ in 0..5 {
        let begun = Instant::now();
        run()?;
        best = best.min(begun.elapsed().as_secs_f64() * 1000.0);
    }
    Ok(best)
}

pub fn measure(titles: u32, held: u32) -> Result<()> {
    let text_of = |shift: u32| {
        let mut text = SHARED.to_owned();
        for id in 0..titles {
            let first = (id + shift * u32::from(id % 100 == 0)) % 40;
            let _ = write!(text, "[title {id:x}]\ncopies = 3\nfirst_cell = {first}\nroom_type = clip\n");
        }
        Ok::<_, anyhow::Error>(canonical(&IniFile::parse("text", &text)?))
    };
    let (old, new) = (text_of(0)?, text_of(1)?);
    let read = |text: &str| RevisionText::read(text.as_bytes()).map_err(anyhow::Error::msg);
    let sheet = least(|| Ok(IniFile::parse("text", &new).map(drop)?))?;
    let parse = least(|| read(&new).map(drop))?;
    let (old, text) = (read(&old)?, read(&new)?);
    let compare = least(|| {
        std::hint::black_box(old.applied_configuration(Some(&text)));
        Ok(())
    })?;
    let (shared, known) = (text.shared(), text.titles());
    let fates = least(|| {
        let configuration = Configuration { shared, titles: known };
        for job in 0..held {
            let asked = SubscriptionRequest {
                title: u64::from(job % titles),
                copies: 3,
                ..SubscriptionRequest::default()
            };
            std::hint::black_box(outcome(
                &Subscription { request: asked, stage: Stage::Playing { cell: Some(job % 40) } },
                configuration,
            ));
        }
        Ok(())
    })?;
    println!(
        "{titles} titles, {:.1} MB: reading and checking {parse:.1} ms (by the sheet alone {sheet:.1} ms), what is acted on between {compare:.1} ms; \
         fates of {held} held {fates:.2} ms",
        new.len() as f64 / 1e6
    );
    measure_one_title(&old, titles)
}

/// One title of all is another, in a state that control machines hand down.
fn measure_one_title(old: &RevisionText, titles: u32) -> Result<()> {
    let mut text = SHARED.to_owned();
    text = canonical(&IniFile::parse("text", &text)?) + &old.titles().text();
    let mut state = State::from_entries(entries_from_text(&text)?)?;
    let mut reader = StateReader::default();
    reader.read(&state).map_err(anyhow::Error::msg)?;
    let (mut first_cell, mut active) = (0, reader.read(&state).map_err(anyhow::Error::msg)?);
    let (mut read, mut prepared, mut acted_on) = (f64::INFINITY, f64::INFINITY, f64::INFINITY);
    for _ in 0..5 {
        first_cell += 1;
        let value = format!("copies = 3\nfirst_cell = {first_cell}\nroom_type = clip\n").into_bytes();
        state.apply(&[Edit { key: format!("title {:x}", titles / 2), value: Some(value) }])?;
        let mut next = active.clone();
        let read_state = || {
            next = reader.read(&state).map_err(anyhow::Error::msg)?;
            Ok(())
        };
        read = read.min(once(read_state)?);
        prepared = prepared.min(once(|| {
            black_box(active.applied_configuration(Some(&next)));
            Ok(())
        })?);
        acted_on = acted_on.min(once(|| {
            black_box(next.applied_configuration(None));
            Ok(())
        })?);
        active = next;
    }
    println!(
        "  one title of them in a state: reading and checking {read:.2} ms, what is acted on while it is prepared {prepared:.2} ms, \
         then {acted_on:.2} ms"
    );
    Ok(())
}

/// Milliseconds of one run.
fn once(run: impl FnOnce() -> Result<()>) -> Result<f64> {
    let begun = Instant::now();
    run()?;
    Ok(begun.elapsed().as_secs_f64() * 1000.0)
}
