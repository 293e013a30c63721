use super::*;
use crate::membership::list::{ListFile, Wanted};
use proptest::prelude::*;

const S: Micros = 1_000_000;

fn sources(precedence: &[&str]) -> Sources {
    Sources {
        precedence: precedence.iter().map(|n| (*n).to_string()).collect(),
        guard: Guard { most_loss: 1.0, ..Guard::default() },
        drain_limit: Duration::from_secs(60),
        cores: [("k".to_string(), 8.0)].into(),
        without: BTreeSet::new(),
    }
}

/// A motor as tests word it: uid, port, weight, whether it is up.
type Line = (u8, u16, f64, bool);

fn file(name: &str, generation: Option<u64>, room: &str, lines: &[Line]) -> ListFile {
    let motor = |(uid, port, weight, up): &Line| {
        Arc::new(Motor {
            uid: format!("e{uid}").into(),
            room: room.into(),
            address: SocketAddr::from(([10, 0, 0, 1], *port)),
            kind: "k".into(),
            weight: *weight,
            state: if *up { Wanted::Up } else { Wanted::Draining },
        })
    };
    let motores: Vec<_> = lines.iter().map(motor).collect();
    let digest = crate::membership::list::digest(generation, &motores);
    let places = vec![Default::default(); motores.len()];
    ListFile { name: name.into(), generation, motores, places, seal: None, confirm: None, digest }
}

fn list(generation: Option<u64>, lines: &[Line]) -> List {
    List::new(vec![file("f", generation, "a", lines)])
}

fn fed(uid: u8, port: u16, state: State) -> Target {
    let endpoint = Some(SocketAddr::from(([10, 0, 0, 1], port)));
    let (uid, az, model) = (format!("e{uid}"), "a".to_string(), "k".to_string());
    Target { uid, endpoint, az, model, pod_group: 0, state, capacity_hint: None, boot_ms: 0, weight: None }
}

fn states(m: &Members) -> Vec<(String, State)> {
    m.in_force().into_iter().map(|t| (t.uid, t.state)).collect()
}

fn up(uids: &[&str]) -> Vec<(String, State)> {
    uids.iter().map(|u| ((*u).to_string(), State::Up)).collect()
}

fn changes(acts: &[Act]) -> Vec<(&str, State)> {
    let targets = acts.iter().filter_map(|a| if let Act::Change(t) = a { Some(t) } else { None });
    targets.flatten().map(|t| (t.uid.as_str(), t.state)).collect()
}

// A motor that is taken out of its list while it holds a load gets nothing new and stays until the load is done.
#[test]
fn what_a_list_leaves_out_drains_until_it_has_nothing() {
    let mut m = Members::new(sources(&["f"]));
    m.list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    let acts = m.list(2 * S, "f", list(None, &[(2, 2, 1.0, true)]));
    assert_eq!(changes(&acts), [("e1", State::Draining)]);
    assert_eq!(m.tick(9 * S, &|uid| uid == "e1"), []);
    let acts = m.tick(10 * S, &|_| false);
    assert_eq!(changes(&acts), [("e1", State::Removed)]);
    assert!(matches!(acts[1], Act::Gone { after, cut: false, .. } if after == 8 * S));
    // Removed twice is removed once.
    assert_eq!(m.tick(11 * S, &|_| false), []);
    assert_eq!(states(&m), up(&["e2"]));
}

// Work that never ends must not keep a motor for ever.
#[test]
fn a_drain_has_an_end() {
    let mut m = Members::new(sources(&["f"]));
    m.list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    m.list(2 * S, "f", list(None, &[(2, 2, 1.0, true)]));
    assert_eq!(m.tick(61 * S, &|_| true), []);
    assert!(matches!(m.tick(62 * S, &|_| true)[1], Act::Gone { cut: true, .. }));
}

// Taken back in the middle of its drain it goes on as it was: its process never ended.
#[test]
fn a_motor_taken_back_in_its_drain_is_up_again() {
    let mut m = Members::new(sources(&["f"]));
    let both = [(1, 1, 1.0, true), (2, 2, 1.0, true)];
    m.list(S, "f", list(None, &both));
    m.list(2 * S, "f", list(None, &both[1..]));
    assert_eq!(changes(&m.list(3 * S, "f", list(None, &both))), [("e1", State::Up)]);
    assert_eq!(m.tick(4 * S, &|_| false), []);
}

