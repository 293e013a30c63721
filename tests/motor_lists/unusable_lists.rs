//! Lists that are unusable or remove much capacity, also at a start.

use super::*;

// A truncated, empty or missing file, or a directory in its place, leaves the list in force, and each is logged.
#[test]
fn the_list_in_force_stays_when_the_file_is_unusable() {
    let (e1, fixture) = (Executor::new(), fixture());
    fixture.write_sealed(&list(&[("e1", e1.address, "")]));
    let (mut d, _coordinator) = fixture.launch().dispatcher(&[]);
    let whole = std::fs::read_to_string(&fixture.list).unwrap();
    // Each change is atomic: a file that is written in place is empty for a moment, which a busy machine may observe.
    fixture.write_unsealed(&whole[..whole.len() * 2 / 3]);
    d.logs("motor list rejected; the list in force stays");
    fixture.write_unsealed("");
    d.logs("motor list rejected; the list in force stays");
    std::fs::remove_file(&fixture.list).unwrap();
    d.logs("motor list can't be read; the list in force stays");
    std::fs::create_dir(&fixture.list).unwrap();
    d.logs("a directory without a file");
    let mut client = Client::asks(d.address, &read(1));
    let mut peer = e1.accept();
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
    std::fs::remove_dir(&fixture.list).unwrap();
    fixture.write_sealed(&list(&[("e1", e1.address, "weight = 2")]));
    d.logs("motor list in force");
}

// A valid list that removes much capacity is held back until it is accepted with the command in the log line.
#[test]
fn a_held_back_list_comes_into_force_once_accepted() {
    let (e, mut fixture) = ([Executor::new(), Executor::new(), Executor::new()], fixture());
    // The acceptances are not next to the list, so the command in the log line has to name their file.
    fixture.guard.clear();
    fixture.accept = format!("accept = {:?}", fixture.dir.join("accepted"));
    let all = ["e0", "e1", "e2"].map(|uid| (uid, e[usize::from(uid.as_bytes()[1] - b'0')].address, ""));
    fixture.write_sealed(&list(&all));
    let (mut d, _coordinator) = fixture.launch().dispatcher(&[]);
    fixture.write_sealed(&list(&all[..1]));
    let line = d.logs("motor list held back");
    let command = line.split("ottercroft ").nth(1).unwrap().split(" source=").next().unwrap();
    let words: Vec<&str> = command.split_whitespace().collect();
    assert_eq!((words[0], words[1]), ("lists", "accept"), "{line}");
    let out = cli(&words);
    assert!(out.status.success(), "{out:?}");
    assert!(d.logs("motor list in force").contains("left=2"));
}

// When the directory of the last good lists is not writable for a while, saving has to be retried: otherwise the next
// start has no last good list.
#[test]
fn a_last_good_list_is_saved_once_its_directory_exists() {
    let (e1, mut fixture) = (Executor::new(), fixture());
    let last_good = fixture.dir.join("last_good");
    std::fs::write(&last_good, "a file in place of the directory").unwrap();
    fixture.list_options = format!(" precedence = [\"salas\"]\n last_good = {last_good:?}");
    fixture.write_sealed(&list(&[("e1", e1.address, "")]));
    let (mut d, _coordinator) = fixture.launch().dispatcher(&[]);
    d.logs("can't save the last good copy");
    std::fs::remove_file(&last_good).unwrap();
    std::fs::create_dir(&last_good).unwrap();
    awaited("the saved list", || last_good.join("salas.last-good").exists());
    drop(d);
    std::fs::write(&fixture.list, "room \"a\" {").unwrap();
    let (d, _coordinator) = fixture.launch().dispatcher(&[]);
    let mut client = Client::asks(d.address, &read(1));
    let mut peer = e1.accept();
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
}

// A start with an invalid file uses the last good list. Without either, the dispatcher rejects requests with a retry time
// or exits, as set by `on_empty`. A damaged copy is not used.
#[test]
fn a_start_with_a_broken_file_uses_the_last_good_list() {
    let (e1, mut fixture) = (Executor::new(), fixture());
    let last_good = fixture.dir.join("last_good");
    std::fs::create_dir(&last_good).unwrap();
    fixture.list_options = format!(" precedence = [\"salas\"]\n last_good = {last_good:?}");
    fixture.write_sealed(&list(&[("e1", e1.address, "")]));
    let copy = last_good.join("salas.last-good");
    let (d, _coordinator) = fixture.launch().dispatcher(&[]);
    // The watcher thread writes it asynchronously.
    for _ in 0..400 {
        if copy.exists() {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    drop(d);
    std::fs::write(&fixture.list, "room \"a\" {").unwrap();
    let (d, _coordinator) = fixture.launch().dispatcher(&[]);
    let mut client = Client::asks(d.address, &read(1));
    let mut peer = e1.accept();
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
    drop((d, client, peer));

    let mut bytes = std::fs::read(&copy).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&copy, bytes).unwrap();
    let (d, _coordinator) = fixture.launch().dispatcher(&[]);
    let mut client = Client::asks(d.address, &read(2));
    assert!(matches!(client.got(), Got::Error(1203, text) if text.contains("backoff=")));
    drop(d);

    fixture.list_options.push_str("\n on_empty = \"exit\"");
    let launch = fixture.launch();
    let (mut child, _) = launch.spawn(&launch.config("127.0.0.1:9".parse().unwrap(), &[]));
    let mut log = String::new();
    std::io::Read::read_to_string(&mut child.stderr.take().unwrap(), &mut log).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(1));
    assert!(log.contains("damaged") && log.contains("no usable list and no last good copy"), "{log}");
}
