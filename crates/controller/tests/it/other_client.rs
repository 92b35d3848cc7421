//! A client library that is none of ours describes, sets up, plays and reads media through the controller.

use futures::StreamExt;
use retina::client::{PacketItem, PlayOptions, Session, SessionOptions, SetupOptions};

use crate::rig::{Backdrop, Controller};

#[tokio::test]
async fn retina_plays_a_title() {
    let backdrop = Backdrop::new(true);
    let controller = Controller::start(backdrop.list, "");
    controller.wait_listed(4);
    let url = url::Url::parse(&format!("rtsp://{}/7", controller.at)).unwrap();
    let mut session = Session::describe(url, SessionOptions::default()).await.unwrap();
    let streams: Vec<_> =
        session.streams().iter().map(|s| (s.media().to_owned(), s.encoding_name().to_owned())).collect();
    assert_eq!(streams, [("video".to_owned(), "h264".to_owned())]);
    session.setup(0, SetupOptions::default()).await.unwrap();
    let mut session = session.play(PlayOptions::default()).await.unwrap();
    let mut media = 0;
    let mut sequence = None;
    while media < 30 {
        match session.next().await.unwrap().unwrap() {
            PacketItem::Rtp(packet) => {
                let number = packet.sequence_number();
                assert!(
                    sequence.is_none_or(|last: u16| last.wrapping_add(1) == number),
                    "a packet is missing"
                );
                sequence = Some(number);
                media += packet.payload().len().min(1);
            }
            PacketItem::Rtcp(_) => {}
            _ => {}
        }
    }
}
