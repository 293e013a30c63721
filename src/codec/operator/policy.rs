//! Calls on the policy shared by the fleet.

use super::Fault;

/// A call on the policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PolicyCall {
    /// Proposes the policy in this file.
    Propose(String),
    /// Returns the policy in force, the change in progress and the outcome of earlier changes.
    Status,
    /// Aborts the change in progress.
    Abort,
    /// Proposes the previous policy.
    Back,
}

/// Parses the arguments of `POLICY`.
pub(super) fn parse<'a>(mut words: impl Iterator<Item = &'a str>) -> Result<PolicyCall, Fault> {
    let what = words.next().ok_or(Fault::Missing("POLICY"))?.to_ascii_uppercase();
    let (path, more) = (words.next(), words.next().is_some());
    match (what.as_str(), path) {
        ("PROPOSE", Some(_)) if more => Err(Fault::Extra("POLICY")),
        ("PROPOSE", Some(path)) => Ok(PolicyCall::Propose(path.into())),
        ("STATUS", None) => Ok(PolicyCall::Status),
        ("ABORT", None) => Ok(PolicyCall::Abort),
        ("BACK", None) => Ok(PolicyCall::Back),
        ("STATUS" | "ABORT" | "BACK", Some(_)) => Err(Fault::Extra("POLICY")),
        _ => Err(Fault::Missing("POLICY")),
    }
}
