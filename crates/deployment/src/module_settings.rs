//! Converts a deployment into the map of settings that the core module reads, under that module's names.

use serde_json::{json, Map, Value};

use crate::{Deployment, Fleet, Permissions, RoomType, Rules, Shared};

impl Deployment {
    /// The settings of the core module by name; durations are in microseconds.
    pub fn module_settings(&self) -> Map<String, Value> {
        let Self { place, shared, .. } = self;
        let Shared { fleet, rules, permissions, prices, .. } = shared;
        let settings = json!({
            "balancers": place.controllers,
            "me": place.number,
            "zone": fleet.zones.iter().position(|zone| *zone == place.zone),
            "failureDomains": fleet.zones,
            "hostTypes": fleet.kinds,
            "discovery": fleet.discovery,
            "weights": fleet.weights,
            "tickUs": us(place.tick_ms),
            "profiles": profiles(shared),
            "report": {"how": report_how(fleet), "fields": fleet.report},
            "familyInfo": family_info(shared),
            "obligations": obligations(rules),
            "permissions": permitted(permissions),
            "prices": {"moves": prices.moves, "crossZone": prices.crossing, "probe": prices.probe},
        });
        match settings {
            Value::Object(settings) => settings,
            _ => Map::new(),
        }
    }
}

fn profiles(shared: &Shared) -> Vec<Value> {
    let profile = |(name, room_type): &(String, RoomType)| {
        json!({"name": name, "aimUs": us(room_type.join_objective_ms),
            "deadlineUs": us(room_type.client_timeout_ms), "effect": room_type.set_up_again,
            "group": room_type.group, "windowUs": us(room_type.window_ms), "worth": room_type.benefit})
    };
    shared.room_types.iter().map(profile).collect()
}

fn report_how(fleet: &Fleet) -> &str {
    if fleet.report.is_empty() {
        "none"
    } else {
        &fleet.report_how
    }
}

fn family_info(shared: &Shared) -> Value {
    let Shared { fleet, ladder, .. } = shared;
    let per_room_type = |field: fn(&RoomType) -> Value| -> Vec<Value> {
        shared.room_types.iter().map(|(_, room_type)| field(room_type)).collect()
    };
    let top_rung = ladder.rates_kb.len() - 1;
    let tops = shared.room_types.iter().map(|(_, room_type)| room_type.top.map_or(top_rung, usize::from));
    json!({
        "positions": fleet.cells, "groups": fleet.racks, "kindStreams": fleet.kind_streams,
        "linkUnitKb": fleet.link_unit_kb, "linksKb": fleet.links_kb, "uplinkKb": fleet.uplink_kb,
        "levelKb": ladder.rates_kb, "ladderWorth": ladder.benefit, "switchCostS": ladder.switch_cost_s,
        "stall": ladder.stall, "toldLateUs": us(fleet.told_late_ms),
        "toldEveryUs": us(fleet.link_report_interval_ms()),
        "classScale": per_room_type(|room_type| json!(room_type.scale)),
        "floorByClass": per_room_type(|room_type| json!(room_type.floor)),
        "classTop": tops.collect::<Vec<_>>(),
        "licenceCap": per_room_type(|room_type| json!(room_type.seats)),
        "classLive": per_room_type(|room_type| json!(room_type.live))})
}

fn obligations(rules: &Rules) -> Value {
    let mut obligations = json!({
        "drainGraceUs": us(rules.drain_grace_ms), "coldUs": us(rules.warm_up_ms),
        "coldFrom": rules.cold_from, "tipMultiple": rules.tip_multiple,
        "tipAfterUs": us(rules.tip_after_ms)});
    if rules.budget_window_ms > 0 {
        obligations["countedOverUs"] = json!(us(rules.budget_window_ms));
        obligations["budgetFree"] = json!(rules.budget_few);
        obligations["extraRatio"] = json!(rules.budget_share);
    }
    obligations
}

fn permitted(permissions: &Permissions) -> Value {
    json!({
        "probing": permissions.probes, "peers": permissions.peers, "mayCancel": true,
        "retryAfter": permissions.retry_after, "secondCopies": false,
        "maxRetryAfterUs": us(permissions.max_retry_after_ms),
        "maxAttempts": permissions.joins,
        "connectTimeoutUs": us(permissions.connect_timeout_ms)})
}

/// Milliseconds to microseconds.
fn us(ms: u64) -> u64 {
    ms * 1000
}
