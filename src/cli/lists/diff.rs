//! `lists diff`.

use super::{read, state};
use crate::cli::{Outcome, catalog};
use crate::membership::list::{Executor, List};
use crate::membership::{Effect, Guard, Members, MembersSettings};
use crate::settings::hcl::shown;
use crate::settings::options::Lists;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

fn by_uid(list: &List) -> BTreeMap<Arc<str>, Arc<Executor>> {
    list.executors().map(|(_, m, _)| (m.uid.clone(), m.clone())).collect()
}

/// Describes the fields that differ between two versions of an executor.
fn changes(old: &Executor, new: &Executor) -> Vec<String> {
    let pairs = [
        ("room", shown(&old.zone), shown(&new.zone)),
        ("address", old.address.to_string(), new.address.to_string()),
        ("kind", shown(&old.kind), shown(&new.kind)),
        ("weight", old.weight.to_string(), new.weight.to_string()),
        ("state", state(old).into(), state(new).into()),
    ];
    pairs.into_iter().filter(|(_, a, b)| a != b).map(|(k, a, b)| format!("{k} {a} -> {b}")).collect()
}

pub(super) fn diff(
    out: &mut dyn Write,
    [old, new]: [&Path; 2],
    config: Option<&Path>,
    lists: Option<Lists>,
    as_json: bool,
) -> io::Result<Outcome> {
    let cores = match config {
        Some(c) => catalog(c).map_err(|f| io::Error::other(f.to_string()))?.kinds,
        None => BTreeMap::new(),
    };
    let (old, new) = (read(old)?, read(new)?);
    let (was, is) = (by_uid(&old), by_uid(&new));
    let added: Vec<_> = is.keys().filter(|u| !was.contains_key(*u)).cloned().collect();
    let left: Vec<_> = was.keys().filter(|u| !is.contains_key(*u)).cloned().collect();
    let changed: BTreeMap<_, _> = is
        .iter()
        .filter_map(|(u, m)| Some((u.clone(), changes(was.get(u)?, m))))
        .filter(|(_, c)| !c.is_empty())
        .collect();
    let guard = lists.map_or_else(Guard::default, |l| l.guard);
    let settings = MembersSettings {
        precedence: vec!["list".into()],
        guard,
        drain_limit: Duration::from_secs(1),
        cores,
        without: BTreeSet::new(),
    };
    let mut members = Members::new(settings);
    members.restore(0, "list", old);
    let (mut held, mut refused) = (Vec::new(), None);
    for effect in members.update_list(1, "list", new) {
        match effect {
            Effect::HeldBack { losses, .. } => held = losses,
            Effect::Rejected(_, _, why) => refused = Some(why),
            _ => {}
        }
    }
    let same = added.is_empty() && left.is_empty() && changed.is_empty();
    if as_json {
        let losses: BTreeMap<_, _> = held.iter().map(|l| (&l.zone, l.share)).collect();
        let all = json!({"same": same, "added": added, "left": left, "changed": changed, "held_back": losses, "refused": refused});
        writeln!(out, "{all}")?;
    } else {
        added.iter().try_for_each(|u| writeln!(out, "+ {}", shown(u)))?;
        left.iter().try_for_each(|u| writeln!(out, "- {}", shown(u)))?;
        changed.iter().try_for_each(|(u, c)| writeln!(out, "~ {}: {}", shown(u), c.join(", ")))?;
        for l in &held {
            writeln!(out, "held back: takes away {:.0}% of {}", l.share * 100.0, shown(&l.zone))?;
        }
        refused.iter().try_for_each(|why| writeln!(out, "refused: {why}"))?;
        if same {
            writeln!(out, "no difference")?;
        }
    }
    Ok(if same { Outcome::Success } else { Outcome::FaultsFound })
}
