use super::*;
use crate::membership::check::Terms;
use crate::membership::check::tests::catalog;
use crate::membership::files::ReadLimits;
use crate::membership::list::{renew_seal, tests::TWO_EXECUTORS};
use crate::membership::storage;
use crate::settings::options::{self, Safeguard, Source};

fn rules() -> Rules {
    Rules {
        terms: Terms { loopback: true, ..Terms::default() },
        catalog: Some(catalog()),
        limits: ReadLimits { max_bytes: 1 << 16, max_files: 9 },
        settle: Duration::from_millis(30),
        poll: Duration::from_millis(20),
        last_good: None,
        without: BTreeSet::new(),
    }
}

fn source(name: &str) -> Source {
    let path = std::env::temp_dir().join(format!("ottercroft-watch-{}-{name}.hcl", std::process::id()));
    Source { name: name.into(), accept: options::accept_path(&path), path }
}

// A partially written file is reported only if it stays that way for the settling time, and only once.
#[test]
fn a_partially_written_file_is_reported_once_after_settling() {
    let (rules, at) = (rules(), source("partial"));
    let whole = renew_seal("f", TWO_EXECUTORS, false, false).unwrap();
    std::fs::write(&at.path, &whole[..whole.len() / 2]).unwrap();
    let mut f = WatchedList::new(&at, &rules);
    let started = now();
    assert!(f.check(started, &rules).is_none());
    assert!(f.check(started + 29_000, &rules).is_none());
    assert!(matches!(f.check(started + 31_000, &rules), Some(ListReport::Invalid { .. })));
    assert!(f.check(started + 32_000, &rules).is_none());
    std::fs::write(&at.path, &whole).unwrap();
    assert!(matches!(f.check(now(), &rules), Some(ListReport::List(l)) if l.len() == 2));
    std::fs::remove_file(&at.path).unwrap();
}

// The thread detects a file that is renamed into place; a missing file is reported once.
#[test]
fn the_thread_reports_new_and_missing_files() {
    reports_changes(rules(), &source("thread"));
}

// Notifications are lost when their queue overflows, and some file systems have none: polling alone detects the same
// changes.
#[test]
fn polling_detects_the_same_changes_without_notifications() {
    reports_changes(Rules { without: [Safeguard::Notify].into(), ..rules() }, &source("polled"));
}

fn reports_changes(rules: Rules, at: &Source) {
    let mut w = Watcher::start(vec![WatchedList::new(at, &rules)], rules).unwrap();
    let mut report = || {
        for _ in 0..500 {
            if let Some(h) = w.next_report() {
                return h.report;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("no report");
    };
    assert!(matches!(report(), ListReport::Unreadable(why) if why.contains("No such file")));
    storage::write_atomically(
        &at.path,
        renew_seal("f", TWO_EXECUTORS, false, false).unwrap().as_bytes(),
        storage::Durability::Machine,
    )
    .unwrap();
    assert!(matches!(report(), ListReport::List(_)));
    storage::add_acceptance(&at.accept, &"0".repeat(16), 1).unwrap();
    assert!(matches!(report(), ListReport::Accepted(all) if all.len() == 1));
    std::fs::remove_file(&at.path).unwrap();
    assert!(matches!(report(), ListReport::Unreadable(_)));
    std::fs::remove_file(&at.accept).unwrap();
}
