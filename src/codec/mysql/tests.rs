use super::*;

fn login(user: &str) -> Vec<u8> {
    let mut body = (0x200u32 | 0x8000 | 0x8).to_le_bytes().to_vec();
    body.extend_from_slice(&[0; 28]);
    body.extend_from_slice(format!("{user}\0\0main\0").as_bytes());
    let mut bytes = vec![body.len() as u8, 0, 0, 1];
    bytes.extend(body);
    bytes
}

// A client may send its login and first query together, and the bytes may arrive one at a time.
#[test]
fn login_and_query_are_read_from_bytes_in_pieces() {
    let mut bytes = login("app");
    bytes.extend_from_slice(b"\x09\0\0\0\x03SELECT 1");
    let (mut server, mut seen, mut from) = (Server::default(), Vec::new(), 0);
    for to in 0..=bytes.len() {
        while let Some((n, command)) = server.next(&bytes[from..to]).unwrap() {
            seen.push(format!("{command:?}"));
            from += n;
        }
    }
    assert_eq!(seen, ["Login", "Query(\"SELECT 1\")"]);
}

// Malformed and oversized input is an error; it must neither panic nor be decoded as another command.
#[test]
fn what_is_malformed_or_too_large_is_an_error() {
    assert_eq!(Server::default().next(&login("root")).unwrap_err().code, 1045);
    assert_eq!(Server::default().next(&[3, 0, 0, 1, 0, 2, 0]).unwrap_err().code, 1835);
    let mut server = Server { logged_in: true, sequence: 0 };
    assert_eq!(server.next(&[0, 0, 0, 0]).unwrap_err().code, 1835);
    assert_eq!(server.next(&[0, 0, 1, 0, 3]).unwrap_err().code, 1153);
    assert_eq!(server.next(&[1, 0, 0, 0, 22]).unwrap(), Some((5, Command::Other(22))));
}

// Sequence ids are one byte and wrap in a result of more than 256 packets.
#[test]
fn sequence_ids_wrap_in_a_long_result() {
    let (mut server, mut out) = (Server::default(), Vec::new());
    (0..300).for_each(|_| server.row([&b"a"[..]].into_iter(), &mut out));
    let ids: Vec<u8> = out.chunks(6).map(|p| p[3]).collect();
    assert_eq!((ids[255], ids[256], ids[299]), (255, 0, 43));
}
