//! The metrics returned by `DUMP`, in the Prometheus text exposition format.
//!
//! Counters start at 0 with the process and are incremented where the event happens; gauges are set from the current
//! state just before exposition.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// The outcome of an accepted request, as labelled in the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// Served.
    Succeeded,
    /// Rejected without having run.
    Declined,
    /// Failed.
    Aborted,
}

impl Disposition {
    fn label(self) -> &'static str {
        match self {
            Disposition::Succeeded => "succeeded",
            Disposition::Declined => "declined",
            Disposition::Aborted => "aborted",
        }
    }
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    results: IntCounterVec,
    /// Attempts completely written to executors.
    pub forwards: IntCounter,
    /// Open requests.
    pub outstanding: IntGauge,
    /// Executors on the list.
    pub discovered: IntGauge,
    /// Listed executors that are avoided: banned by operators or avoided by the dispatcher.
    pub ejected: IntGauge,
    /// Configuration reloads applied.
    pub sighup_applied: IntCounter,
    /// Configuration reloads rejected; the old configuration stayed in force.
    pub sighup_rejected: IntCounter,
    /// Log lines dropped because nobody read the log.
    pub log_lines_dropped: IntCounter,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Registers all metrics at 0.
    pub fn new() -> Metrics {
        let registry = Registry::new_custom(Some("dispatcher".into()), None).expect("a fixed prefix");
        let results = IntCounterVec::new(
            Opts::new("results", "Requests taken, by class (service) and how they ended (disposition)"),
            &["service", "disposition"],
        )
        .expect("fixed names");
        let counter = |name: &str, help: &str| IntCounter::new(name, help).expect("a fixed name");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("a fixed name");
        let metrics = Metrics {
            results,
            forwards: counter("forwards", "Attempts written whole to executors"),
            outstanding: gauge("outstanding", "Requests taken and not ended"),
            discovered: gauge("discovered", "Executors on the list"),
            ejected: gauge("ejected", "Executors on the list that are avoided now, by hand or by choice"),
            sighup_applied: counter("sighup_applied", "SIGHUPs whose configuration was taken"),
            sighup_rejected: counter("sighup_rejected", "SIGHUPs whose configuration was refused"),
            log_lines_dropped: counter("log_lines_dropped", "Log lines dropped as nobody read the log"),
            registry,
        };
        let r = &metrics.registry;
        let all: [Box<dyn prometheus::core::Collector>; 8] = [
            Box::new(metrics.results.clone()),
            Box::new(metrics.forwards.clone()),
            Box::new(metrics.outstanding.clone()),
            Box::new(metrics.discovered.clone()),
            Box::new(metrics.ejected.clone()),
            Box::new(metrics.sighup_applied.clone()),
            Box::new(metrics.sighup_rejected.clone()),
            Box::new(metrics.log_lines_dropped.clone()),
        ];
        all.into_iter().for_each(|c| r.register(c).expect("names registered once"));
        metrics
    }

    /// Initializes the counters of a class, so that they are exposed before its first request.
    pub fn class(&self, service: &str) {
        for d in [Disposition::Succeeded, Disposition::Declined, Disposition::Aborted] {
            self.results.with_label_values(&[service, d.label()]);
        }
    }

    /// Counts one finished request of class `service`.
    pub fn ended(&self, service: &str, disposition: Disposition) {
        self.results.with_label_values(&[service, disposition.label()]).inc();
    }

    /// The number of requests of a class with this outcome.
    pub fn count(&self, service: &str, disposition: Disposition) -> u64 {
        self.results.with_label_values(&[service, disposition.label()]).get()
    }

    /// The text exposition of all metrics.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        // Writing to memory cannot fail, and the names are valid.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}
