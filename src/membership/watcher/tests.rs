use super::*;
use crate::membership::check::Terms;
use crate::membership::check::tests::catalog;
use crate::membership::files::Bounds;
use crate::membership::keep;
use crate::membership::list::{sealed, tests::TWO};
use crate::settings::options::{self, Safeguard, Source};

fn rules() -> Rules {
    Rules {
        terms: Terms { loopback: true, ..Terms::default() },
        catalog: Some(catalog()),
        bounds: Bounds { most_bytes: 1 << 16, most_files: 9 },
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

// A file that is torn while it is written is waited for; only one that stays so is told of, once.
#[test]
fn a_torn_file_is_told_once_it_stays_torn() {
    let (rules, at) = (rules(), source("torn"));
    let whole = sealed("f", TWO, false, false).unwrap();
    std::fs::write(&at.path, &whole[..whole.len() / 2]).unwrap();
    let mut f = Followed::new(&at, &rules);
    let begun = now();
    assert!(f.look(begun, &rules).is_none());
    assert!(f.look(begun + 29_000, &rules).is_none());
    assert!(matches!(f.look(begun + 31_000, &rules), Some(Word::Faulty { .. })));
    assert!(f.look(begun + 32_000, &rules).is_none());
    std::fs::write(&at.path, &whole).unwrap();
    assert!(matches!(f.look(now(), &rules), Some(Word::List(l)) if l.len() == 2));
    std::fs::remove_file(&at.path).unwrap();
}

// The thread sees what comes by rename, and a missing file is one word.
#[test]
fn the_thread_hands_over_what_comes_and_what_is_missing() {
    follows(rules(), &source("thread"));
}

// Notifications are lost when their queue overflows, and some file systems have none: polling is enough.
#[test]
fn without_notifications_polling_sees_the_same() {
    follows(Rules { without: [Safeguard::Notify].into(), ..rules() }, &source("polled"));
}

fn follows(rules: Rules, at: &Source) {
    let mut w = Watcher::start(vec![Followed::new(at, &rules)], rules).unwrap();
    let mut word = || {
        for _ in 0..500 {
            if let Some(h) = w.word() {
                return h.word;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("no word");
    };
    assert!(matches!(word(), Word::Unusable(why) if why.contains("No such file")));
    keep::replace(&at.path, sealed("f", TWO, false, false).unwrap().as_bytes()).unwrap();
    assert!(matches!(word(), Word::List(_)));
    keep::accept(&at.accept, &"0".repeat(16), 1).unwrap();
    assert!(matches!(word(), Word::Accepted(all) if all.len() == 1));
    std::fs::remove_file(&at.path).unwrap();
    assert!(matches!(word(), Word::Unusable(_)));
    std::fs::remove_file(&at.accept).unwrap();
}
