//! Split, pipelined, mixed and mutated input; the states of client and server; regressions.

use quickcheck::{Arbitrary, Gen};
use rtsp_types::{headers, Method, StatusCode, Version};

use crate::extension_headers::{self, HeaderValues};
use crate::progress_reports::{decode_reports, encode_bye, encode_report, ProgressReport};
use crate::{frame_header, Client, Fault, FrameLimits, Framer, Request, Server, State, Unit};

fn setup() -> Vec<u8> {
    b"SETUP rtsp://127.0.0.1:554/2a/stream RTSP/1.0\r\nCSeq: 3\r\nTransport: RTP/AVP/TCP;unicast;interleaved=4-5\r\n\
      Viewer: ff\r\nMarks: retry, moved\r\nContent-Length: 5\r\n\r\nhello"
        .to_vec()
}

fn frame(channel: u8, payload: &[u8]) -> Vec<u8> {
    [&frame_header(channel, payload.len() as u16)[..], payload].concat()
}

/// The units, and the error if there is one, of bytes that arrive in chunks of these sizes, repeated.
fn split_into_units(bytes: &[u8], sizes: &[usize]) -> (Vec<String>, Option<(StatusCode, &'static str)>) {
    let (mut framer, mut buffer, mut units) = (Framer::default(), Vec::new(), Vec::new());
    let mut sizes = sizes.iter().map(|size| size.max(&1)).cycle();
    let mut rest = bytes;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(rest.len().min(*sizes.next().unwrap_or(&usize::MAX)));
        rest = after;
        buffer.extend_from_slice(chunk);
        loop {
            let used = match framer.next(&buffer) {
                Ok(Some((unit, used))) => {
                    units.extend((!matches!(unit, Unit::Blank)).then(|| format!("{unit:?}")));
                    used
                }
                Ok(None) => break,
                Err(fault) => return (units, Some((fault.status, fault.reason))),
            };
            buffer.drain(..used);
        }
    }
    (units, None)
}

/// Runs a property 300 times with a fixed seed.
fn check_property(property: fn(Vec<Part>, Vec<u8>) -> bool) {
    quickcheck::QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(300)
        .quickcheck(property as fn(_, _) -> _);
}

/// The bytes of one message, frame or blank.
#[derive(Clone, Debug)]
struct Part(Vec<u8>);

impl Arbitrary for Part {
    fn arbitrary(generator: &mut Gen) -> Self {
        let payload = Vec::<u8>::arbitrary(generator);
        Part(match u8::arbitrary(generator) % 5 {
            0 => setup(),
            1 => frame(u8::arbitrary(generator), &payload),
            2 => b"\r\n\r\n".to_vec(),
            3 => b"RTSP/1.0 200 OK\r\nCSeq: 9\r\nContent-Length: 2\r\n\r\n$\n".to_vec(),
            _ => b"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n".to_vec(),
        })
    }
}

#[test]
fn units_do_not_depend_on_how_the_bytes_are_split() {
    fn same(parts: Vec<Part>, sizes: Vec<u8>) -> bool {
        let bytes: Vec<u8> = parts.iter().flat_map(|part| part.0.clone()).collect();
        let sizes: Vec<usize> = sizes.into_iter().map(usize::from).collect();
        let unsplit = split_into_units(&bytes, &[]);
        unsplit == split_into_units(&bytes, &sizes) && unsplit.1.is_none()
    }
    check_property(same);
}

#[test]
fn mutated_input_gives_units_or_an_error_whatever_its_split() {
    fn same_without_panic(parts: Vec<Part>, mutations: Vec<u8>) -> bool {
        let mut bytes: Vec<u8> = parts.iter().flat_map(|part| part.0.clone()).collect();
        let length = bytes.len().max(1);
        for (index, mutation) in mutations.chunks_exact(2).enumerate() {
            let offset = (usize::from(mutation[0]) * 31 + index * 97) % length;
            if let Some(byte) = bytes.get_mut(offset) {
                *byte = mutation[1];
            }
        }
        let server = Server::default();
        let mut framer = Framer::default();
        let mut rest = &bytes[..];
        while let Ok(Some((unit, used))) = framer.next(rest) {
            rest = &rest[used..];
            match unit {
                Unit::Request(request) => {
                    drop((server.permits(&request), request.load(), request.has_flag("retry")))
                }
                Unit::Response(response) => drop(Client::default().match_response(&response)),
                Unit::Frame(_, payload) => drop(decode_reports(payload).count()),
                Unit::Blank => {}
            }
        }
        split_into_units(&bytes, &[1]) == split_into_units(&bytes, &[])
    }
    check_property(same_without_panic);
}

