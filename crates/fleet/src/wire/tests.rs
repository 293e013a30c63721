use super::*;

fn hello() -> Message {
    Message::Hello { from: 2, incarnation: 77, fleet: None, formed: false, policy: 0 }
}

#[test]
fn an_incomplete_frame_is_not_decoded() {
    let bytes = [encode_frame(&hello()), encode_frame(&Message::Fetch(9))].concat();
    let (n, first) = decode_frame(&bytes, 1_000).unwrap().unwrap();
    assert_eq!((first, decode_frame(&bytes[n..], 1_000).unwrap().unwrap().1), (hello(), Message::Fetch(9)));
    for cut in 0..n {
        assert_eq!(decode_frame(&bytes[..cut], 1_000), Ok(None));
    }
    assert!(decode_frame(&encode_frame(&Message::Log(1, vec![0; 2_000])), 1_000).is_err());
}

// A reader that is out of step by one byte read a length of megabytes and waited for that many bytes, although its
// peer was alive and sending.
#[test]
fn a_reader_that_is_out_of_step_reports_it_at_once() {
    let bytes = [encode_frame(&hello()), encode_frame(&Message::Log(5, vec![1; 300]))].concat();
    let wrong =
        (1..bytes.len() - HEADER_LEN).filter(|at| matches!(decode_frame(&bytes[*at..], 64 << 20), Ok(None)));
    let whole = encode_frame(&hello()).len();
    assert_eq!(wrong.filter(|at| *at != whole).count(), 0);
}
