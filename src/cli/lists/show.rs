//! `lists show`.

use super::{read, state};
use crate::cli::Outcome;
use crate::membership::list::ListFile;
use crate::settings::hcl::shown;
use serde_json::json;
use std::io::{self, Write};
use std::path::Path;

fn seal_state(f: &ListFile) -> &'static str {
    match (&f.seal, f.seal_matches()) {
        (None, _) => "none",
        (_, true) => "holds",
        (_, false) => "does not match",
    }
}

pub(super) fn show(out: &mut dyn Write, path: &Path, as_json: bool) -> io::Result<Outcome> {
    let list = read(path)?;
    if as_json {
        let file = |f: &ListFile| {
            let (name, digest) = (&f.name, f.digest.to_string());
            json!({"name": name, "generation": f.generation, "digest": digest, "seal": seal_state(f), "motores": f.executors})
        };
        let files: Vec<_> = list.files.iter().map(file).collect();
        writeln!(out, "{}", json!({"digest": list.digest.to_string(), "files": files}))?;
        return Ok(Outcome::Success);
    }
    writeln!(out, "{} motores, {}", list.len(), list.digest)?;
    for f in &list.files {
        let generation = f.generation.map_or("none".into(), |g| g.to_string());
        writeln!(out, "\n{}: generation {generation}, seal {}", f.name, seal_state(f))?;
        let row = |cells: [&str; 6]| {
            let [zone, uid, address, kind, weight, state] = cells;
            format!("  {zone:<16} {uid:<20} {address:<24} {kind:<16} {weight:>8} {state}")
        };
        writeln!(out, "{}", row(["room", "uid", "address", "kind", "weight", "state"]))?;
        for m in &f.executors {
            let (address, weight) = (m.address.to_string(), m.weight.to_string());
            let (zone, uid, kind) = (shown(&m.zone), shown(&m.uid), shown(&m.kind));
            writeln!(out, "{}", row([&zone, &uid, &address, &kind, &weight, state(m)]))?;
        }
    }
    Ok(Outcome::Success)
}
