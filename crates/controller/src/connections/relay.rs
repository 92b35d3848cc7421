//! Relays media and control packets from a streamer to its viewer.

use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_reactor::SocketId;
use badgerledge_rtsp::notes::{self, Note};
use badgerledge_rtsp::{frame_header, State};

use super::{Connections, JoinId};

/// Output space that media leaves to answers: several of them fit.
const RESERVED_FOR_ANSWERS: usize = 16 * 1024;
/// The interleaved channels that every join requests.
const MEDIA_CHANNEL: u8 = 0;
const CONTROL_CHANNEL: u8 = 1;

/// Media relayed since it was last exported as metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayCounts {
    /// Packets and bytes sent to viewers.
    pub packets: u64,
    pub bytes: u64,
    /// Packets dropped.
    pub lost: u64,
}

impl Connections {
    /// Handles a packet from a streamer, on one of the channels that every join requests.
    pub(super) fn handle_packet(&mut self, id: JoinId, channel: u8, payload: &[u8]) {
        let Some(join) = self.joins.get_mut(&id) else { return };
        if let Some(from) = join.crosses_from_zone {
            *self.cross_zone_bytes.entry(from).or_default() += payload.len() as u64;
        }
        match channel {
            MEDIA_CHANNEL => {
                join.uncounted_traffic.media_bytes += payload.len() as u64;
                if !std::mem::replace(&mut join.media_reported, true) {
                    self.queue_join_event(move |steps| steps.join_media(id.0, id.1));
                }
                self.relay(id, false, payload);
            }
            CONTROL_CHANNEL => {
                join.uncounted_traffic.control_bytes += payload.len() as u64;
                let streamer = join.streamer;
                self.handle_rtcp(id, streamer, payload);
            }
            _ => self.relay_counts.lost += 1,
        }
    }

    /// Handles an RTCP packet: progress reports are for the controller, anything else is for the viewer.
    fn handle_rtcp(&mut self, id: JoinId, streamer: StreamerId, payload: &[u8]) {
        let mut for_controller = false;
        for report in notes::notes(payload) {
            for_controller = true;
            self.handle_progress_report(id, streamer, report);
        }
        if !for_controller {
            self.relay(id, true, payload);
        }
    }

    /// Handles a progress report or BYE from a streamer.
    fn handle_progress_report(&mut self, id: JoinId, streamer: StreamerId, report: Note) {
        match report {
            Note::Told(kind, value) => {
                if let Some(gossiping) = &mut self.gossiping {
                    gossiping.observe_progress_report(self.now, streamer, kind, value);
                }
                self.queue_for_round(move |floor| floor.progress_report(id.0, id.1, kind, value));
            }
            Note::Bye => {
                self.queue_join_event(move |steps| steps.join_ended(id.0, id.1, Ending::Served, &[]))
            }
        }
    }

    /// Sends a packet to the viewer if it plays, or buffers it until it does.
    fn relay(&mut self, id: JoinId, is_rtcp: bool, packet: &[u8]) {
        let Some(join) = self.joins.get_mut(&id) else { return };
        let state_of =
            |connection: &SocketId| self.viewers.get(connection).map(|viewer| viewer.server.state());
        match join.viewer.as_ref().and_then(state_of) {
            Some(State::Playing) => {
                if let Some(connection) = join.viewer {
                    self.send_packet(connection, is_rtcp, packet);
                }
            }
            _ => {
                if !join.buffer(is_rtcp, packet) {
                    self.relay_counts.lost += 1;
                }
            }
        }
    }

    /// Sends a packet to a viewer, whole or not at all.
    pub(super) fn send_packet(&mut self, connection: SocketId, is_rtcp: bool, packet: &[u8]) {
        let Some(viewer) = self.viewers.get_mut(&connection) else { return };
        let channel = if is_rtcp { viewer.channels.1 } else { viewer.channels.0 };
        let Ok(length) = u16::try_from(packet.len()) else { return };
        let parts: [&[u8]; 2] = [&frame_header(channel, length), packet];
        if self.reactor.send_reserving(connection, RESERVED_FOR_ANSWERS, &parts) {
            viewer.output_full_since = None;
            self.relay_counts.packets += 1;
            self.relay_counts.bytes += u64::from(length);
        } else {
            viewer.output_full_since.get_or_insert(self.now);
            viewer.lost_packets += 1;
            self.relay_counts.lost += 1;
        }
    }
}
