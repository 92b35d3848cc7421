//! Races between two events, each forced on a controller process between stand-ins. The tests judge what
//! reaches the other sides, with the protocol's real time-outs.

use std::io::Read;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::process::Signal;
use serde_json::{json, Value};

use crate::harness::TIMEOUT;
use crate::platform_harness::{
    configuration, counted_name_service, list, name_service, v4, Controller, Streamer, Viewer, ACCEPTING,
    SILENT,
};

/// No attempt may begin for a viewer that left longer ago than this.
const LEFT_FOR: Duration = Duration::from_millis(100);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The number of offers among these messages.
fn offers(received: &[Value]) -> usize {
    received.iter().filter(|message| message["op"] == "offer").count()
}

/// Guards against attempts for viewers that have left. The close of a connection was read one iteration of
/// the event loop after the set-up in front of it, with a round of the module in between. A process that got
/// no CPU for a while then began the attempts of all viewers that had left meanwhile.
#[test]
fn no_attempt_begins_for_a_viewer_that_closes_behind_an_unread_set_up() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    controller.viewer().establish(9);
    streamer.take_received(LEFT_FOR);
    let mut viewers: Vec<_> = (0..30).map(|_| controller.viewer()).collect();
    // Waits until all connections are accepted.
    viewers.iter_mut().for_each(|viewer| viewer.send(52, 2, &[(75, "\0")]));
    viewers.iter_mut().for_each(|viewer| assert_eq!(viewer.receive().0, 53));
    controller.signal(Signal::STOP);
    for (viewer, wire_id) in viewers.iter_mut().zip(100..) {
        viewer.set_up(wire_id);
    }
    for (index, viewer) in viewers.into_iter().enumerate() {
        match index % 3 {
            0 => drop(viewer),
            1 => viewer.reset_on_drop(),
            // Kept open, so that its end is only a half-close.
            _ => {
                viewer.0.shutdown(Shutdown::Write).unwrap();
                std::mem::forget(viewer);
            }
        }
    }
    std::thread::sleep(LEFT_FOR * 2);
    controller.signal(Signal::CONT);
    assert_eq!(offers(&streamer.take_received(millis(500))), 0, "an attempt for a viewer that had left");
    controller.viewer().establish(10);
}

/// A process that got no CPU for a while reads what came meanwhile before it makes a further attempt, also if
/// the time for that attempt has come.
#[test]
fn no_attempt_begins_for_a_viewer_that_leaves_while_the_process_is_stopped() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    streamer.mode.store(SILENT, Ordering::SeqCst);
    for wire_id in 10..13 {
        let mut viewer = controller.viewer();
        viewer.set_up_with(wire_id, "4000", "v=0");
        // The first join has timed out, and the next one is due in a moment.
        streamer.wait_for("end", wire_id);
        controller.signal(Signal::STOP);
        drop(viewer);
        std::thread::sleep(LEFT_FOR * 2);
        controller.signal(Signal::CONT);
        assert_eq!(offers(&streamer.take_received(millis(500))), 0, "an attempt for a viewer that had left");
    }
}

/// A listener whose queue is full: the kernel drops new connections, which retry after a second.
fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let at = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&at, millis(200)) {
        queued.push(stream);
    }
    (listener, queued)
}

/// An attempt that waits for its connection must not go out once its viewer has left, in whichever way it
/// left.
#[test]
fn an_attempt_waiting_for_its_connection_is_cancelled_when_its_viewer_leaves() {
    let (listener, queued) = full_listener();
    let taken = listener.try_clone().unwrap();
    let mut streamer = Streamer::new(1);
    streamer.at = v4(&listener);
    let slow = |configuration: &mut Value| {
        configuration["settings"]["permissions"]["connectTimeoutUs"] = json!(20_000_000)
    };
    let controller = Controller::start_with(name_service(list(1, &[])), &[&streamer], slow);
    let mut viewers: Vec<_> = (0..4).map(|_| controller.viewer()).collect();
    for (viewer, wire_id) in viewers.iter_mut().zip(10..) {
        viewer.set_up_with(wire_id, "8000", "v=0");
    }
    std::thread::sleep(millis(200));
    viewers[0].cancel(10);
    controller.viewer().cancel(11);
    assert_eq!((viewers[1].receive().1, viewers[1].0.set_nonblocking(false).is_ok()), (11, true));
    viewers[2].0.shutdown(Shutdown::Write).unwrap();
    viewers.remove(3).reset_on_drop();
    std::thread::sleep(LEFT_FOR);
    // The queue is emptied: connections are established, but no offer may follow.
    drop(queued);
    let until = Instant::now() + millis(2500);
    taken.set_nonblocking(true).unwrap();
    let mut connections = Vec::new();
    while Instant::now() < until {
        connections.extend(taken.accept().ok());
        std::thread::sleep(millis(10));
    }
    assert!(!connections.is_empty(), "a connection was established");
    for (mut connection, _) in connections {
        connection.set_nonblocking(true).unwrap();
        let mut bytes = [0; 4096];
        let count = connection.read(&mut bytes).unwrap_or(0);
        assert!(
            !String::from_utf8_lossy(&bytes[..count]).contains("offer"),
            "an attempt for a viewer that had left"
        );
    }
}

