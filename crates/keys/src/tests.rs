//! Valid and revoked keys of a ring, errors in rings and key files, and verification without a private key.

use std::os::unix::fs::PermissionsExt;

use badgerledge_gossip::Keyring;
use badgerledge_settings::IniFile;

use crate::{Keys, PrivateKey, PrivateKeyError, Ring, Role};

fn ring(text: &str) -> Result<Ring, String> {
    let sheet = IniFile::parse("ring.ini", text).map_err(|e| e.to_string())?;
    Ring::of(&sheet).map_err(|e| e.to_string())
}

#[test]
fn both_keys_are_valid_during_rotation_and_revoked_keys_are_not() {
    let (old, new) =
        (PrivateKey::generate(Role::Member(3)).unwrap(), PrivateKey::generate(Role::Member(3)).unwrap());
    let (first, second) = (old.public_hex(), new.public_hex());
    let both = ring(&format!("[member 3]\nkeys = {first}, {second}\n")).unwrap();
    let old = Keys::new(old, both.clone()).unwrap();
    let new = Keys::new(new, both).unwrap();
    let (by_old, by_new) = (old.sign(b"word"), new.sign(b"word"));
    assert!(new.signed(3, b"word", &by_old) && old.signed(3, b"word", &by_new));
    assert!(!new.signed(3, b"words", &by_old) && !new.signed(4, b"word", &by_old));
    let later = ring(&format!("[member 3]\nkeys = {first}, {second}\nrevoked = {first}\n")).unwrap();
    let new = Keys { ring: later, ..new };
    assert!(!new.signed(3, b"word", &by_old) && new.signed(3, b"word", &by_new));
    let without_keys = ring(&format!("[member 3]\nkeys = {first}\nrevoked = {first}\n")).unwrap();
    assert!(without_keys.members().is_empty());
    assert!(Keys::new(old.private, without_keys).is_none());
}

#[test]
fn ring_errors_name_line_key_value_and_accepted_values() {
    let key = PrivateKey::generate(Role::Member(0)).unwrap().public_hex();
    let error = ring("[member 0]\nkeys = 12ab\n").unwrap_err();
    assert_eq!(error, "ring.ini:2: [member 0] keys = 12ab: must be a public Ed25519 key in 64 hex digits");
    let error = ring(&format!("[member 0]\nkeys = {key}\n[member 1]\nkeys = {key}\n")).unwrap_err();
    assert!(error.contains("member 0 has the same key"), "{error}");
    assert!(ring("[member x]\nkeys =\n").unwrap_err().contains("the number must be between 0 and 2047"));
    let weak = "00".repeat(32);
    assert!(ring(&format!("[member 0]\nkeys = {weak}\n")).is_err());
}

#[test]
fn private_key_that_others_can_read_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("key");
    let generated = PrivateKey::generate(Role::Member(9)).unwrap();
    generated.write(&path).unwrap();
    let read = PrivateKey::read(&path).unwrap();
    assert_eq!((read.role(), read.public_hex()), (Role::Member(9), generated.public_hex()));
    assert!(
        matches!(generated.write(&path), Err(PrivateKeyError::Io(..))),
        "an existing key was overwritten"
    );
    for mode in [0o640, 0o604, 0o660] {
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        assert!(
            matches!(PrivateKey::read(&path), Err(PrivateKeyError::Open(_, reported)) if reported == mode)
        );
    }
}

#[test]
fn malformed_private_key_is_rejected_with_the_line() {
    let folder = tempfile::tempdir().unwrap();
    for (text, line) in
        [("", 1), ("member = x\nsecret = 00\n", 1), ("member = 1\nsecret = 00\n", 2), ("member = 1\n", 2)]
    {
        let path = folder.path().join("malformed");
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
        assert!(
            matches!(PrivateKey::read(&path), Err(PrivateKeyError::Malformed(_, reported, _)) if reported == line)
        );
    }
}

#[test]
fn verifier_verifies_signatures_of_members_but_can_not_sign() {
    use badgerledge_revisions::Signer;
    let member = PrivateKey::generate(Role::Member(3)).unwrap();
    let text = format!("[member 3]\nkeys = {}\n[keepers]\nmembers = 3\n", member.public_hex());
    let verifier = crate::Verifier::new(Ring::of(&IniFile::parse("ring", &text).unwrap()).unwrap());
    let signature = member.sign(b"bytes");
    assert!(
        verifier.verify_member(3, b"bytes", &signature) && !verifier.verify_member(3, b"other", &signature)
    );
    assert!(!verifier.verify_member(3, b"bytes", &verifier.sign(b"bytes")));
    assert_eq!((verifier.members(), verifier.acceptors()), ([3].as_slice(), [3].as_slice()));
}
