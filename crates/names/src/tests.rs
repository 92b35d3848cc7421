//! The list from JSON and from DNS, and answers that are spoilt, old or foreign.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use badgerledge_core::interface::Health;
use quickcheck::{Gen, QuickCheck};
use serde_json::json;
use simple_dns::rdata::{RData, A, SOA, SRV, TXT};
use simple_dns::{Name, Packet, PacketFlag, Question, ResourceRecord, CLASS, QCLASS, RCODE};

use crate::{id_of, srv, Fault, Names, Tells, FLEET};

/// What was told, the last word on each streamer.
#[derive(Default, Debug, PartialEq)]
struct Told(BTreeMap<u32, (String, Health, u32, f64, u64)>);

impl Tells for Told {
    fn entry(
        &mut self, id: u32, at: SocketAddrV4, zone: &str, kind: &str, cell: u32, health: Health, weight: f64,
        started: u64,
    ) {
        self.0.insert(id, (format!("{at} {zone} {kind}"), health, cell, weight, started));
    }
}

/// One streamer of a made-up answer: id, last byte of the address, priority.
type Member = (u32, u8, u16);

fn packet(number: u16, serial: u32, members: &[Member]) -> Packet<'static> {
    let name = Name::new_unchecked;
    let mut packet = Packet::new_reply(number);
    packet.questions.push(Question::new(name(FLEET), srv(), QCLASS::CLASS(CLASS::IN), false));
    let record = |owner: Name<'static>, rdata| ResourceRecord::new(owner, CLASS::IN, 0, rdata);
    for (id, address, priority) in members {
        let host = Name::new(Box::leak(format!("s-{id:08x}.east.hosts").into_boxed_str())).unwrap();
        let target = host.clone();
        let srv = SRV { priority: *priority, weight: 40, port: 2905, target };
        packet.answers.push(record(name(FLEET), RData::SRV(srv)));
        let address = u32::from_be_bytes([127, 1, 0, *address]);
        packet.additional_records.push(record(host.clone(), RData::A(A { address })));
        let text =
            ["kind=std", "cell=2", "started=0"].iter().fold(TXT::new(), |t, s| t.with_string(s).unwrap());
        packet.additional_records.push(record(host, RData::TXT(text)));
    }
    let (mname, rname) = (name("ns.fleet.local"), name("ops.fleet.local"));
    let soa = SOA { mname, rname, serial, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    packet.name_servers.push(record(name("fleet.local"), RData::SOA(soa)));
    packet
}

fn bytes(packet: &Packet) -> Vec<u8> {
    packet.build_bytes_vec_compressed().unwrap()
}

/// A list that holds two streamers, with query 7 out.
fn names() -> Names {
    let mut names = Names::default();
    names.query(7);
    names.answer(&bytes(&packet(7, 3, &[(1, 9, 0), (2, 10, 0)])), &mut Told::default()).unwrap();
    names
}

#[test]
fn a_query_asks_for_the_whole_fleet() {
    let query = Names::default().query(0x1234);
    let packet = Packet::parse(&query).unwrap();
    assert_eq!((packet.id(), packet.questions.len()), (0x1234, 1));
    assert_eq!(packet.questions[0].qname.to_string(), FLEET);
}

#[test]
fn what_has_changed_is_told_and_nothing_else() {
    let (mut names, mut told) = (names(), Told::default());
    let answer = bytes(&packet(7, 5, &[(2, 10, 1), (3, 9, 0)]));
    assert_eq!(names.answer(&answer, &mut told), Ok(true));
    let at = |last| format!("127.1.0.{last}:2905 east std");
    let expected = [
        (1, (at(9), Health::Gone, 2, 4.0, 0)),
        (2, (at(10), Health::Draining, 2, 4.0, 0)),
        (3, (at(9), Health::Ready, 2, 4.0, 0)),
    ];
    assert_eq!(told, Told(expected.into()));
    // The same list once more says nothing, and an older one changes nothing.
    assert_eq!(names.answer(&answer, &mut Told::default()), Ok(false));
    let mut none = Told::default();
    let old = bytes(&packet(7, 4, &[(1, 9, 0)]));
    assert_eq!((names.answer(&old, &mut none), names.last()), (Err(Fault::Old), 5));
    assert_eq!(none, Told::default());
}

/// No list is capped: hundreds of streamers are usual, a thousand is room to grow.
#[test]
fn an_answer_with_1024_streamers_is_taken_whole() {
    let members: Vec<Member> = (0..1024).map(|id| (id, id as u8, 0)).collect();
    let (mut names, mut told) = (names(), Told::default());
    assert_eq!(names.answer(&bytes(&packet(7, 4, &members)), &mut told), Ok(true));
    assert_eq!(told.0.len(), 1024);
    let mut told = Told::default();
    names.tell_all(&mut told);
    assert_eq!(told.0.len(), 1024);
}