fn fault(bytes: &[u8]) -> Fault {
    Framer::default().next(bytes).expect_err("the input exceeds a limit")
}

#[test]
fn each_limit_has_its_status() {
    let limits = FrameLimits::default();
    let long_first_line = format!("SETUP rtsp://h/{} RTSP/1.0\r\n", "a".repeat(limits.first_line));
    assert_eq!(fault(long_first_line.as_bytes()).status, StatusCode::RequestURITooLong);
    let long_head = format!("OPTIONS * RTSP/1.0\r\nX: {}", "a".repeat(limits.head));
    assert_eq!(fault(long_head.as_bytes()).status, StatusCode::BadRequest);
    let many_headers = format!("OPTIONS * RTSP/1.0\r\n{}", "X: 1\r\n".repeat(limits.headers + 1));
    let found = fault(many_headers.as_bytes());
    assert_eq!((found.status, found.found, found.limit), (StatusCode::BadRequest, 65, 64));
    let long_body = b"OPTIONS * RTSP/1.0\r\nContent-Length: 99999999999\r\n\r\n";
    assert_eq!(fault(long_body).status, StatusCode::RequestMessageBodyTooLarge);
    let two_lengths = b"OPTIONS * RTSP/1.0\r\nContent-Length: 1\r\ncontent-length: 2\r\n\r\n";
    assert_eq!(fault(two_lengths).reason, "the Content-Length is invalid");
    assert_eq!(fault(b"\x00\x01\xff garbage\r\n\r\n").status, StatusCode::BadRequest);
}

fn request(text: &str) -> Request {
    match Framer::default().next(text.as_bytes()) {
        Ok(Some((Unit::Request(request), _))) => request,
        other => panic!("no request but {other:?}"),
    }
}

fn status(server: &Server, text: &str) -> StatusCode {
    server.permits(&request(text)).map_or_else(|answer| answer.status(), |()| StatusCode::Ok)
}

#[test]
fn each_state_permits_the_requests_of_the_standard() {
    let mut server = Server::default();
    let on =
        |method: &str, headers: &str| format!("{method} rtsp://h/2a RTSP/1.0\r\nCSeq: 1\r\n{headers}\r\n");
    let tcp = "Transport: RTP/AVP;unicast;client_port=1-2,RTP/AVP/TCP;interleaved=0-1\r\n";
    assert_eq!(status(&server, &on("PLAY", "")), StatusCode::MethodNotValidInThisState);
    assert_eq!(status(&server, &on("PLAY", "Session: x\r\n")), StatusCode::SessionNotFound);
    assert_eq!(status(&server, &on("SETUP", "")), StatusCode::UnsupportedTransport);
    let udp = "Transport: RTP/AVP;unicast;client_port=1-2\r\n";
    assert_eq!(status(&server, &on("SETUP", udp)), StatusCode::UnsupportedTransport);
    assert_eq!(status(&server, &on("SETUP", tcp)), StatusCode::Ok);
    server.set_up("x".to_owned(), 60, (0, 1));
    assert_eq!(status(&server, &on("PAUSE", "Session: y\r\n")), StatusCode::SessionNotFound);
    assert_eq!(status(&server, &on("PLAY", "Session: x;timeout=60\r\n")), StatusCode::Ok);
    server.play();
    assert_eq!(
        status(&server, &on("SETUP", &format!("Session: x\r\n{tcp}"))),
        StatusCode::MethodNotValidInThisState
    );
    assert_eq!(status(&server, &on("TEARDOWN", "Session: x\r\n")), StatusCode::Ok);
    server.tear_down();
    assert_eq!(server.state(), State::Init);
    assert_eq!(status(&server, &on("RECORD", "")), StatusCode::MethodNotAllowed);
    assert_eq!(status(&server, &on("BREW", "")), StatusCode::NotImplemented);
    assert_eq!(status(&server, &on("OPTIONS", "Require: play.scale\r\n")), StatusCode::OptionNotSupported);
    assert_eq!(status(&server, "OPTIONS * RTSP/2.0\r\nCSeq: 1\r\n\r\n"), StatusCode::RTSPVersionNotSupported);
    assert_eq!(status(&server, "OPTIONS * RTSP/1.0\r\n\r\n"), StatusCode::BadRequest);
}

