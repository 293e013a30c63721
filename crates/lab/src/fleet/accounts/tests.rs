use super::*;
use std::time::SystemTime;

fn pull(class: &str, statement: &str, from_ms: u64, to_ms: u64) -> Pull {
    let at = |ms| SystemTime::UNIX_EPOCH + Duration::from_millis(ms);
    let fields = format!("kind={class},ms=9");
    let (statement, ended) = (statement.into(), Some(at(to_ms)));
    Pull { id: String::new(), fields, statement, at: at(from_ms), answered: None, ended }
}

// The checks of all measurements stand on these: a load sent twice, a read that runs at two executors at once.
#[test]
fn what_executors_saw_twice_is_found() {
    let all = [
        pull("load", "INSERT INTO s.t VALUES (t100t)", 0, 50),
        pull("load", "INSERT INTO s.t VALUES (t100t)", 500, 550),
        pull("read", "SELECT t200t FROM s.t", 0, 500),
        pull("read", "SELECT t200t FROM s.t", 100, 300),
        pull("read", "SELECT t300t FROM s.t", 0, 100),
        pull("read", "SELECT t300t FROM s.t", 100, 300),
    ];
    let saw = seen(all.iter(), &BTreeSet::new());
    assert_eq!(saw, Seen { twice: 1, beside: vec![0x200], requests: 3, sends: 6 });
    let with_id = |id: &str| Pull { id: id.into(), ..all[1].clone() };
    assert_eq!((try_of(&with_id("0000000000000102")), try_of(&with_id("x"))), (Some(0x102), None));
}