/// Guards against further attempts for a set-up that was cancelled on another connection than its own. Its
/// own connection must get a final answer, so that a viewer whose set-up a stranger cancels still gets one.
#[test]
fn a_set_up_cancelled_on_another_connection_makes_no_further_attempt() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    streamer.mode.store(SILENT, Ordering::SeqCst);
    let mut viewer = controller.viewer();
    viewer.set_up(10);
    streamer.wait_for("offer", 10);
    controller.viewer().cancel(10);
    assert_eq!(viewer.receive(), (12, 10, vec![41]));
    assert_eq!(streamer.wait_for("end", 10)["why"], 16);
    // A further attempt would follow after three quarters of a second.
    assert_eq!(offers(&streamer.take_received(millis(1500))), 0);
}

/// Guards against a late answer ending the wrong join: an answer that arrived after its join had ended was
/// matched by its id, and ended the further join to the same streamer that had that id by then.
#[test]
fn a_late_answer_does_not_end_a_later_join_to_the_same_streamer() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    streamer.mode.store(SILENT, Ordering::SeqCst);
    let mut viewer = controller.viewer();
    viewer.set_up_with(10, "4000", "v=0");
    streamer.wait_for("offer", 10);
    streamer.wait_for("end", 10);
    streamer.wait_for("offer", 10);
    let answer = |by| json!({"op": "accept", "call": format!("{:016x}", 10), "with": {}, "desc": by});
    streamer.send_on(0, &answer("late"));
    std::thread::sleep(millis(100));
    assert_eq!(streamer.take_received(millis(200)), Vec::<Value>::new(), "nothing is ended");
    streamer.send_on(1, &answer("in time"));
    assert_eq!(viewer.receive(), (9, 10, b"in time".to_vec()));
    assert_eq!(streamer.take_received(millis(300)), Vec::<Value>::new(), "nothing is ended");
}

/// Guards against a process that exits as soon as it holds no subscription, while answers that a slow viewer
/// has not read are still unwritten.
#[test]
fn a_stopping_process_delivers_its_answers_before_it_exits() {
    let streamer = Streamer::new(1);
    let mut controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    let mut slow = controller.viewer();
    // Each answer carries a long description, until the connection takes no answer of a whole batch.
    let long = "v".repeat(12_000);
    let (mut request_count, mut received, mut ended) = (0, Vec::new(), 0);
    while ended < 40 {
        assert!(request_count < 2000, "the viewer's connection is full at some time");
        (request_count..request_count + 40).for_each(|wire_id| slow.set_up_with(wire_id, "8000", &long));
        request_count += 40;
        let batch = streamer.take_received(millis(300));
        ended = batch.iter().filter(|message| message["op"] == "end").count();
        received.extend(batch);
    }
    let ended = received.iter().filter(|message| message["op"] == "end").count();
    assert_eq!(offers(&received), request_count as usize, "all offers reached the streamer");
    controller.signal(Signal::TERM);
    let mut other = controller.viewer();
    (0..request_count).for_each(|wire_id| other.cancel(wire_id));
    // No subscription is left and nobody connects: only the slow viewer's output remains.
    std::thread::sleep(millis(2500));
    let mut bytes = Vec::new();
    slow.0.read_to_end(&mut bytes).unwrap();
    let (mut remaining, mut answers) = (&bytes[..], 0);
    while let Some(length) =
        remaining.get(..2).map(|bytes| usize::from(u16::from_be_bytes([bytes[0], bytes[1]])))
    {
        let frame = remaining.get(2..2 + length).expect("a whole frame");
        answers += usize::from(frame[0] == 9);
        remaining = &remaining[2 + length..];
    }
    assert_eq!(answers, request_count as usize - ended, "each answer that was sent is read");
    drop(slow);
    controller.exits_within(TIMEOUT);
}

