//! Renews the seal of a list file.

use super::ListFile;
use crate::settings::hcl::Fault;

/// Returns the text of a file with a new seal. `confirm` adds the second seal, `next_generation` increments the
/// generation. Everything else is unchanged. A file that can't be parsed can't be sealed.
pub fn renew_seal(
    path: &str,
    text: &str,
    confirm: bool,
    next_generation: bool,
) -> Result<String, Vec<Fault>> {
    let read = |text: &str| match ListFile::parse(path, path, text) {
        (Some(file), faults) if faults.is_empty() => Ok(file),
        (_, faults) => Err(faults),
    };
    let mut text = text.to_string();
    let file = read(&text)?;
    if next_generation {
        let to = file.generation.unwrap_or(0) + 1;
        text = replace_line(&text, "generation", &format!("generation = {to}"));
    }
    if let Some(seal) = read(&text)?.seal {
        let end = text[seal.span.end..].find('\n').map_or(text.len(), |n| seal.span.end + n + 1);
        text.replace_range(seal.span.start..end, "");
    }
    text = replace_line(&text, "confirm", "");
    let file = read(&text)?;
    if confirm {
        text = replace_line(&text, "confirm", &format!("confirm = \"{}\"", file.digest));
    }
    let (count, digest) = (file.executors.len(), file.digest);
    let text = text.trim_end();
    Ok(format!("{text}\n\nseal {{\n  count  = {count}\n  digest = \"{digest}\"\n}}\n"))
}

/// Replaces the top-level line with this key, or inserts it at the top if there is none; an empty `line` removes it.
fn replace_line(text: &str, key: &str, line: &str) -> String {
    let has_key = |l: &str| l.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with('='));
    let found = text.lines().any(has_key);
    let mut out = if found || line.is_empty() { String::new() } else { format!("{line}\n") };
    for l in text.lines() {
        match has_key(l) {
            true if line.is_empty() => {}
            true => out.extend([line, "\n"]),
            false => out.extend([l, "\n"]),
        }
    }
    out
}
