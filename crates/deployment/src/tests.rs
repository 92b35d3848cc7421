//! Reading a controller's whole file, its conversion for the core module, the errors with their places, and
//! the text that is safe between two revisions.

use badgerledge_catalogue::Title;
use badgerledge_settings::IniFile;

use crate::{
    kinds, Crossing, Deployment, Fleet, Ladder, Permissions, Prices, RelayAddress, RevisionText, RoomType,
    Rules, REVISED_SECTIONS, SHARED_SECTIONS,
};

const WHOLE: &str = "\
[controller]
number = 1
controllers = 2
zone = south
listen = 127.0.0.1:5540
catalogue = titles.ini
[fleet]
zones = north, south
kinds = small
kind_streams = 20
cells = 12
racks = 4
link_unit_kb = 1000
links_kb = 12000
uplink_kb = 3000
report = x0, x1
[ladder]
rates_kb = 100, 200, 400
benefit = 0.3, 0.6, 1
[room_type clip]
join_objective_ms = 1500
client_timeout_ms = 4000
benefit = 1
[room_type lesson]
join_objective_ms = 1500
client_timeout_ms = 4000
benefit = 3
floor = 1
top = 1
seats = 5
set_up_again = single_shot
[rules]
budget_window_ms = 5000
budget_few = 3
budget_share = 0.2
";

fn read(text: &str) -> Result<Deployment, String> {
    IniFile::parse("d.ini", text)
        .and_then(|sheet| Deployment::of(&sheet))
        .map_err(|faults| faults.to_string())
}

#[test]
fn module_settings_contain_the_values_of_the_file() {
    let settings = serde_json::Value::Object(read(WHOLE).unwrap().module_settings());
    let at = |path: &str| settings.pointer(path).unwrap_or_else(|| panic!("{path} is missing")).to_string();
    assert_eq!((at("/zone"), at("/me"), at("/balancers")), ("1".into(), "1".into(), "2".into()));
    assert_eq!(at("/profiles/1/effect"), "\"single_shot\"");
    assert_eq!(at("/profiles/0/aimUs"), "1500000");
    assert_eq!(
        (at("/familyInfo/classTop"), at("/familyInfo/floorByClass")),
        ("[2,1]".into(), "[0,1]".into())
    );
    assert_eq!(
        (at("/familyInfo/licenceCap"), at("/report/fields")),
        ("[0,5]".into(), "[\"x0\",\"x1\"]".into())
    );
    assert_eq!(
        (at("/obligations/countedOverUs"), at("/obligations/budgetFree")),
        ("5000000".into(), "3".into())
    );
    assert_eq!(at("/obligations/drainGraceUs"), "500000");
}

#[test]
fn reports_come_in_answers_by_default_or_in_probe_results_only() {
    let settings = |text: &str| serde_json::Value::Object(read(text).unwrap().module_settings());
    let in_answers = settings(WHOLE);
    assert_eq!(
        (in_answers["report"]["how"].as_str(), in_answers["prices"]["probe"].as_f64()),
        (Some("answers"), Some(0.0))
    );
    assert_eq!(in_answers["familyInfo"]["toldEveryUs"], 3_000_000);
    let by_probe_text = WHOLE.replace("report = x0, x1", "report = x0, x1\nreport_how = probe")
        + "[permissions]\nprobes = true\n[prices]\nprobe = 0.01\n";
    let by_probe = settings(&by_probe_text);
    assert_eq!(
        (by_probe["report"]["how"].as_str(), by_probe["prices"]["probe"].as_f64()),
        (Some("probe"), Some(0.01))
    );
    assert_eq!(by_probe["familyInfo"]["toldEveryUs"], 0);
}

