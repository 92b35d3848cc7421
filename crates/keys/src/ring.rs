//! The ring of public keys.

use std::collections::BTreeMap;
use std::path::Path;

use badgerledge_gossip::{Member, MOST};
use badgerledge_settings::{Fault, Faults, Sheet};
use ed25519_dalek::VerifyingKey;
use garde::Validate;
use serde::Deserialize;

/// `[member NUMBER]`.
#[derive(Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
struct Section {
    /// Public keys in hex: one, or two while one takes the other's place.
    #[garde(length(max = 2))]
    #[serde(default)]
    keys: Vec<String>,
    /// Keys that hold no more, whatever else names them.
    #[garde(skip)]
    #[serde(default)]
    revoked: Vec<String>,
}

/// Who may speak, and by which keys.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    keys: BTreeMap<Member, Vec<VerifyingKey>>,
    members: Vec<Member>,
}

impl Ring {
    pub fn read(path: &Path) -> Result<Self, Faults> {
        Self::of(&Sheet::read(path)?)
    }

    pub fn of(sheet: &Sheet) -> Result<Self, Faults> {
        sheet.only(&["member"])?;
        let (mut ring, mut faults) = (Self::default(), Vec::new());
        let mut owners: BTreeMap<[u8; 32], Member> = BTreeMap::new();
        for name in sheet.named("member") {
            let place = format!("member {name}");
            let wrong = |key: &str, value: &str, why: &str| sheet.fault(&place, key, value, why);
            let Some(member) = name.parse().ok().filter(|member: &Member| usize::from(*member) < MOST) else {
                faults.push(wrong("", "", &format!("a number of 0 to {} is taken", MOST - 1)));
                continue;
            };
            match sheet.section::<Section>(&place) {
                Ok(section) => {
                    let keys = valid_keys(&section, wrong, &mut faults);
                    for key in &keys {
                        if let Some(other) = owners.insert(key.to_bytes(), member) {
                            let hex = hex::encode(key.to_bytes());
                            faults.push(wrong("keys", &hex, &format!("member {other} has the same key")));
                        }
                    }
                    if !keys.is_empty() {
                        ring.keys.insert(member, keys);
                    }
                }
                Err(found) => faults.extend(found.0),
            }
        }
        ring.members = ring.keys.keys().copied().collect();
        if faults.is_empty() {
            Ok(ring)
        } else {
            Err(Faults(faults))
        }
    }

    /// The keys of a member that hold now.
    pub fn keys(&self, member: Member) -> &[VerifyingKey] {
        self.keys.get(&member).map_or(&[], Vec::as_slice)
    }

    pub fn holds(&self, member: Member, key: &VerifyingKey) -> bool {
        self.keys(member).contains(key)
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }
}

fn valid_keys(
    section: &Section, wrong: impl Fn(&str, &str, &str) -> Fault, faults: &mut Vec<Fault>,
) -> Vec<VerifyingKey> {
    let mut read = |key: &str, texts: &[String]| -> Vec<VerifyingKey> {
        let mut keys = Vec::new();
        for text in texts {
            let mut bytes = [0; 32];
            let key_of = hex::decode_to_slice(text, &mut bytes).ok().and_then(|()| {
                // A weak key would let others sign for its owner.
                VerifyingKey::from_bytes(&bytes).ok().filter(|key| !key.is_weak())
            });
            match key_of {
                Some(made) => keys.push(made),
                None => faults.push(wrong(key, text, "a public Ed25519 key in 64 hex digits is taken")),
            }
        }
        keys
    };
    let (keys, revoked) = (read("keys", &section.keys), read("revoked", &section.revoked));
    keys.into_iter().filter(|key| !revoked.contains(key)).collect()
}
