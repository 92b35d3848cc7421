//! Settings as the wire page names them, with figures out of the ranges of a site file.

/// Of `asztal-media`, as in the wire page's example: two controllers, twelve streamers, three racks.
pub fn asztal_media() -> String {
    let class = |name: &str, worth: f64| {
        format!(
            r#"{{"aimUs":1500000,"deadlineUs":4000000,"effect":"free","group":"all","lateWorth":0.0,
            "name":"{name}","stream":true,"windowUs":5000000,"worth":{worth:.1}}}"#
        )
    };
    format!(
        r#"{{"balancers":2,"clientHabits":{{"marksRetry":true}},"discovery":"automatic",
        "failureDomains":["a-building","b-building"],
        "familyInfo":{{"classLive":[false,false,false],"classScale":[1.0,1.0,1.2],"classTop":[4,2,4],
            "floorByClass":[0,0,0],"groups":3,"guard":0.0,"joinAdds":1.0,"kindStreams":[19],
            "ladderWorth":[0.26,0.47,0.66,0.83,1.0],"levelKb":[247.0,422.0,722.0,1236.0,2115.0],
            "licenceCap":[0,0,0],"linkUnitKb":2611.0,"linksKb":64466.0,"positions":12,"stall":7.0,
            "switchCostS":0.587,"toldEveryUs":3000000,"toldLateUs":796398,"uplinkKb":15811.0}},
        "goal":{{"whole":0.4,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.4}},
        "hostTypes":["two-core"],"kindOfService":"streams","layer":0,"me":0,
        "obligations":{{"askWithinUs":10000000,"coldFrom":0.4,"coldUs":12000000,"drainGraceUs":500000,
            "graceToAnswerUs":40000,"tipAfterUs":1500000,"tipMultiple":2.0}},
        "overShareWorth":0.1,
        "permissions":{{"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":646672,
            "keepaliveUs":30000000,"maxAttempts":5,"maxOpen":1293345,"maxRetryAfterUs":2000000,
            "maxStreams":32,"mayCancel":true,"peers":false,"probing":true,"retryAfter":true,
            "secondCopies":false}},
        "prices":{{"connection":0.0,"crossZone":0.04,"discovery":0.0,"handshake":0.0,"lateFail":0.072,
            "moves":0.05,"origin":0.0,"peer":0.01,"probe":0.011,"waste":0.0}},
        "profiles":[{},{},{}],
        "report":{{"fields":["x0","x1"],"how":"answers"}},"stages":["media-fleet"],"tenants":[],
        "tickUs":10000,"weights":"nominal","worthBy":"work","zone":0}}"#,
        class("room-tour", 1.0),
        class("menu-audio", 1.0),
        class("chef-show", 2.0)
    )
}

/// Of `osvetlenie-bratislava`, small: three controllers, eight player boxes in one rack.
pub fn osvetlenie_bratislava() -> String {
    let class = |name: &str, aim_ms: u32, deadline_ms: u32, worth: f64| {
        format!(
            r#"{{"aimUs":{aim_ms}000,"deadlineUs":{deadline_ms}000,"effect":"free","group":"all","lateWorth":0.0,
            "name":"{name}","stream":true,"windowUs":5000000,"worth":{worth:.1}}}"#
        )
    };
    format!(
        r#"{{"balancers":3,"clientHabits":{{"marksRetry":false}},"discovery":"automatic",
        "failureDomains":["ba-dc1"],
        "familyInfo":{{"classLive":[false,false],"classScale":[0.7,1.4],"classTop":[3,4],
            "floorByClass":[0,1],"groups":1,"guard":1.0,"joinAdds":1.0,"kindStreams":[25],
            "ladderWorth":[0.22,0.45,0.65,0.83,1.0],"levelKb":[210.0,390.0,690.0,1180.0,2100.0],
            "licenceCap":[0,0],"linkUnitKb":4800.0,"linksKb":76800.0,"positions":1,"stall":7.0,
            "switchCostS":0.5,"toldEveryUs":2500000,"toldLateUs":700000,"uplinkKb":54000.0}},
        "goal":{{"whole":0.5,"worstClass":0.35,"worstTenant":0.0,"worstWindow":0.15}},
        "hostTypes":["two-core"],"kindOfService":"streams","layer":0,"me":0,
        "obligations":{{"askWithinUs":10000000,"budgetFree":3,"coldFrom":0.4,"coldUs":8000000,
            "countedOverUs":10000000,"drainGraceUs":250000,"extraRatio":0.1,"graceToAnswerUs":40000,
            "tipAfterUs":3000000,"tipMultiple":3.0}},
        "overShareWorth":0.1,
        "permissions":{{"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,
            "keepaliveUs":30000000,"maxAttempts":5,"maxOpen":1000000,"maxRetryAfterUs":1000000,
            "maxStreams":32,"mayCancel":true,"peers":false,"probing":true,"retryAfter":true,
            "secondCopies":false}},
        "prices":{{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.0,"lateFail":0.072,
            "moves":0.24,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.0}},
        "profiles":[{},{}],
        "report":{{"fields":["x0","x1"],"how":"answers"}},"stages":["media-fleet"],"tenants":[],
        "tickUs":10000,"weights":"rough","worthBy":"request","zone":0}}"#,
        class("patrol-clip", 800, 4000, 1.0),
        class("fault-proof", 1500, 3000, 3.0)
    )
}
