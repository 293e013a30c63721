use super::*;

fn login(user: &str) -> Vec<u8> {
    let mut body = (0x200u32 | 0x8000 | 0x8).to_le_bytes().to_vec();
    body.extend_from_slice(&[0; 28]);
    body.extend_from_slice(format!("{user}\0\0main\0").as_bytes());
    let mut bytes = vec![body.len() as u8, 0, 0, 1];
    bytes.extend(body);
    bytes
}

// Clients may write login and first query in one go, and the bytes may come one at a time.
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

// Nothing from outside may panic or be taken for something else.
#[test]
fn what_is_malformed_or_too_large_is_an_error() {
    assert_eq!(Server::default().next(&login("root")).unwrap_err().code, 1045);
    assert_eq!(Server::default().next(&[3, 0, 0, 1, 0, 2, 0]).unwrap_err().code, 1835);
    let mut server = Server { logged_in: true, sequence: 0 };
    assert_eq!(server.next(&[0, 0, 0, 0]).unwrap_err().code, 1835);
    assert_eq!(server.next(&[0, 0, 1, 0, 3]).unwrap_err().code, 1153);
    assert_eq!(server.next(&[1, 0, 0, 0, 22]).unwrap(), Some((5, Command::Other(22))));
}

// A result of more than 256 packets goes round the one byte that numbers them.
#[test]
fn sequence_ids_wrap_in_a_long_result() {
    let (mut server, mut out) = (Server::default(), Vec::new());
    (0..300).for_each(|_| server.row([&b"a"[..]].into_iter(), &mut out));
    let ids: Vec<u8> = out.chunks(6).map(|p| p[3]).collect();
    assert_eq!((ids[255], ids[256], ids[299]), (255, 0, 43));
}
