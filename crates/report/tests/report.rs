//! The program on stored accounts: merged, in each form, with a torn file passed over.

use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use badgerledge_accounts::{encode_file, Accounts, Key, Source, TrafficCounters};

fn key(from: &str, to: &str, room_type: &str) -> Key {
    Key { from: from.to_owned(), to: to.to_owned(), room_type: room_type.to_owned() }
}

fn store(folder: &Path, file: &str, accounts: &Accounts) {
    std::fs::create_dir_all(folder).unwrap();
    std::fs::write(folder.join(file), encode_file(&accounts.encode())).unwrap();
}

fn report(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_badgerledge-report")).args(arguments).output().unwrap()
}

fn printed(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Two controllers, of which the second is stored twice, the later torn.
fn stored() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let media = |bytes| TrafficCounters {
        media_bytes: bytes,
        set_ups: 1,
        subscription_ms: 1500,
        ..TrafficCounters::default()
    };
    let mut one = Accounts::default();
    let ledger = one.ledger(Source { controller: 0, account: 1 });
    ledger.count(Duration::from_secs(100), &key("north", "south", "clip"), 7, &media(1000));
    ledger.count(Duration::from_secs(115), &key("south", "south", "clip"), 8, &media(500));
    store(&folder.path().join("one"), "accounts-a", &one);
    let mut two = Accounts::default();
    let ledger = two.ledger(Source { controller: 1, account: 2 });
    ledger.count(Duration::from_secs(101), &key("north", "south", "clip"), 7, &media(250));
    ledger.count(Duration::from_secs(125), &key("south", "north", "show, paid"), 9, &media(40));
    store(&folder.path().join("two"), "accounts-a", &two);
    std::fs::write(folder.path().join("two/accounts-b"), &encode_file(&two.encode())[..60]).unwrap();
    folder
}

#[test]
fn accounts_are_merged_and_printed_in_each_form() {
    let folder = stored();
    let at = |name: &str| folder.path().join(name).display().to_string();
    let (one, two) = (at("one"), at("two"));
    // The first is named twice: that changes nothing.
    let csv = report(&[&one, &two, &one, "--form", "csv"]);
    assert!(csv.status.success());
    assert_eq!(
        printed(&csv),
        "from,to,room_type,media_bytes,control_bytes,unseen_bytes,unseen_error,subscription_s,set_ups\r\n\
         north,south,clip,1250,0,0,0,3.0,2\r\n\
         south,north,\"show, paid\",40,0,0,0,1.5,1\r\n\
         any,other,clip,1250,0,0,0,3.0,2\r\n\
         any,other,\"show, paid\",40,0,0,0,1.5,1\r\n"
    );
    let json = printed(&report(&[&one, &two, "--form", "json", "--by", "window", "--all"]));
    let lines: Vec<serde_json::Value> =
        json.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 3);
    assert_eq!(
        (lines[0]["window_start"].as_u64(), lines[0]["media_bytes"].as_u64()),
        (Some(100), Some(1250))
    );
    let titles = printed(&report(&[&one, &two, "--by", "title"]));
    let rows: Vec<Vec<&str>> = titles.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(rows, [["title", "bytes", "over_by_at_most"], ["7", "1250", "0"], ["9", "40", "0"]]);
    let table = printed(&report(&[&one, &two]));
    assert!(table.lines().all(|line| line.len() == table.lines().next().unwrap().len()), "{table}");
}

#[test]
fn a_chart_is_drawn_with_its_axes_named() {
    let folder = stored();
    let chart = folder.path().join("crossed.svg");
    let source = folder.path().join("one").display().to_string();
    assert!(report(&[&source, "--chart", &chart.display().to_string()]).status.success());
    let svg = std::fs::read_to_string(chart).unwrap();
    for words in ["kB a second", "seconds since the first window", "clip", "<polyline"] {
        assert!(svg.contains(words), "{words} is not in the chart");
    }
}

#[test]
fn what_cannot_be_read_is_told_and_the_rest_is_printed() {
    let folder = stored();
    let one = folder.path().join("one").display().to_string();
    let some = report(&[&one, "127.0.0.1:1", "/nowhere/at/all"]);
    assert_eq!(some.status.code(), Some(1));
    assert!(printed(&some).contains("1000"));
    let told = String::from_utf8(some.stderr).unwrap();
    assert!(told.contains("127.0.0.1:1: ") && told.contains("neither an address nor a folder"), "{told}");
    assert_eq!(report(&["/nowhere/at/all"]).status.code(), Some(2));
}
