//! Carries out the exchange's decisions: each one is passed to the module of this directory that implements
//! it.

use std::time::Duration;

use badgerledge_core::interface::{Ending, JobId, StreamerId, SubscriptionRequest};
use badgerledge_exchange::Transport;
use badgerledge_reactor::SocketId;

use super::Connections;

impl Transport for Connections {
    fn grant(&mut self, viewer: SocketId, job: JobId) {
        self.answer_granted(viewer, job);
    }

    fn throttle(&mut self, viewer: SocketId, cool_down: Duration) {
        self.answer_throttled(viewer, cool_down);
    }

    fn terminate(&mut self, viewer: SocketId, late: bool) {
        self.answer_terminated(viewer, late);
    }

    fn open_join(&mut self, job: JobId, number: u16, streamer: StreamerId) {
        self.connect_join(job, number, streamer);
    }

    fn set_up(&mut self, job: JobId, number: u16, request: &SubscriptionRequest, rung: Option<u8>) {
        self.request_set_up(job, number, request, rung);
    }

    fn play(&mut self, job: JobId, number: u16) {
        self.request_play(job, number);
    }

    fn step(&mut self, job: JobId, number: u16, rung: u8) {
        self.request_rung(job, number, rung);
    }

    fn end_join(&mut self, job: JobId, number: u16) {
        self.tear_down_join(job, number);
    }

    fn redirect(&mut self, viewer: SocketId) {
        self.send_redirect(viewer);
    }

    fn send_bye(&mut self, viewer: SocketId) {
        self.send_goodbye(viewer);
    }

    fn join_result(&mut self, streamer: StreamerId, ending: Option<Ending>) {
        self.report_join_result(streamer, ending);
    }

    fn remind(&mut self, from_now: Duration, token: u64) {
        self.module_timers.push((self.now + from_now, token));
    }

    fn probe(&mut self, streamer: StreamerId) {
        self.begin_probe(streamer);
    }

    fn send_to_peers(&mut self, peer: Option<u16>, bytes: &[u8]) {
        self.send_signal(peer, bytes);
    }

    fn watch_list(&mut self, want: bool) {
        self.list_requests.0 = Some(want);
    }

    fn request_full_list(&mut self) {
        self.list_requests.1 = true;
    }
}
