//! Validates a list before it is used. All faults are reported at once.

use super::list::{Executor, List};
use crate::api::Settings;
use crate::codec::coordinator::executor_id;
use crate::settings::Names;
use crate::settings::hcl::{Fault, Place};
pub use crate::settings::options::Terms;
use ipnet::IpNet;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of faults reported per list; the others are only counted.
pub const MAX_FAULTS: usize = 100;

/// The zones and kinds that the platform's settings define.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Catalog {
    /// Names of the zones, which list files call rooms.
    pub zones: BTreeSet<String>,
    /// Kinds of machine, with their number of cores.
    pub kinds: BTreeMap<String, f64>,
}

impl Catalog {
    /// The catalog of the platform's settings.
    pub fn from_settings(settings: &Settings, names: &Names) -> Catalog {
        let cores = |i: &usize| settings.kinds.get(*i).map_or(1.0, |k| k.cores);
        Catalog {
            zones: names.zones.keys().cloned().collect(),
            kinds: names.kinds.iter().map(|(n, i)| (n.clone(), cores(i))).collect(),
        }
    }
}

/// Returns all faults of a list; none if it may be used. Without a catalog, zones and kinds are not checked.
pub fn check(
    list: &List,
    terms: &Terms,
    catalog: Option<&Catalog>,
    path: &dyn Fn(&str) -> String,
) -> Vec<Fault> {
    let mut c = Checker { terms, catalog, faults: Vec::new() };
    for f in &list.files {
        let file = path(&f.name);
        match &f.seal {
            None if terms.sealed => c.faults.push(Fault::of_file(
                &file,
                format_args!("no seal; write one with: ottercroft lists seal {file}"),
            )),
            Some(s) if !f.seal_matches() => {
                let what = format!(
                    "does not match: it tells of {} motores and {}, the file holds {} and {}; was the file written \
                     whole? If it was edited, seal it again with: ottercroft lists seal {file}",
                    s.count,
                    s.digest.short(),
                    f.executors.len(),
                    f.digest.short(),
                );
                c.report(&file, s.place, "seal", what);
            }
            _ => {}
        }
    }
    if list.len() > terms.max_executors {
        let what = format!("{} motores; {} are allowed (max_motores)", list.len(), terms.max_executors);
        c.faults.push(Fault::of_file(&path(""), what));
    }
    c.check_executors(list, path);
    c.check_duplicates(list, path);
    c.check_total_weights(list, path);
    c.faults.sort();
    c.faults
}

struct Checker<'a> {
    terms: &'a Terms,
    catalog: Option<&'a Catalog>,
    faults: Vec<Fault>,
}

fn field(m: &Executor, key: &str) -> String {
    let key = if key.is_empty() { String::new() } else { format!(".{key}") };
    format!("room.{}.motor.{}{key}", m.zone, m.uid)
}

fn joined<'a>(names: impl Iterator<Item = &'a String>) -> String {
    let all: Vec<&str> = names.map(String::as_str).collect();
    if all.is_empty() { "none".into() } else { all.join(", ") }
}

