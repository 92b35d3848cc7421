//! The operators' commands.

use crate::harness::{Harness, GENESIS};

/// Standard output followed by standard error.
fn output_text(output: &std::process::Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn status_watch_and_diff_show_the_current_state() {
    let harness = Harness::new();
    let relay = harness.relay(3).to_string();
    harness.push(3, "latest", 1, 13);
    let watch = harness.verb(&["watch", "--relay", &relay, "--revision", "1", "--wait", "18"]);
    assert!(
        watch.status.success() && output_text(&watch).contains("revision 1 is in force"),
        "{}",
        output_text(&watch)
    );
    let later = harness.verb(&["watch", "--relay", &relay, "--revision", "2", "--wait", "0"]);
    assert_eq!(later.status.code(), Some(3), "{}", output_text(&later));
    let status = harness.verb(&["status", "--json", "--relay", &relay, &harness.relay(0).to_string()]);
    let lines: Vec<serde_json::Value> =
        output_text(&status).lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 2);
    assert_eq!((&lines[0]["machine"], &lines[0]["certified"]), (&3.into(), &1.into()));
    assert_eq!((&lines[1]["acceptor"], &lines[1]["root"]), (&true.into(), &lines[0]["root"]));
    let table = harness.verb(&["status", "--relay", &relay]);
    assert!(output_text(&table).contains("certified   1\n"), "{}", output_text(&table));
    // `diff` prints the form that `change` takes.
    let (from, to) = (harness.path("from.ini"), harness.path("to.ini"));
    std::fs::write(&from, GENESIS).unwrap();
    std::fs::write(&to, GENESIS.replace("racks = 4", "racks = 5")).unwrap();
    let diff = harness.verb(&["diff", &from.display().to_string(), &to.display().to_string()]);
    assert_eq!(output_text(&diff), "[set fleet]\nracks = 5\n");
}

#[test]
fn check_prints_all_errors_and_found_does_not_overwrite() {
    let mut harness = Harness::new();
    let settings = harness.settings(1);
    let good = harness.verb(&["check", &settings]);
    assert!(
        good.status.success() && output_text(&good).contains("3 of them acceptors"),
        "{}",
        output_text(&good)
    );
    assert!(!harness.verb(&["found", &settings]).status.success(), "the state exists");
    assert!(!harness.verb(&["found", &harness.settings(4)]).status.success(), "not an acceptor");
    harness.kill(1);
    let text = std::fs::read_to_string(&settings).unwrap();
    std::fs::write(&settings, text.replace("member-1.key", "member-2.key")).unwrap();
    std::fs::write(harness.path("genesis.ini"), GENESIS.replace("cells = 12", "cells = many")).unwrap();
    let bad = harness.verb(&["check", &settings]);
    let lines = output_text(&bad);
    assert!(!bad.status.success());
    assert!(lines.contains("expected the key of member 1"), "{lines}");
    assert!(lines.contains("[fleet] cells = many"), "{lines}");
}
