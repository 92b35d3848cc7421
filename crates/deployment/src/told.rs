//! The map that the module takes, under the names that it knows.

use serde_json::{json, Map, Value};

use crate::Deployment;

impl Deployment {
    /// Names to values, plainly; spans in microseconds.
    pub fn told(&self) -> Map<String, Value> {
        let Self { place, shared, .. } = self;
        let (fleet, ladder, rules) = (&shared.fleet, &shared.ladder, &shared.rules);
        let of_types = |field: fn(&crate::RoomType) -> Value| -> Vec<Value> {
            shared.room_types.iter().map(|(_, room_type)| field(room_type)).collect()
        };
        let highest = ladder.rates_kb.len() - 1;
        let tops = shared.room_types.iter().map(|(_, t)| t.top.map_or(highest, usize::from));
        let profiles = shared.room_types.iter().map(|(name, t)| {
            json!({"name": name, "aimUs": us(t.join_objective_ms), "deadlineUs": us(t.client_timeout_ms),
                "effect": t.set_up_again, "group": t.group, "windowUs": us(t.window_ms), "worth": t.benefit})
        });
        let mut told = json!({
            "balancers": place.controllers,
            "me": place.number,
            "zone": fleet.zones.iter().position(|zone| *zone == place.zone),
            "failureDomains": fleet.zones,
            "hostTypes": fleet.kinds,
            "discovery": fleet.discovery,
            "weights": fleet.weights,
            "tickUs": us(place.tick_ms),
            "profiles": profiles.collect::<Vec<_>>(),
            "report": {"how": if fleet.report.is_empty() { "none" } else { &fleet.report_how }, "fields": fleet.report},
            "familyInfo": {
                "positions": fleet.cells, "groups": fleet.racks, "kindStreams": fleet.kind_streams,
                "linkUnitKb": fleet.link_unit_kb, "linksKb": fleet.links_kb, "uplinkKb": fleet.uplink_kb,
                "levelKb": ladder.rates_kb, "ladderWorth": ladder.benefit, "switchCostS": ladder.switch_cost_s,
                "stall": ladder.stall, "toldLateUs": us(fleet.told_late_ms), "toldEveryUs": us(fleet.told_every()),
                "classScale": of_types(|t| json!(t.scale)), "floorByClass": of_types(|t| json!(t.floor)),
                "classTop": tops.collect::<Vec<_>>(), "licenceCap": of_types(|t| json!(t.seats)),
                "classLive": of_types(|t| json!(t.live))},
            "obligations": {
                "drainGraceUs": us(rules.drain_grace_ms), "coldUs": us(rules.warm_up_ms),
                "coldFrom": rules.cold_from, "tipMultiple": rules.tip_multiple,
                "tipAfterUs": us(rules.tip_after_ms)},
            "permissions": {
                "probing": shared.permissions.probes, "peers": shared.permissions.peers, "mayCancel": true,
                "retryAfter": shared.permissions.retry_after, "secondCopies": false,
                "maxRetryAfterUs": us(shared.permissions.max_retry_after_ms),
                "maxAttempts": shared.permissions.joins,
                "connectTimeoutUs": us(shared.permissions.connect_timeout_ms)},
            "prices": {"moves": shared.prices.moves, "crossZone": shared.prices.crossing,
                "probe": shared.prices.probe},
        });
        if rules.budget_window_ms > 0 {
            told["obligations"]["countedOverUs"] = json!(us(rules.budget_window_ms));
            told["obligations"]["budgetFree"] = json!(rules.budget_few);
            told["obligations"]["extraRatio"] = json!(rules.budget_share);
        }
        match told {
            Value::Object(told) => told,
            _ => Map::new(),
        }
    }
}

fn us(ms: u64) -> u64 {
    ms * 1000
}
