//! Changes of settings and titles under what waits, joins and plays.

use badgerledge_core::interface::JobId;
use serde_json::Value;

use super::{flow, ms, only_out, streamer, told, Rig};

impl Rig {
    /// One of the things that a change does, to a subscription picked by a number.
    pub(super) fn change(&mut self, number: u8, what: u8) {
        let all: Vec<JobId> = self.exchange.book().all().map(|(job, _)| job).collect();
        let Some(job) = all.get(usize::from(number) % all.len().max(1)).copied() else { return };
        let held = self.exchange.book().get(job);
        let from = held.and_then(|held| held.join.as_ref()).map(|join| join.streamer);
        let sent = held.and_then(|held| held.join.as_ref()).is_some_and(|join| join.set_up.is_some());
        self.round(|floor| match (what % 5, from) {
            (0, _) if !sent => floor.turn_away(job),
            (1, Some(from)) => drop(floor.move_on(job, from)),
            (2, _) => floor.withdraw(job),
            (3, _) => floor.relocate(job, u32::from(what) / 5 % 6, 3),
            _ => {
                floor.ends_at(job, 1 + what / 5 % 2);
                let Value::Object(told) = told() else { return };
                floor.retell(told);
            }
        });
    }
}

#[test]
fn what_waits_for_a_title_that_is_gone_is_answered_at_once() {
    let mut rig = Rig::new();
    rig.ask(2, 1);
    rig.ask(4, 2);
    rig.ask(6, 3);
    let waits = rig.exchange.book().of_line(3).unwrap();
    assert!(rig.exchange.book().get(waits).unwrap().join.is_none(), "two seats for the title");
    rig.round(|floor| floor.turn_away(waits));
    assert_eq!((rig.ends.lines[&3].answers, rig.ends.throttled.len()), (1, 0));
    // And one whose join has not left: nothing goes to the streamer any more.
    let (job, number) = rig.ends.out()[0];
    rig.round(|floor| floor.turn_away(job));
    assert!(!rig.ends.joins[&(job, number)].out && !rig.ends.joins[&(job, number)].set_up);
    rig.settle();
}

/// Guards against a SETUP to a streamer that the change took the title from, sent once its connection is made.
#[test]
fn a_join_that_has_not_left_goes_to_where_the_title_lies_now() {
    let mut rig = Rig::new();
    rig.ask(1, 1);
    let first = only_out(&rig);
    rig.round(|floor| {
        floor.relocate(first.0, 4, 1);
        floor.withdraw(first.0);
    });
    rig.wait(ms(60));
    let second = only_out(&rig);
    assert_eq!((second.0, rig.ends.joins[&second].streamer), (first.0, streamer(4)));
    assert!(!rig.ends.joins[&first].set_up);
    // An unsafe room type too: what never left never ran.
    flow(&mut rig, second);
    assert_eq!(rig.ends.lines[&1].answers, 1);
}

/// Guards against a step that falls between SETUP and the first packet: it was kept here and never sent, and the stream
/// played at the rung of its SETUP for good. Harm: a rung that is gone goes on being sent.
#[test]
fn a_step_while_a_join_is_set_up_goes_once_it_flows() {
    let mut rig = Rig::new();
    rig.ask(2, 1);
    let id = only_out(&rig);
    rig.round(|floor| floor.steps().join_opened(id.0, id.1));
    assert!(rig.exchange.book().get(id.0).unwrap().rung.is_some_and(|rung| rung > 1));
    rig.round(|floor| floor.ends_at(id.0, 1));
    assert!(rig.ends.steps.is_empty());
    rig.round(|floor| {
        floor.steps().join_set_up(id.0, id.1, 200, &[]);
        floor.steps().join_granted(id.0, id.1, 200, &[]);
        floor.steps().join_media(id.0, id.1);
    });
    assert_eq!(rig.ends.steps, [(id.0, 1)]);
}

#[test]
fn who_plays_where_its_title_lies_no_more_is_sent_back_once_and_who_joins_is_looked_at_again() {
    let mut rig = Rig::new();
    rig.ask(2, 1);
    let id = only_out(&rig);
    let at = rig.ends.joins[&id].streamer;
    let mut waits = false;
    rig.round(|floor| waits = floor.move_on(id.0, at));
    assert!(waits && rig.ends.redirected.is_empty());
    flow(&mut rig, id);
    rig.round(|floor| waits = floor.move_on(id.0, streamer(99)));
    assert!(!waits && rig.ends.redirected.is_empty(), "it is not there any more");
    rig.round(|floor| waits = floor.move_on(id.0, at));
    assert_eq!((waits, &rig.ends.redirected[..]), (false, &[1][..]));
    rig.round(|floor| waits = floor.move_on(id.0, at));
    assert_eq!(rig.ends.redirected, [1]);
}
