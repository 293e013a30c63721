use super::*;

// The toy executor of old took 244 ms for work of 200: it wrote an answer in pieces, and each waited for an
// acknowledgement that the other side delays by 40 ms. All measurements stand on answers that go out at once:
// the best of a few is near the work, whatever the machine does beside.
#[test]
fn an_answer_comes_when_the_work_is_done() {
    let executor = Executor::new(|_| Duration::from_millis(50)).unwrap();
    let mut stream = TcpStream::connect(executor.address).unwrap();
    let mut from = BufReader::new(stream.try_clone().unwrap());
    let best = (0..5)
        .map(|n| {
            let begun = Instant::now();
            stream.write_all(format!("PULL {n:016x} kind=a,ms=9 3\r\nabc\r\n").as_bytes()).unwrap();
            let mut lines = String::new();
            while !lines.ends_with("\r\n") || lines.lines().count() < 4 {
                assert!(from.read_line(&mut lines).unwrap() > 0);
            }
            begun.elapsed()
        })
        .min()
        .unwrap();
    assert!(best >= Duration::from_millis(50) && best < Duration::from_millis(75), "{best:?}");
    // It is noted once it is written: the last note may come after the client has read the answer.
    let (begun, noted) =
        (Instant::now(), || executor.pulls().iter().filter(|p| p.answered.is_some()).count());
    while noted() < 5 && begun.elapsed() < Duration::from_secs(10) {
        thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(noted(), 5);
}

// A killed request is not answered, and what runs beside it is.
#[test]
fn a_killed_request_is_not_answered() {
    let executor = Executor::new(|p| Duration::from_millis(if p.id == "1" { 5_000 } else { 60 })).unwrap();
    let mut stream = TcpStream::connect(executor.address).unwrap();
    stream.write_all(b"PULL 1 kind=a 1\r\na\r\nPULL 2 kind=a 1\r\nb\r\nKILL 1\r\n").unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    assert!(line.starts_with("2 OK pages=1 "), "{line}");
    assert_eq!(executor.pulls()[0].answered, None);
}
