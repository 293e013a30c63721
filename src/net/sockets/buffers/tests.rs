use super::*;

// A buffer that does not return to the pool is a leak that grows with every connection.
#[test]
fn buffers_go_round() {
    let pool = Pool::new(4 * BLOCK_SIZE);
    let mut out = Outbox::new(&pool);
    out.append(&vec![7; 3 * BLOCK_SIZE]);
    let mut sink = Vec::new();
    assert!(out.flush(&mut sink).unwrap() && out.is_empty());
    assert_eq!((sink.len(), pool.free()), (3 * BLOCK_SIZE, 3));
    let mut inbox = Inbox::new(&pool);
    assert_eq!(inbox.fill(&mut &b"abcdef"[..]).unwrap(), 6);
    inbox.consume(4);
    inbox.fill(&mut &b"gh"[..]).unwrap();
    assert_eq!((inbox.bytes(), pool.free()), (&b"efgh"[..], 2));
    inbox.consume(4);
    assert_eq!(pool.free(), 3);
}
