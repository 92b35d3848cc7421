//! Both codecs on generated, cut and spoilt input.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck, TestResult};
use serde_json::Value;

use crate::viewers::{Parameters, CLIENT_TIMEOUT, DESCRIPTION, ROOM_TYPE, STAY_AWAY, TITLE};
use crate::{hex64, streamers, viewers, Fault, MOST};

/// The same inputs at every run.
fn quickcheck(seed: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, seed)).tests(2000)
}

/// Writes down what was heard, a line each.
#[derive(Default)]
struct Ear(Vec<String>);

impl viewers::Heard for Ear {
    fn set_up(&mut self, session: u64, p: Parameters<'_>) {
        let [a, b, c] = [ROOM_TYPE, CLIENT_TIMEOUT, TITLE].map(|code| p.text(code).unwrap_or("-"));
        let description = p.value(DESCRIPTION).map_or(0, <[u8]>::len);
        self.0.push(format!("set-up {session:x} {a} {b} {c} {description}"));
    }
    fn spoilt_set_up(&mut self, session: u64) {
        self.0.push(format!("spoilt {session:x}"));
    }
    fn ended(&mut self, session: u64) {
        self.0.push(format!("ended {session:x}"));
    }
    fn tested(&mut self, session: u64) {
        self.0.push(format!("tested {session:x}"));
    }
    fn release_heard(&mut self, session: u64) {
        self.0.push(format!("release heard {session:x}"));
    }
}

impl streamers::Heard for Ear {
    fn answered(&mut self, session: u64, description: &str) {
        self.0.push(format!("answered {session:x} {description}"));
    }
    fn ended(&mut self, session: u64, cause: u64, load: Option<&str>) {
        self.0.push(format!("ended {session:x} {cause} {load:?}"));
    }
    fn tested(&mut self, session: u64, passed: bool, load: Option<&str>) {
        self.0.push(format!("tested {session:x} {passed} {load:?}"));
    }
    fn noted(&mut self, session: u64, note: &str, value: f64) {
        self.0.push(format!("noted {session:x} {note} {value}"));
    }
}

fn framed(kind: u8, session: u64, parameters: &[u8]) -> Vec<u8> {
    let length = (9 + parameters.len()) as u16;
    [&length.to_be_bytes()[..], &[kind], &session.to_be_bytes(), parameters].concat()
}

fn parameter(code: u8, value: &[u8]) -> Vec<u8> {
    [&[code][..], &(value.len() as u16).to_be_bytes(), value].concat()
}

fn hear_frames(mut bytes: &[u8]) -> (Vec<String>, Option<Fault>) {
    let mut ear = Ear::default();
    loop {
        match viewers::hear(bytes, &mut ear) {
            Ok(0) => return (ear.0, None),
            Ok(count) => bytes = &bytes[count..],
            Err(fault) => return (ear.0, Some(fault)),
        }
    }
}

fn hear_line(line: &str) -> Result<Vec<String>, Fault> {
    let mut ear = Ear::default();
    streamers::hear(line.as_bytes(), &mut ear).map(|_| ear.0)
}

#[test]
fn a_set_up_is_heard_once_it_is_whole_and_not_before() {
    let parameters = [
        parameter(ROOM_TYPE, b"paid"),
        parameter(CLIENT_TIMEOUT, b"1500"),
        parameter(200, b"unknown ones are passed over"),
        parameter(TITLE, b"7f3a9c21e0b4d655"),
        parameter(DESCRIPTION, b"m=audio 31000\r\n"),
    ]
    .concat();
    let bytes = [framed(1, 0x9b1f, &parameters), framed(12, 7, &[]), framed(52, 8, &[])].concat();
    let heard = ["set-up 9b1f paid 1500 7f3a9c21e0b4d655 15", "ended 7", "tested 8"];
    assert_eq!(hear_frames(&bytes), (heard.iter().map(ToString::to_string).collect(), None));
    for cut in 0..bytes.len() {
        let (part, fault) = hear_frames(&bytes[..cut]);
        assert_eq!((&part[..], fault), (&hear_frames(&bytes).0[..part.len()], None), "cut at {cut}");
    }
}

#[test]
fn lengths_that_do_not_fit_are_told_apart() {
    // Where the frame's own length is wrong nothing behind it can be found; within a frame only it is spoilt.
    assert_eq!(hear_frames(&[0, 8, 1, 2, 3]).1, Some(Fault::Length(8)));
    assert_eq!(hear_frames(&[0xff, 0xff, 1]).1, Some(Fault::Length(65535)));
    assert_eq!(hear_frames(&[0x40, 0x01]).1, Some(Fault::Length(MOST + 1)));
    let spoilt = framed(1, 5, &[ROOM_TYPE, 0xff, 0xff, b'p']);
    let bytes = [spoilt, framed(1, 6, &[ROOM_TYPE, 0]), framed(52, 8, &[])].concat();
    assert_eq!(hear_frames(&bytes).0, ["spoilt 5", "spoilt 6", "tested 8"]);
    // A kind that no viewer sends is no frame of ours.
    assert_eq!(hear_frames(&framed(222, 5, &[])).1, Some(Fault::Kind));
    assert_eq!(hear_frames(&framed(6, 5, &[])), (Vec::new(), None));
}

