//! Both codecs on generated, truncated and malformed input.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck, TestResult};
use serde_json::Value;

use crate::viewers::{Parameters, CLIENT_TIMEOUT, DESCRIPTION, RETRY_AFTER, ROOM_TYPE, TITLE};
use crate::{hex64, streamers, viewers, Fault, MAX_MESSAGE_BYTES};

/// A generator with the same inputs in every run.
fn quickcheck(seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, seed)).tests(2000)
}

/// Records each decoded message as a line of text.
#[derive(Default)]
struct Recorder(Vec<String>);

impl viewers::MessageHandler for Recorder {
    fn set_up(&mut self, session: u64, parameters: Parameters<'_>) {
        let [a, b, c] = [ROOM_TYPE, CLIENT_TIMEOUT, TITLE].map(|code| parameters.text(code).unwrap_or("-"));
        let description = parameters.value(DESCRIPTION).map_or(0, <[u8]>::len);
        self.0.push(format!("set-up {session:x} {a} {b} {c} {description}"));
    }
    fn malformed_set_up(&mut self, session: u64) {
        self.0.push(format!("malformed {session:x}"));
    }
    fn ended(&mut self, session: u64) {
        self.0.push(format!("ended {session:x}"));
    }
    fn tested(&mut self, session: u64) {
        self.0.push(format!("tested {session:x}"));
    }
    fn release_acknowledged(&mut self, session: u64) {
        self.0.push(format!("release acknowledged {session:x}"));
    }
}

impl streamers::MessageHandler for Recorder {
    fn answered(&mut self, session: u64, description: &str) {
        self.0.push(format!("answered {session:x} {description}"));
    }
    fn ended(&mut self, session: u64, cause: u64, load: Option<&str>) {
        self.0.push(format!("ended {session:x} {cause} {load:?}"));
    }
    fn tested(&mut self, session: u64, passed: bool, load: Option<&str>) {
        self.0.push(format!("tested {session:x} {passed} {load:?}"));
    }
    fn progress_report(&mut self, session: u64, note: &str, value: f64) {
        self.0.push(format!("noted {session:x} {note} {value}"));
    }
}

fn encoded_frame(kind: u8, session: u64, parameters: &[u8]) -> Vec<u8> {
    let length = (9 + parameters.len()) as u16;
    [&length.to_be_bytes()[..], &[kind], &session.to_be_bytes(), parameters].concat()
}

fn encoded_parameter(code: u8, value: &[u8]) -> Vec<u8> {
    [&[code][..], &(value.len() as u16).to_be_bytes(), value].concat()
}

fn decode_frames(mut bytes: &[u8]) -> (Vec<String>, Option<Fault>) {
    let mut recorder = Recorder::default();
    loop {
        match viewers::decode(bytes, &mut recorder) {
            Ok(0) => return (recorder.0, None),
            Ok(count) => bytes = &bytes[count..],
            Err(fault) => return (recorder.0, Some(fault)),
        }
    }
}

fn decode_line(line: &str) -> Result<Vec<String>, Fault> {
    let mut recorder = Recorder::default();
    streamers::decode(line.as_bytes(), &mut recorder).map(|_| recorder.0)
}

#[test]
fn set_up_is_decoded_once_complete_and_not_before() {
    let parameters = [
        encoded_parameter(ROOM_TYPE, b"paid"),
        encoded_parameter(CLIENT_TIMEOUT, b"1500"),
        encoded_parameter(200, b"unknown ones are passed over"),
        encoded_parameter(TITLE, b"7f3a9c21e0b4d655"),
        encoded_parameter(DESCRIPTION, b"m=audio 31000\r\n"),
    ]
    .concat();
    let bytes = [encoded_frame(1, 0x9b1f, &parameters), encoded_frame(12, 7, &[]), encoded_frame(52, 8, &[])]
        .concat();
    let expected = ["set-up 9b1f paid 1500 7f3a9c21e0b4d655 15", "ended 7", "tested 8"];
    assert_eq!(decode_frames(&bytes), (expected.iter().map(ToString::to_string).collect(), None));
    for cut in 0..bytes.len() {
        let (decoded_prefix, fault) = decode_frames(&bytes[..cut]);
        assert_eq!(
            (&decoded_prefix[..], fault),
            (&decode_frames(&bytes).0[..decoded_prefix.len()], None),
            "cut at {cut}"
        );
    }
}

#[test]
fn invalid_frame_lengths_and_parameter_lengths_are_distinguished() {
    // If the length of a frame is wrong, the next frame cannot be found; a wrong parameter length affects its
    // frame only.
    assert_eq!(decode_frames(&[0, 8, 1, 2, 3]).1, Some(Fault::Length(8)));
    assert_eq!(decode_frames(&[0xff, 0xff, 1]).1, Some(Fault::Length(65535)));
    assert_eq!(decode_frames(&[0x40, 0x01]).1, Some(Fault::Length(MAX_MESSAGE_BYTES + 1)));
    let malformed = encoded_frame(1, 5, &[ROOM_TYPE, 0xff, 0xff, b'p']);
    let bytes = [malformed, encoded_frame(1, 6, &[ROOM_TYPE, 0]), encoded_frame(52, 8, &[])].concat();
    assert_eq!(decode_frames(&bytes).0, ["malformed 5", "malformed 6", "tested 8"]);
    // A kind that no viewer sends makes the frame invalid.
    assert_eq!(decode_frames(&encoded_frame(222, 5, &[])).1, Some(Fault::UnknownKind));
    assert_eq!(decode_frames(&encoded_frame(6, 5, &[])), (Vec::new(), None));
}

