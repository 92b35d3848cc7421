//! The bounded sketch of heaviest titles against a plain map of all.

use std::collections::BTreeMap;
use std::time::Instant;

use anyhow::Result;
use badgerledge_accounts::TopTitles;

use crate::counted;

/// Counts of one run: some hours of a large controller's.
const COUNTS: u64 = 5_000_000;

/// Titles as viewers want them: by Zipf's law with an exponent of one, drawn by a multiplicative sequence, so that
/// both are given the very same.
fn titles(among: u64) -> impl Iterator<Item = (u64, u64)> {
    let highest = (among as f64).ln();
    (0..COUNTS).map(move |n| {
        let draw = (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1u64 << 53) as f64;
        ((draw * highest).exp() as u64, 500 + n % 1000)
    })
}

pub fn measure(among: u64) -> Result<()> {
    println!("heaviest titles, {COUNTS} counts over {among} titles");
    let bytes = counted::bytes();
    let begun = Instant::now();
    let mut plain: BTreeMap<u64, u64> = BTreeMap::new();
    titles(among).for_each(|(title, weight)| *plain.entry(title).or_default() += weight);
    show("plain map", begun, plain.len(), counted::bytes() - bytes);
    let bytes = counted::bytes();
    let begun = Instant::now();
    let mut sketch = TopTitles::default();
    titles(among).for_each(|(title, weight)| sketch.add(title, weight));
    show("sketch", begun, sketch.titles().count(), counted::bytes() - bytes);
    let mut truth: Vec<(u64, u64)> = plain.iter().map(|(title, weight)| (*weight, *title)).collect();
    truth.sort_unstable_by(|a, b| b.cmp(a));
    let found: Vec<u64> = sketch.titles().take(20).map(|title| title.0).collect();
    let right = truth.iter().take(20).filter(|(_, title)| found.contains(title)).count();
    println!("  of the 20 heaviest titles the sketch names {right}");
    Ok(())
}

fn show(name: &str, begun: Instant, entries: usize, allocated: u64) {
    let each = begun.elapsed().as_nanos() as f64 / COUNTS as f64;
    let kb = allocated as f64 / 1024.0;
    println!("  {name:<12} {each:>7.1} ns a count, {entries} entries, {kb:.0} kB allocated over the run");
}
