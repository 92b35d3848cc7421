//! Work per round while very many subscriptions play.

use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::decide::Controller;
use crate::fleet_tests::Decisions;
use crate::interface::{Health, JobId, Listing, Start, SubscriptionRequest};
use crate::tests::streamer;

const STREAMERS: u32 = 4;
const PLAYING: JobId = 38_400;
/// The client timeout of a request: an answer that is due is late if one round takes longer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

fn settings() -> Value {
    json!({
        "balancers": 2, "discovery": "automatic", "tickUs": 10_000, "weights": "nominal", "zone": 0,
        "profiles": [{"aimUs": 1_500_000, "effect": "free", "group": "all", "worth": 1.0}],
        "familyInfo": {"positions": STREAMERS, "groups": 2, "classScale": [1.0], "classTop": [2],
            "floorByClass": [0], "licenceCap": [0], "kindStreams": [10_000], "linkUnitKb": 1e7,
            "levelKb": [100.0, 200.0, 400.0], "ladderWorth": [0.3, 0.6, 1.0], "uplinkKb": 1e8,
            "toldEveryUs": 3_000_000, "toldLateUs": 500_000},
        "obligations": {"coldFrom": 0.4, "coldUs": 0}, "permissions": {"maxAttempts": 3},
        "report": {"fields": ["x0"], "how": "answers"}})
}

/// Guards against rounds whose time grows with the square of what plays: set-ups wait behind them.
#[test]
fn a_round_with_thousands_of_subscriptions_is_over_in_time() {
    let Value::Object(settings) = settings() else { unreachable!("an object") };
    let start = Duration::from_secs(1000);
    let (mut controller, mut decisions) = (Controller::new(start, 5, settings), Decisions::default());
    let request = SubscriptionRequest {
        client_timeout: CLIENT_TIMEOUT,
        copies: STREAMERS,
        max_rung: 2,
        duration_hint: Some(Duration::from_secs(40)),
        ..Default::default()
    };
    let arrivals = |c: &mut Controller, _: &mut Decisions| {
        c.list_begins(Listing::Complete);
        for cell in 0..STREAMERS {
            c.list_entry(streamer(cell), 0, 0, cell, Health::Ready, 4.0, Start::default());
        }
        c.list_ends(Listing::Complete);
        for job in 0..PLAYING {
            c.resumed(job, SubscriptionRequest { title: job.into(), ..request }, streamer(job % STREAMERS));
        }
    };
    controller.round(start, arrivals, &mut decisions);
    // Late enough for the decision on moves, with a request, and a report on each streamer.
    for second in [6, 7] {
        let now = start + Duration::from_secs(second);
        let arrivals = |c: &mut Controller, _: &mut Decisions| {
            c.request(PLAYING + second as JobId, request);
            (0..STREAMERS).for_each(|job| c.progress(job, streamer(job), 3, 0.3));
        };
        let began_at = Instant::now();
        controller.round(now, arrivals, &mut decisions);
        let took = began_at.elapsed();
        assert!(took < CLIENT_TIMEOUT, "the round at {second} s took {took:?}");
    }
    assert_eq!(decisions.joins.len(), 2);
}