#[test]
fn errors_name_file_line_section_and_key() {
    let fault = |from: &str, to: &str| read(&WHOLE.replacen(from, to, 1)).unwrap_err();
    assert_eq!(
        fault("number = 1", "number = 2"),
        "d.ini:2: [controller] number = 2: must be between 0 and 1 with 2 controllers"
    );
    assert_eq!(
        fault("zone = south", "zone = west"),
        "d.ini:4: [controller] zone = west: must be one of north, south"
    );
    assert_eq!(
        fault("100, 200, 400", "100, 50, 400"),
        "d.ini:18: [ladder] rates_kb: rates must be ascending"
    );
    assert_eq!(
        fault("report = x0, x1", "report = x0, x1\nreport_how = probe"),
        "d.ini:17: [fleet] report_how: probe requires [permissions] probes = true and values in report"
    );
    assert_eq!(
        fault("report = x0, x1", "report = x0, x1\nreport_how = asked"),
        "d.ini:17: [fleet] report_how = asked: must be one of answers, probe"
    );
    assert_eq!(
        fault("[rules]", "[prices]\nprobe = -1\n[rules]"),
        "d.ini:33: [prices] probe = -1: must be between 0 and 10"
    );
    assert_eq!(
        fault("floor = 1", "floor = 2"),
        "d.ini:28: [room_type lesson] floor: must not be above the room type's top"
    );
    assert_eq!(fault("top = 1", "top = 3"), "d.ini:29: [room_type lesson] top: must be a rung of the ladder");
    assert_eq!(
        fault("client_timeout_ms = 4000", "client_timeout_ms = 400"),
        "d.ini:22: [room_type clip] client_timeout_ms: must be at least join_objective_ms"
    );
    assert_eq!(
        fault("listen = 127.0.0.1:5540", "listen = here"),
        "d.ini:5: [controller] listen = here: invalid socket address syntax"
    );
}

#[test]
fn relays_are_read_and_errors_in_them_are_located() {
    let with = |more: &str| {
        let section = format!("[distribution]\nring = ring.ini\n{more}");
        read(&WHOLE.replace("[fleet]", &format!("state = here\n{section}[fleet]")))
    };
    let deployment = with("relays = 3 south 127.0.0.1:7400, 4 north 127.0.0.1:7401\n").unwrap();
    let distribution = deployment.distribution.unwrap();
    let expected =
        RelayAddress { machine: 4, zone: "north".to_owned(), at: "127.0.0.1:7401".parse().unwrap() };
    assert_eq!(distribution.relays[1], expected);
    assert_eq!((distribution.titles, distribution.leave_within_s), (false, 30));
    assert!(read(WHOLE).unwrap().distribution.is_none());

    let fault = |more: &str| with(more).unwrap_err();
    let place = "d.ini:10: [distribution] relays";
    assert_eq!(fault("titles = true\n"), "d.ini:8: [distribution] relays: this key is missing");
    assert!(fault("relays =\n").starts_with(place));
    let form = format!("{place} = 3 south: each relay must be NUMBER ZONE ADDRESS");
    assert_eq!(fault("relays = 3 south\n"), form);
    assert!(fault("relays = x south 127.0.0.1:7400\n")
        .ends_with("the first field must be a control machine's number"));
    assert!(fault("relays = 3 south 127.0.0.1\n").ends_with("the last field must be an address with a port"));
    let twice = "relays = 3 south 127.0.0.1:7400, 3 north 127.0.0.1:7401\n";
    assert!(fault(twice).ends_with("3 at 127.0.0.1:7401 is given twice"));
    let revisions =
        "relays = 3 south 127.0.0.1:7400\n[gossip]\nlisten = 127.0.0.1:1\nring = r\nkey = k\n[revisions]\n";
    assert_eq!(
        fault(revisions),
        "d.ini:8: [distribution]: must not be combined with [revisions]: both would set the configuration in force"
    );
    let stateless = "[distribution]\nring = ring.ini\nrelays = 3 south 127.0.0.1:7400\n[fleet]";
    assert_eq!(
        read(&WHOLE.replace("[fleet]", stateless)).unwrap_err(),
        "d.ini:7: [distribution]: requires [controller] state"
    );
}

