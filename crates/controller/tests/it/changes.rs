//! Changes of settings and titles while subscriptions wait, join and play, observed by what streamers and
//! viewers receive.

use std::time::Duration;

use badgerledge_deployment::kinds::canonical;
use badgerledge_revisions::requests::Response;
use badgerledge_settings::Sheet;
use rustix::process::Signal;

use crate::harness::{
    complete_join, first_join, header, status, with_streamers, RtspPeer, CATALOGUE, SHARED,
};
use crate::revisions::{push, SingleControllerFleet};

/// Settings in the canonical form in which revisions are pushed.
fn canonical_text(settings: &str) -> String {
    canonical(&Sheet::parse("text", settings).unwrap())
}

/// One change moves a title to another cell, removes a rung and removes a title. A playing subscription must
/// step down and be moved within the configured second, one that is being set up must step down once it
/// plays, and new ones must follow the new text.
#[test]
fn a_change_applies_to_waiting_joining_and_playing_subscriptions() {
    let fleet = SingleControllerFleet::new("catalogue = true\nleave_within_s = 1\n");
    let (_list, controller, streamers) = with_streamers(3, &fleet.settings);
    let mut playing = RtspPeer::to(controller.at);
    playing.set_up(1, 8, 1, "Max-Rung: 1\n");
    let (mut playing_join, request) = streamers[0].join();
    assert_eq!(header(&request, "Rung"), "1");
    complete_join(&mut playing_join, &request);
    assert_eq!(status(&playing.receive()), 200);
    let mut joining = RtspPeer::to(controller.at);
    joining.set_up(1, 8, 2, "Max-Rung: 1\n");
    let (mut joining_join, joining_request) = streamers[0].join();
    let mut playing_removed_title = RtspPeer::to(controller.at);
    playing_removed_title.set_up(1, 7, 3, "Max-Rung: 1\n");
    let (_, (mut removed_title_join, request)) = first_join(&streamers);
    complete_join(&mut removed_title_join, &request);
    let granted = playing_removed_title.receive();
    assert_eq!(status(&granted), 200);

    let changed = format!("{SHARED}{CATALOGUE}")
        .replace("rates_kb = 10, 20\nbenefit = 0.5, 1", "rates_kb = 10\nbenefit = 0.5")
        .replace(
            "[title 8]\nroom_type = clip\nfirst_cell = 0",
            "[title 8]\nroom_type = clip\nfirst_cell = 2",
        );
    let section_of = |title: &str| {
        let from = changed.find(&format!("[title {title}]")).unwrap();
        let next = changed[from + 1..].find('[').map_or(changed.len(), |to| from + 1 + to);
        changed[from..next].to_owned()
    };
    let changed = changed.replace(&section_of("7"), "").replace(&section_of("9"), "");
    assert_eq!(push(fleet.at, &fleet.author, 1, &canonical_text(&changed)), Response::Taken);

    let step = playing_join.receive_message();
    assert!(step.starts_with("SET_PARAMETER") && header(&step, "Rung") == "0", "{step}");
    // It was set up before the change: it plays, steps down, and is moved.
    complete_join(&mut joining_join, &joining_request);
    assert_eq!(status(&joining.receive()), 200);
    let step = joining_join.receive_message();
    assert!(step.starts_with("SET_PARAMETER") && header(&step, "Rung") == "0", "{step}");
    let step = removed_title_join.receive_message();
    assert!(step.starts_with("SET_PARAMETER") && header(&step, "Rung") == "0", "{step}");
    let redirect = playing.receive_message();
    assert!(redirect.starts_with("REDIRECT"), "{redirect}");
    assert!(playing_join.receive_message().starts_with("TEARDOWN"));

    let mut new_viewer = RtspPeer::to(controller.at);
    new_viewer.set_up(1, 8, 5, "Max-Rung: 1\n");
    let (mut join, request) = streamers[2].join();
    assert_eq!(header(&request, "Rung"), "0");
    complete_join(&mut join, &request);
    assert_eq!(status(&new_viewer.receive()), 200);
    let mut late_viewer = RtspPeer::to(controller.at);
    late_viewer.set_up(1, 7, 6, "");
    assert_eq!(status(&late_viewer.receive()), 404);
    // A subscription to a removed title continues to play.
    let session = header(&granted, "Session").split(';').next().unwrap().to_owned();
    playing_removed_title.send(&format!("PLAY rtsp://h/7 RTSP/1.0\nCSeq: 2\nSession: {session}\n\n"));
    assert_eq!(
        (status(&playing_removed_title.receive()), playing_removed_title.receive()),
        (200, "$0 12".to_owned())
    );
    controller.wait_metric("badgerledge_to_move_on", |left| left == 0.0);
}

/// Without revisions, a reloaded catalogue file must also move subscriptions whose title is now on another
/// cell, and a file whose title has an unknown room type must change nothing.
#[test]
fn a_reloaded_catalogue_moves_playing_subscriptions() {
    let (_list, mut controller, streamers) = with_streamers(3, "");
    let mut playing = RtspPeer::to(controller.at);
    playing.set_up(1, 8, 1, "");
    let (mut playing_join, request) = streamers[0].join();
    complete_join(&mut playing_join, &request);
    assert_eq!(status(&playing.receive()), 200);
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
    assert!(playing.receive_message().starts_with("REDIRECT"));
    assert!(playing_join.receive_message().starts_with("TEARDOWN"));
    assert!(streamers[1].receives_no_join(Duration::from_millis(1)));
}