// Weight 0 drains, and a weight that changes is no new motor: only the weight is told.
#[test]
fn weights_change_in_place_and_zero_drains() {
    let mut m = Members::new(sources(&["f"]));
    m.list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    let acts = m.list(2 * S, "f", list(None, &[(1, 1, 0.25, true), (2, 2, 0.0, true)]));
    let Act::Change(targets) = &acts[0] else { panic!("{acts:?}") };
    assert_eq!(changes(&acts), [("e2", State::Draining), ("e1", State::Up)]);
    assert_eq!((targets[1].weight, targets[1].boot_ms), (Some(0.25), 0));
}

// The feed and a file never fight over a motor: the first source in order owns it, whatever the other says,
// and when it lets go the other has it.
#[test]
fn a_motor_has_one_owner() {
    let mut m = Members::new(sources(&["f", "feed"]));
    m.feed(S, true, &[fed(1, 1, State::Up), fed(2, 2, State::Up)]);
    m.list(2 * S, "f", list(None, &[(1, 1, 1.0, false), (3, 3, 1.0, true)]));
    let draining = ("e1".to_string(), State::Draining);
    assert_eq!(states(&m), [&[draining][..], &up(&["e2", "e3"])].concat());
    assert_eq!(
        changes(&m.feed(3 * S, false, &[fed(1, 1, State::Removed), fed(2, 2, State::Removed)])),
        [("e2", State::Removed)]
    );
    m.feed(4 * S, false, &[fed(1, 1, State::Up)]);
    assert_eq!(changes(&m.list(5 * S, "f", list(None, &[(3, 3, 1.0, true)]))), [("e1", State::Up)]);
}

// One machine under two names would get twice its share: the address goes to the first source, told once.
#[test]
fn an_address_has_one_motor_across_sources() {
    let mut m = Members::new(sources(&["f", "feed"]));
    m.list(S, "f", list(None, &[(1, 1, 1.0, true)]));
    let acts = m.feed(2 * S, true, &[fed(7, 1, State::Up), fed(8, 8, State::Up)]);
    assert!(matches!(&acts[0], Act::Shadowed { uid, by, .. } if &**uid == "e7" && &**by == "e1"), "{acts:?}");
    assert_eq!(states(&m), up(&["e1", "e8"]));
    let acts = m.feed(3 * S, false, &[fed(8, 8, State::Up)]);
    assert!(!acts.iter().any(|a| matches!(a, Act::Shadowed { .. })));
}

// An old version that comes back by a late copy or a wrong button must not undo a newer one.
#[test]
fn a_generation_does_not_go_back() {
    let mut m = Members::new(sources(&["f"]));
    let (one, two) = ([(1, 1, 1.0, true)], [(1, 1, 1.0, true), (2, 2, 1.0, true)]);
    m.list(S, "f", list(Some(5), &one));
    for (generation, why) in
        [(Some(4), "older than 5"), (Some(5), "with another content"), (None, "no generation")]
    {
        let acts = m.list(2 * S, "f", list(generation, &two));
        assert!(matches!(&acts[..], [Act::Refused(_, _, w)] if w.contains(why)), "{acts:?}");
        assert_eq!(states(&m), up(&["e1"]));
    }
    m.list(3 * S, "f", list(Some(6), &two));
    assert_eq!(states(&m), up(&["e1", "e2"]));
}

// A valid list may still be a mistake: what takes away much of a room waits for a person, in force or in one
// piece later, and says so again.
#[test]
fn a_list_that_takes_away_much_waits_for_a_person() {
    let mut terms = sources(&["f"]);
    terms.guard = Guard { most_loss: 0.5, ..Guard::default() };
    let four: Vec<Line> = (1..=4).map(|n| (n, n.into(), 1.0, true)).collect();
    let start = || {
        let mut m = Members::new(terms.clone());
        m.list(S, "f", list(None, &four));
        m
    };
    let mut m = start();
    let one = list(None, &four[..1]);
    let acts = m.list(2 * S, "f", one.clone());
    assert!(
        matches!(&acts[..], [Act::Held { losses, again: false, .. }] if losses[0].share == 0.75),
        "{acts:?}"
    );
    assert_eq!(states(&m), up(&["e1", "e2", "e3", "e4"]));
    assert_eq!(m.tick(31 * S, &|_| false), []);
    assert!(matches!(m.tick(32 * S, &|_| false)[..], [Act::Held { again: true, .. }]));
    let acceptance = |at| Acceptance { digest: one.digest.short(), at };
    assert_eq!(m.accept(40 * S, "f", vec![Acceptance { digest: "0123456789abcdef".into(), at: 40 }]), []);
    assert_eq!(changes(&m.accept(41 * S, "f", vec![acceptance(41)])).len(), 3);
    // An acceptance of long ago is not one for today.
    let mut m = start();
    m.accept(2 * S, "f", vec![acceptance(2)]);
    assert!(matches!(m.list(4_000 * S, "f", one.clone())[..], [Act::Held { .. }]));
    // Back to what is in force: nothing waits any more.
    assert!(matches!(m.list(4_001 * S, "f", list(None, &four))[..], [Act::Withdrawn(..)]));
    // The second seal confirms within the file.
    let mut confirmed = one;
    confirmed.files[0].confirm = Some(confirmed.files[0].digest);
    assert_eq!(changes(&m.list(4_002 * S, "f", confirmed)).len(), 3);
}

