//! Ports that are named while processes are started all the time.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::Mutex;

use crate::ports::{free_port, ports_in_use};

/// Guards against a port that a process started by another thread still holds: each named port can be
/// bound at once, while processes are started all the time.
#[test]
fn named_ports_are_distinct_and_can_be_bound_while_processes_start() {
    let named = Mutex::new(BTreeSet::new());
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..50 {
                    let at = free_port().unwrap();
                    drop(TcpListener::bind(at).unwrap());
                    assert!(named.lock().unwrap().insert(at.port()), "{at} was named before");
                }
            });
            scope.spawn(|| {
                for _ in 0..50 {
                    std::process::Command::new("true").status().unwrap();
                }
            });
        }
    });
}

#[test]
fn a_bound_port_is_in_use() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    assert!(ports_in_use().unwrap().contains(&listener.local_addr().unwrap().port()));
}