#[test]
fn any_bytes_are_heard_or_refused() {
    fn frames(bytes: Vec<u8>) -> bool {
        let heard = hear_frames(&bytes).0.len();
        heard * 11 <= bytes.len()
    }
    fn line(mut bytes: Vec<u8>) -> bool {
        bytes.push(b'\n');
        streamers::hear(&bytes, &mut Ear::default()).is_ok_and(|count| count > 0)
            || streamers::hear(&bytes, &mut Ear::default()).is_err()
    }
    quickcheck(1).quickcheck(frames as fn(Vec<u8>) -> bool);
    quickcheck(2).quickcheck(line as fn(Vec<u8>) -> bool);
}

#[test]
fn what_is_sent_to_viewers_has_the_platforms_form() {
    assert_eq!(viewers::moved(3), framed(51, 3, &[]));
    assert_eq!(viewers::tested(3, true), framed(53, 3, &parameter(75, &[1])));
    assert_eq!(viewers::release(3, 41, Duration::ZERO), framed(12, 3, &parameter(75, &[41])));
    let away = [parameter(75, &[42]), parameter(STAY_AWAY, b"750")].concat();
    assert_eq!(viewers::release(3, 42, Duration::from_millis(750)), framed(12, 3, &away));
    let description = b"9d41c07a5be2f318\r\nc=IN";
    assert_eq!(viewers::answer(3, description), Some(framed(9, 3, &parameter(DESCRIPTION, description))));
    assert_eq!(viewers::answer(3, &vec![b'x'; MOST]), None);
}

#[test]
fn a_streamers_lines_are_heard() {
    let session = "9b1f03aa5c7e2d41";
    let of =
        |op: &str, rest: &str| hear_line(&format!("{{\"op\":\"{op}\",\"call\":\"{session}\",{rest}}}\n"));
    let heard = |text: &str| Ok(vec![text.replace('#', session)]);
    assert_eq!(of("accept", r#""with":{},"desc":"a\r\nb""#), heard("answered # a\r\nb"));
    assert_eq!(of("end", r#""with":{"load":"x0:1"},"why":34"#), heard("ended # 34 Some(\"x0:1\")"));
    assert_eq!(of("tested", r#""with":{},"why":1"#), heard("tested # true None"));
    assert_eq!(of("info", r#""with":{"note":"wire","value":"0.93"}"#), heard("noted # wire 0.93"));
    assert_eq!(of("info", r#""with":{"note":"tier","value":2}"#), heard("noted # tier 2"));
    assert_eq!(of("ringing", r#""with":{}"#), Ok(Vec::new()));
    assert_eq!(of("accept", r#""desc":7"#), Err(Fault::Field("desc")));
    assert_eq!(of("end", r#""why":"34""#), Err(Fault::Field("why")));
    assert_eq!(of("info", r#""with":{"note":"wire","value":"NaN"}"#), Err(Fault::Field("value")));
    assert_eq!(of("offer", r#""with":{}"#), Err(Fault::Kind));
    assert_eq!(hear_line("{\"op\":\"accept\",\"call\":\"12\"}\n"), Err(Fault::Field("call")));
    assert_eq!(hear_line("[]\n"), Err(Fault::NotJson));
    assert_eq!(hear_line(&"x".repeat(MOST)), Ok(Vec::new()));
    assert_eq!(hear_line(&"x".repeat(MOST + 1)), Err(Fault::Endless));
}

#[test]
fn a_set_up_goes_on_unchanged_or_not_at_all() {
    fn goes_on(session: u64, title: u64, description: String) -> TestResult {
        let title = format!("{title:016x}");
        let left = Duration::from_millis(1500);
        let Some(line) = streamers::offer(session, "paid", &title, left, Some(2), &description) else {
            return TestResult::from_bool(description.len() * 6 > MOST - 200);
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
    quickcheck(3).quickcheck(goes_on as fn(u64, u64, String) -> TestResult);
}

#[test]
fn a_report_counts_only_with_all_its_figures() {
    let fields = ["x0".to_owned(), "x1".to_owned()];
    assert_eq!(streamers::load("x1:0.5;queue:3;x0:1.2", &fields), [1.2, 0.5]);
    for spoilt in ["x0:1.2", "x0:1;x1:NaN", "x0:1;x1:-1", "x0:1;x1:inf", "x0=1;x1=1", ""] {
        assert!(streamers::load(spoilt, &fields).is_empty(), "{spoilt}");
    }
}
