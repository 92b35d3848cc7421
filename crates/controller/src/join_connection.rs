//! A join's connection to its streamer, with the media buffered until the viewer plays.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_accounts::{Key, TrafficCounters};
use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::SocketId;
use badgerledge_rtsp::{Client, FrameLimits, Framer};

/// Bytes of media that are buffered until the viewer's PLAY: some tenths of a second at the middle rates, the
/// time that PLAY takes to arrive.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The connection of one join.
pub struct JoinConnection {
    pub connection: SocketId,
    pub streamer: StreamerId,
    pub framer: Framer,
    pub client: Client,
    /// The viewer that receives its media.
    pub viewer: Option<SocketId>,
    /// Whether its first packet of media was reported to the exchange.
    pub media_reported: bool,
    /// Media that arrived before the viewer's PLAY: whole packets, each with whether it is RTCP (else RTP).
    buffered: VecDeque<(bool, Vec<u8>)>,
    buffered_bytes: usize,
    /// The title that it plays.
    pub title: u64,
    /// The account that its traffic is counted in, and the traffic not yet counted there.
    pub account_key: Option<Key>,
    pub uncounted_traffic: TrafficCounters,
    /// The zone that its media comes from, if that is another zone.
    pub crosses_from_zone: Option<u16>,
    /// Until when its playing time is counted.
    pub counted_until: Option<Duration>,
}

impl JoinConnection {
    /// A join whose connection was begun.
    pub fn new(connection: SocketId, streamer: StreamerId) -> Self {
        Self {
            connection,
            streamer,
            framer: Framer::new(FrameLimits::default()),
            client: Client::default(),
            viewer: None,
            media_reported: false,
            buffered: VecDeque::new(),
            buffered_bytes: 0,
            title: 0,
            account_key: None,
            uncounted_traffic: TrafficCounters::default(),
            crosses_from_zone: None,
            counted_until: None,
        }
    }

    /// Returns the traffic since the last call, with the time played.
    pub fn take_uncounted_traffic(&mut self, now: Duration) -> TrafficCounters {
        if let Some(since) = self.counted_until.replace(now).filter(|_| self.media_reported) {
            self.uncounted_traffic.subscription_ms += (now - since).as_millis() as u64;
        }
        std::mem::take(&mut self.uncounted_traffic)
    }

    /// Buffers a packet and reports whether there was room. The first packets are kept, since a player starts
    /// with them.
    pub fn buffer(&mut self, is_rtcp: bool, packet: &[u8]) -> bool {
        let has_room = self.buffered_bytes + packet.len() <= MAX_BUFFERED_BYTES;
        if has_room {
            self.buffered_bytes += packet.len();
            self.buffered.push_back((is_rtcp, packet.to_vec()));
        }
        has_room
    }

    /// Returns the buffered packets, for the viewer that plays now.
    pub fn take_buffered(&mut self) -> VecDeque<(bool, Vec<u8>)> {
        self.buffered_bytes = 0;
        std::mem::take(&mut self.buffered)
    }
}
