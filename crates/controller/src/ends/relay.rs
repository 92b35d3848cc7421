//! Packets of media and control, on their way from a streamer to its viewer.

use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_reactor::Line;
use badgerledge_rtsp::notes::{self, Note};
use badgerledge_rtsp::{frame_header, State};

use super::{Ends, JoinId};

/// Of the output, what media leaves to answers: several of them fit.
const FOR_CONTROL: usize = 16 * 1024;
/// The channels that every join asks for.
const MEDIA: u8 = 0;
const CONTROL: u8 = 1;

/// Media that went through since it was last counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Relayed {
    pub packets: u64,
    pub bytes: u64,
    pub lost: u64,
}

impl Ends {
    /// A packet of media or control from a streamer: channel 0 and 1 are what every join asks for.
    pub(super) fn packet(&mut self, id: JoinId, channel: u8, carried: &[u8]) {
        let Some(join) = self.joins.get_mut(&id) else { return };
        if let Some(from) = join.crosses {
            *self.crossed_bytes.entry(from).or_default() += carried.len() as u64;
        }
        match channel {
            MEDIA => {
                join.crossed.media_bytes += carried.len() as u64;
                if !std::mem::replace(&mut join.media, true) {
                    self.steps_on(move |steps| steps.join_media(id.0, id.1));
                }
                self.relay(id, false, carried);
            }
            CONTROL => {
                join.crossed.control_bytes += carried.len() as u64;
                let streamer = join.streamer;
                self.control_packet(id, streamer, carried);
            }
            _ => self.media.lost += 1,
        }
    }

    /// A packet of control: notes are the controller's own, anything else is the viewer's.
    fn control_packet(&mut self, id: JoinId, streamer: StreamerId, carried: &[u8]) {
        let mut own = false;
        for note in notes::notes(carried) {
            own = true;
            self.noted(id, streamer, note);
        }
        if !own {
            self.relay(id, true, carried);
        }
    }

    /// A note of a streamer.
    fn noted(&mut self, id: JoinId, streamer: StreamerId, note: Note) {
        match note {
            Note::Told(kind, value) => {
                if let Some(gossiping) = &mut self.gossiping {
                    gossiping.noted(self.now, streamer, kind, value);
                }
                self.arrives(move |floor| floor.join_note(id.0, id.1, kind, value));
            }
            Note::Bye => self.steps_on(move |steps| steps.join_ends(id.0, id.1, Ending::Served, &[])),
        }
    }

    /// Gives a packet to the viewer that plays, or holds it until it does.
    fn relay(&mut self, id: JoinId, control: bool, packet: &[u8]) {
        let Some(join) = self.joins.get_mut(&id) else { return };
        let plays = |line: &Line| self.viewers.get(line).map(|viewer| viewer.server.state());
        match join.viewer.as_ref().and_then(plays) {
            Some(State::Playing) => {
                if let Some(line) = join.viewer {
                    self.give_packet(line, control, packet);
                }
            }
            _ => {
                if !join.hold(control, packet) {
                    self.media.lost += 1;
                }
            }
        }
    }

    /// Gives a whole packet to a viewer, or none of it.
    pub(super) fn give_packet(&mut self, line: Line, control: bool, packet: &[u8]) {
        let Some(viewer) = self.viewers.get_mut(&line) else { return };
        let channel = if control { viewer.channels.1 } else { viewer.channels.0 };
        let Ok(length) = u16::try_from(packet.len()) else { return };
        let parts: [&[u8]; 2] = [&frame_header(channel, length), packet];
        if self.reactor.send_leaving(line, FOR_CONTROL, &parts) {
            viewer.stuck_since = None;
            self.media.packets += 1;
            self.media.bytes += u64::from(length);
        } else {
            viewer.stuck_since.get_or_insert(self.now);
            viewer.lost_packets += 1;
            self.media.lost += 1;
        }
    }
}
