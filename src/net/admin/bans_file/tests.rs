use super::*;

/// A folder's path, of its own, with nothing there.
fn nowhere(name: &str) -> PathBuf {
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

// A ban that could not be written was told once and then forgotten: the next process started without it.
#[test]
fn bans_are_owed_until_the_folder_takes_them() {
    let folder = nowhere("owed");
    std::fs::write(&folder, "a file where the folder has to be").unwrap();
    let mut file = BansFile::of(&folder, "n 1");
    let bans = banned("e1");
    file.save(&bans);
    file.retry_now(&bans);
    assert!(file.owed);
    std::fs::remove_file(&folder).unwrap();
    std::fs::create_dir(&folder).unwrap();
    file.retry_now(&bans);
    assert!(!file.owed);
    assert_eq!(BansFile::of(&folder, "n 1").handed_over(), bans);
    std::fs::remove_dir_all(&folder).unwrap();
}

// A kill in the middle of a write leaves the file before it, whole.
#[test]
fn a_write_that_was_cut_off_changes_nothing() {
    let folder = nowhere("cut");
    std::fs::create_dir(&folder).unwrap();
    let mut file = BansFile::of(&folder, "n1");
    let bans = banned("e1");
    file.save(&bans);
    let whole = banned("e2").encode("n1");
    for cut in 0..whole.len() {
        // Beside it, as a kill leaves it; and in its place, as a disk may.
        std::fs::write(folder.join(".ottercroft-n1.bans.7.new"), &whole[..cut]).unwrap();
        assert_eq!(file.handed_over(), bans);
        std::fs::write(folder.join("torn.bans"), &whole[..cut]).unwrap();
        let torn = BansFile { path: folder.join("torn.bans"), name: "n1".into(), owed: false };
        assert_eq!(torn.handed_over(), Bans::default(), "cut at {cut}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