/// A process that gets SIGTERM before it is ready must still serve the viewers that had connected, and exit
/// successfully.
#[test]
fn a_process_stopped_before_its_first_list_still_answers() {
    let streamer = Streamer::new(1);
    let silent = Arc::new(AtomicBool::new(true));
    let names = counted_name_service(list(2, &[&streamer]), Arc::default(), silent.clone());
    let mut controller = Controller::spawn(names, &[], |configuration| {
        configuration["known"] = json!({"pos": 0, "entries": []})
    });
    let started = Instant::now();
    while TcpStream::connect(controller.at).is_err() {
        assert!(started.elapsed() < TIMEOUT, "the process does not listen");
        std::thread::sleep(millis(10));
    }
    let mut viewer = controller.viewer();
    controller.signal(Signal::TERM);
    viewer.set_up(10);
    std::thread::sleep(millis(200));
    silent.store(false, Ordering::SeqCst);
    assert_eq!(viewer.receive().0, 9, "it waited for the list and is served");
    viewer.cancel(10);
    drop(viewer);
    controller.exits_within(TIMEOUT);
}

/// Guards against a process that exits while a release still waits for a connection of viewers.
#[test]
fn a_stopping_process_keeps_a_release_until_its_viewers_connect() {
    let streamer = Streamer::new(1);
    let mut controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    let mut viewer = controller.viewer();
    viewer.establish(10);
    drop(viewer);
    std::thread::sleep(millis(100));
    controller.signal(Signal::TERM);
    streamer.send(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 16}));
    // Neither a second SIGTERM nor a reload of the configuration changes this.
    std::thread::sleep(millis(1000));
    controller.signal(Signal::TERM);
    controller.signal(Signal::HUP);
    std::thread::sleep(millis(1500));
    let mut reconnected = controller.viewer();
    reconnected.set_up(11);
    let received = [reconnected.receive(), reconnected.receive()];
    assert!(received.contains(&(12, 10, vec![16])), "{received:?}");
    reconnected.cancel(11);
    drop(reconnected);
    controller.exits_within(TIMEOUT);
}

/// Guards against exceeding the limit of descriptors: all connections that arrived in one iteration of the
/// event loop were accepted before any was closed to make room. With no descriptor left, the configuration
/// could not be read. Discovery is down for the whole test.
#[test]
fn idle_clients_at_the_descriptor_limit_do_not_block_others_while_discovery_is_down() {
    const SOCKETS: usize = 64;
    let (first_streamer, second_streamer) = (Streamer::new(1), Streamer::new(2));
    let (query_count, silent) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
    silent.store(true, Ordering::SeqCst);
    let names = counted_name_service(list(2, &[&second_streamer]), query_count.clone(), silent.clone());
    let few = |configuration: &mut Value| configuration["limits"]["sockets"] = json!(SOCKETS);
    for start in 0..2 {
        let controller = Controller::start_with(names, &[&first_streamer], few);
        let stop = Arc::new(AtomicBool::new(false));
        // Crowds of clients connect at once, keep their connections, and reconnect as they are closed.
        let crowds: Vec<_> = (0..4)
            .map(|_| {
                let (at, stop) = (controller.at, stop.clone());
                std::thread::spawn(move || {
                    let mut connections = Vec::new();
                    while !stop.load(Ordering::SeqCst) {
                        connections.extend(TcpStream::connect_timeout(&at.into(), millis(100)).ok());
                        if connections.len() > 200 {
                            connections.drain(..100);
                        }
                    }
                })
            })
            .collect();
        let queries_before = query_count.load(Ordering::SeqCst);
        let mut max_descriptors = 0;
        for wire_id in 0..20 {
            // A front retries if its connection was closed before it was answered.
            let served = |_: &usize| {
                let mut viewer = Viewer(TcpStream::connect(controller.at).unwrap());
                viewer.0.set_read_timeout(Some(millis(3000))).unwrap();
                viewer.try_establish(1000 * start + wire_id)
            };
            assert!((0..3).any(|attempt| served(&attempt)), "set-up {wire_id} is served");
            max_descriptors = max_descriptors.max(controller.descriptors());
        }
        assert!(max_descriptors <= SOCKETS, "{max_descriptors} descriptors of {SOCKETS}");
        std::thread::sleep(millis(1000));
        assert!(query_count.load(Ordering::SeqCst) > queries_before + 3, "the name service is still asked");
        // A new configuration is read nevertheless, and the list comes from the name service that it names.
        let moved = name_service(list(3, &[&second_streamer]));
        let mut config = configuration(controller.at, moved, &[]);
        few(&mut config);
        controller.write_config(&config.to_string());
        controller.signal(Signal::HUP);
        let until = Instant::now() + TIMEOUT;
        // Each set-up has a new id.
        let mut new_ids = (start + 1) << 32..;
        while second_streamer.offers.lock().unwrap().len() <= start as usize {
            let mut viewer = Viewer(TcpStream::connect(controller.at).unwrap());
            viewer.0.set_read_timeout(Some(millis(3000))).unwrap();
            viewer.try_establish(new_ids.next().unwrap());
            assert!(Instant::now() < until, "the new list is in use");
        }
        stop.store(true, Ordering::SeqCst);
        crowds.into_iter().for_each(|crowd| crowd.join().unwrap());
    }
}

