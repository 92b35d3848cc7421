//! Datagrams of the gossip, to a member that takes every signature for good: whatever they say, it neither panics nor
//! sends more than it may, and what it reads it writes again as it was.

#![no_main]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_gossip::envelope;
use badgerledge_gossip::statement::{Claim, Keyring, Signature, Statement};
use badgerledge_gossip::{
    Gossip, Member, Transport, MAX_BYTES_PER_SECOND, MAX_DATAGRAM_BYTES, SIGNATURE_BYTES,
};
use libfuzzer_sys::fuzz_target;

struct Credulous;

impl Keyring for Credulous {
    fn sign(&self, _bytes: &[u8]) -> Signature {
        [0; SIGNATURE_BYTES]
    }

    fn signed(&self, _member: Member, _bytes: &[u8], _signature: &Signature) -> bool {
        true
    }

    fn knows(&self, member: Member) -> bool {
        member < 8
    }

    fn ring(&self) -> &[Member] {
        &[0, 1, 2, 3, 4, 5, 6, 7]
    }
}

struct Sent(usize);

impl Transport for Sent {
    fn send(&mut self, _to: SocketAddrV4, bytes: &[u8]) {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        self.0 += bytes.len();
    }
}

fn read_again(body: &[u8]) {
    let mut rest = body;
    while let Some((statement, age, used)) = Statement::read(rest) {
        let mut bytes = Vec::new();
        statement.write(age, &mut bytes);
        let bulletin = matches!(statement.claim, Claim::Bulletin(_));
        assert_eq!(&bytes[..bytes.len() - usize::from(bulletin)], &rest[..used - usize::from(bulletin)]);
        rest = &rest[used..];
    }
}

fuzz_target!(|input: &[u8]| {
    let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000);
    let mut now = Duration::from_secs(100);
    let mut gossip = Gossip::new(0, Credulous, 1, at, vec![at], now, 1);
    let (mut sent, mut events) = (Sent(0), Vec::new());
    // Datagrams one after the other, each with its length before it; the mark is put there, so that most get past it.
    let mut rest = input;
    while let Some((length, tail)) = rest.split_first() {
        let (bytes, more) = tail.split_at(tail.len().min(usize::from(*length)));
        rest = more;
        let mut datagram = [b"bg\x01", bytes].concat();
        datagram.resize(datagram.len().max(16 + SIGNATURE_BYTES), 0);
        if let Ok((_, body, _, _)) = envelope::open(&datagram) {
            read_again(body);
        }
        let _ = gossip.handle_datagram(now, at, &datagram, &mut sent, &mut events);
        gossip.tick(now, &mut sent, &mut events);
        now += Duration::from_millis(1);
    }
    // All within a quarter of a second at most: less than what a second may have.
    assert!(now > Duration::from_secs(101) || sent.0 <= MAX_BYTES_PER_SECOND);
});