// Half a room in two steps within a minute is as bad as at once; weights that all fall alike take nothing away.
#[test]
fn losses_add_up_and_only_ratios_of_weights_count() {
    let mut terms = sources(&["f"]);
    terms.guard = Guard { most_loss: 0.4, ..Guard::default() };
    let four: Vec<Line> = (1..=4).map(|n| (n, n.into(), 1.0, true)).collect();
    let mut m = Members::new(terms);
    m.list(S, "f", list(None, &four));
    let halved: Vec<Line> = four.iter().map(|l| (l.0, l.1, 0.01, true)).collect();
    assert!(!m.list(2 * S, "f", list(None, &halved)).iter().any(|a| matches!(a, Act::Held { .. })));
    m.list(3 * S, "f", list(None, &halved[..3]));
    assert_eq!(m.in_force().iter().filter(|t| t.state == State::Up).count(), 3);
    let acts = m.list(4 * S, "f", list(None, &halved[..2]));
    assert!(
        matches!(&acts[..], [Act::Held { losses, .. }] if (losses[0].share - 0.5).abs() < 1e-9),
        "{acts:?}"
    );
    assert!(!m.list(5 * S, "f", list(None, &halved[..3])).iter().any(|a| matches!(a, Act::Held { .. })));
    assert!(!m.list(64 * S, "f", list(None, &halved[..2])).iter().any(|a| matches!(a, Act::Held { .. })));
}

// A room that is renamed loses nothing: its motores are all there.
#[test]
fn a_renamed_room_is_no_loss() {
    let mut terms = sources(&["f"]);
    terms.guard = Guard { most_loss: 0.1, ..Guard::default() };
    let lines = [(1, 1, 1.0, true), (2, 2, 1.0, true)];
    let mut m = Members::new(terms);
    m.list(S, "f", List::new(vec![file("f", None, "a", &lines)]));
    let acts = m.list(2 * S, "f", List::new(vec![file("f", None, "b", &lines)]));
    assert_eq!(changes(&acts), [("e1", State::Up), ("e2", State::Up)]);
    assert!(m.in_force().iter().all(|t| t.az == "b"));
}

// The same address under a new uid is another process: the old one drains, the new one is there at once.
#[test]
fn an_address_under_a_new_uid_is_another_motor() {
    let mut m = Members::new(sources(&["f"]));
    m.list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    let acts = m.list(2 * S, "f", list(None, &[(9, 1, 1.0, true), (2, 2, 1.0, true)]));
    assert_eq!(changes(&acts), [("e1", State::Draining), ("e9", State::Up)]);
}

/// What happens to the sources.
#[derive(Debug, Clone)]
enum Step {
    List(usize, Vec<Line>),
    Feed(bool, Vec<(u8, u16, State)>),
    Tick(u64),
}

fn lines() -> impl Strategy<Value = Vec<Line>> {
    let line = (0u8..12, 0u16..14, prop::sample::select(vec![0.0, 0.5, 1.0, 2.0]), any::<bool>());
    prop::collection::vec(line, 0..8).prop_map(|mut all| {
        // As the check leaves them: one motor a uid, one an address.
        let (mut uids, mut ports) = (BTreeSet::new(), BTreeSet::new());
        all.retain(|l| uids.insert(l.0) && ports.insert(l.1));
        all
    })
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop::sample::select(vec![State::Up, State::Draining, State::Removed]);
    prop_oneof![
        3 => (0usize..2, lines()).prop_map(|(s, l)| Step::List(s, l)),
        2 => (any::<bool>(), prop::collection::vec((0u8..12, state), 0..5))
            .prop_map(|(w, t)| Step::Feed(w, t.into_iter().map(|(u, s)| (u, u16::from(u) + 7, s)).collect())),
        2 => (1u64..3 * S).prop_map(Step::Tick),
    ]
}

const NAMES: [&str; 3] = ["one", "two", "feed"];

