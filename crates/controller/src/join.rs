//! One join's connection to its streamer.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_accounts::{Amount, Key};
use badgerledge_core::interface::StreamerId;
use badgerledge_reactor::Line;
use badgerledge_rtsp::{Bounds, Client, Framer};

/// Bytes of media that are held until the viewer's PLAY: some tenths of a second at the middle rates, the time
/// that PLAY takes to come.
const HELD: usize = 64 * 1024;

pub struct JoinLine {
    pub line: Line,
    pub streamer: StreamerId,
    pub framer: Framer,
    pub client: Client,
    /// The viewer that takes its media.
    pub viewer: Option<Line>,
    /// Its first packet of media was told.
    pub media: bool,
    /// Media that came before the viewer's PLAY: whole packets, with their kind (RTP or RTCP).
    held: VecDeque<(bool, Vec<u8>)>,
    held_bytes: usize,
    pub title: u64,
    /// What is counted together with it, and what came since that was counted last.
    pub key: Option<Key>,
    pub crossed: Amount,
    /// The building that it crosses from, if it crosses.
    pub crosses: Option<u16>,
    pub flows_since: Option<Duration>,
}

impl JoinLine {
    pub fn new(line: Line, streamer: StreamerId) -> Self {
        Self {
            line,
            streamer,
            framer: Framer::new(Bounds::default()),
            client: Client::default(),
            viewer: None,
            media: false,
            held: VecDeque::new(),
            held_bytes: 0,
            title: 0,
            key: None,
            crossed: Amount::default(),
            crosses: None,
            flows_since: None,
        }
    }

    /// What crossed since it was last asked, with the time that it played.
    pub fn take_crossed(&mut self, now: Duration) -> Amount {
        if let Some(since) = self.flows_since.replace(now).filter(|_| self.media) {
            self.crossed.subscription_ms += (now - since).as_millis() as u64;
        }
        std::mem::take(&mut self.crossed)
    }

    /// Holds a packet; the first ones are kept, for a player starts with them. Tells whether there was room.
    pub fn hold(&mut self, control: bool, packet: &[u8]) -> bool {
        let fits = self.held_bytes + packet.len() <= HELD;
        if fits {
            self.held_bytes += packet.len();
            self.held.push_back((control, packet.to_vec()));
        }
        fits
    }

    /// What was held, for the viewer that plays now.
    pub fn release(&mut self) -> VecDeque<(bool, Vec<u8>)> {
        self.held_bytes = 0;
        std::mem::take(&mut self.held)
    }
}