impl Checker<'_> {
    fn report(&mut self, file: &str, at: Place, field: &str, what: impl Into<String>) {
        let Place { line, column } = at;
        self.faults.push(Fault { file: file.into(), line, column, field: field.into(), what: what.into() });
    }

    /// Checks each executor by itself.
    fn check_executors(&mut self, list: &List, path: &dyn Fn(&str) -> String) {
        for (f, m, at) in list.executors() {
            let (terms, catalog) = (self.terms, self.catalog);
            let mut report = |key: &str, what: String| self.report(&path(&f.name), at, &field(m, key), what);
            for (key, name) in [("", &m.uid), ("room", &m.zone), ("kind", &m.kind)] {
                if name.is_empty() || name.len() > MAX_NAME_BYTES {
                    report(key, format!("a name of {} bytes; 1 to {MAX_NAME_BYTES} are allowed", name.len()));
                }
                if name.chars().any(char::is_control) {
                    report(key, "a name with control characters".into());
                }
            }
            if let Some(c) = catalog.filter(|c| !c.zones.contains(&*m.zone)) {
                report("", format!("unknown room {:?}; known: {}", m.zone, joined(c.zones.iter())));
            }
            if let Some(c) = catalog.filter(|c| !c.kinds.contains_key(&*m.kind)) {
                report("kind", format!("unknown kind {:?}; known: {}", m.kind, joined(c.kinds.keys())));
            }
            if !m.weight.is_finite() || !(0.0..=terms.max_weight).contains(&m.weight) {
                report("weight", format!("{}; 0 to {} are allowed (max_weight)", m.weight, terms.max_weight));
            }
            if let Err(what) = self.check_address(m.address) {
                self.report(&path(&f.name), at, &field(m, "address"), format!("{}: {what}", m.address));
            }
        }
    }

    fn check_address(&self, a: SocketAddr) -> Result<(), String> {
        let ip = a.ip();
        let broadcast = matches!(ip, IpAddr::V4(v4) if v4.is_broadcast());
        if a.port() == 0 {
            return Err("port 0 is no port".into());
        }
        if ip.is_unspecified() || ip.is_multicast() || broadcast {
            return Err("an unspecified, multicast or broadcast address is no motor's".into());
        }
        if ip.is_loopback() && !self.terms.loopback {
            return Err("a loopback address; allow_loopback allows them".into());
        }
        match &self.terms.networks {
            Some(nets) if !nets.iter().any(|n| n.contains(&ip)) => {
                let all: Vec<String> = nets.iter().map(IpNet::to_string).collect();
                Err(format!("outside the allowed networks {}", all.join(", ")))
            }
            _ => Ok(()),
        }
    }

    /// Checks that uids, executor ids and addresses are unique.
    fn check_duplicates(&mut self, list: &List, path: &dyn Fn(&str) -> String) {
        let (mut uids, mut addresses, mut ids) = (HashMap::new(), HashMap::new(), HashMap::new());
        for (f, m, at) in list.executors() {
            let here = (&f.name, at);
            let first = |(name, at): (&std::sync::Arc<str>, Place)| format!("{}:{}", path(name), at.line);
            if let Some(other) = uids.insert(&m.uid, here) {
                let what = format!("a second motor of this uid, the first is at {}", first(other));
                self.report(&path(&f.name), at, &field(m, ""), what);
            } else if let Some((other, uid)) = ids.insert(executor_id(&m.uid), (here, &m.uid)) {
                let what = format!("its uid has the number of {uid:?} at {}; rename one", first(other));
                self.report(&path(&f.name), at, &field(m, ""), what);
            }
            if let Some((other, uid)) = addresses.insert(m.address, (here, &m.uid)) {
                let what = format!("{} is also the address of {uid:?} at {}", m.address, first(other));
                self.report(&path(&f.name), at, &field(m, "address"), what);
            }
        }
    }

    /// Checks that each zone has weight, and that some executor accepts requests.
    fn check_total_weights(&mut self, list: &List, path: &dyn Fn(&str) -> String) {
        let mut zones: BTreeMap<&str, (f64, bool, String, Place)> = BTreeMap::new();
        for (f, m, at) in list.executors() {
            let zone = zones.entry(&m.zone).or_insert_with(|| (0.0, false, path(&f.name), at));
            zone.0 += m.weight;
            zone.1 |= m.accepts_requests();
        }
        if !zones.values().any(|(_, takes, ..)| *takes) {
            let what = format!("no motor of {} takes queries: total weight 0, or all drain", list.len());
            self.faults.push(Fault::of_file(&path(""), what));
            return;
        }
        for (zone, (total, _, file, at)) in zones {
            if total <= 0.0 {
                let what = "total weight 0; to empty a room, set its motores to state = \"draining\"";
                self.report(&file, at, &format!("room.{zone}"), what);
            }
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
