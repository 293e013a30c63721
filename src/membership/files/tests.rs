use super::*;
use std::os::unix::fs::symlink;

const BOUNDS: Bounds = Bounds { most_bytes: 1 << 16, most_files: 3 };

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("ottercroft-files-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

// What stands at the path may be anything: none of it may hang, be read without bound or pass for a list.
#[test]
fn what_is_no_file_is_told_and_never_waited_for() {
    let dir = folder("odd");
    let tell = |p: &Path| read(p, BOUNDS, true).unwrap_err().to_string();
    assert!(tell(&dir.join("none")).contains("No such file"));
    assert!(tell(&dir).contains("without a file"));
    let fifo = dir.join("fifo.hcl");
    assert!(std::process::Command::new("mkfifo").arg(&fifo).status().unwrap().success());
    assert!(tell(&fifo).contains("no regular file"));
    std::fs::remove_file(&fifo).unwrap();
    let large = dir.join("large.hcl");
    File::create(&large).unwrap().set_len(200 << 20).unwrap();
    assert!(tell(&large).contains("65536 are allowed"));
    std::fs::write(&large, [0xff, 0xfe]).unwrap();
    assert!(tell(&large).contains("no UTF-8"));
    symlink(dir.join("nowhere"), dir.join("gone.hcl")).unwrap();
    assert!(tell(&dir).contains("gone.hcl"));
    std::fs::remove_dir_all(dir).unwrap();
}

// A directory is read as one version: hidden files and others are not its list, a swapped link shows.
#[test]
fn a_swapped_link_is_another_version() {
    let dir = folder("links");
    for (v, text) in [("1", "one"), ("2", "two")] {
        std::fs::create_dir(dir.join(v)).unwrap();
        std::fs::write(dir.join(v).join("a.hcl"), text).unwrap();
    }
    symlink("1", dir.join("..data")).unwrap();
    symlink("..data/a.hcl", dir.join("a.hcl")).unwrap();
    std::fs::write(dir.join("README"), "no list").unwrap();
    let first = read(&dir, BOUNDS, true).unwrap();
    assert_eq!(first.files, [("a.hcl".to_string(), "one".to_string())]);
    assert_eq!(stamp(&dir, BOUNDS).unwrap(), first.stamp);
    symlink("2", dir.join("..tmp")).unwrap();
    std::fs::rename(dir.join("..tmp"), dir.join("..data")).unwrap();
    assert_ne!(stamp(&dir, BOUNDS).unwrap(), first.stamp);
    assert_eq!(read(&dir, BOUNDS, true).unwrap().files[0].1, "two");
    std::fs::remove_dir_all(dir).unwrap();
}

// A file that is written in place while it is read must never come out as a mixture of two versions: the reading
// notices the change. The verdict hung on how long a thread may stand still, and a failure left the writer
// running for ever.
#[test]
fn a_file_written_while_it_is_read_is_never_mixed() {
    use std::io::{Seek, Write};
    use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
    struct Stop<'a>(&'a AtomicBool);
    impl Drop for Stop<'_> {
        fn drop(&mut self) {
            self.0.store(true, SeqCst);
        }
    }
    let dir = folder("mixed");
    let at = dir.join("a.hcl");
    let version = |n: u8| vec![b'a' + n; 40_000];
    std::fs::write(&at, version(0)).unwrap();
    // Odd while a version is half written.
    let (stop, half) = (AtomicBool::new(false), AtomicU64::new(0));
    std::thread::scope(|s| {
        s.spawn(|| {
            let mut file = OpenOptions::new().write(true).open(&at).unwrap();
            for n in (0..26).cycle().take_while(|_| !stop.load(SeqCst)) {
                half.fetch_add(1, SeqCst);
                file.rewind().unwrap();
                file.write_all(&version(n)[..20_000]).unwrap();
                file.write_all(&version(n)[20_000..]).unwrap();
                half.fetch_add(1, SeqCst);
                std::thread::sleep(std::time::Duration::from_millis(1));
            }
        });
        let _stop = Stop(&stop);
        let (mut clean, mut noticed, begun) = (0, 0, std::time::Instant::now());
        while clean < 20 || noticed == 0 {
            assert!(begun.elapsed().as_secs() < 60, "{clean} clean readings, {noticed} changes noticed");
            let before = half.load(SeqCst);
            match read(&at, BOUNDS, true) {
                Ok(one) if before % 2 == 0 && half.load(SeqCst) == before => {
                    let text = one.files[0].1.as_bytes();
                    assert!(text.len() == 40_000 && text.iter().all(|b| *b == text[0]));
                    clean += 1;
                }
                Ok(_) => {}
                Err(_) => noticed += 1,
            }
        }
    });
    std::fs::remove_dir_all(dir).unwrap();
}
