//! Orders of revisions at a controller that is a fleet of its own: what is not in order is refused with its reason, and
//! what was acted on is found again.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use badgerledge_deployment::kinds::canonical;
use badgerledge_keys::{PrivateKey, Role};
use badgerledge_revisions::requests::{self, Report, Request, Response};
use badgerledge_revisions::{Head, Signed};
use badgerledge_settings::Sheet;
use badgerledge_standins::free_port;

use crate::rig::{Backdrop, Controller, PATIENCE, SHARED};

fn asks(at: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut line = Vec::new();
    BufReader::new(&stream).read_until(b'\n', &mut line).unwrap();
    requests::parse_line(&line).unwrap().expect("an answer").0
}

pub fn report(at: SocketAddr) -> Report {
    match asks(at, &requests::encode_line(&Request::Status)) {
        Response::Status(report) => *report,
        other => panic!("{other:?}"),
    }
}

pub fn pushes(at: SocketAddr, author: &PrivateKey, number: u32, text: &str) -> Response {
    let before = hex::decode(report(at).digest).unwrap().try_into().unwrap();
    let head = Head::new(number, before, 0, text.as_bytes());
    let signed = Signed { head, signature: author.sign(&head.signed_bytes()) };
    let order = Request::Push { head: requests::to_hex(&signed), bytes: text.len() };
    asks(at, &[requests::encode_line(&order), text.as_bytes().to_vec()].concat())
}

/// The keys of a fleet of one controller that is its own keeper, and what its settings say of it.
pub struct Alone {
    pub author: PrivateKey,
    /// Where it takes orders.
    pub at: SocketAddr,
    pub settings: String,
    _folder: tempfile::TempDir,
}

impl Alone {
    pub fn new(revisions: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let key = |role: Role, name: &str| {
            let key = PrivateKey::make(role).unwrap();
            key.write(&folder.path().join(name)).unwrap();
            key
        };
        let (member, author) = (key(Role::Member(0), "key-0"), key(Role::Author(0), "author"));
        let (own, signs) = (member.public(), author.public());
        let ring = format!("[member 0]\nkeys = {own}\n[author 0]\nkeys = {signs}\n[keepers]\nmembers = 0\n");
        std::fs::write(folder.path().join("ring.ini"), ring).unwrap();
        let (at, path) = (free_port().unwrap(), folder.path().display());
        let settings = format!(
            "[gossip]\nlisten = {at}\nring = {path}/ring.ini\nkey = {path}/key-0\n[revisions]\n{revisions}"
        );
        Self { author, at, settings, _folder: folder }
    }
}

#[test]
fn orders_are_refused_with_reasons_and_a_revision_outlives_a_kill() {
    let backdrop = Backdrop::new(true);
    let alone = Alone::new("");
    let (author, at) = (&alone.author, alone.at);
    let thief = PrivateKey::make(Role::Author(0)).unwrap();
    let mut controller = Controller::start(backdrop.list, &alone.settings);
    controller.wait_metric("badgerledge_revision_active", |active| active == 0.0);

    let shared = canonical(&Sheet::parse("shared", SHARED).unwrap());
    let longer = shared.replace("client_timeout_ms = 2000", "client_timeout_ms = 2500");
    assert_ne!(longer, shared);
    let refused = |answer: Response, why: &str| match answer {
        Response::Refused(said) => assert!(said.contains(why), "{said}"),
        other => panic!("{why}: {other:?}"),
    };
    refused(asks(at, b"what is this\n"), "expected value");
    refused(asks(at, &[b'x'; 70_000]), "a line of over");
    let headless = Request::Push { head: "00".to_owned(), bytes: 4 };
    refused(asks(at, &requests::encode_line(&headless)), "a head that can't be read");
    refused(pushes(at, &thief, 1, &longer), "not that of author 0");
    refused(pushes(at, author, 3, &longer), "number 3");
    refused(pushes(at, author, 1, &longer.replace("2500", "900")), "client_timeout_ms");
    refused(pushes(at, author, 1, &longer.replace("clip", "film")), "no room type clip");
    refused(pushes(at, author, 1, &longer.replace(" = ", "=")), "not in canonical form");
    refused(asks(at, &order::write(&Order::Text { text: "ab".repeat(32), from: 0 })), "no such text");
    assert_eq!((report(at).active, report(at).held), (0, None));

    assert_eq!(pushes(at, author, 1, &longer), Response::Taken);
    controller.wait_metric("badgerledge_revision_active", |active| active == 1.0);
    controller.kill_and_restart();
    controller.wait_metric("badgerledge_revision_active", |active| active == 1.0);
    let found = report(at);
    assert_eq!((found.active, found.source.as_str(), found.held), (1, "store", None));
    assert_eq!(asks(at, &requests::encode_line(&Request::Active)), Response::Bytes(longer.len()));
}
