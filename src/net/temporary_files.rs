//! Names of this dispatcher's files in the temporary directory, which the processes before and after this one share.

use std::path::{Path, PathBuf};

/// The path of a file of the named dispatcher.
pub(in crate::net) fn path(directory: &Path, dispatcher: &str, extension: &str) -> PathBuf {
    directory.join(format!("ottercroft-{}.{extension}", sanitized(dispatcher)))
}

/// Converts a dispatcher's name to a part of a file name.
fn sanitized(name: &str) -> String {
    let safe: String =
        name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
    if safe.is_empty() { "dispatcher".into() } else { safe }
}
