use super::*;

// Many pieces are under way at once: each comes its delay after it was written, none waits for the one before.
#[test]
fn pieces_under_way_do_not_wait_for_each_other() {
    let delay = Duration::from_millis(60);
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = DelayedLink::new(delay).unwrap();
    link.leads_to(target.local_addr().unwrap());
    let mut near = TcpStream::connect(link.address).unwrap();
    let (mut far, _) = target.accept().unwrap();
    near.set_nodelay(true).unwrap();
    let begun = Instant::now();
    for n in 0..20_u8 {
        near.write_all(&[n]).unwrap();
        thread::sleep(Duration::from_millis(5));
    }
    let mut got = [0; 20];
    far.read_exact(&mut got).unwrap();
    assert_eq!(got.to_vec(), (0..20).collect::<Vec<u8>>());
    // One after the other they would take twenty delays.
    assert!(begun.elapsed() >= delay && begun.elapsed() < delay * 20, "{:?}", begun.elapsed());
    drop(far);
    assert_eq!(near.read(&mut got).unwrap_or(0), 0, "an end passes, too");
}
