//! A list that is swapped, and what the dispatcher makes of each swap.

use super::ways::{self, ODDS, Way};
use super::world::{Version, WRONGS, Wrong};
use super::{Fault, Outcome, PATIENCE, Plan, SETTLE, Side};
use crate::daemon::{Daemon, Event};
use ottercroft::membership::list::{List, ListFile};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

impl Side {
    /// The digest of the whole list with this version in it.
    pub(super) fn digest(&self, v: &Version) -> String {
        let Some(fixed) = &self.fixed else { return v.digest.clone() };
        let name = self.path.file_name().unwrap_or_default().to_string_lossy();
        let file = ListFile::parse(&name, &name, &v.text).0;
        List::new(file.into_iter().chain([fixed.clone()]).collect()).digest.to_string()
    }

    /// A list came into force, or what was in it did: who is out since when.
    fn in_force(&mut self, names: &BTreeSet<String>, at: SystemTime) {
        for (uid, _) in &self.room.executors {
            let open = self.out.iter_mut().find(|(u, _, until)| u == uid && until.is_none());
            match (open, names.contains(uid)) {
                (Some(span), true) => span.2 = Some(at),
                (None, false) => self.out.push((uid.clone(), at, None)),
                _ => {}
            }
        }
    }
}

/// One swap, and what the dispatcher makes of it.
pub(super) fn swap(
    rng: &mut StdRng,
    plan: &Plan,
    daemon: &Daemon,
    sides: &mut [Side; 2],
    wrong: bool,
    o: &mut Outcome,
) -> Result<(), Fault> {
    let i = usize::from(rng.random_bool(0.3));
    let way = if i == 1 { Way::ConfigMap } else { *plan.ways.choose(rng).unwrap_or(&Way::Rename) };
    if wrong {
        o.wrongs += 1;
        let side = &mut sides[i];
        // A directory's file is a link; what else may stand there is tried on the single file.
        if i == 0 && plan.wrongs.len() == WRONGS.len() && rng.random_bool(0.3) {
            ways::put_odd(&side.path, *ODDS.choose(rng).unwrap_or(&ODDS[0]))?;
        } else {
            let kind = *plan.wrongs.choose(rng).unwrap_or(&Wrong::Cut);
            let version = side.room.wrong(rng, kind);
            if kind == Wrong::Emptied {
                let digest = side.digest(&version);
                side.emptied.insert(digest);
            }
            ways::put(rng, &side.path, way, &version.text)?;
        }
        // Mostly long enough for it to settle and be told of, now and then gone before that.
        let stays =
            if rng.random_bool(0.7) { SETTLE + Duration::from_millis(60) } else { Duration::from_millis(8) };
        let events = daemon.until(stays, |_| false);
        events.iter().for_each(|e| heard(e, sides, o));
        return Ok(());
    }
    let side = &mut sides[i];
    side.good = side.room.next(rng);
    let (digest, source) = (side.digest(&side.good), side.source);
    side.valid.insert(digest.clone());
    let put = ways::put(rng, &side.path, way, &side.good.text)?;
    let fits = |e: &Event| e.message() == "motor list in force" && e.text("digest") == digest;
    let events = daemon.until(PATIENCE, |e| fits(e) && e.text("source") == source);
    events.iter().for_each(|e| heard(e, sides, o));
    match events.last().filter(|e| fits(e)) {
        Some(e) => {
            let ms = e.at.duration_since(put).unwrap_or_default().as_secs_f64() * 1_000.0;
            o.times.entry(way).or_default().push(ms);
            let names = sides[i].good.names.clone();
            sides[i].in_force(&names, e.at);
        }
        None => o.missed += 1,
    }
    Ok(())
}

fn heard(e: &Event, sides: &mut [Side; 2], o: &mut Outcome) {
    match e.message() {
        "slow turn" if e.number("worked_us").is_some_and(|us| us > 20_000) => o.slow_turns += 1,
        "motor list in force" => {
            let Some(side) = sides.iter().find(|s| s.source == e.text("source")) else { return };
            if side.emptied.contains(e.text("digest")) {
                o.emptied_taken += 1;
            } else if !side.valid.contains(e.text("digest")) {
                o.wrongly_taken += 1;
            }
        }
        _ => {}
    }
}
