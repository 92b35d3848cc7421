use std::os::unix::fs::PermissionsExt;

use badgerledge_gossip::Keyring;
use badgerledge_settings::Sheet;

use crate::{Keys, PrivateFault, PrivateKey, Ring, Role};

fn ring(text: &str) -> Result<Ring, String> {
    let sheet = Sheet::parse("ring.ini", text).map_err(|e| e.to_string())?;
    Ring::of(&sheet).map_err(|e| e.to_string())
}

#[test]
fn two_keys_hold_while_one_takes_the_others_place_and_a_revoked_one_does_not() {
    let (old, new) = (PrivateKey::make(Role::Member(3)).unwrap(), PrivateKey::make(Role::Member(3)).unwrap());
    let (first, second) = (old.public(), new.public());
    let both = ring(&format!("[member 3]\nkeys = {first}, {second}\n")).unwrap();
    let old = Keys::new(old, both.clone()).unwrap();
    let new = Keys::new(new, both).unwrap();
    let (by_old, by_new) = (old.sign(b"word"), new.sign(b"word"));
    assert!(new.signed(3, b"word", &by_old) && old.signed(3, b"word", &by_new));
    assert!(!new.signed(3, b"words", &by_old) && !new.signed(4, b"word", &by_old));
    let later = ring(&format!("[member 3]\nkeys = {first}, {second}\nrevoked = {first}\n")).unwrap();
    let new = Keys { ring: later, ..new };
    assert!(!new.signed(3, b"word", &by_old) && new.signed(3, b"word", &by_new));
    let gone = ring(&format!("[member 3]\nkeys = {first}\nrevoked = {first}\n")).unwrap();
    assert!(gone.members().is_empty());
    assert!(Keys::new(old.private, gone).is_none());
}

#[test]
fn faults_of_a_ring_name_line_key_value_and_what_is_taken() {
    let key = PrivateKey::make(Role::Member(0)).unwrap().public();
    let found = ring("[member 0]\nkeys = 12ab\n").unwrap_err();
    assert_eq!(found, "ring.ini:2: [member 0] keys = 12ab: a public Ed25519 key in 64 hex digits is taken");
    let found = ring(&format!("[member 0]\nkeys = {key}\n[member 1]\nkeys = {key}\n")).unwrap_err();
    assert!(found.contains("member 0 has the same key"), "{found}");
    assert!(ring("[member x]\nkeys =\n").unwrap_err().contains("a number of 0 to 2047 is taken"));
    let weak = "00".repeat(32);
    assert!(ring(&format!("[member 0]\nkeys = {weak}\n")).is_err());
}

#[test]
fn a_private_key_that_others_can_read_is_not_taken() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("key");
    let made = PrivateKey::make(Role::Member(9)).unwrap();
    made.write(&path).unwrap();
    let read = PrivateKey::read(&path).unwrap();
    assert_eq!((read.role(), read.public()), (Role::Member(9), made.public()));
    assert!(matches!(made.write(&path), Err(PrivateFault::Io(..))), "written over");
    for mode in [0o640, 0o604, 0o660] {
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        assert!(matches!(PrivateKey::read(&path), Err(PrivateFault::Open(_, told)) if told == mode));
    }
}

#[test]
fn a_torn_private_key_is_told_with_its_line() {
    let folder = tempfile::tempdir().unwrap();
    for (text, line) in
        [("", 1), ("member = x\nsecret = 00\n", 1), ("member = 1\nsecret = 00\n", 2), ("member = 1\n", 2)]
    {
        let path = folder.path().join("torn");
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
        assert!(matches!(PrivateKey::read(&path), Err(PrivateFault::Malformed(_, told, _)) if told == line));
    }
}

#[test]
fn a_verifier_knows_what_members_signed_and_signs_nothing() {
    use badgerledge_revisions::Signer;
    let member = PrivateKey::make(Role::Member(3)).unwrap();
    let text = format!("[member 3]\nkeys = {}\n[keepers]\nmembers = 3\n", member.public());
    let verifier = crate::Verifier::new(Ring::of(&Sheet::parse("ring", &text).unwrap()).unwrap());
    let signature = member.sign(b"bytes");
    assert!(
        verifier.verify_member(3, b"bytes", &signature) && !verifier.verify_member(3, b"other", &signature)
    );
    assert!(!verifier.verify_member(3, b"bytes", &verifier.sign(b"bytes")));
    assert_eq!((verifier.members(), verifier.acceptors()), ([3].as_slice(), [3].as_slice()));
}
