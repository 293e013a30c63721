//! One run: a dispatcher with two lists under traffic, its swaps, and the accounts of it.

use super::swap::swap;
use super::ways::{self, Way};
use super::world::Room;
use super::{CLIENTS, Fault, GRACE, KEYS, MOMENT, Outcome, Plan, Side, options, settings_json};
use crate::daemon::Daemon;
use crate::traffic::{self, Traffic};
use ottercroft::membership::list::ListFile;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::executor::{Executor, Pull};
use standins::scripted::Launch;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// An executor that answers reads soon and loads late.
fn executor() -> std::io::Result<Executor> {
    Executor::new(|p: &Pull| Duration::from_millis(if p.class() == "load" { 120 } else { 15 }))
}

pub(super) fn run(program: &Path, dir: &Path, plan: &Plan, seed: u64) -> Result<Outcome, Fault> {
    let _ = std::fs::remove_dir_all(dir);
    std::fs::create_dir_all(dir.join("kept"))?;
    std::fs::create_dir_all(dir.join("b"))?;
    let mut rng = StdRng::seed_from_u64(seed);
    let executors: Vec<Executor> = (0..9).map(|_| executor()).collect::<Result<_, _>>()?;
    let named =
        |range: std::ops::Range<usize>| range.map(|i| (format!("s-{i}"), executors[i].address)).collect();
    let mut sides =
        [("a", 0..4, dir.join("a.hcl")), ("b", 4..8, dir.join("b/b.hcl"))].map(|(name, range, path)| {
            let mut room = Room::new(name, named(range), plan.seals);
            let good = room.next(&mut rng);
            let (valid, emptied, out) = (BTreeSet::new(), BTreeSet::new(), Vec::new());
            Side { room, source: name, path, good, valid, emptied, fixed: None, out }
        });
    let fixed = Room::new("b", vec![("s-8".into(), executors[8].address)], plan.seals).next(&mut rng);
    std::fs::write(dir.join("b/fixed.hcl"), &fixed.text)?;
    sides[1].fixed = ListFile::parse("fixed.hcl", "fixed.hcl", &fixed.text).0;
    for side in &mut sides {
        let digest = side.digest(&side.good);
        side.valid.insert(digest);
    }
    ways::put(&mut rng, &sides[0].path, Way::Rename, &sides[0].good.text)?;
    ways::put(&mut rng, &sides[1].path, Way::ConfigMap, &sides[1].good.text)?;
    let file = dir.join("options.hcl");
    std::fs::write(&file, options(dir, plan))?;
    let mut launch = Launch::new(program, dir).with(&["--settings", &file.display().to_string()]);
    (launch.settings, launch.sockets) = (settings_json(), 512);
    // The configuration names a coordinator; with the feed left out of the precedence nobody goes there.
    let config = launch.config("127.0.0.1:9".parse()?, &[]);
    let daemon = Daemon::start(&launch, &config)?;
    let traffic = Traffic::start(daemon.address, CLIENTS, Duration::from_millis(110), KEYS);
    let mut o = Outcome { swaps: plan.swaps.into(), ..Outcome::default() };
    for n in 1..=plan.swaps {
        let wrong = !plan.wrongs.is_empty() && n % 3 == 0;
        swap(&mut rng, plan, &daemon, &mut sides, wrong, &mut o)?;
        std::thread::sleep(plan.pause);
        if n % (plan.swaps / 50).max(1) == 0 {
            o.memory_kb.push((n.into(), daemon.memory_kb()));
        }
    }
    o.counts = traffic.stop();
    let pulls: Vec<Vec<Pull>> = executors.iter().map(Executor::pulls).collect();
    o.run_twice = traffic::run_twice(pulls.iter().flatten());
    o.side_by_side = traffic::side_by_side(pulls.iter().flatten(), |p| traffic::key_of(p, KEYS));
    for (uid, from, until) in sides.iter().flat_map(|s| &s.out) {
        let executor: usize = uid.trim_start_matches("s-").parse()?;
        let late = |p: &&Pull| p.at > *from + GRACE && until.is_none_or(|u| p.at < u);
        o.after_drain += pulls[executor].iter().filter(late).count() as u64;
        let told = |p: &&Pull| p.at > *from + MOMENT && until.is_none_or(|u| p.at < u);
        o.after_told += pulls[executor].iter().filter(told).count() as u64;
    }
    o.ended_well = daemon.stop();
    std::fs::remove_dir_all(dir)?;
    Ok(o)
}
