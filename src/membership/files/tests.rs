use super::*;
use std::os::unix::fs::symlink;

const LIMITS: ReadLimits = ReadLimits { max_bytes: 1 << 16, max_files: 3 };

fn directory(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("ottercroft-files-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

// The path may refer to anything: nothing may block the read, be read without a limit or be accepted as a list.
#[test]
fn a_path_that_is_not_a_regular_file_is_rejected_without_blocking() {
    let dir = directory("odd");
    let error_of = |p: &Path| read(p, LIMITS, true).unwrap_err().to_string();
    assert!(error_of(&dir.join("none")).contains("No such file"));
    assert!(error_of(&dir).contains("without a file"));
    let fifo = dir.join("fifo.hcl");
    assert!(std::process::Command::new("mkfifo").arg(&fifo).status().unwrap().success());
    assert!(error_of(&fifo).contains("no regular file"));
    std::fs::remove_file(&fifo).unwrap();
    let large = dir.join("large.hcl");
    File::create(&large).unwrap().set_len(200 << 20).unwrap();
    assert!(error_of(&large).contains("65536 are allowed"));
    std::fs::write(&large, [0xff, 0xfe]).unwrap();
    assert!(error_of(&large).contains("no UTF-8"));
    symlink(dir.join("nowhere"), dir.join("dangling.hcl")).unwrap();
    assert!(error_of(&dir).contains("dangling.hcl"));
    std::fs::remove_dir_all(dir).unwrap();
}

// A directory is read as one version: hidden files and files of other types are ignored, and a replaced link is
// detected.
#[test]
fn a_replaced_link_is_another_version() {
    let dir = directory("links");
    for (v, text) in [("1", "one"), ("2", "two")] {
        std::fs::create_dir(dir.join(v)).unwrap();
        std::fs::write(dir.join(v).join("a.hcl"), text).unwrap();
    }
    symlink("1", dir.join("..data")).unwrap();
    symlink("..data/a.hcl", dir.join("a.hcl")).unwrap();
    std::fs::write(dir.join("README"), "not a list").unwrap();
    let first = read(&dir, LIMITS, true).unwrap();
    assert_eq!(first.files, [("a.hcl".to_string(), "one".to_string())]);
    assert_eq!(stamp(&dir, LIMITS).unwrap(), first.stamp);
    symlink("2", dir.join("..tmp")).unwrap();
    std::fs::rename(dir.join("..tmp"), dir.join("..data")).unwrap();
    assert_ne!(stamp(&dir, LIMITS).unwrap(), first.stamp);
    assert_eq!(read(&dir, LIMITS, true).unwrap().files[0].1, "two");
    std::fs::remove_dir_all(dir).unwrap();
}

// A file that is written in place during a read must never yield a mixture of two versions: the read detects the
// change. The result must not depend on how long a thread is suspended, and a failed assertion has to stop the
// writer.
#[test]
fn a_file_written_during_a_read_never_yields_mixed_versions() {
    use std::io::{Seek, Write};
    use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
    struct Stop<'a>(&'a AtomicBool);
    impl Drop for Stop<'_> {
        fn drop(&mut self) {
            self.0.store(true, SeqCst);
        }
    }
    let dir = directory("mixed");
    let at = dir.join("a.hcl");
    let version = |n: u8| vec![b'a' + n; 40_000];
    std::fs::write(&at, version(0)).unwrap();
    // The count is odd while a version is partially written.
    let (stop, write_count) = (AtomicBool::new(false), AtomicU64::new(0));
    std::thread::scope(|s| {
        s.spawn(|| {
            let mut file = OpenOptions::new().write(true).open(&at).unwrap();
            for n in (0..26).cycle().take_while(|_| !stop.load(SeqCst)) {
                write_count.fetch_add(1, SeqCst);
                file.rewind().unwrap();
                file.write_all(&version(n)[..20_000]).unwrap();
                file.write_all(&version(n)[20_000..]).unwrap();
                write_count.fetch_add(1, SeqCst);
                std::thread::sleep(std::time::Duration::from_millis(1));
            }
        });
        let _stop = Stop(&stop);
        let (mut complete, mut detected, started) = (0, 0, std::time::Instant::now());
        while complete < 20 || detected == 0 {
            assert!(
                started.elapsed().as_secs() < 60,
                "{complete} complete reads, {detected} changes detected"
            );
            let before = write_count.load(SeqCst);
            match read(&at, LIMITS, true) {
                Ok(one) if before % 2 == 0 && write_count.load(SeqCst) == before => {
                    let text = one.files[0].1.as_bytes();
                    assert!(text.len() == 40_000 && text.iter().all(|b| *b == text[0]));
                    complete += 1;
                }
                Ok(_) => {}
                Err(_) => detected += 1,
            }
        }
    });
    std::fs::remove_dir_all(dir).unwrap();
}

// A file that grows while it is read may be longer than what is left of the limit. Without the check for changes the rest
// was computed below zero: a panic, or no limit at all for the files after it.
#[test]
fn a_file_that_is_longer_than_its_size_stays_within_the_limit() {
    // A file of the system whose recorded size is 0 and that has a content.
    let grown = Path::new("/proc/self/status");
    let limits = ReadLimits { max_bytes: 0, ..LIMITS };
    let error = read(grown, limits, false).unwrap_err().to_string();
    assert!(error.contains("max_size"), "{error}");
}
