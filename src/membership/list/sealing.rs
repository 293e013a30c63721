//! Writes the seal of a list file anew.

use super::ListFile;
use crate::settings::hcl::Fault;

/// The text of a file with its seal renewed; with `confirmed`, with the second seal too, and with `next` one
/// generation on. Everything else stays as it stands. A file that can't be read can't be sealed.
pub fn sealed(path: &str, text: &str, confirmed: bool, next: bool) -> Result<String, Vec<Fault>> {
    let read = |text: &str| match ListFile::parse(path, path, text) {
        (Some(file), faults) if faults.is_empty() => Ok(file),
        (_, faults) => Err(faults),
    };
    let mut text = text.to_string();
    let file = read(&text)?;
    if next {
        let to = file.generation.unwrap_or(0) + 1;
        text = with_line(&text, "generation", &format!("generation = {to}"));
    }
    if let Some(seal) = read(&text)?.seal {
        let end = text[seal.span.end..].find('\n').map_or(text.len(), |n| seal.span.end + n + 1);
        text.replace_range(seal.span.start..end, "");
    }
    text = with_line(&text, "confirm", "");
    let file = read(&text)?;
    if confirmed {
        text = with_line(&text, "confirm", &format!("confirm = \"{}\"", file.digest));
    }
    let (count, digest) = (file.executors.len(), file.digest);
    let text = text.trim_end();
    Ok(format!("{text}\n\nseal {{\n  count  = {count}\n  digest = \"{digest}\"\n}}\n"))
}

/// The text with its top-level line of this key replaced, or set ahead if there is none; an empty line takes it out.
fn with_line(text: &str, key: &str, line: &str) -> String {
    let is_it = |l: &str| l.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with('='));
    let had = text.lines().any(is_it);
    let mut out = if had || line.is_empty() { String::new() } else { format!("{line}\n") };
    for l in text.lines() {
        match is_it(l) {
            true if line.is_empty() => {}
            true => out.extend([line, "\n"]),
            false => out.extend([l, "\n"]),
        }
    }
    out
}