#[test]
fn responses_carry_cseq_and_session() {
    let mut server = Server::default();
    server.set_up("abc".to_owned(), 60, (4, 5));
    let answer = server.setup_answer(Some("3"));
    assert_eq!(answer.header(&headers::SESSION).unwrap().as_str(), "abc;timeout=60");
    assert_eq!(answer.header(&headers::TRANSPORT).unwrap().as_str(), "RTP/AVP/TCP;unicast;interleaved=4-5");
    let mut client = Client::default();
    let uri = extension_headers::title_uri("127.0.0.1:1", 42);
    assert_eq!(extension_headers::title_in_uri(&uri), Some(42));
    for _ in 0..3 {
        client.request(Method::Setup, uri.clone(), &[]).unwrap();
    }
    assert_eq!(client.match_response(&answer), Some(Method::Setup));
    assert_eq!(client.session(), Some("abc"));
    assert_eq!(client.match_response(&answer), None, "a response is matched only once");
    let play = client
        .request(
            Method::Play,
            uri,
            &[(extension_headers::header_name(extension_headers::RUNG), "2".to_owned())],
        )
        .unwrap();
    assert_eq!(
        (play.header(&headers::SESSION).unwrap().as_str(), play.number(extension_headers::RUNG)),
        ("abc", Some(2))
    );
}

#[test]
fn client_limits_the_number_of_pending_requests() {
    let mut client = Client::default();
    let sent = (0..100)
        .filter_map(|_| client.request(Method::Options, extension_headers::title_uri("h", 1), &[]))
        .count();
    assert_eq!(sent, 16);
}

#[test]
fn headers_are_read_as_typed_values() {
    let request = request(std::str::from_utf8(&setup()).unwrap());
    assert_eq!(
        (request.hex(extension_headers::VIEWER), request.has_flag("moved"), request.has_flag("lost")),
        (Some(255), true, false)
    );
    assert_eq!(request.duration(extension_headers::HINT), None);
    let mut answer = rtsp_types::Response::builder(Version::V1_0, StatusCode::Ok).build(Vec::<u8>::new());
    answer.insert_header(extension_headers::header_name(extension_headers::LOAD), "0.5, 1.25");
    assert_eq!(answer.load(), [0.5, 1.25]);
    answer.insert_header(extension_headers::header_name(extension_headers::LOAD), "0.5, NaN");
    assert_eq!(answer.load(), [0.0; 0]);
}

/// The typed Transport header of `rtsp-types` 0.1 panics on these values, so it must not be used.
#[test]
fn unmatched_quote_in_transport_does_not_panic() {
    for transport in ["RTP/AVP/TCP;mode=\"", "RTP/AVP/TCP;dest_addr=\"", "RTP/AVP/TCP;interleaved=1-1"] {
        let text = format!("SETUP rtsp://h/1 RTSP/1.0\r\nCSeq: 1\r\nTransport: {transport}\r\n\r\n");
        let _ = status(&Server::default(), &text);
    }
}

#[test]
fn progress_reports_are_decoded_as_encoded() {
    let both = [&encode_report(7, 3, 0.5)[..], &encode_bye(7)].concat();
    assert_eq!(
        decode_reports(&both).collect::<Vec<_>>(),
        [ProgressReport::Value(3, 0.5), ProgressReport::Bye]
    );
    assert_eq!(decode_reports(&encode_report(7, 1, f64::NAN)).count(), 0);
    assert_eq!(decode_reports(&both[..20]).count(), 0, "a truncated compound packet is ignored");
}
