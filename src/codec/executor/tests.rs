use super::*;

#[test]
fn commands_stand_as_the_protocol_has_them() {
    let mut out = Vec::new();
    let terms =
        RequestParameters { kind: "reporte", wait_ms: 1500, memory_mb: 95.2, priority: 2, token: None };
    pull(&mut out, 0xab, &terms, "SELECT 1");
    pull(&mut out, 0xab, &RequestParameters { memory_mb: 0.0, ..terms }, "");
    kill(&mut out, 1);
    scroll(&mut out, 1, 3);
    let text = String::from_utf8(out).unwrap();
    let expected = "PULL 00000000000000ab kind=reporte,ms=1500,mem=96,prio=2 8\r\nSELECT 1\r\n\
                    PULL 00000000000000ab kind=reporte,ms=1500,prio=2 0\r\n\r\n\
                    KILL 0000000000000001\r\nSCROLL 0000000000000001 3\r\n";
    assert_eq!(text, expected);
}

// Answers arrive in fragments, and a body may contain text that looks like a line.
#[test]
fn answers_are_read_whole_or_not_at_all() {
    let input = b"00ab OK pages=2 6\r\na\tb\tc\n\r\np1f UP gauges=inflight:7;x1:0.5;new:1 0\r\n\r\n";
    let (n, first) = next(input).unwrap().unwrap();
    assert!((0..n).all(|to| next(&input[..to]).unwrap().is_none()));
    assert_eq!(
        first,
        Answer::Request {
            id: 0xab,
            kind: AnswerKind::Ok { pages: Some(2) },
            body: b"a\tb\tc\n",
            gauges: None
        }
    );
    let (_, second) = next(&input[n..]).unwrap().unwrap();
    let gauges = Gauges { inflight: Some(7.0), x1: Some(0.5), ..Gauges::default() };
    assert_eq!(second, Answer::Probe { tag: 0x1f, up: true, gauges: Some(gauges) });
    let (_, note) = next(b"1 NOTE res=done,v=0.4 0\r\n\r\n").unwrap().unwrap();
    assert_eq!(
        note,
        Answer::Request {
            id: 1,
            kind: AnswerKind::Progress(Some(Progress::Done(0.4))),
            body: b"",
            gauges: None
        }
    );
    // Answers to requests may carry a load report in the same form as answers to probes.
    let (_, told) = next(b"1 OK pages=1,gauges=inflight:7;util:0.61 0\r\n\r\n").unwrap().unwrap();
    let gauges = Gauges { inflight: Some(7.0), util: Some(0.61), ..Gauges::default() };
    assert!(matches!(told, Answer::Request { gauges: Some(g), .. } if g == gauges));
}

// A malformed line closes the connection, so it must be told apart from an incomplete one.
#[test]
fn bad_lines_are_told_from_short_ones() {
    let long = [b'x'; MAX_LINE_BYTES];
    for line in ["\r\n", "1 WHAT - 0\r\n\r\n", "1 ERR - 999999\r\n", "1 ERR - 1\r\nabc", "1 ERR - 0\n"] {
        assert!(next(line.as_bytes()).is_err(), "{line:?}");
    }
    assert!(next(&long).is_err());
}
