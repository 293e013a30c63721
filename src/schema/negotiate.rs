//! Chooses the version of a request: the newest that its client supports, that may begin, and that an executor with
//! room has. A session keeps its version and moves only between two requests.

use super::claim::{Claim, Fault};
use super::market::Market;
use super::pace::{Pace, Terms, drawn};
use crate::api::Micros;
use fleet::schema::Version;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::fmt;

/// Negotiation state of a client's session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Session {
    /// Its last claim; valid until it sends another.
    claim: Option<Claim>,
    /// The version of its requests.
    version: Option<Version>,
    /// When it moves to a newer version, if it could but need not.
    due: Option<Micros>,
}

impl Session {
    /// The version of its last request.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Its last claim.
    pub fn claim(&self) -> Option<Claim> {
        self.claim
    }

    /// The client's versions for capacity accounting; without a claim, the oldest that may begin.
    pub fn span(&self, market: &Market) -> Option<(Version, Version)> {
        let oldest = || market.starts.first().map(|&v| (v, v));
        self.claim.map(|c| c.span()).or_else(oldest)
    }
}

/// The decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The fleet has no version and the client claims none: it runs without negotiation.
    Free,
    /// It runs under this version, at executors that have it.
    Run(Version),
    /// The same, but none of them has room now: it is queued or refused like any request without a free executor.
    Wait(Version),
    /// It is refused and has not run, so that a retry is safe.
    Refuse(Refusal),
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// Its field is invalid. The session is unchanged.
    Fault(Fault),
    /// The fleet has no version.
    Unset,
    /// The fleet has not been heard of for too long to begin under any version.
    NoWord,
    /// None of the claimed versions is in the window.
    Unknown(Claim),
    /// The client's version is being retired.
    Ends(Version),
    /// No usable executor has this version.
    NoExecutor(Version),
    /// This version fits, but its executors are new and the rate limit is reached.
    Slowly(Version),
}

/// A refusal with the available versions. The text is sent to the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub why: Why,
    /// Versions that may begin and that a usable executor has, oldest first.
    pub to_be_had: Vec<Version>,
    /// How long the client should wait; 0 if waiting does not help.
    pub backoff: Micros,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.why {
            Why::Fault(fault) => write!(f, "{fault}")?,
            Why::Unset => write!(f, "no schema is agreed on here")?,
            Why::NoWord => write!(f, "no word of the fleet on schemas")?,
            Why::Unknown(claim) => write!(f, "schema {claim} is not spoken here")?,
            Why::Ends(v) => write!(f, "schema {v} ends")?,
            Why::NoExecutor(v) => write!(f, "no motor holds schema {v} now")?,
            Why::Slowly(v) => write!(f, "schema {v} is filled slowly")?,
        }
        match self.to_be_had[..] {
            [] => write!(f, ": ")?,
            [one] => write!(f, ": schema={one} ")?,
            [first, .., last] => write!(f, ": schema={first}..{last} ")?,
        }
        write!(f, "backoff={}", self.backoff.div_ceil(1_000))
    }
}

/// Negotiates for one dispatcher. Deterministic for a given seed and sequence of requests.
#[derive(Debug, Clone)]
pub struct Negotiator {
    terms: Terms,
    pace: Pace,
    rng: Pcg64Mcg,
}

impl Negotiator {
    /// Starts without any moved sessions.
    pub fn new(terms: Terms, seed: u64) -> Negotiator {
        Negotiator { terms, pace: Pace::default(), rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Decides on a request; `field` is the value of its `schema` field, if present.
    pub fn request(
        &mut self,
        now: Micros,
        session: &mut Session,
        field: Option<&str>,
        market: &Market,
    ) -> Verdict {
        match field.map(Claim::parse) {
            Some(Err(fault)) => return self.refuse(Why::Fault(fault), market),
            Some(Ok(claim)) => session.claim = Some(claim),
            None => {}
        }
        match self.choose(now, session, market) {
            Ok(None) => Verdict::Free,
            Ok(Some(version)) => {
                session.version = Some(version);
                match market.of(version).room {
                    0 => Verdict::Wait(version),
                    _ => Verdict::Run(version),
                }
            }
            Err(why) => self.refuse(why, market),
        }
    }

    fn refuse(&mut self, why: Why, market: &Market) -> Verdict {
        let had = market.starts.iter().filter(|v| market.of(**v).executors > 0);
        let backoff = match why {
            Why::Fault(_) => 0,
            _ => self.terms.backoff.saturating_add(drawn(&mut self.rng, self.terms.backoff)),
        };
        Verdict::Refuse(Refusal { why, to_be_had: had.copied().collect(), backoff })
    }

    /// The version, or `None` if nothing is negotiated.
    fn choose(&mut self, now: Micros, s: &mut Session, m: &Market) -> Result<Option<Version>, Why> {
        if m.unset {
            return if s.claim.is_some() { Err(Why::Unset) } else { Ok(None) };
        }
        let spoken: Vec<Version> = match s.claim {
            Some(claim) => m.starts.iter().copied().filter(|v| claim.speaks(*v)).collect(),
            None => m.starts.first().copied().into_iter().collect(),
        };
        let Some(&newest) = spoken.last() else {
            return Err(match (s.claim, m.ends) {
                _ if m.starts.is_empty() => Why::NoWord,
                (Some(claim), Some(ends)) if claim.speaks(ends) => Why::Ends(ends),
                (Some(claim), _) => Why::Unknown(claim),
                (None, _) => Why::NoWord,
            });
        };
        let held: Vec<Version> = spoken.into_iter().filter(|v| m.of(*v).executors > 0).collect();
        if let Some(kept) = s.version.filter(|v| held.contains(v)) {
            let better = held.iter().copied().rev().find(|v| *v > kept && m.of(*v).room > 0);
            return Ok(Some(better.filter(|b| self.moves(now, s, *b, m)).unwrap_or(kept)));
        }
        s.due = None;
        // Versions with room first, the newest of them first.
        let (roomy, full): (Vec<_>, Vec<_>) = held.iter().rev().partition(|v| m.of(**v).room > 0);
        let mut slowly = None;
        for v in roomy.into_iter().chain(full) {
            // A session that is forced off another version brings all of its load, so that it is rate-limited too.
            let paced = m.leads_to == Some(v) || s.version.is_some_and(|was| was != v);
            if !paced || self.take(now, v, m) {
                return Ok(Some(v));
            }
            slowly = slowly.or(Some(v));
        }
        Err(slowly.map_or(Why::NoExecutor(newest), Why::Slowly))
    }

    /// Whether a session that could keep its version moves now.
    fn moves(&mut self, now: Micros, s: &mut Session, to: Version, m: &Market) -> bool {
        let due = *s.due.get_or_insert_with(|| now.saturating_add(drawn(&mut self.rng, self.terms.spread)));
        if now < due {
            return false;
        }
        s.due = None;
        let may = self.take(now, to, m);
        if !may {
            s.due = Some(now.saturating_add(1 + drawn(&mut self.rng, self.terms.spread)));
        }
        may
    }

    fn take(&mut self, now: Micros, version: Version, m: &Market) -> bool {
        let share = m.of(version).warm / m.dispatchers.max(1) as f64;
        self.pace.take(now, version, share, &self.terms)
    }
}
