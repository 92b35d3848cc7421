//! Parts of the simulator and of the rig by themselves.

use std::time::Duration;

use crate::hollow::pages::Page;
use crate::observations::{Meter, Seconds};
use crate::scenario::{Network, Scenario};
use crate::simulation::connections::{Arrival, Connections, End, OPENER, TAKER};
use crate::simulation::network::{wire_bytes, Paths};
use crate::simulation::queue::Queue;

use super::scenarios::days;

fn paths(loss: f64) -> Paths {
    let scenario = Scenario::read(&days().join("scale-steady.ini")).unwrap();
    Paths::new(Network { loss, ..scenario.network }, scenario.fleet, 7)
}

fn connection(connections: &mut Connections) -> u64 {
    connections.add([End::Tool(0), End::Machine(1)], [0, 2], [0, 1])
}

#[test]
fn events_come_by_time_and_then_in_their_order() {
    let mut queue = Queue::default();
    [(2, 'c'), (1, 'a'), (2, 'd'), (1, 'b')]
        .iter()
        .for_each(|(s, e)| queue.push(Duration::from_secs(*s), *e));
    let order: Vec<char> =
        std::iter::from_fn(|| queue.pop(Duration::from_secs(2))).map(|event| event.1).collect();
    assert_eq!(order, ['a', 'b', 'c', 'd']);
    queue.push(Duration::from_secs(3), 'e');
    assert!(queue.pop(Duration::from_secs(2)).is_none());
}

#[test]
fn a_stream_keeps_its_order_and_a_lost_segment_costs_a_retransmission() {
    let (mut paths, mut connections) = (paths(0.2), Connections::default());
    let id = connection(&mut connections);
    let mut last = Duration::ZERO;
    let mut late = 0;
    for n in 0..200 {
        let now = Duration::from_millis(n * 400);
        let due = connections.send(&mut paths, now, id, OPENER, Some(vec![n as u8; 100])).unwrap();
        assert!(due.at >= last && due.side == TAKER);
        assert!(due.at >= now + Duration::from_millis(80));
        late += u32::from(due.at > now + Duration::from_millis(280));
        last = due.at;
    }
    // One in five is lost, and holds up what comes behind it.
    assert!((20..120).contains(&late), "{late}");
}

#[test]
fn what_is_sent_into_a_cut_waits_for_its_end_and_is_given_up_in_time() {
    let (mut paths, mut connections) = (paths(0.0), Connections::default());
    let (first, second) = (connection(&mut connections), connection(&mut connections));
    paths.cut(0);
    let begun = Duration::from_secs(10);
    assert!(connections.send(&mut paths, begun, first, OPENER, Some(vec![1])).is_none());
    assert!(connections.send(&mut paths, begun, first, OPENER, None).is_none());
    paths.heal(0);
    let dues = connections.healed(&mut paths, begun + Duration::from_secs(20));
    let arrivals: Vec<_> =
        dues.iter().map(|due| (&due.arrival, due.at >= begun + Duration::from_secs(20))).collect();
    assert_eq!(arrivals, [(&Arrival::Frame(vec![1]), true), (&Arrival::Closed, true)]);
    paths.cut(0);
    connections.send(&mut paths, begun, second, TAKER, Some(vec![1]));
    assert!(connections.given_up(begun + Duration::from_secs(900)).is_empty());
    assert_eq!(connections.given_up(begun + Duration::from_secs(930)).len(), 2);
}

#[test]
fn bytes_are_counted_with_their_headers_and_by_seconds() {
    assert_eq!((wire_bytes(100), wire_bytes(1448), wire_bytes(1449)), (140, 1488, 1529));
    let (mut meter, mut seconds) = (Meter::default(), Seconds::default());
    let at = Duration::from_secs_f64;
    meter.note(at(0.1), 100, true, &mut seconds);
    meter.note(at(0.9), 50, false, &mut seconds);
    meter.note(at(3.5), 70, true, &mut seconds);
    meter.roll(at(4.0), &mut seconds);
    assert_eq!(seconds.counts(), [(0, 2), (70, 1), (150, 1)]);
    assert_eq!((meter.bytes_in, meter.bytes_out, seconds.worst()), (170, 50, 150));
    assert_eq!(Seconds::of_counts(&seconds.counts()).counts(), seconds.counts());
}

#[test]
fn a_metric_is_summed_over_the_lines_that_have_a_label() {
    let page = Page::of(
        "HTTP\r\n\r\na_total{kind=\"x\",direction=\"in\"} 3\na_total{kind=\"y\",direction=\"in\"} 4\n\
                         a_total{direction=\"out\"} 9\na_total_more 100\nb 1.5\n",
    );
    assert_eq!(page.sum("a_total", "direction=\"in\""), Some(7.0));
    assert_eq!(page.sum("b", ""), Some(1.5));
    assert_eq!(page.sum("c", ""), None);
}