/// Guards against reporting only the errors of the first section.
#[test]
fn errors_of_all_sections_are_reported_together() {
    let invalid = WHOLE
        .replace("cells = 12", "cells = 0")
        .replace("budget_few = 3", "budget_few = some")
        .replace("zone = south\n", "")
        .replace("benefit = 3\n", "benefit = -1\n");
    let errors = read(&invalid).unwrap_err();
    let lines: Vec<&str> = errors.lines().collect();
    assert_eq!(lines.len(), 4, "{errors}");
    for (line, key) in lines.iter().zip(["zone", "cells", "budget_few", "benefit"]) {
        assert!(line.contains(key), "{line}");
    }
}

/// `KINDS` lists exactly the keys of the types of the shared sections and of titles, in their order.
#[test]
fn all_keys_have_a_kind() {
    use serde_aux::serde_introspection::serde_introspect;
    let sections: [(&str, &[&str]); 8] = [
        ("fleet", serde_introspect::<Fleet>()),
        ("ladder", serde_introspect::<Ladder>()),
        ("room_type", serde_introspect::<RoomType>()),
        ("rules", serde_introspect::<Rules>()),
        ("permissions", serde_introspect::<Permissions>()),
        ("prices", serde_introspect::<Prices>()),
        ("crossing", serde_introspect::<Crossing>()),
        ("title", serde_introspect::<Title>()),
    ];
    assert_eq!(sections.map(|section| section.0), REVISED_SECTIONS);
    assert_eq!(REVISED_SECTIONS[..7], SHARED_SECTIONS);
    let keys = sections.iter().flat_map(|(section, keys)| keys.iter().map(|key| (*section, *key)));
    let listed: Vec<(&str, &str)> = kinds::KINDS.iter().map(|kind| (kind.0, kind.1)).collect();
    assert_eq!(keys.collect::<Vec<_>>(), listed);
}

/// Between two revisions, free keys have their new value, exclusive keys the old one, and others the stricter
/// one.
#[test]
fn stricter_values_apply_between_two_texts() {
    let sheet = |text: &str| IniFile::parse("x", text).unwrap();
    let old = sheet("[fleet]\ncells = 4\n[room_type a]\nfloor = 1\ntop = 3\nseats = 0\nbenefit = 1\n[rules]\ndrain_grace_ms = 200\n");
    let new = sheet("[fleet]\ncells = 3\n[room_type a]\nfloor = 0\ntop = 2\nseats = 5\nbenefit = 2\n[rules]\nwarm_up_ms = 900\n");
    let between = kinds::transition_text(&old, &new, &kinds::default_of);
    let expected = "[fleet]\ncells = 4\n[room_type a]\nbenefit = 2\nfloor = 1\nseats = 5\ntop = 2\n\
                  [rules]\ndrain_grace_ms = 200\nwarm_up_ms = 900\n";
    assert_eq!(between, expected);
    // A change back has the same limits in between.
    let back = kinds::transition_text(&new, &old, &kinds::default_of);
    assert!(back.contains("floor = 1\nseats = 5\ntop = 2\n") && back.contains("warm_up_ms = 900"), "{back}");
    assert!(kinds::is_exclusive(&old, &new));
    let changed: Vec<_> = kinds::changes(&old, &new).into_iter().map(|change| change.key).collect();
    assert_eq!(changed, ["cells", "benefit", "floor", "seats", "top", "drain_grace_ms", "warm_up_ms"]);
}

/// Added and removed titles apply at once; the cells of a title change only when all controllers have the
/// change.
#[test]
fn adding_and_removing_titles_is_free_but_moving_them_is_exclusive() {
    let sheet = |text: &str| IniFile::parse("x", text).unwrap();
    let title = |id: &str, first_cell: u32| {
        format!("[title {id}]\ncopies = 2\nfirst_cell = {first_cell}\nroom_type = a\n")
    };
    let old = sheet(&(title("1", 0) + &title("2", 0)));
    let new = sheet(&(title("10", 0) + &title("2", 3)));
    assert_eq!(kinds::transition_text(&old, &new, &kinds::default_of), title("10", 0) + &title("2", 0));
    assert!(kinds::is_exclusive(&old, &new));
    let added = sheet(&(title("1", 0) + &title("2", 0) + &title("3", 1)));
    assert!(!kinds::is_exclusive(&old, &added) && !kinds::is_exclusive(&added, &old));
    // The canonical form does not depend on the order and spelling of ids; a title without a known room type
    // is rejected.
    assert_eq!(kinds::canonical(&sheet(&(title("0A", 1) + &title("2", 0)))), title("2", 0) + &title("a", 1));
    let whole = WHOLE.split_once("[fleet]").map(|(_, rest)| format!("[fleet]{rest}")).unwrap();
    let refused = kinds::read_revision(&sheet(&(whole + &title("2", 0)))).unwrap_err().to_string();
    assert_eq!(refused, "x:33: [title 2] room_type = a: there is no room type of this name");
}

