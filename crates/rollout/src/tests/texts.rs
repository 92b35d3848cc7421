//! States and plans as text: what is written is read again, and bad input is refused with its place.

use badgerledge_core::random::Rng;
use badgerledge_deployment::kinds::{Kind, KINDS};
use badgerledge_settings::Sheet;

use super::support::{rollout_at, spec, DEFAULTS, PLAN};
use crate::{AfterStop, Rollout, Spec, Status, Subject};

fn fault(text: &str) -> String {
    let sheet = Sheet::parse("plan.ini", text);
    sheet.and_then(|sheet| Spec::of_plan(&sheet, DEFAULTS)).unwrap_err().to_string()
}

fn with(from: &str, to: &str) -> String {
    assert!(PLAN.contains(from));
    fault(&PLAN.replacen(from, to, 1))
}

#[test]
fn a_state_is_read_as_it_was_written() {
    let mut rollout = rollout_at(1, 2);
    let read = |text: &str| Rollout::of(&Sheet::parse("state", text).unwrap()).unwrap();
    for (status, _) in Status::ALL {
        rollout.progress.status = status;
        assert_eq!(read(&rollout.text()), Some(rollout.clone()));
    }
    let settings =
        [("rules", "warm_up_ms", "5000"), ("room_type clip", "floor", "1"), ("ladder", "benefit", "0.3, 1")];
    let settings =
        settings.map(|(section, key, value)| ((section.to_owned(), key.to_owned()), value.to_owned()));
    rollout.spec.subject = Subject::Settings(settings.into());
    rollout.spec.after_stop = AfterStop::Wait;
    assert_eq!(read(&rollout.text()), Some(rollout.clone()));
    let entries = rollout.entries();
    let told = entries.iter().map(|entry| (entry.key.as_str(), std::str::from_utf8(&entry.value).unwrap()));
    assert_eq!(Rollout::of_entries(told).unwrap(), Some(rollout));
    assert_eq!(read("[rules]\nwarm_up_ms = 1\n"), None);
    assert_eq!(Rollout::of_entries([("rules\twarm_up_ms", "1"), ("title 1", "x")]).unwrap(), None);
}

#[test]
fn a_plan_has_its_pace_from_the_settings_unless_it_names_it() {
    assert_eq!((spec().at_once_share, spec().settle), (DEFAULTS.at_once_share, DEFAULTS.settle));
    let named = super::support::spec_of(&format!("{PLAN}settle_s = 3\nat_once_share = 0.5\n"));
    assert_eq!((named.at_once_share, named.settle.as_secs()), (0.5, 3));
}

#[test]
fn plans_out_of_order_are_refused_with_place_and_reason() {
    assert_eq!(
        with("0.1, 0.5, 1", "0.5, 0.1, 1"),
        "plan.ini:7: [rollout] shares = 0.5, 0.1, 1: stage 2 has the share 0.1: one over that of the stage \
         before it and up to 1 is taken"
    );
    assert_eq!(
        with("60, 60, 30", "60, 0, 30"),
        "plan.ini:8: [rollout] at_least_s = 60, 0, 30: 1 to 86400 is taken"
    );
    assert_eq!(
        with("60, 60, 30", "60, 60"),
        "plan.ini:8: [rollout] at_least_s = 60, 60: one duration for each of the shares is taken"
    );
    assert_eq!(
        with("plan = 7", "plan = 7\nspeed = 2").split(';').next().unwrap(),
        "plan.ini:3: [rollout] speed: no such key"
    );
    assert_eq!(
        with("last = 4", "last = 31"),
        "plan.ini:6: [rollout] last = 31: member 31 is to be last, and is no member"
    );
    assert!(with("south 10-19", "south 9-19").ends_with("member 9 is named twice"));
    assert!(
        with("south 10-19", "south 19-10").ends_with("south 19-10: ZONE FIRST-LAST or ZONE MEMBER is taken")
    );
    assert!(with("south 10-19", "south 0-65535").ends_with("south 0-65535: a member is named twice"));
    assert!(with("0.1, 0.5, 1", "0.01, 0.5, 1").ends_with("stage 1 has no members"));
    assert!(with("0.1, 0.5, 1", "0.1, 0.5, 0.9").ends_with("it must end at 1"));
    assert!(with("0.1, 0.5, 1", "0.1, 0.5, 1.5").ends_with("0 to 1 is taken"));
    assert!(with("joins_lost 0.05", "joins 0.05").contains("one of joins_lost throttled"));
    assert!(with("joins_lost 0.05", "joins_lost 0").contains("a share over 0"));
    assert!(
        with("joins_lost 0.05", "joins_lost 0.05, joins_lost 0.1").ends_with("this measure is given twice")
    );
    assert!(with("wire = 3, 4\n", "").ends_with("the versions of the wire that the build speaks are wanted"));
    assert!(with("program = 2026.12.2\nwire = 3, 4\n", "").ends_with("one of them"));
    assert!(with("plan = 7", "plan = 7\nepoch = 3").contains("a plan does not have it"));
    assert_eq!(fault("[rollout]\n"), "plan.ini:1: [rollout] plan: this key is missing");
    assert_eq!(fault(""), "plan.ini: [rollout]: this section is missing");
}

