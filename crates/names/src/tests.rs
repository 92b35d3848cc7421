//! Loading the list from JSON and DNS, and rejecting answers that are malformed, outdated or unrelated.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use badgerledge_core::interface::Health;
use quickcheck::{Gen, QuickCheck};
use serde_json::json;
use simple_dns::rdata::{RData, A, SOA, SRV, TXT};
use simple_dns::{Name, Packet, PacketFlag, Question, ResourceRecord, CLASS, QCLASS, RCODE};

use crate::{parse_streamer_id, srv_type, Fault, StreamerList, StreamerSink, FLEET_NAME};

/// The last reported entry of each streamer.
#[derive(Default, Debug, PartialEq)]
struct ReportedEntries(BTreeMap<u32, (String, Health, u32, f64, u64)>);

impl StreamerSink for ReportedEntries {
    fn entry(
        &mut self, id: u32, address: SocketAddrV4, zone: &str, kind: &str, cell: u32, health: Health,
        weight: f64, started_unix_ms: u64,
    ) {
        self.0.insert(id, (format!("{address} {zone} {kind}"), health, cell, weight, started_unix_ms));
    }
}

/// A streamer in a generated answer: id, last byte of the address, priority.
type GeneratedStreamer = (u32, u8, u16);

fn packet(number: u16, serial: u32, members: &[GeneratedStreamer]) -> Packet<'static> {
    let name = Name::new_unchecked;
    let mut packet = Packet::new_reply(number);
    packet.questions.push(Question::new(name(FLEET_NAME), srv_type(), QCLASS::CLASS(CLASS::IN), false));
    let record = |owner: Name<'static>, rdata| ResourceRecord::new(owner, CLASS::IN, 0, rdata);
    for (id, address, priority) in members {
        let host = Name::new(Box::leak(format!("s-{id:08x}.east.hosts").into_boxed_str())).unwrap();
        let target = host.clone();
        let srv = SRV { priority: *priority, weight: 40, port: 2905, target };
        packet.answers.push(record(name(FLEET_NAME), RData::SRV(srv)));
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

/// A list of two streamers, with query 7 outstanding.
fn streamer_list() -> StreamerList {
    let mut streamer_list = StreamerList::default();
    streamer_list.next_query(7);
    streamer_list
        .apply_answer(&bytes(&packet(7, 3, &[(1, 9, 0), (2, 10, 0)])), &mut ReportedEntries::default())
        .unwrap();
    streamer_list
}

#[test]
fn a_query_asks_for_the_whole_fleet() {
    let query = StreamerList::default().next_query(0x1234);
    let packet = Packet::parse(&query).unwrap();
    assert_eq!((packet.id(), packet.questions.len()), (0x1234, 1));
    assert_eq!(packet.questions[0].qname.to_string(), FLEET_NAME);
}

#[test]
fn only_changes_are_reported() {
    let (mut streamer_list, mut reported) = (streamer_list(), ReportedEntries::default());
    let answer = bytes(&packet(7, 5, &[(2, 10, 1), (3, 9, 0)]));
    assert_eq!(streamer_list.apply_answer(&answer, &mut reported), Ok(true));
    let place = |last_byte| format!("127.1.0.{last_byte}:2905 east std");
    let expected = [
        (1, (place(9), Health::Gone, 2, 4.0, 0)),
        (2, (place(10), Health::Draining, 2, 4.0, 0)),
        (3, (place(9), Health::Ready, 2, 4.0, 0)),
    ];
    assert_eq!(reported, ReportedEntries(expected.into()));
    // The same list again reports nothing, and an older one changes nothing.
    assert_eq!(streamer_list.apply_answer(&answer, &mut ReportedEntries::default()), Ok(false));
    let mut none = ReportedEntries::default();
    let old = bytes(&packet(7, 4, &[(1, 9, 0)]));
    assert_eq!(
        (streamer_list.apply_answer(&old, &mut none), streamer_list.last_event()),
        (Err(Fault::Outdated), 5)
    );
    assert_eq!(none, ReportedEntries::default());
}

/// The size of the list is not limited: hundreds of streamers are usual, a thousand leaves room to grow.
#[test]
fn an_answer_with_1024_streamers_is_applied_completely() {
    let members: Vec<GeneratedStreamer> = (0..1024).map(|id| (id, id as u8, 0)).collect();
    let (mut streamer_list, mut reported) = (streamer_list(), ReportedEntries::default());
    assert_eq!(streamer_list.apply_answer(&bytes(&packet(7, 4, &members)), &mut reported), Ok(true));
    assert_eq!(reported.0.len(), 1024);
    let mut reported = ReportedEntries::default();
    streamer_list.report_all(&mut reported);
    assert_eq!(reported.0.len(), 1024);
}

#[test]
fn rejected_answers_change_nothing() {
    let good = packet(7, 9, &[(5, 11, 0)]);
    let rejected = |change: &dyn Fn(&mut Packet<'static>)| {
        let mut packet = good.clone();
        change(&mut packet);
        let (mut streamer_list, mut reported) = (streamer_list(), ReportedEntries::default());
        let error = streamer_list.apply_answer(&bytes(&packet), &mut reported).unwrap_err();
        assert_eq!((reported, streamer_list.last_event()), (ReportedEntries::default(), 3));
        error
    };
    assert_eq!(rejected(&|p| p.set_id(8)), Fault::Unrelated);
    assert_eq!(rejected(&|p| p.questions.clear()), Fault::Unrelated);
    assert_eq!(rejected(&|p| p.remove_flags(PacketFlag::RESPONSE)), Fault::Unrelated);
    assert_eq!(rejected(&|p| p.questions[0].qname = Name::new_unchecked("other.local")), Fault::Unrelated);
    assert_eq!(rejected(&|p| p.set_flags(PacketFlag::TRUNCATION)), Fault::ServiceFailure);
    assert_eq!(rejected(&|p| *p.rcode_mut() = RCODE::ServerFailure), Fault::ServiceFailure);
    assert_eq!(rejected(&|p| p.name_servers.clear()), Fault::Incomplete);
    assert_eq!(rejected(&|p| drop(p.additional_records.pop())), Fault::Incomplete);
    assert_eq!(rejected(&|p| drop(p.additional_records.remove(0))), Fault::Incomplete);
    let mut other_service = streamer_list();
    other_service.forget_queries();
    assert_eq!(
        other_service.apply_answer(&bytes(&good), &mut ReportedEntries::default()),
        Err(Fault::Unrelated)
    );
}

/// Guards against a service that takes two seconds: its answers must be accepted although many queries have
/// followed meanwhile.
#[test]
fn late_answers_of_a_slow_service_are_accepted() {
    let mut streamer_list = streamer_list();
    (100..130).for_each(|number| drop(streamer_list.next_query(number)));
    assert_eq!((streamer_list.queries_sent(), streamer_list.last_answered_query()), (31, 1));
    assert_eq!(
        streamer_list.apply_answer(&bytes(&packet(100, 4, &[(1, 9, 0)])), &mut ReportedEntries::default()),
        Ok(true)
    );
    assert_eq!(streamer_list.last_answered_query(), 2);
    assert_eq!(
        streamer_list.apply_answer(&bytes(&packet(101, 4, &[(1, 9, 0)])), &mut ReportedEntries::default()),
        Ok(false)
    );
    assert_eq!(streamer_list.last_answered_query(), 3);
    // An answer that arrives after a later one does not lower the sequence number.
    assert_eq!(
        streamer_list.apply_answer(&bytes(&packet(7, 4, &[(1, 9, 0)])), &mut ReportedEntries::default()),
        Ok(false)
    );
    assert_eq!(streamer_list.last_answered_query(), 3);
}

#[test]
fn an_answer_that_contradicts_itself_changes_nothing() {
    for members in [[(5, 11, 0), (5, 12, 0)], [(5, 11, 0), (5, 11, 1)]] {
        let (mut streamer_list, mut reported) = (streamer_list(), ReportedEntries::default());
        assert_eq!(
            streamer_list.apply_answer(&bytes(&packet(7, 9, &members)), &mut reported),
            Err(Fault::Contradictory)
        );
        assert_eq!((reported, streamer_list.last_event()), (ReportedEntries::default(), 3));
    }
    // Repeating the same record is no contradiction.
    let (mut streamer_list, mut reported) = (streamer_list(), ReportedEntries::default());
    assert_eq!(
        streamer_list.apply_answer(&bytes(&packet(7, 9, &[(5, 11, 0), (5, 11, 0)])), &mut reported),
        Ok(true)
    );
}

#[test]
fn a_truncated_answer_changes_nothing() {
    let complete = bytes(&packet(7, 9, &[(5, 11, 0), (6, 12, 1)]));
    for cut in 0..complete.len() {
        let mut streamer_list = streamer_list();
        assert!(
            streamer_list.apply_answer(&complete[..cut], &mut ReportedEntries::default()).is_err(),
            "cut at {cut}"
        );
        assert_eq!(streamer_list.last_event(), 3);
    }
}

#[test]
fn corrupted_answers_do_not_panic_and_noise_is_rejected() {
    fn holds(index: usize, byte: u8, noise: Vec<u8>) -> bool {
        let mut corrupted = bytes(&packet(7, 9, &[(5, 11, 0)]));
        let index = index % corrupted.len();
        corrupted[index] = byte;
        let _ = streamer_list().apply_answer(&corrupted, &mut ReportedEntries::default());
        streamer_list().apply_answer(&noise, &mut ReportedEntries::default()).is_err()
    }
    let gen = Gen::from_size_and_seed(100, 5);
    QuickCheck::new().rng(gen).tests(2000).quickcheck(holds as fn(usize, u8, Vec<u8>) -> bool);
}

#[test]
fn the_configured_events_make_the_list() {
    let member = |id: &str, phase: &str| {
        json!({"id": id, "host_port": "127.1.0.9:2905", "locality": "east", "flavor": "std", "cell": 2,
            "phase": phase, "size": 4, "up_since_ms": 1700})
    };
    let event = |pos: u32, complete: bool, members: &[serde_json::Value]| json!({"pos": pos, "hosts": {"revision": pos, "complete": complete, "members": members}});
    let first = event(1, true, &[member("s-00000001", "active"), member("s-00000002", "active")]);
    let second = event(2, false, &[member("s-00000001", "left"), member("s-00000002", "leaving")]);
    let mut streamer_list = StreamerList::default();
    assert_eq!(streamer_list.load_events(&json!({"pos": 2, "entries": [first, second]})), Ok(true));
    let mut reported = ReportedEntries::default();
    streamer_list.report_all(&mut reported);
    let expected = ("127.1.0.9:2905 east std".to_owned(), Health::Draining, 2, 4.0, 1700);
    assert_eq!((reported, streamer_list.last_event()), (ReportedEntries([(2, expected)].into()), 2));
    let wrong = json!({"pos": 3, "entries": [event(3, true, &[member("s-1", "active")])]});
    assert_eq!((streamer_list.load_events(&wrong), streamer_list.last_event()), (Err(Fault::Field("id")), 2));
    assert_eq!(streamer_list.load_events(&json!({})), Err(Fault::Field("pos")));
    assert_eq!(
        (parse_streamer_id("s-00c41f7a"), parse_streamer_id("s-0c41f7a"), parse_streamer_id("00c41f7a")),
        (Some(0x00c4_1f7a), None, None)
    );
}