/// The fast parser of titles accepts what the sheet accepts, and what it rejects is reported with its place.
#[test]
fn both_parsers_accept_the_same_texts() {
    let whole = WHOLE.split_once("[fleet]").map(|(_, rest)| format!("[fleet]{rest}")).unwrap();
    let sheet = |text: &str| IniFile::parse("revision", text).unwrap();
    let title = |id: &str, first_cell: u32| {
        format!("[title {id}]\ncopies = 2\nfirst_cell = {first_cell}\nroom_type = clip\n")
    };
    let text = kinds::canonical(&sheet(&(whole + &title("9", 4) + &title("a", 1))));
    let active = RevisionText::read(text.as_bytes()).unwrap();
    assert_eq!(*active.titles(), kinds::read_revision(&sheet(&text)).unwrap().1);
    let refused =
        |from: &str, to: &str| RevisionText::read(text.replacen(from, to, 1).as_bytes()).unwrap_err();
    let lines = text.lines().count();
    assert_eq!(
        refused("copies = 2", "copies = 0"),
        format!("revision:{}: [title 9] copies = 0: must be between 1 and 65535", lines - 6)
    );
    assert!(refused("[title a]", "[title 0a]").contains("not in canonical form"));
    assert!(refused("[title a]", "[title 8]").contains("not in canonical form"));
    assert!(refused("[title a]", "[title 9]").contains("[title 9]: this is given twice"));
    assert!(refused("room_type = clip\n[title a]", "room_type = film\n[title a]")
        .contains("no room type of this name"));
    assert!(refused("first_cell = 4\n", "").contains("first_cell: this key is missing"));
    assert!(refused("first_cell = 4", "first_cell = 04").contains("not in canonical form"));
    assert!(refused("cells = 12", "cells = 0").contains("[fleet] cells = 0"));
    assert!(RevisionText::read(&[0xff]).is_err());

    // Added and removed titles apply at once, moved ones keep their old cells, and a title that needs a new
    // room type is not applied before it.
    let next = text
        .replace(&title("9", 4), "")
        .replace("[title a]", "[title 8]\ncopies = 1\nfirst_cell = 0\nroom_type = clip\n[title a]");
    let applied = active.applied_configuration(Some(&RevisionText::read(next.as_bytes()).unwrap()));
    let ids: Vec<u64> = applied.titles.titles().map(|(id, _)| id).collect();
    assert_eq!((ids, applied.exclusive), (vec![8, 10], false));
    let moved = RevisionText::read(text.replace("first_cell = 4", "first_cell = 5").as_bytes()).unwrap();
    let applied = active.applied_configuration(Some(&moved));
    assert_eq!((applied.titles.title(9).unwrap().first_cell, applied.exclusive), (4, true));
    let new_type = "[room_type new]\nbenefit = 1\nclient_timeout_ms = 2\njoin_objective_ms = 1\n";
    let with_new_type = text.replacen("[rules]", &format!("{new_type}[rules]"), 1)
        + "[title b]\ncopies = 1\nfirst_cell = 0\nroom_type = new\n";
    let applied = active.applied_configuration(Some(&RevisionText::read(with_new_type.as_bytes()).unwrap()));
    assert!(applied.exclusive && applied.titles.title(11).is_none() && applied.titles.len() == 2);
}
