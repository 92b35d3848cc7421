//! What a signature costs here, for roles that are played with cheaper ones.

use anyhow::{Context, Result};
use badgerledge_gossip::Keyring;
use badgerledge_keys::{Keys, PrivateKey, Ring, Role};
use badgerledge_settings::IniFile;

use crate::capacity::measure::processor_ms;

const TIMES: u32 = 200;
/// A datagram without its signature.
const BYTES: [u8; 192] = [7; 192];

/// Milliseconds of processor time of an Ed25519 signature.
pub struct SignatureCost {
    pub sign_ms: f64,
    pub check_ms: f64,
}

impl SignatureCost {
    pub fn measure() -> Result<Self> {
        let private = PrivateKey::generate(Role::Member(0))?;
        let ring =
            Ring::of(&IniFile::parse("ring", &format!("[member 0]\nkeys = {}\n", private.public_hex()))?)?;
        let keys = Keys::new(private, ring).context("its own ring")?;
        let signature = keys.sign(&BYTES);
        let each = |mut work: Box<dyn FnMut() + '_>| {
            processor_ms(|| (0..TIMES).for_each(|_| work())) / f64::from(TIMES)
        };
        let sign_ms = each(Box::new(|| {
            std::hint::black_box(keys.sign(&BYTES));
        }));
        let check_ms = each(Box::new(|| {
            std::hint::black_box(keys.signed(0, &BYTES, &signature));
        }));
        Ok(Self { sign_ms, check_ms })
    }
}
