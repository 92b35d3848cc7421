//! Requests about revisions at a controller that is the only one of its fleet: invalid ones are refused with
//! a reason, and the active revision is found again after a restart.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use badgerledge_deployment::kinds::canonical;
use badgerledge_keys::{PrivateKey, Role};
use badgerledge_revisions::requests::{self, Report, Request, Response};
use badgerledge_revisions::{Head, Signed};
use badgerledge_settings::Sheet;
use badgerledge_standins::free_port;

use crate::harness::{Controller, Environment, SHARED, TIMEOUT};

/// Sends a request, and returns the answer to it.
fn request(at: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut line = Vec::new();
    BufReader::new(&stream).read_until(b'\n', &mut line).unwrap();
    requests::parse_line(&line).unwrap().expect("an answer").0
}

/// The status of a controller's revisions.
pub fn report(at: SocketAddr) -> Report {
    match request(at, &requests::encode_line(&Request::Status)) {
        Response::Status(report) => *report,
        other => panic!("{other:?}"),
    }
}

/// Pushes a revision that is signed by this author.
pub fn push(at: SocketAddr, author: &PrivateKey, number: u32, text: &str) -> Response {
    let before = hex::decode(report(at).digest).unwrap().try_into().unwrap();
    let head = Head::new(number, before, 0, text.as_bytes());
    let signed = Signed { head, signature: author.sign(&head.signed_bytes()) };
    let order = Request::Push { head: requests::to_hex(&signed), bytes: text.len() };
    request(at, &[requests::encode_line(&order), text.as_bytes().to_vec()].concat())
}

/// The keys of a fleet of one controller that is its own acceptor, and its settings.
pub struct SingleControllerFleet {
    pub author: PrivateKey,
    /// The address for requests about revisions.
    pub at: SocketAddr,
    pub settings: String,
    _folder: tempfile::TempDir,
}

impl SingleControllerFleet {
    /// Makes the keys; `revisions` holds the lines of the `[revisions]` section.
    pub fn new(revisions: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let key = |role: Role, name: &str| {
            let key = PrivateKey::make(role).unwrap();
            key.write(&folder.path().join(name)).unwrap();
            key
        };
        let (member, author) = (key(Role::Member(0), "key-0"), key(Role::Author(0), "author"));
        let (member_key, author_key) = (member.public(), author.public());
        let ring = format!(
            "[member 0]\nkeys = {member_key}\n[author 0]\nkeys = {author_key}\n[keepers]\nmembers = 0\n"
        );
        std::fs::write(folder.path().join("ring.ini"), ring).unwrap();
        let (at, path) = (free_port().unwrap(), folder.path().display());
        let settings = format!(
            "[gossip]\nlisten = {at}\nring = {path}/ring.ini\nkey = {path}/key-0\n[revisions]\n{revisions}"
        );
        Self { author, at, settings, _folder: folder }
    }
}

#[test]
fn invalid_requests_are_refused_with_reasons_and_a_revision_survives_a_kill() {
    let environment = Environment::new(true);
    let fleet = SingleControllerFleet::new("");
    let (author, at) = (&fleet.author, fleet.at);
    let impostor = PrivateKey::make(Role::Author(0)).unwrap();
    let mut controller = Controller::start(environment.list, &fleet.settings);
    controller.wait_metric("badgerledge_revision_active", |active| active == 0.0);

    let shared = canonical(&Sheet::parse("shared", SHARED).unwrap());
    let with_longer_timeout = shared.replace("client_timeout_ms = 2000", "client_timeout_ms = 2500");
    assert_ne!(with_longer_timeout, shared);
    let refused = |answer: Response, reason: &str| match answer {
        Response::Refused(message) => assert!(message.contains(reason), "{message}"),
        other => panic!("{reason}: {other:?}"),
    };
    refused(request(at, b"what is this\n"), "expected value");
    refused(request(at, &[b'x'; 70_000]), "a line of over");
    let invalid_head = Request::Push { head: "00".to_owned(), bytes: 4 };
    refused(request(at, &requests::encode_line(&invalid_head)), "a head that can't be read");
    refused(push(at, &impostor, 1, &with_longer_timeout), "not that of author 0");
    refused(push(at, author, 3, &with_longer_timeout), "number 3");
    refused(push(at, author, 1, &with_longer_timeout.replace("2500", "900")), "client_timeout_ms");
    refused(push(at, author, 1, &with_longer_timeout.replace("clip", "film")), "no room type clip");
    refused(push(at, author, 1, &with_longer_timeout.replace(" = ", "=")), "not in the one form");
    refused(
        request(at, &requests::encode_line(&Request::Text { text: "ab".repeat(32), from: 0 })),
        "no such text",
    );
    assert_eq!((report(at).active, report(at).held), (0, None));

    assert_eq!(push(at, author, 1, &with_longer_timeout), Response::Taken);
    controller.wait_metric("badgerledge_revision_active", |active| active == 1.0);
    controller.kill_and_restart();
    controller.wait_metric("badgerledge_revision_active", |active| active == 1.0);
    let found = report(at);
    assert_eq!((found.active, found.source.as_str(), found.held), (1, "store", None));
    assert_eq!(
        request(at, &requests::encode_line(&Request::Active)),
        Response::Bytes(with_longer_timeout.len())
    );
}
