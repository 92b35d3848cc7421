//! The list compared with a simple map on generated messages, and single cases of failures.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::{Health, Listing, Start, StreamerId};
use quickcheck::Gen;
use serde_json::{json, Value};

use crate::{health_name, Backoff, ListFault, Sink, StreamerList};

/// What the receiver of the entries stores.
#[derive(Default)]
struct SinkRecord {
    streamers: BTreeMap<StreamerId, (Health, Duration)>,
    named: Vec<StreamerId>,
}

impl Sink for SinkRecord {
    fn list_begins(&mut self, _how: Listing) {
        self.named.clear();
    }

    fn list_entry(
        &mut self, id: StreamerId, _zone: u16, _kind: usize, _cell: u32, health: Health, _weight: f64,
        start: Start,
    ) {
        self.streamers.insert(id, (health, start.at));
        self.named.push(id);
    }

    fn list_ends(&mut self, listing: Listing) {
        if matches!(listing, Listing::Complete | Listing::Cached) {
            self.streamers.retain(|id, _| self.named.contains(id));
        }
        self.streamers.retain(|_, (health, _)| *health != Health::Gone);
    }
}

fn entry(port: u64, health: &str, start: u64, age: Option<u64>) -> Value {
    json!([format!("127.0.0.1:{port}"), 0, 0, port, health, 1.5, start, age])
}

fn message_line(how: &str, from: u64, revision: u64, entries: &[Value]) -> Vec<u8> {
    json!({"how": how, "epoch": 9, "from": from, "revision": revision, "entries": entries})
        .to_string()
        .into_bytes()
}

const NOW: Duration = Duration::from_secs(1000);

#[test]
fn list_agrees_with_a_simple_map_on_generated_messages() {
    let mut gen = Gen::from_size_and_seed(50, 11);
    let (mut list, mut recorded, mut expected) =
        (StreamerList::default(), SinkRecord::default(), BTreeMap::new());
    let (mut revision, mut faults) = (0, 0);
    for _ in 0..3000 {
        let port = u64::from(*gen.choose(&[1u8, 2, 3, 4, 5]).unwrap());
        let health = *gen.choose(&[Health::Ready, Health::Draining, Health::Gone]).unwrap();
        let entries = [entry(port, health_name(health), 1, Some(5))];
        let complete = *gen.choose(&[true, false, false]).unwrap();
        // Some messages are repeated, some are lost, some are old.
        let gap: u64 = *gen.choose(&[0, 0, 0, 0, 1, 5]).unwrap();
        let from = (revision + gap).saturating_sub(2 * (gap / 5));
        let message = message_line(if complete { "complete" } else { "changes" }, from, from + 1, &entries);
        match list.apply(&message, NOW, &mut recorded) {
            Ok(_) => {
                if complete {
                    expected.clear();
                }
                match health {
                    Health::Gone => expected.remove(&port),
                    _ => expected.insert(port, health),
                };
                revision = from + 1;
            }
            Err(_) => faults += 1,
        }
        assert_eq!(list.revision(), revision);
        let own_entries: Vec<_> = list.entries().map(|(id, e)| (u64::from(id.port()), e.health)).collect();
        assert_eq!(own_entries, expected.iter().map(|(port, health)| (*port, *health)).collect::<Vec<_>>());
        let recorded_entries: Vec<_> =
            recorded.streamers.iter().map(|(id, s)| (u64::from(id.port()), s.0)).collect();
        assert_eq!(own_entries, recorded_entries);
    }
    assert!((100..2000).contains(&faults), "{faults} of 3000 messages were rejected");
}

