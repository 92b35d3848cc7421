//! Gossip among controllers: they find each other through a seed, and the ring of keys decides whose messages
//! are accepted.

use std::net::SocketAddr;
use std::path::Path;

use badgerledge_keys::{PrivateKey, Role};
use badgerledge_standins::free_port;
use rustix::process::Signal;

use crate::harness::{Controller, Environment};

const ALIVE: &str = "badgerledge_members{standing=\"alive\"}";

/// Writes a key for each of three controllers, and their ring.
fn keys(folder: &Path) -> Vec<String> {
    let mut public = Vec::new();
    for member in 0..3 {
        let key = PrivateKey::make(Role::Member(member)).unwrap();
        key.write(&folder.join(format!("key-{member}"))).unwrap();
        public.push(key.public());
    }
    write_ring(folder, &public, &[]);
    public
}

/// Replaces the ring in one step.
fn write_ring(folder: &Path, public: &[String], revoked: &[usize]) {
    let line = |(member, key): (usize, &String)| {
        let revoked = if revoked.contains(&member) { format!("revoked = {key}\n") } else { String::new() };
        format!("[member {member}]\nkeys = {key}\n{revoked}")
    };
    let text: String = public.iter().enumerate().map(line).collect();
    std::fs::write(folder.join("fresh"), text).unwrap();
    std::fs::rename(folder.join("fresh"), folder.join("ring.ini")).unwrap();
}

/// Starts a controller that gossips.
fn start(list: SocketAddr, folder: &Path, member: usize, at: SocketAddr, seed: SocketAddr) -> Controller {
    let folder = folder.display();
    let more = format!(
        "number = {member}\ncontrollers = 3\n[gossip]\nlisten = {at}\nseeds = {seed}\nring = {folder}/ring.ini\n\
         key = {folder}/key-{member}\n"
    );
    Controller::start(list, &more)
}

#[test]
fn three_controllers_find_each_other_and_a_revoked_one_is_removed_without_a_restart() {
    let environment = Environment::new(true);
    let folder = tempfile::tempdir().unwrap();
    let public = keys(folder.path());
    let at: Vec<SocketAddr> = (0..3).map(|_| free_port().unwrap()).collect();
    let mut controllers: Vec<Controller> =
        (0..3).map(|member| start(environment.list, folder.path(), member, at[member], at[0])).collect();
    controllers.iter().for_each(|controller| controller.wait_metric(ALIVE, |alive| alive == 3.0));
    // A controller that is killed and restarted is considered alive again, whatever state the others had for
    // it.
    controllers[1].kill_and_restart();
    controllers.iter().for_each(|controller| controller.wait_metric(ALIVE, |alive| alive == 3.0));
    // A truncated ring changes nothing.
    std::fs::write(folder.path().join("ring.ini"), "[member 0]\nkeys = 12").unwrap();
    controllers[0].wait_log("keeping the previous keys");
    assert_eq!(controllers[0].metric(ALIVE), Some(3.0));
    write_ring(folder.path(), &public, &[2]);
    controllers[..2].iter().for_each(|controller| controller.wait_metric(ALIVE, |alive| alive == 2.0));
    controllers[0]
        .wait_metric("badgerledge_gossip_dropped_total{why=\"from a member without a key\"}", |count| {
            count >= 1.0
        });
    // A controller that stops in order announces it.
    controllers[1].signal(Signal::TERM);
    assert!(controllers[1].exits_successfully());
    controllers[0].wait_metric("badgerledge_members{standing=\"left\"}", |left| left == 1.0);
}

#[test]
fn a_controller_refuses_a_world_readable_key_and_the_key_of_another() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().unwrap();
    keys(folder.path());
    let path = folder.path().join("key-0");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o644)).unwrap();
    let log = crate::harness::startup_failure(&gossip_section(folder.path(), 0));
    assert!(log.contains("others may read this private key"), "{log}");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
    std::fs::copy(folder.path().join("key-1"), &path).unwrap();
    let log = crate::harness::startup_failure(&gossip_section(folder.path(), 0));
    assert!(log.contains("the key of member 1, not of this controller, 0"), "{log}");
}

/// Settings of a member whose ring and key are in a folder.
fn gossip_section(folder: &Path, member: usize) -> String {
    let folder = folder.display();
    format!(
        "number = {member}\ncontrollers = 3\n[gossip]\nlisten = 127.0.0.1:0\nring = {folder}/ring.ini\n\
         key = {folder}/key-{member}\n"
    )
}