#[test]
fn what_is_no_answer_to_count_changes_nothing() {
    let good = packet(7, 9, &[(5, 11, 0)]);
    let spoil = |change: &dyn Fn(&mut Packet<'static>)| {
        let mut packet = good.clone();
        change(&mut packet);
        let (mut names, mut told) = (names(), Told::default());
        let fault = names.answer(&bytes(&packet), &mut told).unwrap_err();
        assert_eq!((told, names.last()), (Told::default(), 3));
        fault
    };
    assert_eq!(spoil(&|p| p.set_id(8)), Fault::Foreign);
    assert_eq!(spoil(&|p| p.questions.clear()), Fault::Foreign);
    assert_eq!(spoil(&|p| p.remove_flags(PacketFlag::RESPONSE)), Fault::Foreign);
    assert_eq!(spoil(&|p| p.questions[0].qname = Name::new_unchecked("other.local")), Fault::Foreign);
    assert_eq!(spoil(&|p| p.set_flags(PacketFlag::TRUNCATION)), Fault::Unanswered);
    assert_eq!(spoil(&|p| *p.rcode_mut() = RCODE::ServerFailure), Fault::Unanswered);
    assert_eq!(spoil(&|p| p.name_servers.clear()), Fault::NotWhole);
    assert_eq!(spoil(&|p| drop(p.additional_records.pop())), Fault::NotWhole);
    assert_eq!(spoil(&|p| drop(p.additional_records.remove(0))), Fault::NotWhole);
    let mut elsewhere = names();
    elsewhere.forget_queries();
    assert_eq!(elsewhere.answer(&bytes(&good), &mut Told::default()), Err(Fault::Foreign));
}

/// Found by reading: of a service that takes two seconds no answer counted, since as many queries had followed by then.
#[test]
fn a_slow_service_is_heard_and_which_query_it_answers_is_known() {
    let mut names = names();
    (100..130).for_each(|number| drop(names.query(number)));
    assert_eq!((names.asked(), names.answered()), (31, 1));
    assert_eq!(names.answer(&bytes(&packet(100, 4, &[(1, 9, 0)])), &mut Told::default()), Ok(true));
    assert_eq!(names.answered(), 2);
    assert_eq!(names.answer(&bytes(&packet(101, 4, &[(1, 9, 0)])), &mut Told::default()), Ok(false));
    assert_eq!(names.answered(), 3);
    // One that comes after a later one is no newer than that.
    assert_eq!(names.answer(&bytes(&packet(7, 4, &[(1, 9, 0)])), &mut Told::default()), Ok(false));
    assert_eq!(names.answered(), 3);
}

#[test]
fn an_answer_that_contradicts_itself_changes_nothing() {
    for members in [[(5, 11, 0), (5, 12, 0)], [(5, 11, 0), (5, 11, 1)]] {
        let (mut names, mut told) = (names(), Told::default());
        assert_eq!(names.answer(&bytes(&packet(7, 9, &members)), &mut told), Err(Fault::Contradicts));
        assert_eq!((told, names.last()), (Told::default(), 3));
    }
    // The same said twice is no contradiction.
    let (mut names, mut told) = (names(), Told::default());
    assert_eq!(names.answer(&bytes(&packet(7, 9, &[(5, 11, 0), (5, 11, 0)])), &mut told), Ok(true));
}

#[test]
fn an_answer_cut_anywhere_changes_nothing() {
    let whole = bytes(&packet(7, 9, &[(5, 11, 0), (6, 12, 1)]));
    for cut in 0..whole.len() {
        let mut names = names();
        assert!(names.answer(&whole[..cut], &mut Told::default()).is_err(), "cut at {cut}");
        assert_eq!(names.last(), 3);
    }
}

#[test]
fn any_bytes_are_an_answer_or_none() {
    fn holds(at: usize, byte: u8, noise: Vec<u8>) -> bool {
        let mut spoilt = bytes(&packet(7, 9, &[(5, 11, 0)]));
        let at = at % spoilt.len();
        spoilt[at] = byte;
        let _ = names().answer(&spoilt, &mut Told::default());
        names().answer(&noise, &mut Told::default()).is_err()
    }
    let gen = Gen::from_size_and_seed(100, 5);
    QuickCheck::new().rng(gen).tests(2000).quickcheck(holds as fn(usize, u8, Vec<u8>) -> bool);
}

#[test]
fn the_events_of_a_start_make_the_list() {
    let member = |id: &str, phase: &str| {
        json!({"id": id, "host_port": "127.1.0.9:2905", "locality": "east", "flavor": "std", "cell": 2,
            "phase": phase, "size": 4, "up_since_ms": 1700})
    };
    let event = |pos: u32, complete: bool, members: &[serde_json::Value]| json!({"pos": pos, "hosts": {"revision": pos, "complete": complete, "members": members}});
    let first = event(1, true, &[member("s-00000001", "active"), member("s-00000002", "active")]);
    let second = event(2, false, &[member("s-00000001", "left"), member("s-00000002", "leaving")]);
    let mut names = Names::default();
    assert_eq!(names.known(&json!({"pos": 2, "entries": [first, second]})), Ok(true));
    let mut told = Told::default();
    names.tell_all(&mut told);
    let held = ("127.1.0.9:2905 east std".to_owned(), Health::Draining, 2, 4.0, 1700);
    assert_eq!((told, names.last()), (Told([(2, held)].into()), 2));
    let wrong = json!({"pos": 3, "entries": [event(3, true, &[member("s-1", "active")])]});
    assert_eq!((names.known(&wrong), names.last()), (Err(Fault::Field("id")), 2));
    assert_eq!(names.known(&json!({})), Err(Fault::Field("pos")));
    assert_eq!((id_of("s-00c41f7a"), id_of("s-0c41f7a"), id_of("00c41f7a")), (Some(0x00c4_1f7a), None, None));
}
