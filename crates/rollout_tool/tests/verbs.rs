//! The program's verbs on files.

use std::path::PathBuf;
use std::process::{Command, Output};

const SETTINGS: &str = "\
[fleet]
zones = north, south
kinds = small
kind_streams = 20
cells = 12
racks = 4
link_unit_kb = 1000
links_kb = 12000
uplink_kb = 3000
[ladder]
rates_kb = 100, 200
benefit = 0.5, 1
[room_type clip]
join_objective_ms = 1500
client_timeout_ms = 4000
benefit = 1
[rules]
warm_up_ms = 20000
cold_from = 0.3
";

const PLAN: &str = "\
[rollout]
plan = 7
program = 2026.12.2
wire = 3, 4
fleet = north 0-9, south 10-19
last = 4
shares = 0.1, 1
at_least_s = 60, 30
at_once = 5
harm = joins_lost 0.05
usual = joins_lost 0.01
";

struct Folder(tempfile::TempDir);

impl Folder {
    fn new() -> Self {
        let folder = Self(tempfile::tempdir().unwrap());
        folder.write("settings.ini", SETTINGS);
        folder
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Runs a verb on a plan beside the settings: exit code, what was said, and what was complained of.
    fn run(&self, verb: &str, plan: &str) -> (i32, String, String) {
        self.write("plan.ini", plan);
        self.run_with(&[verb, "plan.ini", "--settings", "settings.ini"])
    }

    fn run_with(&self, arguments: &[&str]) -> (i32, String, String) {
        let program = env!("CARGO_BIN_EXE_badgerledge-rollout");
        let run = Command::new(program).current_dir(self.0.path()).args(arguments).output();
        let Output { status, stdout, stderr } = run.unwrap();
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        (status.code().unwrap(), text(stdout), text(stderr))
    }
}

#[test]
fn a_plan_says_who_changes_when_and_how_long_it_takes() {
    let folder = Folder::new();
    let (code, said, complained) = folder.run("plan", PLAN);
    assert_eq!((code, complained.as_str()), (0, ""));
    let lines: Vec<&str> = said.lines().collect();
    assert_eq!(lines[0], "plan 7: program 2026.12.2, which speaks wire 3, 4");
    // 4 s of a client's wait, 2 s to stay away, 20 s of warm-up; three tenths of ten members.
    assert_eq!(
        lines[1],
        "each wave settles for 26 s; north has 10 members, 3 change at once; \
         south has 10 members, 3 change at once"
    );
    let first: Vec<&&str> = lines.iter().filter(|line| line.starts_with("stage 1, ")).collect();
    let told = "stage 1, up to 0.1 of the fleet: 60 s at least once its last wave is out, \
                72 s with all its waves";
    assert_eq!(first, [&told]);
    let waves: Vec<&&str> = lines.iter().filter(|line| line.starts_with("  wave ")).collect();
    assert_eq!(waves.len(), 4, "{said}");
    let named =
        |wave: &str| -> Vec<u16> { wave.split([' ', ';']).filter_map(|word| word.parse().ok()).collect() };
    let mut all: Vec<u16> = waves.iter().flat_map(|wave| named(wave.split_once(": ").unwrap().1)).collect();
    all.sort_unstable();
    assert_eq!(all, (0..20).collect::<Vec<u16>>(), "each member changes once");
    assert!(named(waves[3].split_once(": ").unwrap().1).contains(&4), "it is left for last");
    // Nine times 0.06 of 0.99 over 0.05 squared are 214 requests, of two members at 1.5 a second.
    let to_see = "  to see its harm in joins_lost it must last 72 s at 1.5 requests a second each: \
                  longer than planned";
    assert!(lines.iter().any(|line| line.starts_with(to_see)), "{said}");
    let busy = folder.run_with(&["plan", "plan.ini", "--settings", "settings.ini", "--asked-per-s", "15"]).1;
    assert!(busy.contains("it must last 8 s at 15 requests a second each\n"), "{busy}");
    // It is the same whenever it is asked for.
    assert_eq!(folder.run("plan", PLAN).1, said);
}

#[test]
fn a_plan_in_order_is_told_and_its_settings_may_stand_beside_it() {
    let folder = Folder::new();
    assert_eq!(folder.run("check", PLAN).1, "plan 7 is in order: 20 members, 2 stages\n");
    folder.write("whole.ini", &format!("{SETTINGS}{PLAN}"));
    assert_eq!(folder.run_with(&["check", "whole.ini"]).0, 0);
    let settings = PLAN.replace("program = 2026.12.2\nwire = 3, 4\n", "")
        + "[rollout settings]\nrules/cold_from = 0.2\n";
    assert_eq!(folder.run("check", &settings).0, 0);
    assert!(folder.run("plan", &settings).1.starts_with("plan 7: settings [rules] cold_from = 0.2\n"));
}

#[test]
fn what_is_wrong_is_refused_with_place_and_reason() {
    let folder = Folder::new();
    let refused = |from: &str, to: &str, why: &str| {
        assert!(PLAN.contains(from));
        for verb in ["check", "plan"] {
            let (code, said, complained) = folder.run(verb, &PLAN.replacen(from, to, 1));
            assert_eq!((code, said.as_str()), (2, ""), "{complained}");
            assert_eq!(complained, format!("badgerledge-rollout: plan.ini:{why}\n"));
        }
    };
    refused(
        "0.1, 1\n",
        "0.1, 0.1\n",
        "7: [rollout] shares = 0.1, 0.1: stage 2 has the share 0.1: one over that of the stage before it \
         and up to 1 is taken",
    );
    refused(
        "0.1, 1\n",
        "0.1, 0.2, 1\n",
        "8: [rollout] at_least_s = 60, 30: one duration for each of the shares is taken",
    );
    refused(
        "0.1, 1\n",
        "0.1, 0.9\n",
        "7: [rollout] shares = 0.1, 0.9: the last stage ends at 0.9 of the fleet; it must end at 1",
    );
    refused("60, 30", "60, 0", "8: [rollout] at_least_s = 60, 0: must be between 1 and 86400");
    refused(
        "south 10-19",
        "west 10-19",
        "5: [rollout] fleet = north 0-9, west 10-19: there is no zone west; there are north south",
    );
    refused("last = 4", "last = 20", "6: [rollout] last = 20: member 20 is to be last, and is no member");
    refused(
        "[rollout]",
        "[roll]",
        "1: [roll]: no such section; known sections are controller, gossip, revisions, distribution, \
             fleet, ladder, room_type, rules, permissions, prices, crossing, rollout, title",
    );
}

#[test]
fn settings_that_can_not_go_in_stages_are_refused() {
    let folder = Folder::new();
    let settings = PLAN.replace("program = 2026.12.2\nwire = 3, 4\n", "") + "[rollout settings]\n";
    let refused = |line: &str, why: &str| {
        let (code, _, complained) = folder.run("check", &format!("{settings}{line}\n"));
        assert_eq!(code, 2);
        assert!(complained.starts_with("badgerledge-rollout: "), "{complained}");
        assert!(complained.contains(why), "{complained}");
    };
    refused(
        "ladder/rates_kb = 100, 300",
        "plan.ini:11: [rollout settings] ladder/rates_kb = 100, 300: this key is exclusive",
    );
    refused(
        "rules/warm_up = 1",
        "plan.ini:11: [rollout settings] rules/warm_up = 1: there is no such setting",
    );
    refused(
        "prices/moves = 1",
        "plan.ini:11: [rollout settings] prices/moves = 1: the settings have no such section",
    );
    // What the settings would be is checked as a whole, and what is wrong is named as it stands there.
    refused("room_type clip/floor = 2", "the settings as plan.ini changes them");
    refused("room_type clip/floor = 2", "[room_type clip] floor");
}

#[test]
fn what_is_not_there_is_told_without_a_panic() {
    let folder = Folder::new();
    let (code, _, complained) = folder.run_with(&["check", "nowhere.ini"]);
    assert!(code == 2 && complained.starts_with("badgerledge-rollout: nowhere.ini: "), "{complained}");
    folder.write("plan.ini", PLAN);
    let (code, _, complained) = folder.run_with(&["check", "plan.ini"]);
    assert!(code == 2 && complained.contains("[fleet]: this section is missing"), "{complained}");
    let (code, _, complained) = folder.run_with(&["plan", "plan.ini", "--asked-per-s", "0"]);
    assert!(code == 1 && complained.contains("a number over 0 is taken"), "{complained}");
}
