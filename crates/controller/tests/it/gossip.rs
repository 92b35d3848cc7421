//! Controllers that gossip: they find each other by a seed, and keys decide who is heard.

use std::net::SocketAddr;
use std::path::Path;

use badgerledge_keys::{PrivateKey, Role};
use badgerledge_standins::free_port;
use rustix::process::Signal;

use crate::rig::{Backdrop, Controller};

const ALIVE: &str = "badgerledge_members{standing=\"alive\"}";

/// A key for each of three controllers, and their ring.
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

fn write_ring(folder: &Path, public: &[String], revoked: &[usize]) {
    let line = |(member, key): (usize, &String)| {
        let revoked = if revoked.contains(&member) { format!("revoked = {key}\n") } else { String::new() };
        format!("[member {member}]\nkeys = {key}\n{revoked}")
    };
    let text: String = public.iter().enumerate().map(line).collect();
    std::fs::write(folder.join("fresh"), text).unwrap();
    std::fs::rename(folder.join("fresh"), folder.join("ring.ini")).unwrap();
}

fn start(list: SocketAddr, folder: &Path, member: usize, at: SocketAddr, seed: SocketAddr) -> Controller {
    let folder = folder.display();
    let more = format!(
        "number = {member}\ncontrollers = 3\n[gossip]\nlisten = {at}\nseeds = {seed}\nring = {folder}/ring.ini\n\
         key = {folder}/key-{member}\n"
    );
    Controller::start(list, &more)
}

#[test]
fn three_find_each_other_and_a_revoked_one_is_gone_without_a_restart() {
    let backdrop = Backdrop::new(true);
    let folder = tempfile::tempdir().unwrap();
    let public = keys(folder.path());
    let at: Vec<SocketAddr> = (0..3).map(|_| free_port().unwrap()).collect();
    let mut all: Vec<Controller> =
        (0..3).map(|member| start(backdrop.list, folder.path(), member, at[member], at[0])).collect();
    all.iter().for_each(|one| one.wait_metric(ALIVE, |alive| alive == 3.0));
    // One that is killed and comes again is taken for alive again, whatever the others held it for.
    all[1].kill_and_restart();
    all.iter().for_each(|one| one.wait_metric(ALIVE, |alive| alive == 3.0));
    // A ring that is torn changes nothing.
    std::fs::write(folder.path().join("ring.ini"), "[member 0]\nkeys = 12").unwrap();
    all[0].wait_log("the keys read before go on holding");
    assert_eq!(all[0].metric(ALIVE), Some(3.0));
    write_ring(folder.path(), &public, &[2]);
    all[..2].iter().for_each(|one| one.wait_metric(ALIVE, |alive| alive == 2.0));
    all[0].wait_metric("badgerledge_gossip_dropped_total{why=\"from a member without a key\"}", |n| n >= 1.0);
    // One that ends in order says so.
    all[1].signal(Signal::TERM);
    assert!(all[1].wait_end());
    all[0].wait_metric("badgerledge_members{standing=\"left\"}", |left| left == 1.0);
}

#[test]
fn a_key_that_others_can_read_or_that_is_anothers_is_not_begun_with() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().unwrap();
    keys(folder.path());
    let path = folder.path().join("key-0");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o644)).unwrap();
    let told = crate::rig::not_begun(&gossip_section(folder.path(), 0));
    assert!(told.contains("others may read this private key"), "{told}");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
    std::fs::copy(folder.path().join("key-1"), &path).unwrap();
    let told = crate::rig::not_begun(&gossip_section(folder.path(), 0));
    assert!(told.contains("the key of member 1, not of this controller, 0"), "{told}");
}

fn gossip_section(folder: &Path, member: usize) -> String {
    let folder = folder.display();
    format!(
        "number = {member}\ncontrollers = 3\n[gossip]\nlisten = 127.0.0.1:0\nring = {folder}/ring.ini\n\
         key = {folder}/key-{member}\n"
    )
}
