use super::statements::query;
use super::*;
use std::io::Read;

fn names() -> Names {
    let map = |n: &[&str]| n.iter().enumerate().map(|(i, s)| (s.to_string(), i)).collect();
    Names { classes: map(&["lookup"]), tenants: map(&["mart", "cafe"]), zones: map(&[]), kinds: map(&[]) }
}

fn tenant(fields: &str) -> Option<usize> {
    let sql = format!("/* method=lookup,rid=9b1f03aa5c7e2d41,budget=1500{fields} */ SELECT a FROM s_1.t");
    match query(&sql, &names()) {
        Ok(Interpretation::Command(ClientCommand::Request(r, ..))) => r.tenant,
        _ => panic!("not a request"),
    }
}

// Tenant shares depend on the `acct` field. It was not parsed once, so that on a site with shares every
// request was counted without a tenant.
#[test]
fn the_tenant_field_is_parsed() {
    assert_eq!(tenant(",acct=cafe"), Some(1));
    assert_eq!(tenant(",acct=mart"), Some(0));
    assert_eq!(tenant(",acct=nobody"), None);
    assert_eq!(tenant(""), None);
}

/// A session and its client's socket, with the greeting already read.
fn connected(poll: &Poll, pool: &Pool) -> (Session, TcpStream) {
    let at = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(at.local_addr().unwrap()).unwrap();
    client.set_read_timeout(Some(std::time::Duration::from_secs(20))).unwrap();
    let mut s = Session::new(at.accept().unwrap().0, poll, pool, 7, &[33; 20], Occurrence::at(1)).unwrap();
    assert!(s.flush(poll));
    let mut head = [0; 4];
    client.read_exact(&mut head).unwrap();
    client.read_exact(&mut vec![0; usize::from(head[0])]).unwrap();
    (s, client)
}

// Closing a connection with unread client data resets it and discards an answer that is still in the kernel's
// send buffer. The session instead shuts down its write side first, and reads and discards what arrives in
// the meantime without starting it.
#[test]
fn input_on_a_closing_connection_is_discarded_without_a_reset() {
    use std::io::Write;
    let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
    let (mut s, mut client) = connected(&poll, &pool);
    s.answer_ok();
    s.finish(2);
    assert!(s.flush(&poll));
    let mut answer = [0; 11];
    client.read_exact(&mut answer).unwrap();
    assert_eq!(client.read(&mut [0]).unwrap(), 0, "end of stream follows the answer");
    let crossing = b"\x2e\0\0\0\x03/* method=lookup,rid=9b1f03aa5c7e2d41,budget=1 */";
    client.write_all(crossing).unwrap();
    while !s.has_unread() {}
    assert!(
        s.read(Occurrence::at(3)) && s.next_command(&names(), 3).is_none(),
        "the input is read and discarded"
    );
    assert!(!s.has_unread() && !s.close_has_settled(2) && s.close_has_settled(200_000));
    s.close(&poll);
    assert_eq!(client.read(&mut [0]).unwrap(), 0, "no reset");
}

// After a stall, a client's request and its end of stream are both pending: a single read shows only the
// request.
#[test]
fn read_to_end_detects_a_disconnect_after_a_request() {
    use std::io::Write;
    let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
    let (mut s, mut client) = connected(&poll, &pool);
    client.write_all(b"\x05\0\0").unwrap();
    while !s.has_unread() {}
    assert!(s.read(Occurrence::at(2)) && s.read_to_end(), "the client is connected");
    client.write_all(b"\0\x03SET").unwrap();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while !s.has_unread() {}
    assert!(s.read(Occurrence::at(3)) && !s.read_to_end(), "the disconnect is detected");
}

// A client that read a long result slowly was disconnected 30 s after the answer was queued, however steadily it read.
// The limit runs from the last bytes that it took.
#[test]
fn a_slow_reader_is_disconnected_only_once_it_reads_nothing() {
    const STEP: Micros = 20_000_000;
    const TIMEOUT: Micros = 30_000_000;
    let (poll, pool) = (Poll::new().unwrap(), Pool::new(0));
    let (mut s, mut client) = connected(&poll, &pool);
    s.sent_command = true;
    // More than the system buffers.
    let value = [("name".to_string(), "x".repeat(60_000))];
    (0..400).for_each(|_| s.answer_values(&value));
    assert!(s.flush(&poll) && !s.is_flushed() && s.tick(1));
    let mut now = 1;
    for step in 1..=5 {
        now += STEP;
        let before = s.write_buffer.written();
        while s.write_buffer.written() == before {
            client.read_exact(&mut vec![0; 60_000]).unwrap();
            assert!(s.flush(&poll));
        }
        assert!(s.tick(now) && !s.is_flushed(), "step {step}");
    }
    assert!(s.tick(now + TIMEOUT - 1) && !s.tick(now + TIMEOUT));
}

// Two processes of an upgrade have the same seed, and their clocks differ in a few low bits: the ranges in which they count
// overlapped in 6 of 1,000 drawn upgrades, and a KILL could reach the wrong one of two connections.
#[test]
fn processes_that_start_shortly_after_each_other_count_in_other_ranges() {
    const CONNECTIONS: u32 = 100_000;
    let (seed, started) = (0x8c1f_30d2_7a5b_e964, 1_796_365_524_000_000);
    let first = first_connection_id(seed, started);
    let is_close = |later: u64| {
        let distance = first_connection_id(seed, started + later).wrapping_sub(first);
        distance < CONNECTIONS || distance > CONNECTIONS.wrapping_neg()
    };
    let close = (1..=1_000).filter(|n| is_close(n * 10_007)).count();
    assert_eq!(close, 0, "of 1000 starts within ten seconds");
}
