//! What counts as an answer of the name service, and the list that it holds.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use badgerledge_core::interface::Health;
use simple_dns::rdata::{RData, SRV, TXT};
use simple_dns::{Name, Packet, PacketFlag, ResourceRecord, RCODE};

use crate::{id_of, srv, Fault, Held, List, FLEET};

/// A zone's tens of weight for each unit of size.
const WEIGHT_UNIT: f64 = 10.0;

/// The list and the number of its last event.
pub fn read(bytes: &[u8], queries: &VecDeque<u16>) -> Result<(List, u64), Fault> {
    let packet = Packet::parse(bytes).map_err(|_| Fault::NotDns)?;
    let asked = packet.questions.first().filter(|q| q.qtype == srv() && same(&q.qname, FLEET));
    let ours = packet.has_flags(PacketFlag::RESPONSE) && queries.contains(&packet.id());
    if !ours || packet.questions.len() != 1 || asked.is_none() {
        return Err(Fault::Foreign);
    }
    if packet.rcode() != RCODE::NoError || packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(Fault::Unanswered);
    }
    let serial = packet.name_servers.iter().find_map(|record| match &record.rdata {
        RData::SOA(soa) => Some(u64::from(soa.serial)),
        _ => None,
    });
    let serial = serial.ok_or(Fault::NotWhole)?;
    let mut addresses = BTreeMap::new();
    let mut texts = BTreeMap::new();
    for record in packet.additional_records.iter().chain(&packet.answers) {
        match &record.rdata {
            RData::A(a) => drop(addresses.insert(label(&record.name, 0)?, Ipv4Addr::from(a.address))),
            RData::TXT(text) => drop(texts.insert(label(&record.name, 0)?, text)),
            _ => {}
        }
    }
    let entry = |record: &ResourceRecord| {
        let RData::SRV(record) = &record.rdata else { return None };
        let id = label(&record.target, 0).ok()?;
        held(record, *addresses.get(&id)?, texts.get(&id)?).map(|held| Some((id_of(&id)?, held)))
    };
    let records = packet.answers.iter().filter(|record| matches!(record.rdata, RData::SRV(_)));
    let list = records.map(|record| entry(record).flatten());
    Ok((list.collect::<Option<List>>().ok_or(Fault::NotWhole)?, serial))
}

fn same(name: &Name, text: &str) -> bool {
    name.to_string().trim_end_matches('.').eq_ignore_ascii_case(text)
}

fn label(name: &Name, at: usize) -> Result<String, Fault> {
    name.get_labels().get(at).map(ToString::to_string).ok_or(Fault::NotWhole)
}

fn held(record: &SRV, address: Ipv4Addr, text: &TXT) -> Option<Held> {
    let health = match record.priority {
        0 => Health::Ready,
        1 => Health::Draining,
        _ => return None,
    };
    let of = |wanted: &str| {
        let mut pairs = text.iter_raw();
        let value = pairs.find(|(key, _)| *key == wanted.as_bytes())?.1?;
        String::from_utf8(value.to_vec()).ok()
    };
    Some(Held {
        at: SocketAddrV4::new(address, record.port),
        zone: label(&record.target, 1).ok()?,
        kind: of("kind")?,
        cell: of("cell")?.parse().ok()?,
        health,
        weight: f64::from(record.weight) / WEIGHT_UNIT,
        started: of("started")?.parse().ok()?,
    })
}