fn play(m: &mut Members, now: Micros, step: &Step, busy: &dyn Fn(&str) -> bool) -> Vec<Act> {
    match step {
        Step::List(s, lines) => m.list(now, NAMES[*s], list(None, lines)),
        Step::Feed(whole, t) => {
            let targets: Vec<Target> = t.iter().map(|(u, p, s)| fed(*u, *p, *s)).collect();
            m.feed(now, *whole, &targets)
        }
        Step::Tick(_) => m.tick(now, busy),
    }
}

proptest! {
    // Any order and interleaving of versions ends in the list that the last version of each source alone makes,
    // and whoever follows the changes alone has that list.
    #[test]
    fn the_list_in_force_follows_from_the_latest_versions(steps in prop::collection::vec(step(), 1..60)) {
        let mut m = Members::new(sources(&NAMES));
        let (mut now, mut followed) = (S, BTreeMap::new());
        let (mut last, mut feed) = ([None, None], BTreeMap::new());
        let follow = |followed: &mut BTreeMap<String, Target>, acts: &[Act]| {
            for t in acts.iter().filter_map(|a| if let Act::Change(t) = a { Some(t) } else { None }).flatten() {
                match t.state {
                    State::Removed => drop(followed.remove(&t.uid)),
                    _ => drop(followed.insert(t.uid.clone(), t.clone())),
                }
            }
        };
        for s in &steps {
            now += if let Step::Tick(t) = s { *t } else { 1 };
            let acts = play(&mut m, now, s, &|_| true);
            follow(&mut followed, &acts);
            match s {
                Step::List(i, l) => last[*i] = Some(l.clone()),
                Step::Feed(whole, t) => {
                    if *whole { feed.clear(); }
                    for (u, p, s) in t {
                        if *s == State::Removed { feed.remove(u); } else { feed.insert(*u, (*p, *s)); }
                    }
                }
                Step::Tick(_) => {}
            }
        }
        // All that drains is done; then only the latest versions count.
        follow(&mut followed, &m.tick(now, &|_| false));
        let mut alone = Members::new(sources(&NAMES));
        let told: Vec<Target> = feed.iter().map(|(u, (p, s))| fed(*u, *p, *s)).collect();
        alone.feed(now, true, &told);
        for (i, l) in last.iter().enumerate() {
            if let Some(l) = l { alone.list(now, NAMES[i], list(None, l)); }
        }
        alone.tick(now, &|_| false);
        prop_assert_eq!(m.in_force(), alone.in_force());
        prop_assert_eq!(m.in_force(), followed.into_values().collect::<Vec<_>>());
    }

    // Two motores never share an address across sources, and a motor that drains, is left out or is gone is told
    // in the very turn: none can get new work two seconds later.
    #[test]
    fn drains_are_told_at_once_and_addresses_are_nobody_elses(steps in prop::collection::vec(step(), 1..60)) {
        let mut m = Members::new(sources(&NAMES));
        let (mut now, mut told) = (S, BTreeMap::new());
        for s in &steps {
            now += if let Step::Tick(t) = s { *t } else { 1 };
            for t in play(&mut m, now, s, &|uid| uid.len() % 2 == 0).iter()
                .filter_map(|a| if let Act::Change(t) = a { Some(t) } else { None }).flatten() {
                told.insert(t.uid.clone(), t.state);
            }
            let force = m.in_force();
            for (uid, state) in &told {
                let is = force.iter().find(|t| t.uid == *uid).map_or(State::Removed, |t| t.state);
                prop_assert_eq!(is, *state, "{} after {:?}", uid, s);
            }
            let mut ports = BTreeSet::new();
            for t in force.iter().filter(|t| t.state == State::Up) {
                prop_assert!(ports.insert(t.endpoint), "{:?}", force);
            }
        }
    }

    // A version that is refused or held back changes nothing at all.
    #[test]
    fn a_version_that_is_not_taken_changes_nothing(
        first in lines(), second in lines(), generations in (2u64..5, 0u64..3), most in 0.0f64..0.9,
    ) {
        let mut terms = sources(&["f", "feed"]);
        terms.guard.most_loss = most;
        let mut m = Members::new(terms);
        m.feed(S, true, &[fed(11, 30, State::Up)]);
        m.list(S, "f", list(Some(generations.0), &first));
        let (before, digest) = (m.in_force(), m.digest("f"));
        let acts = m.list(2 * S, "f", list(Some(generations.0 + generations.1), &second));
        if !acts.iter().any(|a| matches!(a, Act::Taken { .. })) {
            prop_assert_eq!(m.in_force(), before);
            prop_assert_eq!(m.digest("f"), digest);
            prop_assert!(changes(&acts).is_empty());
        }
    }
}
