//! Calls on the policy that the fleet holds alike.

use super::Fault;

/// What an operator asks of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// The policy in this file is to take hold.
    Propose(String),
    /// Which is in force, what is under way, and what came of earlier changes.
    Status,
    /// Call off what is under way.
    Abort,
    /// The policy before is to take hold again.
    Back,
}

/// What follows `POLICY`.
pub(super) fn parse<'a>(mut words: impl Iterator<Item = &'a str>) -> Result<Ask, Fault> {
    let what = words.next().ok_or(Fault::Missing("POLICY"))?.to_ascii_uppercase();
    let (path, more) = (words.next(), words.next().is_some());
    match (what.as_str(), path) {
        ("PROPOSE", Some(_)) if more => Err(Fault::Extra("POLICY")),
        ("PROPOSE", Some(path)) => Ok(Ask::Propose(path.into())),
        ("STATUS", None) => Ok(Ask::Status),
        ("ABORT", None) => Ok(Ask::Abort),
        ("BACK", None) => Ok(Ask::Back),
        ("STATUS" | "ABORT" | "BACK", Some(_)) => Err(Fault::Extra("POLICY")),
        _ => Err(Fault::Missing("POLICY")),
    }
}