#[test]
fn settings_that_are_exclusive_or_unknown_are_refused_when_planned() {
    let settings = PLAN.replace("program = 2026.12.2\nwire = 3, 4\n", "") + "[rollout settings]\n";
    let refused = |line: &str| fault(&format!("{settings}{line}\n"));
    let exclusive = KINDS.iter().filter(|(section, _, kind)| *kind == Kind::Exclusive && *section != "title");
    let mut seen = 0;
    for (section, key, _) in exclusive {
        let line = format!("{section}/{key} = 1");
        let fault = refused(&line);
        let place = format!("plan.ini:11: [rollout settings] {line}: this key is exclusive");
        assert!(fault.starts_with(&place), "{fault}");
        seen += 1;
    }
    assert!(seen > 8);
    assert!(refused("rules/warm_up = 1").ends_with("there is no such setting"));
    assert!(refused("title 1/copies = 1").ends_with("they are changed by a revision"));
    assert!(refused("warm_up_ms = 1").ends_with("SECTION/KEY is taken, as in rules/warm_up_ms"));
    assert!(refused("").ends_with("at least one setting is wanted"));
    assert!(fault(&format!("{PLAN}[rollout settings]\nrules/warm_up_ms = 1\n")).ends_with("one of them"));
}

/// Whatever is done to a state's text, it is refused or read as one that is written and read again.
#[test]
fn a_state_that_was_tampered_with_is_refused_or_whole() {
    let mut chance = Rng(0x5eed);
    let mut draw = |below: usize| (chance.unit_interval() * below as f64) as usize;
    let text = rollout_at(1, 2).text();
    let values =
        ["", "0", "-1", "1", "2", "4294967295", "18446744073709551615", "nan", "1e308", "north 0-65535", ","];
    let (mut whole, mut refused) = (0, 0);
    for _ in 0..4000 {
        let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
        let at = 1 + draw(lines.len() - 1);
        let key = lines[at].split(" = ").next().unwrap().to_owned();
        match draw(4) {
            0 => drop(lines.remove(at)),
            1 => lines[at] = format!("{key} = {}", values[draw(values.len())]),
            2 => lines[at] += values[draw(values.len())],
            _ => {
                let length = draw(lines[at].len());
                lines[at].truncate(length);
            }
        }
        match Sheet::parse("state", &lines.join("\n")).and_then(|sheet| Rollout::of(&sheet)) {
            Ok(read) => {
                let read = read.unwrap();
                assert_eq!(Rollout::of(&Sheet::parse("state", &read.text()).unwrap()).unwrap(), Some(read));
                whole += 1;
            }
            Err(faults) => refused += usize::from(!faults.0.is_empty()),
        }
    }
    assert!(whole > 100 && refused > 1000 && whole + refused == 4000, "{whole} whole, {refused} refused");
}

#[test]
fn states_that_are_torn_are_refused() {
    let text = rollout_at(1, 2).text();
    let fault = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        let sheet = Sheet::parse("state", &text.replacen(from, to, 1)).unwrap();
        Rollout::of(&sheet).unwrap_err().to_string()
    };
    for key in [
        "epoch = 5",
        "status = running",
        "stage = 2",
        "wave = 2",
        "pace = paced",
        "settle_s = 10",
        "since = 1764600000",
    ] {
        let said = fault(&format!("\n{key}\n"), "\n");
        let name = key.split(' ').next().unwrap();
        assert!(said.ends_with(&format!("[rollout] {name}: this key is missing")), "{said}");
    }
    assert!(fault("stage = 2", "stage = 4").ends_with("1 to 3 is taken"));
    assert!(fault("stage = 2", "stage = 0").ends_with("1 to 3 is taken"));
    assert!(fault("\nwave = 2", "\nwave = 0").ends_with("1 or more is taken"));
    assert!(fault("status = running", "status = run").contains("one of running"));
}
