//! The book beside a plain map on generated lines, and a small test for each failure.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::{Health, Listing, Start, StreamerId};
use quickcheck::Gen;
use serde_json::{json, Value};

use crate::{health_word, Backoff, ListBook, ListFault, Sink};

/// What the module would hold.
#[derive(Default)]
struct Held {
    streamers: BTreeMap<StreamerId, (Health, Duration)>,
    named: Vec<StreamerId>,
}

impl Sink for Held {
    fn list_begins(&mut self, _how: Listing) {
        self.named.clear();
    }

    fn list_entry(
        &mut self, id: StreamerId, _zone: u16, _kind: usize, _cell: u32, health: Health, _weight: f64,
        came_up: Start,
    ) {
        self.streamers.insert(id, (health, came_up.at));
        self.named.push(id);
    }

    fn list_ends(&mut self, how: Listing) {
        if matches!(how, Listing::Complete | Listing::Cached) {
            self.streamers.retain(|id, _| self.named.contains(id));
        }
        self.streamers.retain(|_, (health, _)| *health != Health::Gone);
    }
}

fn entry(port: u64, health: &str, start: u64, age: Option<u64>) -> Value {
    json!([format!("127.0.0.1:{port}"), 0, 0, port, health, 1.5, start, age])
}

fn line(how: &str, from: u64, revision: u64, entries: &[Value]) -> Vec<u8> {
    json!({"how": how, "epoch": 9, "from": from, "revision": revision, "entries": entries})
        .to_string()
        .into_bytes()
}

const NOW: Duration = Duration::from_secs(1000);

#[test]
fn the_book_agrees_with_a_plain_map_on_generated_lines() {
    let mut gen = Gen::from_size_and_seed(50, 11);
    let (mut book, mut held, mut plain) = (ListBook::default(), Held::default(), BTreeMap::new());
    let (mut revision, mut faults) = (0, 0);
    for _ in 0..3000 {
        let port = u64::from(*gen.choose(&[1u8, 2, 3, 4, 5]).unwrap());
        let health = *gen.choose(&[Health::Ready, Health::Draining, Health::Gone]).unwrap();
        let entries = [entry(port, health_word(health), 1, Some(5))];
        let complete = *gen.choose(&[true, false, false]).unwrap();
        // Some lines come twice, some are lost, some are old.
        let skip: u64 = *gen.choose(&[0, 0, 0, 0, 1, 5]).unwrap();
        let from = (revision + skip).saturating_sub(2 * (skip / 5));
        let told = line(if complete { "complete" } else { "changes" }, from, from + 1, &entries);
        match book.take(&told, NOW, &mut held) {
            Ok(_) => {
                if complete {
                    plain.clear();
                }
                match health {
                    Health::Gone => plain.remove(&port),
                    _ => plain.insert(port, health),
                };
                revision = from + 1;
            }
            Err(_) => faults += 1,
        }
        assert_eq!(book.revision(), revision);
        let mine: Vec<_> = book.entries().map(|(id, e)| (u64::from(id.port()), e.health)).collect();
        assert_eq!(mine, plain.iter().map(|(port, health)| (*port, *health)).collect::<Vec<_>>());
        let theirs: Vec<_> = held.streamers.iter().map(|(id, s)| (u64::from(id.port()), s.0)).collect();
        assert_eq!(mine, theirs);
    }
    assert!((100..2000).contains(&faults), "{faults} of 3000 lines were not to be taken");
}

#[test]
fn what_is_not_whole_changes_nothing() {
    let (mut book, mut held) = (ListBook::default(), Held::default());
    book.take(&line("complete", 0, 4, &[entry(1, "ready", 1, None)]), NOW, &mut held).unwrap();
    let before = book.clone();
    for bad in [
        b"{".to_vec(),
        line("changes", 3, 5, &[]),
        line("changes", 4, 3, &[]),
        line("changes", 4, 5, &[entry(2, "ready", 1, None), json!(["127.0.0.1:3", 0, 0])]),
        line("changes", 4, 5, &[entry(2, "well", 1, None)]),
        line("complete", 0, 5, &[json!(["127.0.0.1:3", 0, 0, 1, "ready", -1.0, 1, null])]),
    ] {
        assert!(book.take(&bad, NOW, &mut held).is_err());
        assert_eq!(book, before);
    }
    let gap = book.take(&line("changes", 7, 8, &[]), NOW, &mut held);
    assert_eq!(gap, Err(ListFault::Gap { from: 7, held: 4 }));
    assert_eq!(book.take(b"{\"how\":\"failed\"}", NOW, &mut held), Ok(Listing::Failed));
    assert_eq!((book, held.streamers.len()), (before, 1));
}

#[test]
fn a_start_keeps_its_time_and_a_new_one_has_its_own() {
    let (mut book, mut held) = (ListBook::default(), Held::default());
    let mut take = |how, from, entries: &[Value], at: u64| {
        book.take(&line(how, from, from + 1, entries), Duration::from_millis(at), &mut held).unwrap();
        held.streamers.values().next().unwrap().1.as_millis()
    };
    assert_eq!(take("complete", 0, &[entry(1, "ready", 7, Some(2000))], 10_000), 8000);
    assert_eq!(take("changes", 1, &[entry(1, "draining", 7, Some(2900))], 11_000), 8000);
    assert_eq!(take("changes", 2, &[entry(1, "ready", 8, Some(500))], 12_000), 11_500);
}

#[test]
fn the_stored_copy_comes_back_on_another_clock() {
    let (mut book, mut held) = (ListBook::default(), Held::default());
    let entries = [entry(1, "ready", 7, Some(3000)), entry(2, "draining", 1, None)];
    book.take(&line("complete", 0, 4, &entries), NOW, &mut held).unwrap();
    let wall = Duration::from_secs(1_700_000_000);
    let text = book.store(NOW, wall);
    let after = ListBook::restore(&text, Duration::from_secs(3600), wall + Duration::from_secs(2)).unwrap();
    let up: Vec<_> = after.entries().map(|(_, entry)| entry.came_up).collect();
    assert_eq!(up, [Duration::from_secs(3595), Duration::ZERO]);
    assert_eq!(after.revision(), 4);
    let back = ListBook::restore(&text, NOW, wall - Duration::from_secs(60)).unwrap();
    assert_eq!(back.entries().next().unwrap().1.came_up, NOW, "a clock that went back makes it cold");
    for torn in [&text[..text.len() / 2], "", "{\"version\":2}", "{\"version\":1}"] {
        assert!(ListBook::restore(torn, NOW, wall).is_err());
    }
    let mut again = Held::default();
    after.tell_cached(&mut again);
    assert_eq!(again.streamers.len(), 2);
}

#[test]
fn waits_double_to_a_bound_and_differ_by_seed() {
    let (first, most) = (Duration::from_millis(100), Duration::from_secs(5));
    let waits = |seed| {
        let mut backoff = Backoff::new(first, most, seed);
        (0..20).map(|_| backoff.wait()).collect::<Vec<_>>()
    };
    let (one, other) = (waits(1), waits(2));
    assert_ne!(one, other);
    for (n, wait) in one.iter().enumerate() {
        let whole = (first * (1 << n.min(10))).min(most);
        assert!(*wait >= whole / 2 && *wait <= whole, "wait {n} is {wait:?}");
    }
}
