//! The settings received from the host, and typed access to them. An absent key gives the caller's default.

use std::time::Duration;

use serde_json::{Map, Value};

use crate::interface::SubscriptionRequest;

/// The settings as received, and the values that each decision needs, read once.
#[derive(Default)]
pub struct Settings {
    options: Value,
    /// For each room type and rung: its rate in kB/s, and the benefit of one second at it.
    ladders: Vec<Vec<(f64, f64)>>,
    /// For each room type: the lowest and the highest rung.
    floors: Vec<u8>,
    tops: Vec<u8>,
    /// Number of controllers in the fleet, this one included.
    pub controllers: f64,
    /// The zone of this controller.
    pub zone: u16,
    pub racks: u32,
    pub cells: u32,
    /// How long a started streamer is cold.
    pub warm_up: Duration,
    /// Fraction of its capacity that a streamer has when it starts.
    pub cold_start_fraction: f64,
    /// Window over which joins to a cold streamer are counted.
    pub cold_budget_window: Duration,
    /// Multiple of a cold streamer's mean join rate that is allowed.
    pub cold_budget_multiple: f64,
    /// Whether probes are permitted and report the demand on a link.
    pub probes_report_load: bool,
    /// Interval between two progress reports on a playing subscription.
    pub report_interval: Duration,
    /// Whether progress reports give all controllers that play on a link its demand at the same time.
    pub reports_reach_all_players: bool,
}

impl Settings {
    /// Reads the settings that each decision needs and keeps the rest as received.
    pub fn new(options: Map<String, Value>) -> Self {
        let mut settings = Self { options: Value::Object(options), ..Self::default() };
        settings.ladders = settings.ladders();
        let types = 0..settings.ladders.len();
        let rungs = |path, default| {
            types.clone().map(|room_type| settings.list_number(path, room_type, default) as u8).collect()
        };
        (settings.floors, settings.tops) =
            (rungs("/familyInfo/floorByClass", 0.0), rungs("/familyInfo/classTop", 255.0));
        settings.controllers = settings.number("/balancers", 1.0).max(1.0);
        settings.zone = settings.number("/zone", 0.0) as u16;
        settings.racks = settings.number("/familyInfo/groups", 1.0).max(1.0) as u32;
        settings.cells = settings.number("/familyInfo/positions", 1.0).max(1.0) as u32;
        settings.warm_up = settings.duration("/obligations/coldUs", Duration::ZERO);
        settings.cold_start_fraction = settings.number("/obligations/coldFrom", 1.0);
        settings.cold_budget_window = settings.duration("/obligations/tipAfterUs", Duration::ZERO);
        settings.probes_report_load =
            settings.flag("/permissions/probing") && settings.list_contains("/report/fields", "x0");
        settings.report_interval = settings.duration("/familyInfo/toldEveryUs", Duration::from_secs(3));
        settings.reports_reach_all_players =
            !settings.report_interval.is_zero() && settings.text("/report/how") != "probe";
        settings.cold_budget_multiple = settings.number("/obligations/tipMultiple", 1.0);
        settings
    }

    /// The value at a path of keys. Decisions call this often; `Value::pointer` allocates a copy of each key,
    /// which took half of a controller's processor time.
    fn value_at(&self, path: &str) -> Option<&Value> {
        path.split('/').skip(1).try_fold(&self.options, |value, key| match value {
            Value::Array(list) => list.get(key.parse::<usize>().ok()?),
            _ => value.get(key),
        })
    }

    /// The number at `path`.
    pub fn number(&self, path: &str, default: f64) -> f64 {
        self.value_at(path).and_then(Value::as_f64).unwrap_or(default)
    }

    /// The duration at `path`, which holds microseconds.
    pub fn duration(&self, path: &str, default: Duration) -> Duration {
        self.value_at(path).and_then(Value::as_u64).map_or(default, Duration::from_micros)
    }

    /// The number at `index` of the list at `path`.
    pub fn list_number(&self, path: &str, index: usize, default: f64) -> f64 {
        self.value_at(path).and_then(|list| list.get(index)).and_then(Value::as_f64).unwrap_or(default)
    }

    /// The text at `index` of the list at `path`, or an empty one.
    pub fn list_text(&self, path: &str, index: usize) -> &str {
        self.value_at(path).and_then(|list| list.get(index)).and_then(Value::as_str).unwrap_or("")
    }

    /// One value of a room type's profile.
    pub fn room_type_value(&self, room_type: usize, key: &str) -> Option<&Value> {
        self.value_at("/profiles")?.get(room_type)?.get(key)
    }

    /// One text of a room type's profile, or an empty one.
    pub fn room_type_text(&self, request: &SubscriptionRequest, key: &str) -> &str {
        self.room_type_value(request.room_type, key).and_then(Value::as_str).unwrap_or("")
    }

