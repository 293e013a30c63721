//! The probe budget: a token bucket that arrivals fill, so that the number of probes is proportional to
//! traffic.

/// Cost of probes allowed per request, in service points. Each request adds as many tokens as this buys.
const POINTS_PER_REQUEST: f64 = 0.01;
/// Capacity of the bucket, in probes.
const CAPACITY: f64 = 6.0;

/// The probe budget. Expensive requests gain the most from a fresh report, so other requests leave them a
/// reserve.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProbeBudget {
    /// Number of probes that may be sent.
    tokens: f64,
}

impl ProbeBudget {
    /// Adds the tokens of an arrival; `probe_price` is the price of a probe in service points.
    pub(crate) fn add_request(&mut self, probe_price: f64) {
        self.tokens = (self.tokens + POINTS_PER_REQUEST / probe_price).min(CAPACITY);
    }

    /// Tokens that an inexpensive request must leave in the bucket: half of its capacity, less what the next
    /// request adds.
    pub(super) fn reserve(probe_price: f64) -> f64 {
        (CAPACITY / 2.0 - POINTS_PER_REQUEST / probe_price).max(0.0)
    }

    /// Takes one token if the reserve remains in the bucket.
    pub(super) fn try_spend(&mut self, reserve: f64) -> bool {
        let affordable = self.tokens >= reserve + 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }
}
