use super::*;

// A silent link gives no sign, and what was written meanwhile comes when it clears; a cut one ends at once.
#[test]
fn a_silent_link_holds_and_a_cut_one_ends() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = Link::new().unwrap();
    link.leads_to(target.local_addr().unwrap());
    let mut near = TcpStream::connect(link.address).unwrap();
    let (mut far, _) = target.accept().unwrap();
    near.write_all(b"a").unwrap();
    let mut got = [0; 1];
    far.read_exact(&mut got).unwrap();
    link.set(Weather::Silent);
    // The thread that was reading when the weather changed has looked again.
    thread::sleep(4 * LOOK);
    near.write_all(b"b").unwrap();
    far.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    assert!(far.read(&mut got).is_err(), "nothing passes a silent link");
    link.set(Weather::Clear);
    far.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    far.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"b");
    link.set(Weather::Cut);
    assert_eq!(far.read(&mut got).unwrap_or(0), 0);
}

#[test]
fn frames_change_places_and_none_is_lost() {
    let frame = |b: u8| [&[1, 0, 0, 0, 9, 9, 9, 9][..], &[b]].concat();
    let mut frames = Frames::default();
    let all = [frame(1), frame(2), frame(3)].concat();
    let mut out = frames.shuffled(&all[..13]);
    out.extend(frames.shuffled(&all[13..]));
    out.extend(frames.rest());
    assert_eq!(out, [frame(2), frame(1), frame(3)].concat());
}
