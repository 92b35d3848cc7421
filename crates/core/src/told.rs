//! The settings as they came, with the ways to pick one. Absent keys give what the caller names.

use std::time::Duration;

use serde_json::{Map, Value};

use crate::interface::Asked;

#[derive(Default)]
pub struct Told {
    options: Value,
    /// For each room type, what each rung asks and what a second at it earns.
    ladders: Vec<Vec<(f64, f64)>>,
    /// For each room type, the lowest and the highest rung.
    floors: Vec<u8>,
    tops: Vec<u8>,
    /// Picked once, since they are wanted for each streamer: controllers, racks, cells, and of a cold one
    /// its warm-up, the share it starts from, the window and the multiple of its budget.
    pub balancers: f64,
    pub zone: u16,
    pub racks: u32,
    pub cells: u32,
    pub warm_up: Duration,
    pub cold_from: f64,
    pub window: Duration,
    pub multiple: f64,
    /// Probes are permitted and tell what is asked of a link.
    pub probes_tell: bool,
    /// Between two notes on what plays.
    pub every: Duration,
    /// Notes tell all who play on a link, at one time, what is asked of it.
    pub together: bool,
}

impl Told {
    pub fn new(options: Map<String, Value>) -> Self {
        let mut told = Self { options: Value::Object(options), ..Self::default() };
        told.ladders = told.ladders();
        let types = 0..told.ladders.len();
        let rungs = |path, otherwise| types.clone().map(|t| told.nth(path, t, otherwise) as u8).collect();
        (told.floors, told.tops) =
            (rungs("/familyInfo/floorByClass", 0.0), rungs("/familyInfo/classTop", 255.0));
        told.balancers = told.figure("/balancers", 1.0).max(1.0);
        told.zone = told.figure("/zone", 0.0) as u16;
        told.racks = told.figure("/familyInfo/groups", 1.0).max(1.0) as u32;
        told.cells = told.figure("/familyInfo/positions", 1.0).max(1.0) as u32;
        told.warm_up = told.span("/obligations/coldUs", Duration::ZERO);
        told.cold_from = told.figure("/obligations/coldFrom", 1.0);
        told.window = told.span("/obligations/tipAfterUs", Duration::ZERO);
        told.probes_tell = told.allowed("/permissions/probing") && told.lists("/report/fields", "x0");
        told.every = told.span("/familyInfo/toldEveryUs", Duration::from_secs(3));
        told.together = !told.every.is_zero() && told.text("/report/how") != "probe";
        told.multiple = told.figure("/obligations/tipMultiple", 1.0);
        told
    }

    /// The value at a path of keys. Each decision asks for some, and a general pointer copies each key first:
    /// half of a controller's time went there.
    fn at(&self, path: &str) -> Option<&Value> {
        path.split('/').skip(1).try_fold(&self.options, |value, key| match value {
            Value::Array(list) => list.get(key.parse::<usize>().ok()?),
            _ => value.get(key),
        })
    }

    pub fn figure(&self, path: &str, otherwise: f64) -> f64 {
        self.at(path).and_then(Value::as_f64).unwrap_or(otherwise)
    }

    pub fn span(&self, path: &str, otherwise: Duration) -> Duration {
        self.at(path).and_then(Value::as_u64).map_or(otherwise, Duration::from_micros)
    }

    /// One figure of the list at `path`.
    pub fn nth(&self, path: &str, at: usize, otherwise: f64) -> f64 {
        self.at(path).and_then(|list| list.get(at)).and_then(Value::as_f64).unwrap_or(otherwise)
    }

    /// One word of the list at `path`.
    pub fn item(&self, path: &str, at: usize) -> &str {
        self.at(path).and_then(|list| list.get(at)).and_then(Value::as_str).unwrap_or("")
    }

    /// One entry of a room type.
    pub fn of(&self, room_type: usize, key: &str) -> Option<&Value> {
        self.at("/profiles")?.get(room_type)?.get(key)
    }

