//! Changes of settings and titles while subscriptions wait, join and play.

use badgerledge_core::interface::JobId;
use serde_json::Value;

use super::{ms, only_outstanding, play, settings, streamer, Harness};

impl Harness {
    /// Applies one of the effects of a change to a subscription picked by a number.
    pub(super) fn apply_change(&mut self, number: u8, effect: u8) {
        let all: Vec<JobId> = self.exchange.subscriptions().all().map(|(job, _)| job).collect();
        let Some(job) = all.get(usize::from(number) % all.len().max(1)).copied() else { return };
        let subscription = self.exchange.subscriptions().get(job);
        let from = subscription.and_then(|subscription| subscription.join.as_ref()).map(|join| join.streamer);
        let sent = subscription
            .and_then(|subscription| subscription.join.as_ref())
            .is_some_and(|join| join.set_up_rung.is_some());
        self.round(|handler| match (effect % 5, from) {
            (0, _) if !sent => handler.reject(job),
            (1, Some(from)) => drop(handler.redirect_from(job, from)),
            (2, _) => handler.withdraw_unsent_join(job),
            (3, _) => handler.relocate(job, u32::from(effect) / 5 % 6, 3),
            _ => {
                handler.limit_rung(job, 1 + effect / 5 % 2);
                let Value::Object(settings) = settings() else { return };
                handler.change_settings(settings);
            }
        });
    }
}

#[test]
fn a_subscription_waiting_for_a_removed_title_is_answered_at_once() {
    let mut harness = Harness::new();
    harness.request(2, 1);
    harness.request(4, 2);
    harness.request(6, 3);
    let waiting = harness.exchange.subscriptions().job_of_connection(3).unwrap();
    assert!(harness.exchange.subscriptions().get(waiting).unwrap().join.is_none(), "two seats for the title");
    harness.round(|handler| handler.reject(waiting));
    assert_eq!((harness.transport.connections[&3].answers, harness.transport.throttled.len()), (1, 0));
    // A subscription whose join was not sent yet: nothing is sent to the streamer any more.
    let (job, number) = harness.transport.outstanding()[0];
    harness.round(|handler| handler.reject(job));
    assert!(
        !harness.transport.joins[&(job, number)].outstanding
            && !harness.transport.joins[&(job, number)].set_up
    );
    harness.settle();
}

/// Guards against sending SETUP to a streamer that no longer has the title when its connection is
/// established.
#[test]
fn an_unsent_join_goes_to_the_new_location_of_the_title() {
    let mut harness = Harness::new();
    harness.request(1, 1);
    let first = only_outstanding(&harness);
    harness.round(|handler| {
        handler.relocate(first.0, 4, 1);
        handler.withdraw_unsent_join(first.0);
    });
    harness.advance(ms(60));
    let second = only_outstanding(&harness);
    assert_eq!((second.0, harness.transport.joins[&second].streamer), (first.0, streamer(4)));
    assert!(!harness.transport.joins[&first].set_up);
    // Also for an unsafe room type: a join that was never sent never ran.
    play(&mut harness, second);
    assert_eq!(harness.transport.connections[&1].answers, 1);
}

/// Guards against losing a rung change between SETUP and the first packet: it was stored but never sent, so
/// the stream kept the rung of its SETUP and a removed rung went on being sent.
#[test]
fn a_rung_change_during_set_up_is_sent_once_the_join_plays() {
    let mut harness = Harness::new();
    harness.request(2, 1);
    let id = only_outstanding(&harness);
    harness.round(|handler| handler.join_events().join_opened(id.0, id.1));
    assert!(harness.exchange.subscriptions().get(id.0).unwrap().rung.is_some_and(|rung| rung > 1));
    harness.round(|handler| handler.limit_rung(id.0, 1));
    assert!(harness.transport.steps.is_empty());
    harness.round(|handler| {
        handler.join_events().join_set_up(id.0, id.1, 200, &[]);
        handler.join_events().join_granted(id.0, id.1, 200, &[]);
        handler.join_events().join_media(id.0, id.1);
    });
    assert_eq!(harness.transport.steps, [(id.0, 1)]);
}

#[test]
fn a_moved_title_redirects_its_playing_viewer_once_and_not_a_joining_one() {
    let mut harness = Harness::new();
    harness.request(2, 1);
    let id = only_outstanding(&harness);
    let joined_at = harness.transport.joins[&id].streamer;
    let mut still_joining = false;
    harness.round(|handler| still_joining = handler.redirect_from(id.0, joined_at));
    assert!(still_joining && harness.transport.redirected.is_empty());
    play(&mut harness, id);
    harness.round(|handler| still_joining = handler.redirect_from(id.0, streamer(99)));
    assert!(!still_joining && harness.transport.redirected.is_empty(), "it has left that streamer");
    harness.round(|handler| still_joining = handler.redirect_from(id.0, joined_at));
    assert_eq!((still_joining, &harness.transport.redirected[..]), (false, &[1][..]));
    harness.round(|handler| still_joining = handler.redirect_from(id.0, joined_at));
    assert_eq!(harness.transport.redirected, [1]);
}