/// Guards against a lost end of a subscription: the connection of a viewer that was served longer ago was
/// closed to make room for a crowd, and nobody was notified of the end of what it played. Runs once with a
/// crowd that is refused and stays, once with one that sends nothing.
#[test]
fn a_crowd_of_connections_does_not_lose_the_end_of_a_playing_subscription() {
    const SOCKETS: usize = 64;
    const CROWD: u64 = 200;
    let streamer = Streamer::new(1);
    let few = |configuration: &mut Value| configuration["limits"]["sockets"] = json!(SOCKETS);
    for refused in [true, false] {
        let controller = Controller::start_with(name_service(list(1, &[])), &[&streamer], few);
        let mut viewer = controller.viewer();
        viewer.establish(10);
        // Waits for the crowd's answers, so that all are accepted; of those that send nothing many may wait
        // in the kernel.
        let _crowd: Vec<_> = (0..CROWD)
            .map(|index| {
                let mut other = controller.viewer();
                if refused {
                    other.set_up_with(1000 + index, "0", "no time to wait");
                    assert_eq!(other.receive().0, 12);
                }
                other
            })
            .collect();
        std::thread::sleep(millis(300));
        streamer.send(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 16}));
        assert_eq!(viewer.receive(), (12, 10, vec![16]), "refused: {refused}");
    }
}

/// A restarted process must be ready within ten seconds whatever the name service does, also with many of
/// them at once and with a configuration that holds no list.
#[test]
fn restarted_processes_are_ready_within_ten_seconds_while_discovery_is_down_or_slow() {
    let streamer = Streamer::new(1);
    let (query_count, silent) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
    silent.store(true, Ordering::SeqCst);
    let names = counted_name_service(list(2, &[&streamer]), query_count, silent.clone());
    let without_list = |configuration: &mut Value| configuration["known"] = json!({"pos": 0, "entries": []});
    let with_invalid_list = |configuration: &mut Value| {
        configuration["known"]["entries"][0]["hosts"]["members"][0]["phase"] = json!("odd")
    };
    let started = Instant::now();
    let mut processes: Vec<_> = (0..20).map(|_| Controller::spawn(names, &[&streamer], |_| {})).collect();
    processes.push(Controller::spawn(names, &[&streamer], without_list));
    processes.push(Controller::spawn(names, &[&streamer], with_invalid_list));
    let last = processes.iter().map(|controller| controller.wait_ready(TIMEOUT)).max();
    assert!(started.elapsed() < TIMEOUT, "the last one took {last:?}");
    // A process without a list refuses viewers with a retry delay; with the list it serves.
    let controller_without_list = &processes[20];
    let mut viewer = controller_without_list.viewer();
    viewer.set_up(10);
    assert_eq!(viewer.receive().0, 12);
    silent.store(false, Ordering::SeqCst);
    std::thread::sleep(millis(1000));
    viewer.establish(11);
}

/// Guards against ignoring a configuration that SIGHUP found half written: it was not read again, and
/// discovery kept its old address.
#[test]
fn a_configuration_half_written_at_sighup_is_read_once_it_is_complete() {
    let (first_streamer, second_streamer) = (Streamer::new(1), Streamer::new(2));
    let controller = Controller::start(name_service(list(1, &[])), &[&first_streamer]);
    let moved = name_service(list(3, &[&second_streamer]));
    let whole = configuration(controller.at, moved, &[]).to_string();
    controller.write_config(&whole[..whole.len() / 2]);
    controller.signal(Signal::HUP);
    controller.wait_log(&["WARN", "config.json"]);
    let mut viewer = controller.viewer();
    viewer.establish(10);
    first_streamer.wait_for("offer", 10);
    controller.write_config(&whole);
    controller.wait_log(&["configuration reread"]);
    std::thread::sleep(millis(500));
    viewer.establish(11);
    second_streamer.wait_for("offer", 11);
}

