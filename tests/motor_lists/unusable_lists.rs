//! Lists that are broken, or take away much, and starts with them.

use super::*;

// A file that is torn, empty, gone or no file leaves the list in force, and each is told of.
#[test]
fn whatever_becomes_of_the_file_the_list_in_force_stays() {
    let (e1, place) = (Executor::new(), place());
    place.put(&list(&[("e1", e1.address, "")]));
    let (mut d, _coordinator) = place.launch().dispatcher(&[]);
    let whole = std::fs::read_to_string(&place.list).unwrap();
    // Each in one step: a file that is written in place is empty for a moment, and seen so on a busy machine.
    place.put_as_is(&whole[..whole.len() * 2 / 3]);
    d.logs("motor list refused; what was in force stays");
    place.put_as_is("");
    d.logs("motor list refused; what was in force stays");
    std::fs::remove_file(&place.list).unwrap();
    d.logs("motor list can't be read; what was in force stays");
    std::fs::create_dir(&place.list).unwrap();
    d.logs("a directory without a file");
    let mut client = Client::asks(d.address, &read(1));
    let mut peer = e1.accept();
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
    std::fs::remove_dir(&place.list).unwrap();
    place.put(&list(&[("e1", e1.address, "weight = 2")]));
    d.logs("motor list in force");
}

// A valid list that takes away much waits for a person, and the command that the log line names lets it in.
#[test]
fn a_list_that_takes_away_much_is_taken_once_it_is_accepted() {
    let (e, mut place) = ([Executor::new(), Executor::new(), Executor::new()], place());
    // Acceptances stand elsewhere than beside the list: the log line's command has to say so.
    place.more.clear();
    place.accept = format!("accept = {:?}", place.dir.join("accepted"));
    let all = ["e0", "e1", "e2"].map(|uid| (uid, e[usize::from(uid.as_bytes()[1] - b'0')].address, ""));
    place.put(&list(&all));
    let (mut d, _coordinator) = place.launch().dispatcher(&[]);
    place.put(&list(&all[..1]));
    let line = d.logs("motor list held back");
    let command = line.split("ottercroft ").nth(1).unwrap().split(" source=").next().unwrap();
    let words: Vec<&str> = command.split_whitespace().collect();
    assert_eq!((words[0], words[1]), ("lists", "accept"), "{line}");
    let out = cli(&words);
    assert!(out.status.success(), "{out:?}");
    assert!(d.logs("motor list in force").contains("left=2"));
}

// The folder of last good lists fails for a while: a list that could not be kept was told once and then forgotten, and
// the next start had none.
#[test]
fn a_list_that_can_not_be_kept_is_kept_once_its_folder_is_there() {
    let (e1, mut place) = (Executor::new(), place());
    let kept = place.dir.join("kept");
    std::fs::write(&kept, "a file where the folder has to be").unwrap();
    place.tops = format!(" precedence = [\"salas\"]\n last_good = {kept:?}");
    place.put(&list(&[("e1", e1.address, "")]));
    let (mut d, _coordinator) = place.launch().dispatcher(&[]);
    d.logs("no last good copy kept");
    std::fs::remove_file(&kept).unwrap();
    std::fs::create_dir(&kept).unwrap();
    awaited("the kept list", || kept.join("salas.last-good").exists());
    drop(d);
    std::fs::write(&place.list, "room \"a\" {").unwrap();
    let (d, _coordinator) = place.launch().dispatcher(&[]);
    let mut client = Client::asks(d.address, &read(1));
    let mut peer = e1.accept();
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
}

// A start with a broken file goes on with the last good list; with neither it serves and refuses with a time to
// come back, or ends, as the settings say. A damaged copy is no list.
#[test]
fn a_start_with_a_broken_file_uses_the_last_good_list() {
    let (e1, mut place) = (Executor::new(), place());
    let kept = place.dir.join("kept");
    std::fs::create_dir(&kept).unwrap();
    place.tops = format!(" precedence = [\"salas\"]\n last_good = {kept:?}");
    place.put(&list(&[("e1", e1.address, "")]));
    let copy = kept.join("salas.last-good");
    let (d, _coordinator) = place.launch().dispatcher(&[]);
    // It is written by the thread of the lists, at its leisure.
    for _ in 0..400 {
        if copy.exists() {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    drop(d);
    std::fs::write(&place.list, "room \"a\" {").unwrap();
    let (d, _coordinator) = place.launch().dispatcher(&[]);
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
    let (d, _coordinator) = place.launch().dispatcher(&[]);
    let mut client = Client::asks(d.address, &read(2));
    assert!(matches!(client.got(), Got::Error(1203, text) if text.contains("backoff=")));
    drop(d);

    place.tops.push_str("\n on_empty = \"exit\"");
    let launch = place.launch();
    let (mut child, _) = launch.spawn(&launch.config("127.0.0.1:9".parse().unwrap(), &[]));
    let mut log = String::new();
    std::io::Read::read_to_string(&mut child.stderr.take().unwrap(), &mut log).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(1));
    assert!(log.contains("damaged") && log.contains("none can be used"), "{log}");
}
