//! Which envelopes hold.

use badgerledge_distribution::message::PeerMessage;
use badgerledge_keys::Keys;

use super::support::keys;
use crate::envelope::{Envelope, Identity, Lives, Opener, Payload, PeerFrame, Refusal, Sealer};

const SESSION: [u8; 16] = [7; 16];
const LIFE: u32 = 40;

fn sealer(from: u16, to: u16, life: u32, session: [u8; 16]) -> Sealer {
    Sealer::new(Identity { machine: from, life }, to, session)
}

fn sealed(sealer: &mut Sealer, hand: &Keys) -> Envelope {
    match sealer.seal(&message(), hand) {
        PeerFrame::Sealed(envelope) => envelope,
        PeerFrame::Challenge { .. } => unreachable!(),
    }
}

fn message() -> Payload {
    Payload::Message(PeerMessage::RequestGrant { root: [3; 32] })
}

#[test]
fn what_a_machine_sealed_is_opened_once_and_in_order() {
    let keys = keys(2);
    let (mut from, mut lives) = (sealer(1, 0, LIFE, SESSION), Lives::default());
    let mut to = Opener::new(0, None, SESSION);
    let (first, second) = (sealed(&mut from, &keys[1]), sealed(&mut from, &keys[1]));
    assert_eq!(to.open(&first, &keys[0], &mut lives), Ok(message()));
    assert_eq!(to.peer(), Some(1));
    assert_eq!(to.open(&second, &keys[0], &mut lives), Ok(message()));
    for again in [&first, &second] {
        assert_eq!(to.open(again, &keys[0], &mut lives), Err(Refusal::Replayed(1)));
    }
}

/// Also by a receiver that restarted and remembers nothing.
#[test]
fn what_was_recorded_on_another_stream_is_refused() {
    let keys = keys(2);
    let recorded = sealed(&mut sealer(1, 0, LIFE, SESSION), &keys[1]);
    let mut reborn = Opener::new(0, None, [8; 16]);
    assert_eq!(reborn.open(&recorded, &keys[0], &mut Lives::default()), Err(Refusal::Replayed(1)));
}

#[test]
fn an_earlier_life_is_refused_once_a_later_one_was_heard() {
    let keys = keys(2);
    let mut lives = Lives::default();
    let mut open = |life| {
        let envelope = sealed(&mut sealer(1, 0, life, SESSION), &keys[1]);
        Opener::new(0, None, SESSION).open(&envelope, &keys[0], &mut lives)
    };
    assert!(open(LIFE).is_ok());
    assert_eq!(open(LIFE - 1), Err(Refusal::StaleLife { from: 1, found: LIFE - 1, known: LIFE }));
    assert!(open(LIFE + 1).is_ok());
}

#[test]
fn foreign_and_unsigned_envelopes_are_refused() {
    let keys = keys(3);
    let mut lives = Lives::default();
    let mut open = |envelope: &Envelope, peer| {
        Opener::new(0, peer, SESSION).open(envelope, &keys[0], &mut lives).unwrap_err()
    };
    let good = sealed(&mut sealer(1, 0, LIFE, SESSION), &keys[1]);
    let other = sealed(&mut sealer(1, 2, LIFE, SESSION), &keys[1]);
    assert_eq!(open(&other, None), Refusal::Foreign { from: 1, to: 2 });
    assert_eq!(open(&good, Some(2)), Refusal::Foreign { from: 1, to: 0 }, "another than the stream is to");
    let unsigned = Envelope { signature: [0; 64], ..good.clone() };
    assert_eq!(open(&unsigned, None), Refusal::Unsigned(1));
    let by_another = sealed(&mut sealer(1, 0, LIFE, SESSION), &keys[2]);
    assert_eq!(open(&by_another, None), Refusal::Unsigned(1));
    // Each field is covered.
    let changed = [
        Envelope { life: LIFE + 1, ..good.clone() },
        Envelope { session: [9; 16], ..good.clone() },
        Envelope { sequence: 9, ..good.clone() },
        Envelope { payload: vec![0], ..good.clone() },
    ];
    for envelope in changed {
        assert_eq!(open(&envelope, None), Refusal::Unsigned(1));
    }
}

#[test]
fn a_refused_envelope_changes_nothing() {
    let keys = keys(2);
    let mut lives = Lives::default();
    let mut opener = Opener::new(0, None, SESSION);
    let good = sealed(&mut sealer(1, 0, LIFE, SESSION), &keys[1]);
    let ahead = Envelope { sequence: 1000, life: LIFE + 9, ..good.clone() };
    assert!(opener.open(&ahead, &keys[0], &mut lives).is_err());
    assert_eq!(opener.peer(), None);
    assert!(opener.open(&good, &keys[0], &mut lives).is_ok());
}
