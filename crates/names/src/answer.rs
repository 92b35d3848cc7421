//! Validates and parses answers of the name service.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use badgerledge_core::interface::Health;
use simple_dns::rdata::{RData, SRV, TXT};
use simple_dns::{Name, Packet, PacketFlag, ResourceRecord, RCODE};

use crate::{parse_streamer_id, srv_type, Fault, List, StreamerRecord, FLEET_NAME};

/// SRV weight for each unit of a streamer's weight.
const WEIGHT_UNIT: f64 = 10.0;

/// Returns the list, the number of its last event, and the sequence number of the answered query.
pub fn parse(bytes: &[u8], queries: &VecDeque<(u16, u64)>) -> Result<(List, u64, u64), Fault> {
    let packet = Packet::parse(bytes).map_err(|_| Fault::NotDns)?;
    let question =
        packet.questions.first().filter(|q| q.qtype == srv_type() && names_equal(&q.qname, FLEET_NAME));
    // If two queries have the same id, the answer is attributed to the later one, whose sequence number
    // bounds its age.
    let sequence = queries.iter().rev().find(|(id, _)| *id == packet.id()).map(|(_, sequence)| *sequence);
    let sequence = sequence.filter(|_| packet.has_flags(PacketFlag::RESPONSE));
    let Some(sequence) = sequence.filter(|_| packet.questions.len() == 1 && question.is_some()) else {
        return Err(Fault::Unrelated);
    };
    if packet.rcode() != RCODE::NoError || packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(Fault::ServiceFailure);
    }
    let serial = packet.name_servers.iter().find_map(|record| match &record.rdata {
        RData::SOA(soa) => Some(u64::from(soa.serial)),
        _ => None,
    });
    let serial = serial.ok_or(Fault::Incomplete)?;
    let mut addresses = BTreeMap::new();
    let mut texts = BTreeMap::new();
    for record in packet.additional_records.iter().chain(&packet.answers) {
        match &record.rdata {
            RData::A(a) => {
                let address = Ipv4Addr::from(a.address);
                if addresses.insert(label(&record.name, 0)?, address).is_some_and(|other| other != address) {
                    return Err(Fault::Contradictory);
                }
            }
            RData::TXT(text) => drop(texts.insert(label(&record.name, 0)?, text)),
            _ => {}
        }
    }
    let entry = |record: &ResourceRecord| {
        let RData::SRV(record) = &record.rdata else { return None };
        let id = label(&record.target, 0).ok()?;
        parse_streamer(record, *addresses.get(&id)?, texts.get(&id)?)
            .map(|streamer| Some((parse_streamer_id(&id)?, streamer)))
    };
    let records = packet.answers.iter().filter(|record| matches!(record.rdata, RData::SRV(_)));
    let mut list = List::new();
    for record in records {
        let (id, streamer) = entry(record).flatten().ok_or(Fault::Incomplete)?;
        if list.insert(id, streamer.clone()).is_some_and(|other| other != streamer) {
            return Err(Fault::Contradictory);
        }
    }
    Ok((list, serial, sequence))
}

fn names_equal(name: &Name, text: &str) -> bool {
    name.to_string().trim_end_matches('.').eq_ignore_ascii_case(text)
}

fn label(name: &Name, index: usize) -> Result<String, Fault> {
    name.get_labels().get(index).map(ToString::to_string).ok_or(Fault::Incomplete)
}

/// Parses the records of one streamer.
fn parse_streamer(record: &SRV, address: Ipv4Addr, text: &TXT) -> Option<StreamerRecord> {
    let health = match record.priority {
        0 => Health::Ready,
        1 => Health::Draining,
        _ => return None,
    };
    let text_field = |name: &str| {
        let mut pairs = text.iter_raw();
        let value = pairs.find(|(key, _)| *key == name.as_bytes())?.1?;
        String::from_utf8(value.to_vec()).ok()
    };
    Some(StreamerRecord {
        address: SocketAddrV4::new(address, record.port),
        zone: label(&record.target, 1).ok()?,
        kind: text_field("kind")?,
        cell: text_field("cell")?.parse().ok()?,
        health,
        weight: f64::from(record.weight) / WEIGHT_UNIT,
        started_unix_ms: text_field("started")?.parse().ok()?,
    })
}
