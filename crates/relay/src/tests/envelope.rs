//! Which envelopes are accepted, and why others are refused.

use badgerledge_distribution::message::PeerMessage;
use badgerledge_keys::Keys;

use super::support::keys;
use crate::envelope::{Envelope, Identity, Incarnations, Opener, Payload, PeerFrame, Refusal, Sealer};

const SESSION: [u8; 16] = [7; 16];
const INCARNATION: u32 = 40;

fn sealer(from: u16, to: u16, incarnation: u32, session: [u8; 16]) -> Sealer {
    Sealer::new(Identity { machine: from, incarnation }, to, session)
}

fn sealed(sealer: &mut Sealer, signer: &Keys) -> Envelope {
    match sealer.seal(&message(), signer) {
        PeerFrame::Sealed(envelope) => envelope,
        PeerFrame::Challenge { .. } => unreachable!(),
    }
}

fn message() -> Payload {
    Payload::Message(PeerMessage::RequestGrant { root: [3; 32] })
}

#[test]
fn an_envelope_is_accepted_once_and_in_order() {
    let keys = keys(2);
    let (mut from, mut incarnations) = (sealer(1, 0, INCARNATION, SESSION), Incarnations::default());
    let mut to = Opener::new(0, None, SESSION);
    let (first, second) = (sealed(&mut from, &keys[1]), sealed(&mut from, &keys[1]));
    assert_eq!(to.open(&first, &keys[0], &mut incarnations), Ok(message()));
    assert_eq!(to.peer(), Some(1));
    assert_eq!(to.open(&second, &keys[0], &mut incarnations), Ok(message()));
    for again in [&first, &second] {
        assert_eq!(to.open(again, &keys[0], &mut incarnations), Err(Refusal::Replayed(1)));
    }
}

/// A recorded envelope must not be accepted by a receiver that restarted and lost the sequence numbers it had seen: only the
/// session number distinguishes the streams.
#[test]
fn an_envelope_recorded_on_another_stream_is_refused() {
    let keys = keys(2);
    let recorded = sealed(&mut sealer(1, 0, INCARNATION, SESSION), &keys[1]);
    let mut restarted = Opener::new(0, None, [8; 16]);
    assert_eq!(restarted.open(&recorded, &keys[0], &mut Incarnations::default()), Err(Refusal::Replayed(1)));
}

#[test]
fn an_earlier_incarnation_is_refused_once_a_later_one_is_known() {
    let keys = keys(2);
    let mut incarnations = Incarnations::default();
    let mut open = |incarnation| {
        let envelope = sealed(&mut sealer(1, 0, incarnation, SESSION), &keys[1]);
        Opener::new(0, None, SESSION).open(&envelope, &keys[0], &mut incarnations)
    };
    assert!(open(INCARNATION).is_ok());
    assert_eq!(
        open(INCARNATION - 1),
        Err(Refusal::StaleIncarnation { from: 1, found: INCARNATION - 1, known: INCARNATION })
    );
    assert!(open(INCARNATION + 1).is_ok());
}

#[test]
fn foreign_and_unsigned_envelopes_are_refused() {
    let keys = keys(3);
    let mut incarnations = Incarnations::default();
    let mut open = |envelope: &Envelope, peer| {
        Opener::new(0, peer, SESSION).open(envelope, &keys[0], &mut incarnations).unwrap_err()
    };
    let good = sealed(&mut sealer(1, 0, INCARNATION, SESSION), &keys[1]);
    let other = sealed(&mut sealer(1, 2, INCARNATION, SESSION), &keys[1]);
    assert_eq!(open(&other, None), Refusal::Foreign { from: 1, to: 2 });
    assert_eq!(
        open(&good, Some(2)),
        Refusal::Foreign { from: 1, to: 0 },
        "the stream belongs to another machine"
    );
    let unsigned = Envelope { signature: [0; 64], ..good.clone() };
    assert_eq!(open(&unsigned, None), Refusal::Unsigned(1));
    let by_another = sealed(&mut sealer(1, 0, INCARNATION, SESSION), &keys[2]);
    assert_eq!(open(&by_another, None), Refusal::Unsigned(1));
    // The signature covers each field.
    let changed = [
        Envelope { incarnation: INCARNATION + 1, ..good.clone() },
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
    let mut incarnations = Incarnations::default();
    let mut opener = Opener::new(0, None, SESSION);
    let good = sealed(&mut sealer(1, 0, INCARNATION, SESSION), &keys[1]);
    let ahead = Envelope { sequence: 1000, incarnation: INCARNATION + 9, ..good.clone() };
    assert!(opener.open(&ahead, &keys[0], &mut incarnations).is_err());
    assert_eq!(opener.peer(), None);
    assert!(opener.open(&good, &keys[0], &mut incarnations).is_ok());
}