/// The warm-up budget of a cold streamer is shared by all processes. Each of 24 has more requests than it may
/// send, and the streamer counts the joins from all of them together.
#[test]
fn many_processes_together_do_not_overload_a_cold_streamer() {
    check_warm_up(24, Duration::ZERO);
}

/// The same with processes that started after the streamer, whose start time the list reports as late as it
/// may. Guards against a surge: each process joined the streamer as if it were warm, all at once.
#[test]
fn new_processes_do_not_overload_a_streamer_whose_start_is_reported_late() {
    check_warm_up(20, millis(1500));
}

/// Runs the warm-up of one streamer with this many processes, which start after the streamer if its start is
/// reported late.
fn check_warm_up(process_count: u64, report_delay: Duration) {
    const WARM_UP: Duration = Duration::from_secs(6);
    const WINDOW: Duration = Duration::from_secs(1);
    const PLACES: f64 = 30.0;
    let streamer = Streamer::new(1);
    let listed = list(1, &[&streamer]);
    let names = name_service(listed.clone());
    let change = |number: u64| {
        move |settings: &mut Value| {
            (settings["settings"]["balancers"], settings["settings"]["me"]) =
                (json!(process_count), json!(number));
            settings["seed"] = json!(format!("{:016x}", 77 + number));
            settings["settings"]["familyInfo"]["kindStreams"] = json!([PLACES]);
            settings["settings"]["obligations"] = json!({"coldFrom": 0.4, "coldUs": WARM_UP.as_micros() as u64,
                "tipAfterUs": WINDOW.as_micros() as u64, "tipMultiple": 2.0, "drainGraceUs": 500_000});
        }
    };
    let mut started = Instant::now();
    let start = |number| Controller::spawn(names, &[&streamer], change(number));
    let report_start = || {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - started.elapsed();
        let mut listed = listed.lock().unwrap();
        *listed = (listed.0 + 1, vec![(1, streamer.at, unix.as_millis() as u64)]);
    };
    let processes: Vec<_> = (0..process_count).map(start).collect();
    if report_delay.is_zero() {
        for process in &processes {
            process.wait_ready(TIMEOUT);
        }
        started = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        *listed.lock().unwrap() = (2, vec![(1, streamer.at, unix.as_millis() as u64)]);
        std::thread::sleep(millis(600));
    } else {
        let until = started + report_delay;
        std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
                report_start();
            });
            for process in &processes {
                scope.spawn(|| process.wait_ready(TIMEOUT));
            }
        });
    }
    let warm_up_end = started + WARM_UP - millis(100);
    std::thread::scope(|scope| {
        for (process, number) in processes.iter().zip(1..) {
            scope.spawn(move || {
                let mut viewer = process.viewer();
                for wire_id in 0.. {
                    if Instant::now() >= warm_up_end {
                        break;
                    }
                    // It is served or refused, and retries at once.
                    viewer.set_up(number * 1_000_000 + wire_id);
                    if viewer.receive().0 == 9 {
                        viewer.cancel(number * 1_000_000 + wire_id);
                    }
                }
            });
        }
    });
    let arrivals: Vec<_> =
        streamer.offers.lock().unwrap().iter().filter(|at| **at < warm_up_end).copied().collect();
    assert!(arrivals.len() >= 8, "only {} joins in a warm-up", arrivals.len());
    for last in &arrivals {
        let joins_in_window =
            arrivals.iter().filter(|at| *at <= last && **at + WINDOW > *last).count() as f64;
        let warm = 0.4 + 0.6 * (*last - started).as_secs_f64() / WARM_UP.as_secs_f64();
        let budget = 2.0 * PLACES / WARM_UP.as_secs_f64() * warm * WINDOW.as_secs_f64();
        let max_joins = budget + 2.0 * budget.sqrt() + 2.0;
        assert!(
            joins_in_window <= max_joins,
            "{joins_in_window} joins in a window {:?} after the start",
            *last - started
        );
    }
    assert_eq!(streamer.mode.load(Ordering::SeqCst), ACCEPTING);
}
