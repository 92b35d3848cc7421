//! The ring of public keys.

use std::collections::BTreeMap;
use std::path::Path;

use badgerledge_gossip::statement::Signature;
use badgerledge_gossip::{Member, MAX_MEMBERS};
use badgerledge_settings::{Fault, Faults, Sheet};
use ed25519_dalek::VerifyingKey;
use garde::Validate;
use serde::Deserialize;

use crate::{PrivateKey, Role};

/// `[member NUMBER]` and `[author NUMBER]`.
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

/// `[keepers]`.
#[derive(Debug, Default, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
struct Keepers {
    /// The members that certify revisions, by number: an odd count, each with a disk that it keeps.
    #[garde(length(max = 7))]
    #[serde(default)]
    members: Vec<Member>,
}

type Public = BTreeMap<Member, Vec<VerifyingKey>>;

/// Who may speak, and by which keys.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    keys: Public,
    authors: Public,
    /// Keys of authors that hold no more.
    past_authors: Public,
    members: Vec<Member>,
    keepers: Vec<Member>,
}

impl Ring {
    pub fn read(path: &Path) -> Result<Self, Faults> {
        Self::of(&Sheet::read(path)?)
    }

    pub fn of(sheet: &Sheet) -> Result<Self, Faults> {
        sheet.only(&["member", "author", "keepers"])?;
        let mut faults = Vec::new();
        let mut owners: BTreeMap<[u8; 32], String> = BTreeMap::new();
        let keys = of_role(sheet, "member", &mut owners, &mut faults);
        let authors = of_role(sheet, "author", &mut owners, &mut faults);
        let members: Vec<Member> = keys.keys().copied().collect();
        let keepers = match sheet.section_or_default::<Keepers>("keepers") {
            Ok(section) => section.members,
            Err(found) => {
                faults.extend(found.0);
                Vec::new()
            }
        };
        let mut seen = Vec::new();
        for keeper in &keepers {
            if !members.contains(keeper) || seen.contains(keeper) {
                let why = "each once, and only members with a key that holds are taken";
                faults.push(sheet.fault("keepers", "members", &keeper.to_string(), why));
            }
            seen.push(*keeper);
        }
        if faults.is_empty() {
            let past_authors = revoked_authors(sheet);
            Ok(Self { keys, authors, past_authors, members, keepers })
        } else {
            Err(Faults(faults))
        }
    }

    /// The keys of an author that hold now.
    pub fn author(&self, author: Member) -> &[VerifyingKey] {
        self.authors.get(&author).map_or(&[], Vec::as_slice)
    }

    /// The keys of an author that held once.
    pub fn past_author(&self, author: Member) -> &[VerifyingKey] {
        self.past_authors.get(&author).map_or(&[], Vec::as_slice)
    }

    /// The members that certify revisions.
    pub fn acceptors(&self) -> &[Member] {
        &self.keepers
    }

    /// The keys of a member that hold now.
    pub fn keys(&self, member: Member) -> &[VerifyingKey] {
        self.keys.get(&member).map_or(&[], Vec::as_slice)
    }

    pub fn holds(&self, member: Member, key: &VerifyingKey) -> bool {
        self.keys(member).contains(key)
    }

    /// Whether a private key's public half holds here for whom it is of.
    pub fn holds_public(&self, private: &PrivateKey) -> bool {
        let public = private.signing().verifying_key();
        match private.role() {
            Role::Member(member) => self.keys(member).contains(&public),
            Role::Author(author) => self.author(author).contains(&public),
        }
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Whether a member signed these bytes with a key that holds now.
    pub fn signed_by_member(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool {
        any_verifies(self.keys(member), bytes, signature)
    }

    /// Whether an author signed these bytes with a key that holds now.
    pub fn signed_by_author(&self, author: Member, bytes: &[u8], signature: &Signature) -> bool {
        any_verifies(self.author(author), bytes, signature)
    }

    /// Whether an author signed these bytes with a key that holds now or held once.
    pub fn ever_signed_by_author(&self, author: Member, bytes: &[u8], signature: &Signature) -> bool {
        self.signed_by_author(author, bytes, signature)
            || any_verifies(self.past_author(author), bytes, signature)
    }
}

/// Whether one of these keys made the signature of these bytes.
fn any_verifies(keys: &[VerifyingKey], bytes: &[u8], signature: &Signature) -> bool {
    let signature = ed25519_dalek::Signature::from_bytes(signature);
    keys.iter().any(|key| key.verify_strict(bytes, &signature).is_ok())
}

/// All keys of a role that hold, by number.
fn of_role(
    sheet: &Sheet, role: &str, owners: &mut BTreeMap<[u8; 32], String>, faults: &mut Vec<Fault>,
) -> Public {
    let mut all = Public::new();
    for name in sheet.named(role) {
        let place = format!("{role} {name}");
        let wrong = |key: &str, value: &str, why: &str| sheet.fault(&place, key, value, why);
        let Some(number) = name.parse().ok().filter(|number: &Member| usize::from(*number) < MAX_MEMBERS)
        else {
            faults.push(wrong("", "", &format!("a number of 0 to {} is taken", MAX_MEMBERS - 1)));
            continue;
        };
        match sheet.section::<Section>(&place) {
            Ok(section) => {
                let keys = valid_keys(&section, wrong, faults);
                for key in &keys {
                    if let Some(other) = owners.insert(key.to_bytes(), place.clone()) {
                        let hex = hex::encode(key.to_bytes());
                        faults.push(wrong("keys", &hex, &format!("{other} has the same key")));
                    }
                }
                if !keys.is_empty() {
                    all.insert(number, keys);
                }
            }
            Err(found) => faults.extend(found.0),
        }
    }
    all
}

/// The revoked keys of all authors. What is wrong with them was told before.
fn revoked_authors(sheet: &Sheet) -> Public {
    let of = |name: &str| {
        let section = sheet.section::<Section>(&format!("author {name}")).ok()?;
        let keys = section.revoked.iter().filter_map(|text| public_key(text)).collect();
        Some((name.parse().ok()?, keys))
    };
    sheet.named("author").filter_map(of).collect()
}

/// A public key from its hex digits. A weak one is not taken: it would let others sign for its owner.
fn public_key(text: &str) -> Option<VerifyingKey> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    VerifyingKey::from_bytes(&bytes).ok().filter(|key| !key.is_weak())
}

fn valid_keys(
    section: &Section, wrong: impl Fn(&str, &str, &str) -> Fault, faults: &mut Vec<Fault>,
) -> Vec<VerifyingKey> {
    let mut read = |key: &str, texts: &[String]| -> Vec<VerifyingKey> {
        let mut keys = Vec::new();
        for text in texts {
            match public_key(text) {
                Some(found) => keys.push(found),
                None => faults.push(wrong(key, text, "a public Ed25519 key in 64 hex digits is taken")),
            }
        }
        keys
    };
    let (keys, revoked) = (read("keys", &section.keys), read("revoked", &section.revoked));
    keys.into_iter().filter(|key| !revoked.contains(key)).collect()
}
