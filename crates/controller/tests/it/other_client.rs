//! A client library of another project describes, sets up, plays and reads media through the controller.

use futures::StreamExt;
use retina::client::{PacketItem, PlayOptions, Session, SessionOptions, SetupOptions};

use crate::harness::{Controller, Environment};

#[tokio::test]
async fn retina_plays_a_title() {
    let environment = Environment::new(true);
    let controller = Controller::start(environment.list, "");
    controller.wait_listed(4);
    let url = url::Url::parse(&format!("rtsp://{}/7", controller.at)).unwrap();
    let mut session = Session::describe(url, SessionOptions::default()).await.unwrap();
    let streams: Vec<_> = session
        .streams()
        .iter()
        .map(|stream| (stream.media().to_owned(), stream.encoding_name().to_owned()))
        .collect();
    assert_eq!(streams, [("video".to_owned(), "h264".to_owned())]);
    session.setup(0, SetupOptions::default()).await.unwrap();
    let mut session = session.play(PlayOptions::default()).await.unwrap();
    let mut media_packets = 0;
    let mut last_sequence = None;
    while media_packets < 30 {
        match session.next().await.unwrap().unwrap() {
            PacketItem::Rtp(packet) => {
                let number = packet.sequence_number();
                assert!(
                    last_sequence.is_none_or(|last: u16| last.wrapping_add(1) == number),
                    "a packet is missing"
                );
                last_sequence = Some(number);
                media_packets += packet.payload().len().min(1);
            }
            PacketItem::Rtcp(_) => {}
            _ => {}
        }
    }
}
