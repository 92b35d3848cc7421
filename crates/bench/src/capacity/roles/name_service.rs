//! An answer of the name service as the platform's program takes it: bytes and time by the streamers in it.

use anyhow::{Context, Result};
use badgerledge_core::interface::Health;
use badgerledge_names::{StreamerList, StreamerSink};
use simple_dns::rdata::{RData, A, SOA, SRV, TXT};
use simple_dns::{Name, Packet, Question, ResourceRecord, CLASS, QCLASS, QTYPE, TYPE};

use super::{Role, BYTES_A_SECOND, CORE_SHARE};
use crate::capacity::measure::{processor_ms, Reading};

/// The name that all streamers are listed under.
const FLEET: &str = "_work._tcp.fleet.local";
/// Times a second that the name service is asked.
const ASKED_A_SECOND: f64 = 5.0;
/// The longest payload of a datagram (RFC 768 over IPv4): a longer answer does not arrive at all.
const LONGEST_DATAGRAM: f64 = 65_507.0;
const RUNS: u16 = 50;
/// Streamers on the list with a thousand streams on each: the plan tells no number.
const PLAN_STREAMERS: f64 = super::CONNECTIONS / super::STREAMS_EACH;

pub const ROLE: Role = Role {
    name: "name-service",
    size_unit: "streamers",
    sizes: &[25, 50, 100, 200, 400],
    plan_size: PLAN_STREAMERS,
    measure: |size, _seed| readings(size as u32),
};

/// Takes what is told, and keeps none of it.
struct Nobody;

impl StreamerSink for Nobody {
    fn entry(
        &mut self, _id: u32, _at: std::net::SocketAddrV4, _zone: &str, _kind: &str, _cell: u32,
        _health: Health, _weight: f64, _started: u64,
    ) {
    }
}

fn answer(number: u16, serial: u32, streamers: u32) -> Result<Vec<u8>> {
    let hosts: Vec<String> = (0..streamers).map(|id| format!("s-{id:08x}.east.hosts")).collect();
    let mut packet = Packet::new_reply(number);
    let question = Question::new(Name::new(FLEET)?, QTYPE::TYPE(TYPE::SRV), QCLASS::CLASS(CLASS::IN), false);
    packet.questions.push(question);
    for (n, host) in hosts.iter().enumerate() {
        let (host, cell) = (Name::new(host)?, format!("cell={}", n % 40));
        let record = |owner, data| ResourceRecord::new(owner, CLASS::IN, 0, data);
        let service = SRV { priority: 0, weight: 40, port: 2905, target: host.clone() };
        packet.answers.push(record(Name::new(FLEET)?, RData::SRV(service)));
        let address = 0x0a00_0000 + n as u32;
        packet.additional_records.push(record(host.clone(), RData::A(A { address })));
        let text = TXT::new().with_string("kind=std")?.with_string("started=1000")?;
        let text = text.with_string(Box::leak(cell.into_boxed_str()))?;
        packet.additional_records.push(record(host, RData::TXT(text)));
    }
    let (mname, rname) = (Name::new("ns.fleet.local")?, Name::new("ops.fleet.local")?);
    let start = SOA { mname, rname, serial, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    let start = ResourceRecord::new(Name::new("fleet.local")?, CLASS::IN, 0, RData::SOA(start));
    packet.name_servers.push(start);
    Ok(packet.build_bytes_vec_compressed()?)
}

fn readings(streamers: u32) -> Result<Vec<Reading>> {
    let mut names = StreamerList::default();
    let (mut spent_ms, mut bytes) = (0.0, 0);
    for number in 0..RUNS {
        names.next_query(number);
        let told = answer(number, u32::from(number) + 1, streamers)?;
        bytes = told.len();
        let mut taken = Ok(false);
        spent_ms += processor_ms(|| taken = names.apply_answer(&told, &mut Nobody));
        taken.context("an answer of its own")?;
    }
    let each_ms = spent_ms / f64::from(RUNS);
    Ok(vec![
        Reading::new("bytes of an answer", "bytes", bytes as f64).limited(LONGEST_DATAGRAM),
        Reading::new("answers", "bytes a second", bytes as f64 * ASKED_A_SECOND).limited(BYTES_A_SECOND),
        Reading::new("an answer", "ms of a core", each_ms),
        Reading::new("answers, processor", "of a core", each_ms / 1000.0 * ASKED_A_SECOND)
            .limited(CORE_SHARE),
    ])
}
