//! Who hears what came: the list's entries, viewers' frames and streamers' lines, each handed to where it belongs.

use std::net::SocketAddrV4;
use std::time::Duration;

use badgerledge_core::interface::{Ending, Health, Start, StreamerId};
use badgerledge_names::Tells;
use badgerledge_reactor::Line;
use badgerledge_signalling::viewers::Parameters;
use badgerledge_signalling::{streamers, viewers, Fault};

use crate::asked::Terms;
use crate::causes::CUT;
use crate::ends::Ends;
use crate::session_table::{streamer_id, ListEntry, SessionTable};
use crate::wires::Wires;

/// The list's words in the module's figures.
pub struct Entries {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub epoch: Duration,
    pub entries: Vec<ListEntry>,
}

impl Tells for Entries {
    fn entry(
        &mut self, id: u32, at: SocketAddrV4, zone: &str, kind: &str, cell: u32, health: Health, weight: f64,
        started: u64,
    ) {
        let zone = Terms::index(&self.zones, zone).map_or(u16::MAX, |at| at as u16);
        let kind = Terms::index(&self.kinds, kind).unwrap_or(0);
        // On this process's clock it is another time than on any other's; its number is the same.
        let began = match started {
            0 => Duration::ZERO,
            ms => Duration::from_millis(ms).saturating_sub(self.epoch),
        };
        let came_up = Start { at: began, number: started };
        self.entries.push(ListEntry { id: streamer_id(id), at, zone, kind, cell, health, weight, came_up });
    }
}

/// Hears a viewers' connection.
pub struct ViewerEar<'a> {
    pub service: (&'a mut SessionTable, &'a mut Ends),
    pub line: Line,
    pub now: Duration,
    pub ready: bool,
}

impl viewers::MessageHandler for ViewerEar<'_> {
    fn set_up(&mut self, wire_id: u64, parameters: Parameters<'_>) {
        let (sessions, ends) = &mut self.service;
        ends.front.asked(self.line, self.now);
        sessions.set_up(self.now, self.line, wire_id, parameters, *ends);
    }

    fn malformed_set_up(&mut self, wire_id: u64) {
        let (sessions, ends) = &mut self.service;
        sessions.turn_away(self.now, self.line, wire_id, *ends);
    }

    fn ended(&mut self, wire_id: u64) {
        let (sessions, ends) = &mut self.service;
        sessions.ended_by_viewer(self.now, self.line, wire_id, *ends);
    }

    fn tested(&mut self, wire_id: u64) {
        // It makes the connection no viewers' one: what is said to testers on others' calls, nobody hears.
        let ends = &mut self.service.1;
        ends.answer(self.line, &viewers::tested(wire_id, self.ready));
    }

    fn release_acknowledged(&mut self, wire_id: u64) {
        self.service.1.front.release_heard(wire_id);
    }
}

/// Hears a streamer's connection.
pub struct StreamerEar<'a> {
    pub service: (&'a mut SessionTable, &'a mut Ends),
    pub line: Line,
    pub streamer: StreamerId,
    pub now: Duration,
    pub fault: Option<Fault>,
}

impl streamers::MessageHandler for StreamerEar<'_> {
    fn answered(&mut self, wire_id: u64, description: &str) {
        let (sessions, ends) = &mut self.service;
        match ends.pool.join_on(self.line, wire_id) {
            Some(job) => {
                ends.pool.join_done(self.line, wire_id);
                sessions.answered(self.now, job, description, *ends);
            }
            // An answer that crossed the end of its join must not stand; a second copy means nothing.
            // Nor does it concern a further join to the same streamer: to end that id there would end the new one.
            None if !sessions.is_at(self.streamer, wire_id) => {
                tracing::debug!(wire_id = format!("{wire_id:016x}"), "an answer nobody waits for");
                ends.reactor.send(self.line, &[&streamers::end(wire_id, CUT)]);
            }
            None => {}
        }
    }

    fn ended(&mut self, wire_id: u64, cause: u64, load: Option<&str>) {
        let (sessions, ends) = &mut self.service;
        let Some(job) = ends.pool.join_on(self.line, wire_id) else {
            return sessions.ended_by_streamer(self.now, self.streamer, wire_id, cause, load, *ends);
        };
        ends.pool.join_done(self.line, wire_id);
        let ending = match cause {
            34 => Ending::Full,
            47 => Ending::Error,
            102 => Ending::Moot,
            _ => Ending::Reset,
        };
        sessions.join_ended(self.now, job, ending, load);
    }

    fn tested(&mut self, wire_id: u64, passed: bool, load: Option<&str>) {
        let (sessions, ends) = &mut self.service;
        let Some(sent) = ends.pool.probed(self.line, wire_id) else { return };
        let ending = if passed { Ending::Served } else { Ending::Error };
        sessions.echo(self.streamer, ending, self.now.saturating_sub(sent), load);
    }

    fn progress_report(&mut self, wire_id: u64, note: &str, value: f64) {
        let (sessions, ends) = &mut self.service;
        match sessions.noted(self.streamer, wire_id, note, value) {
            Ok(true) => {}
            // What was taken for lost, or given up, still stands there: nobody watches it.
            Ok(false) => {
                tracing::debug!(wire_id = format!("{wire_id:016x}"), note, "a note on what nobody holds");
                ends.reactor.send(self.line, &[&streamers::end(wire_id, CUT)]);
            }
            Err(fault) => self.fault = Some(fault),
        }
    }
}
