use super::*;

fn hello() -> Message {
    Message::Hello { from: 2, incarnation: 77, fleet: None, formed: false, policy: 0 }
}

#[test]
fn a_frame_comes_whole_or_not_yet() {
    let bytes = [frame(&hello()), frame(&Message::Fetch(9))].concat();
    let (n, first) = next(&bytes, 1_000).unwrap().unwrap();
    assert_eq!((first, next(&bytes[n..], 1_000).unwrap().unwrap().1), (hello(), Message::Fetch(9)));
    for cut in 0..n {
        assert_eq!(next(&bytes[..cut], 1_000), Ok(None));
    }
    assert!(next(&frame(&Message::Log(1, vec![0; 2_000])), 1_000).is_err());
}

// Found in the lab: a reader one byte off took what followed for a length of megabytes, and waited for it
// while its peer was alive and talking.
#[test]
fn a_reader_that_lost_its_place_knows_it_at_once() {
    let bytes = [frame(&hello()), frame(&Message::Log(5, vec![1; 300]))].concat();
    let wrong = (1..bytes.len() - HEAD).filter(|at| matches!(next(&bytes[*at..], 64 << 20), Ok(None)));
    let whole = frame(&hello()).len();
    assert_eq!(wrong.filter(|at| *at != whole).count(), 0);
}
