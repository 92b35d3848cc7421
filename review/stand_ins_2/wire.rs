//! The messages of the platform's pages as viewers, streamers and the name service write them. Only the
//! standard library is used.

use std::net::SocketAddr;

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const RELEASE_HEARD: u8 = 16;
pub const MOVE: u8 = 51;
pub const TEST: u8 = 52;
pub const TESTED: u8 = 53;

/// A viewer's frame: length, type, session, parameters.
pub fn frame(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(session.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend_from_slice(value);
    }
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

/// What a viewer's set-up asks for.
pub struct SetUp {
    pub session: u64,
    pub class: &'static str,
    pub left_ms: u64,
    pub title: u64,
    pub home: usize,
    pub copies: usize,
    pub top: u8,
    pub at: Option<String>,
}

impl SetUp {
    pub fn frame(&self) -> Vec<u8> {
        let mut figures = format!(
            "home:{};copies:{};top:{};viewer:{:016x}",
            self.home, self.copies, self.top, self.session
        );
        if let Some(streamer) = &self.at {
            figures.push_str(&format!(";at:{streamer}"));
        }
        let (left, title) = (self.left_ms.to_string(), format!("{:016x}", self.title));
        let description = format!("offer of {:016x}\r\n", self.session);
        frame(
            SET_UP,
            self.session,
            &[
                (33, self.class.as_bytes()),
                (36, left.as_bytes()),
                (45, title.as_bytes()),
                (63, b"30000.0"),
                (48, figures.as_bytes()),
                (78, description.as_bytes()),
            ],
        )
    }
}

/// One frame that a controller sent: its type, its session, and its parameters.
pub struct Received {
    pub kind: u8,
    pub session: u64,
    parameters: Vec<(u8, Vec<u8>)>,
}

impl Received {
    pub fn value(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|(found, _)| *found == code).map(|(_, value)| &value[..])
    }
}

/// Takes the first whole frame from the front of `bytes`.
pub fn take_frame(bytes: &mut Vec<u8>) -> Option<Received> {
    let length = usize::from(u16::from_be_bytes([*bytes.first()?, *bytes.get(1)?]));
    let body = bytes.get(2..2 + length)?.to_vec();
    bytes.drain(..2 + length);
    let session = u64::from_be_bytes(body.get(1..9)?.try_into().ok()?);
    let mut parameters = Vec::new();
    let mut rest = &body[9..];
    while rest.len() >= 3 {
        let size = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
        let Some(value) = rest.get(3..3 + size) else { break };
        parameters.push((rest[0], value.to_vec()));
        rest = &rest[3 + size..];
    }
    Some(Received { kind: body[0], session, parameters })
}

/// The text of a field of a line; the controller's lines hold no escaped quotes in the fields read here.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    line[start..].split('"').next()
}

/// A streamer's line.
pub fn line(op: &str, session: u64, rest: &str) -> String {
    format!("{{\"op\":\"{op}\",\"call\":\"{session:016x}\"{rest}}}\n")
}

/// A streamer as the name service tells it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub cell: usize,
    pub draining: bool,
    pub started_ms: u64,
}

/// The `known` object of a configuration.
pub fn known(serial: u32, list: &[Listed]) -> String {
    let members: Vec<String> = list
        .iter()
        .map(|listed| {
            format!(
                "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"hall\",\"flavor\":\"two-core\",\"cell\":{},\
                 \"phase\":\"{}\",\"size\":4,\"up_since_ms\":{}}}",
                listed.name,
                listed.address,
                listed.cell,
                if listed.draining { "leaving" } else { "active" },
                listed.started_ms
            )
        })
        .collect();
    format!(
        "{{\"pos\":{serial},\"entries\":[{{\"pos\":{serial},\"hosts\":{{\"revision\":{serial},\"complete\":true,\
         \"members\":[{}]}}}}]}}",
        members.join(",")
    )
}

/// The answer of the name service to a query, by RFC 1035: the SRV records as the answer, the SOA record with
/// the number of the last event as the authority, and the A and TXT records as additional ones.
pub fn dns_answer(query: &[u8], serial: u32, list: &[Listed]) -> Option<Vec<u8>> {
    let mut end = 12;
    while *query.get(end)? != 0 {
        end += 1 + usize::from(query[end]);
    }
    let question = query.get(12..end + 5)?;
    let mut out = query.get(..2)?.to_vec();
    out.extend([0x84, 0x00]);
    for count in [1, list.len(), 1, 2 * list.len()] {
        out.extend((count as u16).to_be_bytes());
    }
    out.extend(question);
    let name = |text: &str| {
        let mut bytes = Vec::new();
        for label in text.split('.') {
            bytes.push(label.len() as u8);
            bytes.extend(label.as_bytes());
        }
        bytes.push(0);
        bytes
    };
    let record = |owner: &[u8], kind: u16, data: &[u8]| {
        let mut bytes = owner.to_vec();
        bytes.extend(kind.to_be_bytes());
        bytes.extend([0, 1, 0, 0, 0, 0]);
        bytes.extend((data.len() as u16).to_be_bytes());
        bytes.extend(data);
        bytes
    };
    let host = |listed: &Listed| name(&format!("{}.hall.hosts", listed.name));
    for listed in list {
        let mut data = u16::from(listed.draining).to_be_bytes().to_vec();
        data.extend(40u16.to_be_bytes());
        data.extend(listed.address.port().to_be_bytes());
        data.extend(host(listed));
        out.extend(record(&question[..question.len() - 4], 33, &data));
    }
    let mut soa = [name("fleet.local"), name("fleet.local")].concat();
    for value in [serial, 0, 0, 0, 0] {
        soa.extend(value.to_be_bytes());
    }
    out.extend(record(&name("fleet.local"), 6, &soa));
    for listed in list {
        let SocketAddr::V4(address) = listed.address else { return None };
        out.extend(record(&host(listed), 1, &address.ip().octets()));
        let texts = [
            "kind=two-core".to_owned(),
            format!("cell={}", listed.cell),
            format!("started={}", listed.started_ms),
        ];
        let text: Vec<u8> =
            texts.iter().flat_map(|text| [&[text.len() as u8], text.as_bytes()].concat()).collect();
        out.extend(record(&host(listed), 16, &text));
    }
    Some(out)
}