    /// The text at `path`, or an empty one.
    pub fn text(&self, path: &str) -> &str {
        self.value_at(path).and_then(Value::as_str).unwrap_or("")
    }

    /// The flag at `path`; absent means false.
    pub fn flag(&self, path: &str) -> bool {
        self.value_at(path).and_then(Value::as_bool).unwrap_or(false)
    }

    /// Whether the list at `path` contains that text.
    pub fn list_contains(&self, path: &str, text: &str) -> bool {
        let list = self.value_at(path).and_then(Value::as_array);
        list.is_some_and(|list| list.iter().any(|v| v.as_str() == Some(text)))
    }

    /// The length of the list at `path`.
    fn list_length(&self, path: &str) -> usize {
        self.value_at(path).and_then(Value::as_array).map_or(0, Vec::len)
    }

    /// The rate and the benefit of each rung, for each room type.
    fn ladders(&self) -> Vec<Vec<(f64, f64)>> {
        let ladder_of = |room_type: usize| {
            let scale = self.list_number("/familyInfo/classScale", room_type, 1.0);
            let benefit = self.room_type_value(room_type, "worth").and_then(Value::as_f64).unwrap_or(1.0);
            let step_of = |rung: usize| {
                let benefit_fraction = self.list_number("/familyInfo/ladderWorth", rung, 1.0);
                (self.list_number("/familyInfo/levelKb", rung, 1.0) * scale, benefit_fraction * benefit)
            };
            (0..self.list_length("/familyInfo/levelKb")).map(step_of).collect()
        };
        (0..self.list_length("/profiles")).map(ladder_of).collect()
    }

    /// How many streams a kind of streamer can run.
    pub fn stream_capacity(&self, kind: usize) -> f64 {
        self.list_number("/familyInfo/kindStreams", kind, 1.0)
    }

    /// Nominal capacity of a link: by its weight, or where the settings have no weights by its kind's stream
    /// capacity relative to the mean one. The settings' total over all links describes the fleet at the
    /// start, so it is not used: it no longer holds once streamers have left.
    pub fn nominal_link_capacity(&self, weight: f64, kind: usize, mean_stream_capacity: f64) -> f64 {
        let unit = self.number("/familyInfo/linkUnitKb", 1.0);
        match self.text("/weights") {
            "none" => unit * self.stream_capacity(kind) / mean_stream_capacity.max(1.0),
            _ => unit * weight.max(0.01),
        }
    }

    /// How old the figures of a progress report are when it arrives.
    pub fn report_delay(&self) -> Duration {
        self.duration("/familyInfo/toldLateUs", Duration::from_secs(1))
    }

    /// The join objective, at most the client timeout of this attempt.
    pub fn join_objective(&self, request: &SubscriptionRequest) -> Duration {
        let us =
            self.room_type_value(request.room_type, "aimUs").and_then(Value::as_u64).unwrap_or(1_000_000);
        request.client_timeout.min(Duration::from_micros(us))
    }

    /// The lowest rung of the request's room type.
    pub fn floor(&self, request: &SubscriptionRequest) -> u8 {
        self.floors.get(request.room_type).copied().unwrap_or(0)
    }

    /// The highest rung that the viewer, the room type and the ladder allow.
    pub fn top(&self, request: &SubscriptionRequest) -> u8 {
        let ladder_top = self.ladders.get(request.room_type).map_or(1, Vec::len).saturating_sub(1);
        let room_type_top = self.tops.get(request.room_type).copied().unwrap_or(u8::MAX);
        request.max_rung.min(room_type_top).min(ladder_top.min(255) as u8)
    }

    /// The rate of a rung in kB/s, and the benefit of one second at it.
    pub fn rung_rate_and_benefit(&self, room_type: usize, rung: u8) -> (f64, f64) {
        let ladder = self.ladders.get(room_type).and_then(|ladder| ladder.get(usize::from(rung)));
        ladder.copied().unwrap_or((1.0, 1.0))
    }

    /// The rate of a rung, in kB/s.
    pub fn rate(&self, request: &SubscriptionRequest, rung: u8) -> f64 {
        self.rung_rate_and_benefit(request.room_type, rung).0
    }

    /// The benefit of one second at a rung.
    pub fn benefit(&self, request: &SubscriptionRequest, rung: u8) -> f64 {
        self.rung_rate_and_benefit(request.room_type, rung).1
    }

    /// The benefit of one second at the highest rung, as the mean over all room types.
    pub fn mean_top_benefit(&self) -> f64 {
        let tops = self.ladders.iter().filter_map(|ladder| ladder.last()).map(|top| top.1);
        mean(tops).unwrap_or(0.0)
    }
}

/// The mean of the values, if there are any.
pub fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}
