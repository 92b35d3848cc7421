//! The list of streamers as the name service tells it: by DNS, and as JSON in a configuration.

use std::net::SocketAddrV4;

use anyhow::{Context, Result};
use serde_json::{json, Value};
use simple_dns::rdata::{RData, A, SOA, SRV, TXT};
use simple_dns::{Name, Packet, ResourceRecord, CLASS};

/// The weight of each streamer in the list; ten times its size.
const WEIGHT: u16 = 40;

/// A streamer as the list has it.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub id: u32,
    pub address: SocketAddrV4,
    pub cell: u32,
    pub draining: bool,
}

/// The list, with the number of its last event.
#[derive(Clone, Debug, Default)]
pub struct List {
    pub serial: u32,
    pub streamers: Vec<Listed>,
}

impl Listed {
    /// Its name in the list.
    pub fn name(&self) -> String {
        streamer_name(self.id)
    }
}

/// The name of a streamer in the list.
pub fn streamer_name(id: u32) -> String {
    format!("s-{id:08x}")
}

impl List {
    /// The `known` object of a configuration.
    pub fn known(&self) -> Value {
        let member = |streamer: &Listed| {
            json!({"id": streamer.name(), "host_port": streamer.address, "locality": "a", "flavor": "std",
                "cell": streamer.cell, "phase": if streamer.draining { "leaving" } else { "active" },
                "size": WEIGHT / 10, "up_since_ms": 0})
        };
        let members: Vec<Value> = self.streamers.iter().map(member).collect();
        let hosts = json!({"revision": self.serial, "complete": true, "members": members});
        json!({"pos": self.serial, "entries": [{"pos": self.serial, "hosts": hosts}]})
    }

    /// The answer to a query.
    ///
    /// # Errors
    /// If the query is no DNS message with a question.
    pub fn answer(&self, query: &[u8]) -> Result<Vec<u8>> {
        let query = Packet::parse(query)?;
        let fleet = query.questions.first().context("a query without a question")?.qname.clone();
        let mut answer = Packet::new_reply(query.id());
        answer.questions = query.questions;
        let hosts: Vec<String> =
            self.streamers.iter().map(|streamer| format!("{}.a.hosts", streamer.name())).collect();
        let cells: Vec<String> =
            self.streamers.iter().map(|streamer| format!("cell={}", streamer.cell)).collect();
        for ((streamer, host), cell) in self.streamers.iter().zip(&hosts).zip(&cells) {
            let host = Name::new(host)?;
            let srv = SRV {
                priority: u16::from(streamer.draining),
                weight: WEIGHT,
                port: streamer.address.port(),
                target: host.clone(),
            };
            let record = |rdata| ResourceRecord::new(host.clone(), CLASS::IN, 0, rdata);
            answer.answers.push(ResourceRecord::new(fleet.clone(), CLASS::IN, 0, RData::SRV(srv)));
            let address = A { address: u32::from(*streamer.address.ip()) };
            answer.additional_records.push(record(RData::A(address)));
            let mut text = TXT::new();
            for value in ["kind=std", cell, "started=0"] {
                text = text.with_string(value)?;
            }
            answer.additional_records.push(record(RData::TXT(text)));
        }
        let name = Name::new_unchecked("fleet.local");
        let soa = SOA {
            mname: name.clone(),
            rname: name.clone(),
            serial: self.serial,
            refresh: 0,
            retry: 0,
            expire: 0,
            minimum: 0,
        };
        answer.name_servers.push(ResourceRecord::new(name, CLASS::IN, 0, RData::SOA(soa)));
        Ok(answer.build_bytes_vec_compressed()?)
    }
}