#[test]
fn any_bytes_are_decoded_or_rejected() {
    fn frames(bytes: Vec<u8>) -> bool {
        let message_count = decode_frames(&bytes).0.len();
        message_count * 11 <= bytes.len()
    }
    fn line(mut bytes: Vec<u8>) -> bool {
        bytes.push(b'\n');
        streamers::decode(&bytes, &mut Recorder::default()).is_ok_and(|count| count > 0)
            || streamers::decode(&bytes, &mut Recorder::default()).is_err()
    }
    quickcheck(1).quickcheck(frames as fn(Vec<u8>) -> bool);
    quickcheck(2).quickcheck(line as fn(Vec<u8>) -> bool);
}

#[test]
fn messages_to_viewers_have_the_platforms_form() {
    assert_eq!(viewers::moved(3), encoded_frame(51, 3, &[]));
    assert_eq!(viewers::tested(3, true), encoded_frame(53, 3, &encoded_parameter(75, &[1])));
    assert_eq!(viewers::release(3, 41, Duration::ZERO), encoded_frame(12, 3, &encoded_parameter(75, &[41])));
    let release_parameters = [encoded_parameter(75, &[42]), encoded_parameter(RETRY_AFTER, b"750")].concat();
    assert_eq!(
        viewers::release(3, 42, Duration::from_millis(750)),
        encoded_frame(12, 3, &release_parameters)
    );
    let description = b"9d41c07a5be2f318\r\nc=IN";
    assert_eq!(
        viewers::answer(3, description),
        Some(encoded_frame(9, 3, &encoded_parameter(DESCRIPTION, description)))
    );
    assert_eq!(viewers::answer(3, &vec![b'x'; MAX_MESSAGE_BYTES]), None);
}

#[test]
fn streamer_lines_are_decoded() {
    let session = "9b1f03aa5c7e2d41";
    let decode =
        |op: &str, rest: &str| decode_line(&format!("{{\"op\":\"{op}\",\"call\":\"{session}\",{rest}}}\n"));
    let expected = |text: &str| Ok(vec![text.replace('#', session)]);
    assert_eq!(decode("accept", r#""with":{},"desc":"a\r\nb""#), expected("answered # a\r\nb"));
    assert_eq!(decode("end", r#""with":{"load":"x0:1"},"why":34"#), expected("ended # 34 Some(\"x0:1\")"));
    assert_eq!(decode("tested", r#""with":{},"why":1"#), expected("tested # true None"));
    assert_eq!(decode("info", r#""with":{"note":"wire","value":"0.93"}"#), expected("noted # wire 0.93"));
    assert_eq!(decode("info", r#""with":{"note":"tier","value":2}"#), expected("noted # tier 2"));
    assert_eq!(decode("ringing", r#""with":{}"#), Ok(Vec::new()));
    assert_eq!(decode("accept", r#""desc":7"#), Err(Fault::Field("desc")));
    assert_eq!(decode("end", r#""why":"34""#), Err(Fault::Field("why")));
    assert_eq!(decode("info", r#""with":{"note":"wire","value":"NaN"}"#), Err(Fault::Field("value")));
    assert_eq!(decode("offer", r#""with":{}"#), Err(Fault::UnknownKind));
    assert_eq!(decode_line("{\"op\":\"accept\",\"call\":\"12\"}\n"), Err(Fault::Field("call")));
    assert_eq!(decode_line("[]\n"), Err(Fault::NotJson));
    assert_eq!(decode_line(&"x".repeat(MAX_MESSAGE_BYTES)), Ok(Vec::new()));
    assert_eq!(decode_line(&"x".repeat(MAX_MESSAGE_BYTES + 1)), Err(Fault::Unterminated));
}

#[test]
fn set_up_is_forwarded_unchanged_or_not_at_all() {
    fn is_forwarded(session: u64, title: u64, description: String) -> TestResult {
        let title = format!("{title:016x}");
        let left = Duration::from_millis(1500);
        let Some(line) = streamers::offer(session, "paid", &title, left, Some(2), &description) else {
            return TestResult::from_bool(description.len() * 6 > MAX_MESSAGE_BYTES - 200);
        };
        let read: Value = serde_json::from_slice(&line).unwrap();
        let with = &read["with"];
        TestResult::from_bool(
            line.iter().filter(|b| **b == b'\n').count() == 1
                && read["call"].as_str().and_then(hex64) == Some(session)
                && read["desc"].as_str() == Some(&description)
                && with["key"].as_str() == Some(&title)
                && (with["left"].as_str(), with["rung"].as_str()) == (Some("1500"), Some("2")),
        )
    }
    quickcheck(3).quickcheck(is_forwarded as fn(u64, u64, String) -> TestResult);
}

#[test]
fn load_report_counts_only_with_all_its_fields() {
    let fields = ["x0".to_owned(), "x1".to_owned()];
    assert_eq!(streamers::parse_load_report("x1:0.5;queue:3;x0:1.2", &fields), [1.2, 0.5]);
    for malformed in ["x0:1.2", "x0:1;x1:NaN", "x0:1;x1:-1", "x0:1;x1:inf", "x0=1;x1=1", ""] {
        assert!(streamers::parse_load_report(malformed, &fields).is_empty(), "{malformed}");
    }
}
