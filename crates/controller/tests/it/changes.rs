//! Changes of settings and titles under what waits, joins and plays: seen by what reaches streamers and viewers.

use std::time::Duration;

use badgerledge_deployment::kinds::canonical;
use badgerledge_revisions::requests::Response;
use badgerledge_settings::Sheet;
use rustix::process::Signal;

use crate::revisions::{pushes, Alone};
use crate::rig::{first_join, flow, header, status, with_streamers, Talk, CATALOGUE, SHARED};

fn text(of: &str) -> String {
    canonical(&Sheet::parse("text", of).unwrap())
}

/// A title that lies elsewhere, a rung less and a title gone, in one change: what plays steps down and is moved within
/// the second that is told, what was being set up is stepped once it flows, and what is new goes by the new text.
#[test]
fn a_change_reaches_what_waits_joins_and_plays() {
    let alone = Alone::new("catalogue = true\nleave_within_s = 1\n");
    let (_list, controller, streamers) = with_streamers(3, &alone.settings);
    let mut plays = Talk::to(controller.at);
    plays.set_up(1, 8, 1, "Max-Rung: 1\n");
    let (mut played, asked) = streamers[0].join();
    assert_eq!(header(&asked, "Rung"), "1");
    flow(&mut played, &asked);
    assert_eq!(status(&plays.hear()), 200);
    let mut joins = Talk::to(controller.at);
    joins.set_up(1, 8, 2, "Max-Rung: 1\n");
    let (mut joined, joining) = streamers[0].join();
    let mut plays_out = Talk::to(controller.at);
    plays_out.set_up(1, 7, 3, "Max-Rung: 1\n");
    let (_, (mut left, asked)) = first_join(&streamers);
    flow(&mut left, &asked);
    let granted = plays_out.hear();
    assert_eq!(status(&granted), 200);

    let changed = format!("{SHARED}{CATALOGUE}")
        .replace("rates_kb = 10, 20\nbenefit = 0.5, 1", "rates_kb = 10\nbenefit = 0.5")
        .replace(
            "[title 8]\nroom_type = clip\nfirst_cell = 0",
            "[title 8]\nroom_type = clip\nfirst_cell = 2",
        );
    let gone = |title: &str| {
        let from = changed.find(&format!("[title {title}]")).unwrap();
        let next = changed[from + 1..].find('[').map_or(changed.len(), |to| from + 1 + to);
        changed[from..next].to_owned()
    };
    let changed = changed.replace(&gone("7"), "").replace(&gone("9"), "");
    assert_eq!(pushes(alone.at, &alone.author, 1, &text(&changed)), Response::Taken);

    let step = played.hear_message();
    assert!(step.starts_with("SET_PARAMETER") && header(&step, "Rung") == "0", "{step}");
    // It was set up before the change: it comes to play, a step lower, and is moved.
    flow(&mut joined, &joining);
    assert_eq!(status(&joins.hear()), 200);
    let step = joined.hear_message();
    assert!(step.starts_with("SET_PARAMETER") && header(&step, "Rung") == "0", "{step}");
    let step = left.hear_message();
    assert!(step.starts_with("SET_PARAMETER") && header(&step, "Rung") == "0", "{step}");
    let redirect = plays.hear_message();
    assert!(redirect.starts_with("REDIRECT"), "{redirect}");
    assert!(played.hear_message().starts_with("TEARDOWN"));

    let mut new = Talk::to(controller.at);
    new.set_up(1, 8, 5, "Max-Rung: 1\n");
    let (mut join, asked) = streamers[2].join();
    assert_eq!(header(&asked, "Rung"), "0");
    flow(&mut join, &asked);
    assert_eq!(status(&new.hear()), 200);
    let mut late = Talk::to(controller.at);
    late.set_up(1, 7, 6, "");
    assert_eq!(status(&late.hear()), 404);
    // What plays of a title that is gone plays on.
    let session = header(&granted, "Session").split(';').next().unwrap().to_owned();
    plays_out.say(&format!("PLAY rtsp://h/7 RTSP/1.0\nCSeq: 2\nSession: {session}\n\n"));
    assert_eq!((status(&plays_out.hear()), plays_out.hear()), (200, "$0 12".to_owned()));
    controller.wait_metric("badgerledge_to_move_on", |left| left == 0.0);
}

/// The catalogue's file read anew, without revisions: what plays where its title lies no more is moved there too, and a file
/// with a title of no room type changes nothing.
#[test]
fn a_catalogue_read_anew_moves_what_plays() {
    let (_list, mut controller, streamers) = with_streamers(3, "");
    let mut plays = Talk::to(controller.at);
    plays.set_up(1, 8, 1, "");
    let (mut played, asked) = streamers[0].join();
    flow(&mut played, &asked);
    assert_eq!(status(&plays.hear()), 200);
    controller.write(
        "titles.ini",
        &CATALOGUE.replace("room_type = clip\nfirst_cell = 3", "room_type = x\nfirst_cell = 3"),
    );
    controller.signal(Signal::HUP);
    controller.wait_log("[title 9] room_type = x: there is none");
    let elsewhere = "[title 8]\nroom_type = clip\nfirst_cell = 2";
    controller
        .write("titles.ini", &CATALOGUE.replace("[title 8]\nroom_type = clip\nfirst_cell = 0", elsewhere));
    controller.signal(Signal::HUP);
    assert!(plays.hear_message().starts_with("REDIRECT"));
    assert!(played.hear_message().starts_with("TEARDOWN"));
    assert!(streamers[1].is_left_alone(Duration::from_millis(1)));
}
