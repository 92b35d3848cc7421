//! Changes on an ordinary day: in force at all controllers, as deltas.

use std::time::Duration;

use badgerledge_distribution::change::Rejection;

use crate::fleet::{play, Shape, IN_FORCE};

#[test]
fn a_change_is_in_force_at_all_controllers_and_goes_as_a_delta() {
    play(Shape { more_titles: 1000, ..Shape::default() }, |fleet| {
        let all = [0, 1, 2];
        fleet.wait_set_ups(Duration::ZERO, &all, 7, 200);
        assert_ne!(fleet.set_up(0, 0xa), 200);
        let before: Vec<usize> = (0..3).map(|controller| received(fleet, controller)).collect();
        let number = fleet.push_edits(0, "[title a]\nroom_type = clip\nfirst_cell = 0\ncopies = 4\n");
        assert_eq!(number, 1);
        let took = fleet.wait_set_ups(IN_FORCE, &all, 0xa, 200);
        fleet.wait(IN_FORCE, "the revision is acted on", |fleet| {
            (0..3).all(|controller| fleet.metric(controller, "badgerledge_revision_active") == 1.0)
        });
        let after: Vec<usize> = (0..3).map(|controller| received(fleet, controller)).collect();
        let whole = std::fs::metadata(fleet.genesis()).unwrap().len() as usize;
        eprintln!("in force after {took:?}; {before:?} to {after:?} bytes received, {whole} of the whole");
        for (before, after) in before.iter().zip(&after) {
            // Ten times as much as a delta with its certificate and leases takes would still be a fraction of the whole.
            assert!(after - before < whole / 4, "{before} to {after} bytes, where the whole has {whole}");
        }
        // Taken away again: the refusal shows it.
        fleet.push_edits(1, "[remove title a]\n");
        fleet.wait_set_ups(IN_FORCE, &all, 0xa, 404);
    });
}

/// Bytes that came to a controller.
fn received(fleet: &crate::fleet::Fleet, controller: usize) -> usize {
    fleet.metric(controller, "badgerledge_distribution_received_bytes_total") as usize
}

/// Each would have all controllers hold new joins back, had it been certified.
#[test]
fn a_change_that_no_controller_can_act_on_is_rejected_where_it_is_pushed() {
    play(Shape { controllers: 1, ..Shape::default() }, |fleet| {
        for (edits, reason) in [
            ("[remove ladder]\nsection = true\n", "ladder"),
            ("[set fleet]\nzones = b, a\n", "zone a has number 0"),
            ("[remove title 7]\n[remove title 8]\n[remove title 9]\n", "the change removes all titles"),
            (
                "[title 7]\nroom_type = none\nfirst_cell = 0\ncopies = 1\n",
                "there is no room type of this name",
            ),
        ] {
            let change = fleet.change(0, 0, edits);
            match fleet.push_until_known(1, &change) {
                Err(Rejection::State(said)) => assert!(said.contains(reason), "{said}"),
                other => panic!("{edits}: {other:?}"),
            }
        }
        assert_eq!(fleet.machines[0].status().unwrap().certified, 0);
        assert_eq!(fleet.set_up(0, 7), 200);
    });
}

#[test]
fn settings_alone_change_where_titles_do_not_go_with_them() {
    play(Shape { controllers: 2, titles: false, ..Shape::default() }, |fleet| {
        let film = "Room-Type: film\n";
        assert_eq!([0, 1].map(|controller| fleet.set_up_with(controller, 7, film)), [400, 400]);
        let settings = "benefit = 1\nclient_timeout_ms = 2000\njoin_objective_ms = 1000\n";
        fleet
            .push_edits(0, &format!("[section room_type film]\nplace = 1\n[set room_type film]\n{settings}"));
        fleet.wait(IN_FORCE, "the revision is acted on", |fleet| {
            (0..2).all(|controller| fleet.metric(controller, "badgerledge_revision_active") == 1.0)
        });
        assert_eq!([0, 1].map(|controller| fleet.set_up_with(controller, 7, film)), [200, 200]);
        // Titles of the controllers' own catalogues are not of the state.
        let title = fleet.change(0, 1, "[title a]\nroom_type = clip\nfirst_cell = 0\ncopies = 1\n");
        let outcome = fleet.push_until_known(0, &title);
        assert!(
            matches!(&outcome, Err(Rejection::State(why)) if why.contains("the change adds titles")),
            "{outcome:?}"
        );
    });
}
