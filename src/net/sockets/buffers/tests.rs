use super::*;

// A buffer that does not return to the pool is a leak that grows with every connection.
#[test]
fn buffers_return_to_the_pool() {
    let pool = Pool::new(4 * BLOCK_SIZE);
    let mut out = WriteBuffer::new(&pool);
    out.append(&vec![7; 3 * BLOCK_SIZE]);
    let mut sink = Vec::new();
    assert!(out.flush(&mut sink).unwrap() && out.is_empty());
    assert_eq!((sink.len(), pool.free()), (3 * BLOCK_SIZE, 3));
    let mut read_buffer = ReadBuffer::new(&pool);
    assert_eq!(read_buffer.fill(&mut &b"abcdef"[..]).unwrap(), 6);
    read_buffer.consume(4);
    read_buffer.fill(&mut &b"gh"[..]).unwrap();
    assert_eq!((read_buffer.bytes(), pool.free()), (&b"efgh"[..], 2));
    read_buffer.consume(4);
    assert_eq!(pool.free(), 3);
}
