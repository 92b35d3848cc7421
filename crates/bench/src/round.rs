//! The time of a round: the module with its exchange, at the size of a large fleet, without sockets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use anyhow::Result;
use badgerledge_core::interface::{Ending, Health, JobId, Listing, Start, StreamerId, SubscriptionRequest};
use badgerledge_exchange::{ConnectionId, Exchange, Transport};
use hdrhistogram::Histogram;
use serde_json::{json, Value};

use crate::capacity::measure::processor_ms;

/// Carries out nothing, and notes which joins were begun.
#[derive(Default)]
struct Nowhere {
    begun: Vec<(JobId, u16)>,
}

impl Transport for Nowhere {
    fn grant(&mut self, _viewer: ConnectionId, _job: JobId) {}
    fn throttle(&mut self, _viewer: ConnectionId, _cool_down: Duration) {}
    fn terminate(&mut self, _viewer: ConnectionId, _late: bool) {}
    fn open_join(&mut self, job: JobId, number: u16, _streamer: StreamerId) {
        self.begun.push((job, number));
    }
    fn set_up(&mut self, _job: JobId, _number: u16, _asked: &SubscriptionRequest, _rung: Option<u8>) {}
    fn play(&mut self, _job: JobId, _number: u16) {}
    fn step(&mut self, _job: JobId, _number: u16, _rung: u8) {}
    fn end_join(&mut self, _job: JobId, _number: u16) {}
    fn redirect(&mut self, _viewer: ConnectionId) {}
    fn send_bye(&mut self, _viewer: ConnectionId) {}
    fn join_result(&mut self, _streamer: StreamerId, _ending: Option<Ending>) {}
    fn remind(&mut self, _from_now: Duration, _token: u64) {}
    fn probe(&mut self, _streamer: StreamerId) {}
    fn send_to_peers(&mut self, _peer: Option<u16>, _bytes: &[u8]) {}
    fn watch_list(&mut self, _want: bool) {}
    fn request_full_list(&mut self) {}
}

fn told(streamers: u32) -> Value {
    json!({
        "balancers": 3, "me": 0, "discovery": "automatic", "weights": "nominal", "tickUs": 10_000,
        "profiles": [{"aimUs": 1_500_000, "effect": "free", "group": "all", "worth": 1.0}],
        "familyInfo": {"positions": streamers, "groups": streamers.div_ceil(8), "kindStreams": [40],
            "classScale": [1.0], "classTop": [4], "floorByClass": [0], "licenceCap": [0],
            "linkUnitKb": 5000.0, "uplinkKb": 30_000.0, "levelKb": [250.0, 420.0, 720.0, 1240.0, 2110.0],
            "ladderWorth": [0.26, 0.47, 0.66, 0.83, 1.0], "toldLateUs": 800_000, "toldEveryUs": 3_000_000},
        "permissions": {"maxAttempts": 3, "retryAfter": true, "maxRetryAfterUs": 2_000_000},
        "report": {"how": "answers", "fields": ["x0", "x1"]}})
}

/// Cells that hold a title, unless said otherwise.
pub const COPIES: u32 = 8;

/// The module with its exchange, and subscriptions that play.
pub struct Rounds {
    streamers: u32,
    /// Cells that hold a title.
    copies: u32,
    now: Duration,
    exchange: Exchange,
    carrier: Nowhere,
    /// Requests so far: each has a number of its own.
    requests: u32,
}

impl Rounds {
    /// Lists the streamers, and lets so many ask one after the other.
    pub fn play(streamers: u32, copies: u32, subscriptions: u32) -> Result<Self> {
        let Value::Object(told) = told(streamers) else { anyhow::bail!("the settings are a map") };
        let now = Duration::from_secs(1000);
        let (exchange, carrier) = (Exchange::new(now, 1, told, 100_000), Nowhere::default());
        let mut rounds = Self { streamers, copies, now, exchange, carrier, requests: 0 };
        rounds.list();
        (0..subscriptions).for_each(|_| {
            rounds.request();
        });
        Ok(rounds)
    }

    pub fn playing(&self) -> usize {
        self.exchange.subscriptions().playing_count()
    }

    fn list(&mut self) {
        let streamers = self.streamers;
        self.exchange.round(self.now, &mut self.carrier, |floor| {
            floor.list_begins(Listing::Complete, std::iter::empty());
            for cell in 0..streamers {
                let at = SocketAddrV4::new(Ipv4Addr::from(0x7f00_0001 + cell), 554);
                floor.list_entry(at, 0, 0, cell, Health::Ready, 1.0, Start::default());
            }
            floor.list_ends(Listing::Complete);
        });
    }

    /// One viewer asks, and its join succeeds. Gives what the round of the request took: by the clock, and of the processor.
    fn request(&mut self) -> (Duration, f64) {
        self.now += Duration::from_millis(10);
        let (n, now) = (self.requests, self.now);
        self.requests += 1;
        let asked = SubscriptionRequest {
            title: u64::from(n % 64),
            path_key: u64::from(n),
            client_timeout: Duration::from_secs(4),
            first_cell: n % self.streamers,
            copies: self.copies,
            max_rung: 4,
            ..SubscriptionRequest::default()
        };
        let begun = Instant::now();
        let used = processor_ms(|| {
            self.exchange
                .round(now, &mut self.carrier, |floor| floor.viewer_requested(u64::from(n), asked, now));
        });
        let took = begun.elapsed();
        self.joins_succeed();
        (took, used)
    }

    fn joins_succeed(&mut self) {
        for (job, number) in std::mem::take(&mut self.carrier.begun) {
            self.exchange.round(self.now, &mut self.carrier, |floor| {
                floor.join_events().join_opened(job, number);
                floor.join_events().join_set_up(job, number, 200, &[0.5, 0.5]);
                floor.join_events().join_granted(job, number, 200, &[]);
                floor.join_events().join_media(job, number);
            });
        }
    }

    /// The periodic work, once: what it took by the clock, and of the processor.
    fn periodic(&mut self) -> (Duration, f64) {
        self.now += Duration::from_millis(200);
        let begun = Instant::now();
        let used = processor_ms(|| self.exchange.round(self.now, &mut self.carrier, |_| {}));
        (begun.elapsed(), used)
    }

    /// Mean processor time of a round with one request, over so many.
    pub fn requests_processor_ms(&mut self, count: u32) -> f64 {
        (0..count).map(|_| self.request().1).sum::<f64>() / f64::from(count)
    }

    /// Mean processor time of a round with the periodic work, over so many.
    pub fn periodic_processor_ms(&mut self, count: u32) -> f64 {
        (0..count).map(|_| self.periodic().1).sum::<f64>() / f64::from(count)
    }
}

pub fn measure(streamers: u32, subscriptions: u32) -> Result<()> {
    let mut rounds = Rounds::play(streamers, COPIES, subscriptions)?;
    let (mut with_ask, mut beats) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    for _ in 0..200 {
        with_ask.record(rounds.request().0.as_micros() as u64)?;
    }
    for _ in 0..100 {
        beats.record(rounds.periodic().0.as_micros() as u64)?;
    }
    println!("a round at {streamers} streamers, {} subscriptions playing", rounds.playing());
    let show = |name: &str, times: &Histogram<u64>| {
        let at = |q| times.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "  {name:<28} {:>7.2} ms median, {:>7.2} ms p99, {:>7.2} ms most",
            at(0.5),
            at(0.99),
            at(1.0)
        );
    };
    show("with one viewer's request", &with_ask);
    show("with the periodic work", &beats);
    Ok(())
}