#[test]
fn invalid_messages_change_nothing() {
    let (mut list, mut recorded) = (StreamerList::default(), SinkRecord::default());
    list.apply(&message_line("complete", 0, 4, &[entry(1, "ready", 1, None)]), NOW, &mut recorded).unwrap();
    let before = list.clone();
    for invalid in [
        b"{".to_vec(),
        message_line("changes", 3, 5, &[]),
        message_line("changes", 4, 3, &[]),
        message_line("changes", 4, 5, &[entry(2, "ready", 1, None), json!(["127.0.0.1:3", 0, 0])]),
        message_line("changes", 4, 5, &[entry(2, "well", 1, None)]),
        message_line("complete", 0, 5, &[json!(["127.0.0.1:3", 0, 0, 1, "ready", -1.0, 1, null])]),
    ] {
        assert!(list.apply(&invalid, NOW, &mut recorded).is_err());
        assert_eq!(list, before);
    }
    let gap = list.apply(&message_line("changes", 7, 8, &[]), NOW, &mut recorded);
    assert_eq!(gap, Err(ListFault::Gap { from: 7, current: 4 }));
    assert_eq!(list.apply(b"{\"how\":\"failed\"}", NOW, &mut recorded), Ok(Listing::Failed));
    assert_eq!((list, recorded.streamers.len()), (before, 1));
}

#[test]
fn known_start_keeps_its_time_and_new_start_gets_its_own() {
    let (mut list, mut recorded) = (StreamerList::default(), SinkRecord::default());
    let mut take = |how, from, entries: &[Value], at: u64| {
        list.apply(&message_line(how, from, from + 1, entries), Duration::from_millis(at), &mut recorded)
            .unwrap();
        recorded.streamers.values().next().unwrap().1.as_millis()
    };
    assert_eq!(take("complete", 0, &[entry(1, "ready", 7, Some(2000))], 10_000), 8000);
    assert_eq!(take("changes", 1, &[entry(1, "draining", 7, Some(2900))], 11_000), 8000);
    assert_eq!(take("changes", 2, &[entry(1, "ready", 8, Some(500))], 12_000), 11_500);
}

#[test]
fn stored_copy_is_restored_on_another_clock() {
    let (mut list, mut recorded) = (StreamerList::default(), SinkRecord::default());
    let entries = [entry(1, "ready", 7, Some(3000)), entry(2, "draining", 1, None)];
    list.apply(&message_line("complete", 0, 4, &entries), NOW, &mut recorded).unwrap();
    let wall_clock = Duration::from_secs(1_700_000_000);
    let text = list.store(NOW, wall_clock);
    let restored =
        StreamerList::restore(&text, Duration::from_secs(3600), wall_clock + Duration::from_secs(2)).unwrap();
    let started_at: Vec<_> = restored.entries().map(|(_, entry)| entry.started_at).collect();
    assert_eq!(started_at, [Duration::from_secs(3595), Duration::ZERO]);
    assert_eq!(restored.revision(), 4);
    let restored_after_clock_went_back =
        StreamerList::restore(&text, NOW, wall_clock - Duration::from_secs(60)).unwrap();
    assert_eq!(
        restored_after_clock_went_back.entries().next().unwrap().1.started_at,
        NOW,
        "after the clock went back it counts as cold"
    );
    for invalid in [&text[..text.len() / 2], "", "{\"version\":2}", "{\"version\":1}"] {
        assert!(StreamerList::restore(invalid, NOW, wall_clock).is_err());
    }
    let mut cached = SinkRecord::default();
    restored.pass_cached(&mut cached);
    assert_eq!(cached.streamers.len(), 2);
}

#[test]
fn delays_double_up_to_a_maximum_and_differ_by_seed() {
    let (initial_delay, max_delay) = (Duration::from_millis(100), Duration::from_secs(5));
    let delays_of = |seed| {
        let mut backoff = Backoff::new(initial_delay, max_delay, seed);
        (0..20).map(|_| backoff.wait()).collect::<Vec<_>>()
    };
    let (delays, other_delays) = (delays_of(1), delays_of(2));
    assert_ne!(delays, other_delays);
    for (n, wait) in delays.iter().enumerate() {
        let full_delay = (initial_delay * (1 << n.min(10))).min(max_delay);
        assert!(*wait >= full_delay / 2 && *wait <= full_delay, "wait {n} is {wait:?}");
    }
}
