//! What controllers tell each other of pipes, as bytes: a count of links, then each link as four bytes that name its
//! streamer, its use and its age, then each uplink as two bytes of its number, its use and its age.

use std::time::Duration;

use crate::interface::StreamerId;
use crate::state::Pipe;

/// Links that one message holds at most.
pub const LINKS: usize = (MOST - 1) / LINK;
const MOST: usize = 256;
pub const LINK: usize = 6;
const UPLINK: usize = 4;
/// A use of 2.55 or more is told as that; an age in twentieths of a second.
const USE_UNIT: f64 = 0.01;
const AGE_UNIT: Duration = Duration::from_millis(50);

/// The four bytes that name a streamer.
pub fn name(id: StreamerId) -> u32 {
    u32::from(*id.ip()) ^ u32::from(id.port())
}

/// How full a pipe was, and how long ago.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word<P> {
    pub pipe: P,
    pub used: f64,
    pub age: Duration,
}

/// A pipe as a message names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    Link(u32),
    Uplink(u32),
}

/// As many of these words as a message holds.
pub fn write(words: &[Word<Pipe>]) -> Vec<u8> {
    let (links, uplinks): (Vec<&Word<Pipe>>, Vec<_>) =
        words.iter().partition(|word| matches!(word.pipe, Pipe::Link(_)));
    let links = &links[..links.len().min(LINKS)];
    let mut out = vec![links.len() as u8];
    for word in links.iter().copied().chain(uplinks) {
        let mut bytes = match word.pipe {
            Pipe::Link(id) => name(id).to_be_bytes().to_vec(),
            Pipe::Uplink(number) => (number as u16).to_be_bytes().to_vec(),
        };
        bytes.push((word.used / USE_UNIT).round().clamp(0.0, 255.0) as u8);
        bytes.push((word.age.as_millis() / AGE_UNIT.as_millis()).min(255) as u8);
        if out.len() + bytes.len() <= MOST {
            out.append(&mut bytes);
        }
    }
    out
}

/// The words of a message; none of one that is not whole.
pub fn read(bytes: &[u8]) -> Vec<Word<Named>> {
    let Some((count, rest)) = bytes.split_first() else { return Vec::new() };
    let links = usize::from(*count) * LINK;
    let Some((links, uplinks)) = rest.split_at_checked(links).filter(|(_, u)| u.len() % UPLINK == 0) else {
        return Vec::new();
    };
    let word = |pipe, rest: &[u8]| {
        let (used, age) = (f64::from(rest[0]) * USE_UNIT, AGE_UNIT * u32::from(rest[1]));
        Word { pipe, used, age }
    };
    let links = links.chunks_exact(LINK).map(|b| {
        let name = u32::from_be_bytes([b[0], b[1], b[2], b[3]]);
        word(Named::Link(name), &b[4..])
    });
    let uplinks = uplinks.chunks_exact(UPLINK);
    let uplinks = uplinks.map(|b| word(Named::Uplink(u16::from_be_bytes([b[0], b[1]]).into()), &b[2..]));
    links.chain(uplinks).collect()
}
