use super::*;
use proptest::prelude::*;

/// A change to the sources, or elapsed time.
#[derive(Debug, Clone)]
enum Step {
    List(usize, Vec<Line>),
    Feed(bool, Vec<(u8, u16, State)>),
    Tick(u64),
}

fn lines() -> impl Strategy<Value = Vec<Line>> {
    let line = (0u8..12, 0u16..14, prop::sample::select(vec![0.0, 0.5, 1.0, 2.0]), any::<bool>());
    prop::collection::vec(line, 0..8).prop_map(|mut all| {
        // Only valid lists: uids and addresses are unique.
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

fn play(m: &mut Members, now: Micros, step: &Step, busy: &dyn Fn(&str) -> bool) -> Vec<Effect> {
    match step {
        Step::List(s, lines) => m.update_list(now, NAMES[*s], list(None, lines)),
        Step::Feed(whole, t) => {
            let targets: Vec<Target> = t.iter().map(|(u, p, s)| fed(*u, *p, *s)).collect();
            m.update_feed(now, *whole, &targets)
        }
        Step::Tick(_) => m.tick(now, busy),
    }
}

proptest! {
    // After any sequence of versions the list in force depends only on the last version of each source, and the
    // reported changes add up to that list.
    #[test]
    fn the_list_in_force_follows_from_the_latest_versions(steps in prop::collection::vec(step(), 1..60)) {
        let mut m = Members::new(settings(&NAMES));
        let (mut now, mut followed) = (S, BTreeMap::new());
        let (mut last, mut feed) = ([None, None], BTreeMap::new());
        let follow = |followed: &mut BTreeMap<String, Target>, effects: &[Effect]| {
            for t in effects.iter().filter_map(|a| if let Effect::Update(t) = a { Some(t) } else { None }).flatten() {
                match t.state {
                    State::Removed => drop(followed.remove(&t.uid)),
                    _ => drop(followed.insert(t.uid.clone(), t.clone())),
                }
            }
        };
        for s in &steps {
            now += if let Step::Tick(t) = s { *t } else { 1 };
            let effects = play(&mut m, now, s, &|_| true);
            follow(&mut followed, &effects);
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
        // All drains end; after that only the latest versions count.
        follow(&mut followed, &m.tick(now, &|_| false));
        let mut alone = Members::new(settings(&NAMES));
        let reported: Vec<Target> = feed.iter().map(|(u, (p, s))| fed(*u, *p, *s)).collect();
        alone.update_feed(now, true, &reported);
        for (i, l) in last.iter().enumerate() {
            if let Some(l) = l { alone.update_list(now, NAMES[i], list(None, l)); }
        }
        alone.tick(now, &|_| false);
        prop_assert_eq!(m.in_force(), alone.in_force());
        prop_assert_eq!(m.in_force(), followed.into_values().collect::<Vec<_>>());
    }

    // Two executors never share an address across sources. An executor that drains, is left out or is removed is
    // reported in the same call, so that none gets new work two seconds later.
    #[test]
    fn drains_are_reported_at_once_and_addresses_are_unique(steps in prop::collection::vec(step(), 1..60)) {
        let mut m = Members::new(settings(&NAMES));
        let (mut now, mut reported) = (S, BTreeMap::new());
        for s in &steps {
            now += if let Step::Tick(t) = s { *t } else { 1 };
            for t in play(&mut m, now, s, &|uid| uid.len() % 2 == 0).iter()
                .filter_map(|a| if let Effect::Update(t) = a { Some(t) } else { None }).flatten() {
                reported.insert(t.uid.clone(), t.state);
            }
            let active = m.in_force();
            for (uid, state) in &reported {
                let is = active.iter().find(|t| t.uid == *uid).map_or(State::Removed, |t| t.state);
                prop_assert_eq!(is, *state, "{} after {:?}", uid, s);
            }
            let mut ports = BTreeSet::new();
            for t in active.iter().filter(|t| t.state == State::Up) {
                prop_assert!(ports.insert(t.endpoint), "{:?}", active);
            }
        }
    }

    // A version that is rejected or held back changes nothing.
    #[test]
    fn a_version_that_is_not_activated_changes_nothing(
        first in lines(), second in lines(), generations in (2u64..5, 0u64..3), most in 0.0f64..0.9,
    ) {
        let mut settings = settings(&["f", "feed"]);
        settings.guard.max_loss = most;
        let mut m = Members::new(settings);
        m.update_feed(S, true, &[fed(11, 30, State::Up)]);
        m.update_list(S, "f", list(Some(generations.0), &first));
        let (before, digest) = (m.in_force(), m.digest("f"));
        let effects = m.update_list(2 * S, "f", list(Some(generations.0 + generations.1), &second));
        if !effects.iter().any(|a| matches!(a, Effect::Activated { .. })) {
            prop_assert_eq!(m.in_force(), before);
            prop_assert_eq!(m.digest("f"), digest);
            prop_assert!(changes(&effects).is_empty());
        }
    }
}
