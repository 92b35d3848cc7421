//! What counts as an answer of the name service, and the list that it holds.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use badgerledge_core::interface::Health;
use simple_dns::rdata::{RData, SRV, TXT};
use simple_dns::{Name, Packet, PacketFlag, ResourceRecord, RCODE};

use crate::{id_of, srv, Fault, Held, List, FLEET};

/// A zone's tens of weight for each unit of size.
const WEIGHT_UNIT: f64 = 10.0;

/// The list, the number of its last event, and the place of the query that is answered.
pub fn read(bytes: &[u8], queries: &VecDeque<(u16, u64)>) -> Result<(List, u64, u64), Fault> {
    let packet = Packet::parse(bytes).map_err(|_| Fault::NotDns)?;
    let asked = packet.questions.first().filter(|q| q.qtype == srv() && same(&q.qname, FLEET));
    // Of two queries of one number the later: what is said of the earlier is no older than that.
    let place = queries.iter().rev().find(|(number, _)| *number == packet.id()).map(|(_, place)| *place);
    let ours = place.filter(|_| packet.has_flags(PacketFlag::RESPONSE));
    let Some(place) = ours.filter(|_| packet.questions.len() == 1 && asked.is_some()) else {
        return Err(Fault::Foreign);
    };
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
            RData::A(a) => {
                let address = Ipv4Addr::from(a.address);
                if addresses.insert(label(&record.name, 0)?, address).is_some_and(|other| other != address) {
                    return Err(Fault::Contradicts);
                }
            }
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
    let mut list = List::new();
    for record in records {
        let (id, held) = entry(record).flatten().ok_or(Fault::NotWhole)?;
        if list.insert(id, held.clone()).is_some_and(|other| other != held) {
            return Err(Fault::Contradicts);
        }
    }
    Ok((list, serial, place))
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