    /// One word of a room type's entry.
    pub fn word(&self, asked: &Asked, key: &str) -> &str {
        self.of(asked.room_type, key).and_then(Value::as_str).unwrap_or("")
    }

    pub fn text(&self, path: &str) -> &str {
        self.at(path).and_then(Value::as_str).unwrap_or("")
    }

    pub fn allowed(&self, path: &str) -> bool {
        self.at(path).and_then(Value::as_bool).unwrap_or(false)
    }

    /// Whether the list at `path` holds that word.
    pub fn lists(&self, path: &str, word: &str) -> bool {
        let list = self.at(path).and_then(Value::as_array);
        list.is_some_and(|list| list.iter().any(|v| v.as_str() == Some(word)))
    }

    fn length(&self, path: &str) -> usize {
        self.at(path).and_then(Value::as_array).map_or(0, Vec::len)
    }

    fn ladders(&self) -> Vec<Vec<(f64, f64)>> {
        let of_type = |t: usize| {
            let scale = self.nth("/familyInfo/classScale", t, 1.0);
            let benefit = self.of(t, "worth").and_then(Value::as_f64).unwrap_or(1.0);
            let rung = |r: usize| {
                let worth = self.nth("/familyInfo/ladderWorth", r, 1.0);
                (self.nth("/familyInfo/levelKb", r, 1.0) * scale, worth * benefit)
            };
            (0..self.length("/familyInfo/levelKb")).map(rung).collect()
        };
        (0..self.length("/profiles")).map(of_type).collect()
    }

    /// Streams that a kind of streamer runs at most.
    pub fn places(&self, kind: usize) -> f64 {
        self.nth("/familyInfo/kindStreams", kind, 1.0)
    }

    /// A link as stated: by weight, or where weights say nothing by its kind's places over the usual ones. All
    /// links together are told as they were at the start, so they say nothing once streamers have gone.
    pub fn stated_link(&self, weight: f64, kind: usize, usual_places: f64) -> f64 {
        let unit = self.figure("/familyInfo/linkUnitKb", 1.0);
        match self.text("/weights") {
            "none" => unit * self.places(kind) / usual_places.max(1.0),
            _ => unit * weight.max(0.01),
        }
    }

    /// How late notes are.
    pub fn late(&self) -> Duration {
        self.span("/familyInfo/toldLateUs", Duration::from_secs(1))
    }

    /// The join objective, no longer than the client timeout of this try.
    pub fn join_objective(&self, asked: &Asked) -> Duration {
        let us = self.of(asked.room_type, "aimUs").and_then(Value::as_u64).unwrap_or(1_000_000);
        asked.client_timeout.min(Duration::from_micros(us))
    }

    pub fn floor(&self, asked: &Asked) -> u8 {
        self.floors.get(asked.room_type).copied().unwrap_or(0)
    }

    /// The highest rung that the viewer, the room type and the ladder allow.
    pub fn top(&self, asked: &Asked) -> u8 {
        let ladder = self.ladders.get(asked.room_type).map_or(1, Vec::len).saturating_sub(1);
        let room_type = self.tops.get(asked.room_type).copied().unwrap_or(u8::MAX);
        asked.max_rung.min(room_type).min(ladder.min(255) as u8)
    }

    /// What a rung asks, and what a second at it earns.
    pub fn rung(&self, room_type: usize, rung: u8) -> (f64, f64) {
        let ladder = self.ladders.get(room_type).and_then(|l| l.get(usize::from(rung)));
        ladder.copied().unwrap_or((1.0, 1.0))
    }

    pub fn rate(&self, asked: &Asked, rung: u8) -> f64 {
        self.rung(asked.room_type, rung).0
    }

    pub fn earns(&self, asked: &Asked, rung: u8) -> f64 {
        self.rung(asked.room_type, rung).1
    }

    /// What a second at the highest rung earns, over all room types.
    pub fn usual_benefit(&self) -> f64 {
        let tops = self.ladders.iter().filter_map(|l| l.last()).map(|top| top.1);
        mean(tops).unwrap_or(0.0)
    }
}

pub fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}
