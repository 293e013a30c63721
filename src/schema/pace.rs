//! How fast sessions begin under a version whose executors are new: no faster than their present capacity takes.

use crate::api::Micros;
use fleet::schema::Version;
use rand_core::RngCore;

/// What bounds the moves, and spreads them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Sessions that a core takes a second.
    pub per_core_s: f64,
    /// So many seconds' worth of moves may come at once; one move always may.
    pub burst_s: f64,
    /// A session that could go on as it is moves at a time drawn from this span.
    pub spread: Micros,
    /// The shortest wait that a refusal tells; the longest is twice that.
    pub backoff: Micros,
}

/// Moves to one version; begins anew with the next.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pace {
    version: Version,
    tokens: f64,
    at: Micros,
}

impl Pace {
    /// Whether one more may begin under this version now; `cores` is this dispatcher's share of what its executors
    /// serve with at present.
    pub fn take(&mut self, now: Micros, version: Version, cores: f64, terms: &Terms) -> bool {
        if self.version != version {
            *self = Pace { version, tokens: 0.0, at: now };
        }
        let rate = terms.per_core_s.max(0.0) * cores.max(0.0);
        let gone = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + rate * gone).min((rate * terms.burst_s).max(1.0));
        let may = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(may));
        may
    }
}

/// A time below `span`, at least 0.
pub(super) fn drawn(rng: &mut impl RngCore, span: Micros) -> Micros {
    let unit = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    (unit * span as f64) as Micros
}
