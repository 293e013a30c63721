//! The two policies that a fleet goes back and forth between, seen from outside by the kind of executor that serves.

use crate::fleet::SETTINGS;
use std::path::{Path, PathBuf};

/// Executors of each kind: the old ones have the first places.
pub const EACH: usize = 4;
/// What switches policies on, in a dispatcher's own settings.
pub const BLOCK: &str = "  policy {\n    vote_limit    = \"3s\"\n    close_limit   = \"3s\"\n    without_lease = \"refuse\"\n  }\n";
/// The classes that the policies bind.
pub const CLASSES: [&str; 2] = ["read", "load"];

/// Which kind of executor the classes are bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// Executors 0 to 3.
    Old,
    /// Executors 4 to 7.
    New,
}

impl Side {
    /// The other.
    pub fn other(self) -> Side {
        match self {
            Side::Old => Side::New,
            Side::New => Side::Old,
        }
    }

    /// The side that an executor is on, by place.
    pub fn of(executor: usize) -> Side {
        if executor < EACH { Side::Old } else { Side::New }
    }

    /// The kind's name.
    pub fn kind(self) -> &'static str {
        match self {
            Side::Old => "old",
            Side::New => "new",
        }
    }
}

/// The platform's settings with both classes bound to these sides; `further` adds a class that only some know.
/// A policy may narrow what they allow, and no more.
pub fn platform(sides: &[Side], further: bool) -> String {
    let kinds: Vec<String> = sides.iter().map(|s| format!("{:?}", s.kind())).collect();
    let bound = format!(r#","boundTo":[{}]}}"#, kinds.join(","));
    let classes = match further {
        true => {
            r#""effect":"non_idempotent"},{"name":"report","promise":3.0,"hardLimit":6.0,"effect":"read_like"}]"#
        }
        false => r#""effect":"non_idempotent"}]"#,
    };
    SETTINGS
        .replace(r#""kinds":["k"]"#, r#""kinds":["old","new"]"#)
        .replace(
            r#""kindCores":[8],"memoryByKindMb":[16384]"#,
            r#""kindCores":[8,8],"memoryByKindMb":[16384,16384]"#,
        )
        .replace(r#""effect":"non_idempotent"}]"#, classes)
        .replace(
            r#""effect":"read_like"},{"name":"load""#,
            &format!(r#""effect":"read_like"{bound},{{"name":"load""#),
        )
        .replace(r#""effect":"non_idempotent"}"#, &format!(r#""effect":"non_idempotent"{bound}"#))
}

/// Both sides.
pub const BOTH: [Side; 2] = [Side::Old, Side::New];

/// Files to propose.
#[derive(Debug, Clone)]
pub struct Files {
    folder: PathBuf,
}

impl Files {
    /// Writes them all into a folder: a good and a bad one for each side.
    pub fn new(folder: &Path) -> std::io::Result<Files> {
        let files = Files { folder: folder.into() };
        for side in BOTH {
            let kinds = format!("kinds = [\"{}\"]", side.kind());
            let class = |name: &str| format!("  class \"{name}\" {{\n    {kinds}\n  }}\n");
            let both: String = CLASSES.map(class).concat();
            let name = side.kind();
            std::fs::write(files.good(side), format!("policy \"{name}\" {{\n{both}}}\n"))?;
            let bad = both + &class("report");
            std::fs::write(files.bad(side), format!("policy \"{name}\" {{\n{bad}}}\n"))?;
        }
        Ok(files)
    }

    /// One that all can follow.
    pub fn good(&self, side: Side) -> PathBuf {
        self.folder.join(format!("{}.hcl", side.kind()))
    }

    /// One that names a class that the last dispatcher does not know.
    pub fn bad(&self, side: Side) -> PathBuf {
        self.folder.join(format!("{}-bad.hcl", side.kind()))
    }
}

#[cfg(test)]
mod tests;
