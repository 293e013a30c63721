use super::*;

/// A path of its own at which nothing exists.
fn unused_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("ottercroft-bans-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let _ = std::fs::remove_file(&path);
    path
}

fn banned(id: &str) -> Bans {
    let mut bans = Bans::default();
    bans.offline(id, true).unwrap();
    bans
}

// A ban that can't be written must be retried: otherwise the next process starts without it.
#[test]
fn unsaved_bans_are_written_once_the_directory_is_writable() {
    let directory = unused_path("unsaved");
    std::fs::write(&directory, "a file in place of the directory").unwrap();
    let mut file = BansFile::new(&directory, "n 1");
    let bans = banned("e1");
    file.save(&bans);
    file.retry_now(&bans);
    assert!(file.unsaved);
    std::fs::remove_file(&directory).unwrap();
    std::fs::create_dir(&directory).unwrap();
    file.retry_now(&bans);
    assert!(!file.unsaved);
    assert_eq!(BansFile::new(&directory, "n 1").load(), bans);
    std::fs::remove_dir_all(&directory).unwrap();
}

// A process that is killed in the middle of a write leaves the previous file intact.
#[test]
fn an_interrupted_write_changes_nothing() {
    let directory = unused_path("cut");
    std::fs::create_dir(&directory).unwrap();
    let mut file = BansFile::new(&directory, "n1");
    let bans = banned("e1");
    file.save(&bans);
    let whole = banned("e2").encode("n1");
    for cut in 0..whole.len() {
        // A partial temporary file, as a killed process leaves it, and a partial file, as a disk failure may leave it.
        std::fs::write(directory.join(".ottercroft-n1.bans.7.new"), &whole[..cut]).unwrap();
        assert_eq!(file.load(), bans);
        std::fs::write(directory.join("torn.bans"), &whole[..cut]).unwrap();
        let torn = BansFile { path: directory.join("torn.bans"), name: "n1".into(), unsaved: false };
        assert_eq!(torn.load(), Bans::default(), "cut at {cut}");
    }
    std::fs::remove_dir_all(&directory).unwrap();
}

// A sync took 2.4 s on a disk that was busy with other files, in which the event loop answered nobody and the other process
// of an upgrade learned nothing. The file has to outlive the process alone.
#[test]
fn a_write_does_not_wait_for_the_disk() {
    let directory = unused_path("sync");
    std::fs::create_dir(&directory).unwrap();
    let path = directory.join("synced");
    storage::write_atomically(&path, b"synced", Durability::Machine).unwrap();
    let before = storage::tests::syncs();
    assert!(before > 0, "syncs are counted");
    let mut file = BansFile::new(&directory, "n1");
    file.save(&banned("e1"));
    assert_eq!(file.load(), banned("e1"));
    assert_eq!(storage::tests::syncs(), before);
    std::fs::remove_dir_all(&directory).unwrap();
}
