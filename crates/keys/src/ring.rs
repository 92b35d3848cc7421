//! The ring: the public keys of members and authors, and the acceptors.

use std::collections::BTreeMap;
use std::path::Path;

use badgerledge_gossip::statement::Signature;
use badgerledge_gossip::{Member, MAX_MEMBERS};
use badgerledge_settings::{Fault, Faults, IniFile};
use ed25519_dalek::VerifyingKey;
use garde::Validate;
use serde::Deserialize;

use crate::{PrivateKey, Role};

/// `[member NUMBER]` and `[author NUMBER]`: the keys of one owner.
#[derive(Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
struct Section {
    /// Valid public keys in hex: one, or two during a rotation.
    #[garde(length(max = 2))]
    #[serde(default)]
    keys: Vec<String>,
    /// Revoked public keys; they are invalid even if `keys` has them.
    #[garde(skip)]
    #[serde(default)]
    revoked: Vec<String>,
}

/// `[keepers]`: the acceptors.
#[derive(Debug, Default, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
struct Acceptors {
    /// Numbers of the members that certify revisions: an odd count, each with a persistent disk.
    #[garde(length(max = 7))]
    #[serde(default)]
    members: Vec<Member>,
}

/// Public keys by the number of their owner.
type PublicKeys = BTreeMap<Member, Vec<VerifyingKey>>;

/// The public keys of members and authors, and the acceptors.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    member_keys: PublicKeys,
    author_keys: PublicKeys,
    revoked_author_keys: PublicKeys,
    members: Vec<Member>,
    acceptors: Vec<Member>,
}

impl Ring {
    /// Reads and validates a ring's file.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        Self::of(&IniFile::read(path)?)
    }

    /// Validates a parsed ring.
    pub fn of(sheet: &IniFile) -> Result<Self, Faults> {
        sheet.reject_unknown_sections(&["member", "author", "keepers"])?;
        let mut faults = Vec::new();
        let mut owners: BTreeMap<[u8; 32], String> = BTreeMap::new();
        let member_keys = keys_of_role(sheet, "member", &mut owners, &mut faults);
        let author_keys = keys_of_role(sheet, "author", &mut owners, &mut faults);
        let members: Vec<Member> = member_keys.keys().copied().collect();
        let acceptors = match sheet.section_or_default::<Acceptors>("keepers") {
            Ok(section) => section.members,
            Err(found) => {
                faults.extend(found.0);
                Vec::new()
            }
        };
        let mut seen = Vec::new();
        for acceptor in &acceptors {
            if !members.contains(acceptor) || seen.contains(acceptor) {
                let why = "must list each member once, and only members with a valid key";
                faults.push(sheet.fault("keepers", "members", &acceptor.to_string(), why));
            }
            seen.push(*acceptor);
        }
        if faults.is_empty() {
            let revoked_author_keys = revoked_author_keys(sheet);
            Ok(Self { member_keys, author_keys, revoked_author_keys, members, acceptors })
        } else {
            Err(Faults(faults))
        }
    }

    /// The valid keys of an author.
    pub fn author_keys(&self, author: Member) -> &[VerifyingKey] {
        self.author_keys.get(&author).map_or(&[], Vec::as_slice)
    }

    /// The revoked keys of an author.
    pub fn revoked_author_keys(&self, author: Member) -> &[VerifyingKey] {
        self.revoked_author_keys.get(&author).map_or(&[], Vec::as_slice)
    }

    /// The members that certify revisions.
    pub fn acceptors(&self) -> &[Member] {
        &self.acceptors
    }

    /// The valid keys of a member.
    pub fn member_keys(&self, member: Member) -> &[VerifyingKey] {
        self.member_keys.get(&member).map_or(&[], Vec::as_slice)
    }

    /// Whether a key is a valid key of a member.
    pub fn has_member_key(&self, member: Member, key: &VerifyingKey) -> bool {
        self.member_keys(member).contains(key)
    }

    /// Whether the ring has the public key of a private key as a valid key of its owner.
    pub fn has_public_key(&self, private: &PrivateKey) -> bool {
        let public = private.signing_key().verifying_key();
        match private.role() {
            Role::Member(member) => self.member_keys(member).contains(&public),
            Role::Author(author) => self.author_keys(author).contains(&public),
        }
    }

    /// The members with a valid key, sorted by number.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Whether a member signed these bytes with a valid key.
    pub fn signed_by_member(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool {
        any_verifies(self.member_keys(member), bytes, signature)
    }

    /// Whether an author signed these bytes with a valid key.
    pub fn signed_by_author(&self, author: Member, bytes: &[u8], signature: &Signature) -> bool {
        any_verifies(self.author_keys(author), bytes, signature)
    }

    /// Whether an author signed these bytes with a valid or a revoked key.
    pub fn ever_signed_by_author(&self, author: Member, bytes: &[u8], signature: &Signature) -> bool {
        self.signed_by_author(author, bytes, signature)
            || any_verifies(self.revoked_author_keys(author), bytes, signature)
    }
}

