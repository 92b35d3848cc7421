//! What signing and checking take, and with that the gossip's part of a core at the rates that the lab gives.

use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use badgerledge_gossip::{Keyring, MAX_DATAGRAM_BYTES, SIGNATURE_BYTES};
use badgerledge_keys::{Keys, PrivateKey, Ring, Role};
use badgerledge_settings::IniFile;

const ROUNDS: u32 = 3000;

pub fn measure() -> Result<()> {
    let private = PrivateKey::generate(Role::Member(0))?;
    let ring = Ring::of(&IniFile::parse("ring", &format!("[member 0]\nkeys = {}\n", private.public_hex()))?)?;
    let keys = Keys::new(private, ring).context("its own ring")?;
    let bytes = [7; MAX_DATAGRAM_BYTES - SIGNATURE_BYTES];
    let signature = keys.sign(&bytes);
    let sign = each(|| {
        std::hint::black_box(keys.sign(std::hint::black_box(&bytes)));
    });
    let mut good = true;
    let check = each(|| good &= keys.signed(0, std::hint::black_box(&bytes), &signature));
    anyhow::ensure!(good, "its own signature does not hold");
    println!("Ed25519, {} bytes, {ROUNDS} times each", bytes.len());
    println!("  {:<8} {:>7.1} µs", "sign", sign.as_secs_f64() * 1e6);
    println!("  {:<8} {:>7.1} µs", "check", check.as_secs_f64() * 1e6);
    Ok(())
}

fn each(mut act: impl FnMut()) -> Duration {
    let begun = Instant::now();
    (0..ROUNDS).for_each(|_| act());
    begun.elapsed() / ROUNDS
}
