//! Limits how fast sessions begin under a version whose executors are new, by their effective capacity.

use crate::api::Micros;
use fleet::schema::Version;
use rand_core::RngCore;

/// Limits and spread of session moves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Sessions per core and second.
    pub per_core_s: f64,
    /// Burst size, in seconds of the rate; at least one move.
    pub burst_s: f64,
    /// A session that need not move does so after a random delay below this span.
    pub spread: Micros,
    /// Minimum backoff of a refusal; the maximum is twice this.
    pub backoff: Micros,
}

/// Token bucket of moves to one version; reset when the version changes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pace {
    version: Version,
    tokens: f64,
    at: Micros,
}

impl Pace {
    /// Takes a token if one more session may begin under this version now. `cores` is this dispatcher's share of its
    /// executors' effective cores.
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

/// A random time from 0 up to `span`.
pub(super) fn drawn(rng: &mut impl RngCore, span: Micros) -> Micros {
    let unit = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    (unit * span as f64) as Micros
}
