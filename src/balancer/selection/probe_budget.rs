//! How many probes may be sent: a token bucket that requests fill, so that probes stay in proportion to
//! traffic.

/// Points of service that probes may cost for each request; a request pays in as many probes as that buys.
const POINTS_PER_REQUEST: f64 = 0.01;
/// The most probes that are saved up.
const CAPACITY: f64 = 6.0;

/// Probes that requests have paid for. Expensive requests gain most by a report, so others leave them a
/// reserve.
#[derive(Debug, Clone, Default)]
pub(crate) struct ProbeBudget {
    /// Probes that may be sent.
    tokens: f64,
}

impl ProbeBudget {
    /// A request has arrived; `probe_price` is the price of a probe in points of service.
    pub(crate) fn add_request(&mut self, probe_price: f64) {
        self.tokens = (self.tokens + POINTS_PER_REQUEST / probe_price).min(CAPACITY);
    }

    /// What a request that is not expensive leaves in the bucket: half of it, less what the next request
    /// adds.
    pub(super) fn reserve(probe_price: f64) -> f64 {
        (CAPACITY / 2.0 - POINTS_PER_REQUEST / probe_price).max(0.0)
    }

    /// Takes one probe out of the bucket if the reserve stays in it.
    pub(super) fn try_spend(&mut self, reserve: f64) -> bool {
        let affordable = self.tokens >= reserve + 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }
}
