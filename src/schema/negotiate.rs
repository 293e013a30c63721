//! Which version a request runs under: the newest that its client speaks, that may begin, and that an executor with
//! room holds. A session keeps its version, and moves only between two requests.

use super::claim::{Claim, Fault};
use super::market::Market;
use super::pace::{Pace, Terms, drawn};
use crate::api::Micros;
use fleet::schema::Version;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::fmt;

/// What is kept of a client's session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Session {
    /// What it said last that it speaks; holds until it says something else.
    claim: Option<Claim>,
    /// The version that its requests run under.
    version: Option<Version>,
    /// When it moves on, where it could and need not.
    due: Option<Micros>,
}

impl Session {
    /// The version that its last request ran under.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// What it said last that it speaks.
    pub fn claim(&self) -> Option<Claim> {
        self.claim
    }

    /// What its client speaks, for the count of capacity: without a word of its own the oldest that may begin.
    pub fn span(&self, market: &Market) -> Option<(Version, Version)> {
        let oldest = || market.starts.first().map(|&v| (v, v));
        self.claim.map(|c| c.span()).or_else(oldest)
    }
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The fleet has no version and the client claims none: it runs as if there were no such thing.
    Free,
    /// It runs under this version, at executors that hold it.
    Run(Version),
    /// The same, but none of them has room now: it waits or is refused as any request is that finds none.
    Wait(Version),
    /// It is refused. Trying again is harmless.
    Refuse(Refusal),
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// Its field is no claim. The session is as it was.
    Fault(Fault),
    /// The fleet has no version at all.
    Unset,
    /// The fleet was not heard of for too long to begin under any.
    NoWord,
    /// None of those claimed is in the window.
    Unknown(Claim),
    /// What its client speaks ends.
    Ends(Version),
    /// No usable executor holds this one.
    NoExecutor(Version),
    /// This one would do, and its executors are to be filled slowly.
    Slowly(Version),
}

/// A refusal, with what is to be had; its text is for the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub why: Why,
    /// Versions that may begin and that a usable executor holds, oldest first.
    pub to_be_had: Vec<Version>,
    /// How long the client should wait; 0 where waiting helps nothing.
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

/// Negotiates for one dispatcher. The same requests with the same seed get the same verdicts.
#[derive(Debug, Clone)]
pub struct Negotiator {
    terms: Terms,
    pace: Pace,
    rng: Pcg64Mcg,
}

impl Negotiator {
    /// One that has moved nobody yet.
    pub fn new(terms: Terms, seed: u64) -> Negotiator {
        Negotiator { terms, pace: Pace::default(), rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// A request begins: `field` is the value of its `schema`, if it came with one.
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

    /// The version, or `None` where nothing is negotiated.
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
        // Those with room go first, and the newest of them.
        let (roomy, full): (Vec<_>, Vec<_>) = held.iter().rev().partition(|v| m.of(**v).room > 0);
        let mut slowly = None;
        for v in roomy.into_iter().chain(full) {
            // A session that must leave another version comes with all its work.
            let paced = m.leads_to == Some(v) || s.version.is_some_and(|was| was != v);
            if !paced || self.take(now, v, m) {
                return Ok(Some(v));
            }
            slowly = slowly.or(Some(v));
        }
        Err(slowly.map_or(Why::NoExecutor(newest), Why::Slowly))
    }

    /// Whether a session that could go on as it is moves now.
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
