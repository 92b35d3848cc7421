//! Rows of figures, and the forms that they are printed in.

use std::fmt::Write;

use badgerledge_accounts::{Accounts, Key, TrafficCounters, WINDOW_LENGTH};
use serde_json::{json, Map, Value};

/// A table: names of columns, and rows of texts and numbers.
pub struct Rows {
    names: Vec<&'static str>,
    rows: Vec<Vec<Value>>,
}

const AMOUNTS: [&str; 6] =
    ["media_bytes", "control_bytes", "unseen_bytes", "unseen_error", "subscription_s", "set_ups"];

fn amounts(a: &TrafficCounters) -> [Value; 6] {
    let seconds = a.subscription_ms as f64 / 1000.0;
    [
        json!(a.media_bytes),
        json!(a.control_bytes),
        json!(a.unseen_bytes),
        json!(a.unseen_error),
        json!(seconds),
        json!(a.set_ups),
    ]
}

fn keyed(key: &Key, amount: &TrafficCounters) -> Vec<Value> {
    let texts = [json!(key.from), json!(key.to), json!(key.room_type)];
    texts.into_iter().chain(amounts(amount)).collect()
}

/// Sums over the whole, and a last row for each room type over all pairs.
pub fn by_room_type(accounts: &Accounts, all: bool) -> Rows {
    let names = ["from", "to", "room_type"].into_iter().chain(AMOUNTS).collect();
    let whole = accounts.totals();
    let wanted = whole.iter().filter(|(key, _)| all || key.crosses_zones());
    let mut rows: Vec<Vec<Value>> = wanted.map(|(key, amount)| keyed(key, amount)).collect();
    let mut by_type: std::collections::BTreeMap<&str, TrafficCounters> = std::collections::BTreeMap::new();
    for (key, amount) in whole.iter().filter(|(key, _)| key.crosses_zones()) {
        by_type.entry(&key.room_type).or_default().add(amount);
    }
    for (room_type, amount) in by_type {
        let key = Key { from: "any".to_owned(), to: "other".to_owned(), room_type: room_type.to_owned() };
        rows.push(keyed(&key, &amount));
    }
    Rows { names, rows }
}

/// Sums of each window, by its start in seconds since 1970.
pub fn by_window(accounts: &Accounts, all: bool) -> Rows {
    let names = ["window_start", "from", "to", "room_type"].into_iter().chain(AMOUNTS).collect();
    let mut rows = Vec::new();
    for (window, sums) in accounts.windows() {
        for (key, amount) in sums.iter().filter(|(key, _)| all || key.crosses_zones()) {
            let start = json!(window * WINDOW_LENGTH.as_secs());
            rows.push([start].into_iter().chain(keyed(key, amount)).collect());
        }
    }
    Rows { names, rows }
}

/// The heaviest titles: bytes, and by how many of them it may be too much.
pub fn by_title(accounts: &Accounts) -> Rows {
    let heaviest = accounts.top_titles();
    let row = |(title, bytes, error)| vec![json!(format!("{title:x}")), json!(bytes), json!(error)];
    Rows { names: vec!["title", "bytes", "over_by_at_most"], rows: heaviest.titles().map(row).collect() }
}

impl Rows {
    pub fn table(&self) -> String {
        let texts: Vec<Vec<String>> = self.rows.iter().map(|row| row.iter().map(text).collect()).collect();
        let width = |n: usize| {
            let cells = texts.iter().map(|row| row[n].len());
            cells.chain([self.names[n].len()]).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.names.len()).map(width).collect();
        let mut out = String::new();
        let names: Vec<String> = self.names.iter().map(|name| (*name).to_owned()).collect();
        for row in [&names].into_iter().chain(&texts) {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}"));
            let _ = writeln!(out, "{}", cells.collect::<Vec<_>>().join("  "));
        }
        out
    }

    pub fn json_lines(&self) -> String {
        let line = |row: &Vec<Value>| {
            let fields = self.names.iter().zip(row).map(|(name, value)| ((*name).to_owned(), value.clone()));
            format!("{}\n", Value::Object(fields.collect::<Map<String, Value>>()))
        };
        self.rows.iter().map(line).collect()
    }

    /// As RFC 4180 has it.
    pub fn csv(&self) -> String {
        let line = |cells: Vec<String>| format!("{}\r\n", cells.join(","));
        let quoted = |cell: String| match cell.contains(['"', ',', '\r', '\n']) {
            true => format!("\"{}\"", cell.replace('"', "\"\"")),
            false => cell,
        };
        let head = line(self.names.iter().map(|name| (*name).to_owned()).collect());
        let rows = self.rows.iter().map(|row| line(row.iter().map(text).map(quoted).collect()));
        [head].into_iter().chain(rows).collect()
    }
}

fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