/// Whether the signature of these bytes verifies with one of the keys.
fn any_verifies(keys: &[VerifyingKey], bytes: &[u8], signature: &Signature) -> bool {
    let signature = ed25519_dalek::Signature::from_bytes(signature);
    keys.iter().any(|key| key.verify_strict(bytes, &signature).is_ok())
}

/// The valid keys of all owners of a role. Errors go to `faults`; `owners` detects a key that two owners
/// have.
fn keys_of_role(
    sheet: &IniFile, role: &str, owners: &mut BTreeMap<[u8; 32], String>, faults: &mut Vec<Fault>,
) -> PublicKeys {
    let mut keys_by_owner = PublicKeys::new();
    for name in sheet.section_names(role) {
        let section_name = format!("{role} {name}");
        let fault = |key: &str, value: &str, why: &str| sheet.fault(&section_name, key, value, why);
        let Some(number) = name.parse().ok().filter(|number: &Member| usize::from(*number) < MAX_MEMBERS)
        else {
            faults.push(fault("", "", &format!("the number must be between 0 and {}", MAX_MEMBERS - 1)));
            continue;
        };
        match sheet.section::<Section>(&section_name) {
            Ok(section) => {
                let keys = valid_keys(&section, fault, faults);
                for key in &keys {
                    if let Some(other) = owners.insert(key.to_bytes(), section_name.clone()) {
                        let hex = hex::encode(key.to_bytes());
                        faults.push(fault("keys", &hex, &format!("{other} has the same key")));
                    }
                }
                if !keys.is_empty() {
                    keys_by_owner.insert(number, keys);
                }
            }
            Err(found) => faults.extend(found.0),
        }
    }
    keys_by_owner
}

/// The revoked keys of all authors. Ignores errors, which [`keys_of_role`] has reported.
fn revoked_author_keys(sheet: &IniFile) -> PublicKeys {
    let revoked_keys = |name: &str| {
        let section = sheet.section::<Section>(&format!("author {name}")).ok()?;
        let keys = section.revoked.iter().filter_map(|text| public_key(text)).collect();
        Some((name.parse().ok()?, keys))
    };
    sheet.section_names("author").filter_map(revoked_keys).collect()
}

/// Parses a public key from hex digits. Rejects weak keys: they would let others sign for the owner.
fn public_key(text: &str) -> Option<VerifyingKey> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    VerifyingKey::from_bytes(&bytes).ok().filter(|key| !key.is_weak())
}

/// The keys of a section that are not revoked. Errors in both lists go to `faults`.
fn valid_keys(
    section: &Section, fault: impl Fn(&str, &str, &str) -> Fault, faults: &mut Vec<Fault>,
) -> Vec<VerifyingKey> {
    let mut parse_keys = |key: &str, texts: &[String]| -> Vec<VerifyingKey> {
        let mut keys = Vec::new();
        for text in texts {
            match public_key(text) {
                Some(public) => keys.push(public),
                None => faults.push(fault(key, text, "must be a public Ed25519 key in 64 hex digits")),
            }
        }
        keys
    };
    let (keys, revoked) = (parse_keys("keys", &section.keys), parse_keys("revoked", &section.revoked));
    keys.into_iter().filter(|key| !revoked.contains(key)).collect()
}
