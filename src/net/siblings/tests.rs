mod shared_bans;

use super::*;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;

/// A directory of its own, removed at the end.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> TestDirectory {
        let path = std::env::temp_dir().join(format!("ottercroft-siblings-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TestDirectory(path)
    }

    fn join(&self, first_id: u64, poll: &Poll) -> io::Result<Siblings> {
        Siblings::start(self.0.clone(), "127.0.0.1:1".parse().unwrap(), first_id, 0, poll)
    }

    fn pipes(&self) -> usize {
        fs::read_dir(&self.0).unwrap().count()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

// A process that is stopped does not read its pipe. What waits for it must stay bounded, the calls for it must end, and it
// must get what was kept for it once it reads again.
#[test]
fn a_process_that_does_not_read_costs_bounded_memory_and_time() {
    let (directory, poll) = (TestDirectory::new("stopped"), Poll::new().unwrap());
    let mut stopped = directory.join(1, &poll).unwrap();
    let mut asking = directory.join(2, &poll).unwrap();
    stopped.receive();
    let id = stopped.me;
    let message = Message::Kill { from: asking.me, token: 7, connection: 9 };
    let sent = (0..20_000).filter(|_| asking.send(id, message.clone(), 0)).count();
    assert!(sent > 1_000 && sent < 20_000, "{sent} of 20000 were kept");
    assert!(asking.forward_kill(3, 9, 0), "it is asked all the same");
    asking.tick(300_000, &poll);
    assert_eq!(asking.kill_outcomes, [KillOutcome { client: 3, connection: 9, found: false }]);
    let mut received = 0;
    for turn in 1..200 {
        stopped.receive();
        received += std::iter::from_fn(|| stopped.received.pop_front()).count();
        asking.tick(300_000 + turn * RETRY_DELAY, &poll);
    }
    assert_eq!(received, sent);
}

// A process that was killed leaves its pipe behind: the others have to notice, and the next one to clean up.
#[test]
fn a_process_that_has_ended_is_forgotten_and_the_next_one_removes_its_pipe() {
    let (directory, poll) = (TestDirectory::new("ended"), Poll::new().unwrap());
    let mut asking = directory.join(1, &poll).unwrap();
    let ended = directory.join(2, &poll).unwrap();
    asking.receive();
    assert_eq!((asking.others.len(), directory.pipes()), (1, 2));
    drop(ended);
    assert!(asking.forward_kill(3, 9, 0));
    assert_eq!(asking.kill_outcomes, [KillOutcome { client: 3, connection: 9, found: false }]);
    assert_eq!((asking.others.len(), directory.pipes()), (0, 2));
    drop(asking);
    let next = directory.join(3, &poll).unwrap();
    assert_eq!((next.others.len(), directory.pipes()), (0, 1));
}

// New versions that end at once, as in a crash loop, must not fill the places of the processes that are known: a later one
// would get neither bans nor KILLs.
#[test]
fn processes_that_ended_before_they_were_written_to_leave_room_for_later_ones() {
    let (directory, poll) = (TestDirectory::new("crashes"), Poll::new().unwrap());
    let mut process = directory.join(1, &poll).unwrap();
    for id in 2..=2 * MAX_SIBLINGS as u64 {
        let ended = directory.join(id, &poll).unwrap();
        process.receive();
        drop(ended);
    }
    let later = directory.join(100, &poll).unwrap();
    process.receive();
    assert!(process.others.contains_key(&later.me));
    process.tick(SCAN_PERIOD, &poll);
    assert_eq!(process.others.len(), 1);
    directory.join(101, &poll).unwrap();
    assert_eq!(directory.pipes(), 3, "pipes of processes that ended are removed at the next start");
}

// A directory that others may use, or a file in place of a pipe, must not be used.
#[test]
fn what_others_may_write_is_not_used() {
    let (directory, poll) = (TestDirectory::new("foreign"), Poll::new().unwrap());
    fs::create_dir(&directory.0).unwrap();
    fs::set_permissions(&directory.0, fs::Permissions::from_mode(0o777)).unwrap();
    assert!(directory.join(1, &poll).is_err());
    fs::set_permissions(&directory.0, fs::Permissions::from_mode(0o700)).unwrap();
    fs::write(directory.0.join("127.0.0.1:1-0000000000000005"), "a file").unwrap();
    let pipe = directory.0.join("127.0.0.1:1-0000000000000006");
    nix::unistd::mkfifo(&pipe, nix::sys::stat::Mode::S_IRWXU).unwrap();
    fs::set_permissions(&pipe, fs::Permissions::from_mode(0o666)).unwrap();
    let _reader = fs::OpenOptions::new().read(true).write(true).open(&pipe).unwrap();
    assert!(directory.join(1, &poll).unwrap().others.is_empty());
}

// Bytes that are no message must neither stop the process nor what comes after them.
#[test]
fn bytes_that_are_no_message_are_discarded() {
    use std::io::Write;
    let (directory, poll) = (TestDirectory::new("bytes"), Poll::new().unwrap());
    let mut process = directory.join(1, &poll).unwrap();
    let mut pipe = process.directory.open_pipe(process.me).unwrap().unwrap();
    pipe.write_all(&[0xff; 3000]).unwrap();
    process.receive();
    assert_eq!(process.received.pop_front(), None);
    let message = Message::KillResult { from: InstanceId(2), token: 1, found: true };
    // A frame of a later version, whose kind of message is not known here, is passed over.
    pipe.write_all(&fleet::wire::Framing { check: 0x7369_626c }.encode(&(200u8, 1u64))).unwrap();
    let bytes = message::encode(&message).unwrap();
    pipe.write_all(&bytes[..5]).unwrap();
    process.receive();
    pipe.write_all(&bytes[5..]).unwrap();
    process.receive();
    assert_eq!(process.received.pop_front(), Some(message));
}

// A pipe without other writers must not count as readable: the event loop would spin.
#[test]
fn an_empty_pipe_is_not_readable() {
    let (directory, poll) = (TestDirectory::new("empty"), Poll::new().unwrap());
    let _process = directory.join(1, &poll).unwrap();
    drop(directory.join(2, &poll).unwrap());
    let mut process = directory.join(3, &poll).unwrap();
    process.receive();
    let mut events = polling::Events::new();
    poll.wait(&mut events, Duration::from_millis(20)).unwrap();
    let ready: Vec<Key> = events.iter().map(|e| e.key).filter(|key| process.owns(*key)).collect();
    assert!(ready.is_empty(), "{ready:?}");
}
