use super::*;
use fleet::control_plane::messages::FRAMING;
use std::io::Write;
use std::net::TcpStream;

/// Calls `ready` until an event was heard.
fn heard(server: &mut FollowerServer, key: Key, now: Micros, poll: &Poll) -> Vec<Heard> {
    loop {
        let heard = server.ready(key, now, poll);
        if !heard.is_empty() {
            return heard;
        }
    }
}

// A follower that sends steadily, each read ending inside a message, was closed once the first of them was 3 s old. The limit
// is for one message.
#[test]
fn a_steady_sender_is_closed_only_for_a_message_that_is_not_completed() {
    const STEP: Micros = 2_000_000;
    let poll = Poll::new().unwrap();
    let mut server = FollowerServer::bind("127.0.0.1:0".parse().unwrap(), 4, &poll).unwrap();
    let mut follower = TcpStream::connect(server.address().unwrap()).unwrap();
    let listener = server.key;
    let Heard::Connected(session) = heard(&mut server, listener, 0, &poll)[0] else { panic!("accepted") };
    let frame = FRAMING.encode(&FollowerMessage::Renew { at: None, requested_at: 7 });
    let (head, rest) = frame.split_at(frame.len() / 2);
    follower.write_all(head).unwrap();
    let mut now = 0;
    for _ in 0..5 {
        now += STEP;
        follower.write_all(&[rest, head].concat()).unwrap();
        let heard = heard(&mut server, session as Key, now, &poll);
        assert!(matches!(heard[..], [Heard::Said(..)]), "a message at {now}");
        assert!(server.tick(now, &poll).is_empty(), "open at {now}");
    }
    assert!(server.tick(now + PARTIAL_MESSAGE_TIMEOUT - 1, &poll).is_empty());
    assert!(matches!(server.tick(now + PARTIAL_MESSAGE_TIMEOUT, &poll)[..], [Heard::Over(_)]));
}
