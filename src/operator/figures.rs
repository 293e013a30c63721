//! The figures that `DUMP` tells, in Prometheus text exposition, through the `prometheus` crate.
//!
//! Counts start at 0 with the process and are taken where their event happens; the gauges are set from the
//! state just before they are told.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// How a request that was taken ended, as the figures name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// Served.
    Succeeded,
    /// Refused: it never ran.
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

/// The figures of one process.
pub struct Figures {
    registry: Registry,
    results: IntCounterVec,
    /// Attempts written whole to executors.
    pub forwards: IntCounter,
    /// Requests taken and not ended.
    pub outstanding: IntGauge,
    /// Executors on the list.
    pub discovered: IntGauge,
    /// Executors on the list that are avoided, by hand or by choice.
    pub ejected: IntGauge,
    /// SIGHUPs whose file was taken.
    pub sighup_applied: IntCounter,
    /// SIGHUPs whose file was not, so that the old stayed.
    pub sighup_rejected: IntCounter,
}

impl Default for Figures {
    fn default() -> Figures {
        Figures::new()
    }
}

impl Figures {
    /// All at 0.
    pub fn new() -> Figures {
        let registry = Registry::new_custom(Some("dispatcher".into()), None).expect("a fixed prefix");
        let results = IntCounterVec::new(
            Opts::new("results", "Requests taken, by class (service) and how they ended (disposition)"),
            &["service", "disposition"],
        )
        .expect("fixed names");
        let counter = |name: &str, help: &str| IntCounter::new(name, help).expect("a fixed name");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("a fixed name");
        let figures = Figures {
            results,
            forwards: counter("forwards", "Attempts written whole to executors"),
            outstanding: gauge("outstanding", "Requests taken and not ended"),
            discovered: gauge("discovered", "Executors on the list"),
            ejected: gauge("ejected", "Executors on the list that are avoided now, by hand or by choice"),
            sighup_applied: counter("sighup_applied", "SIGHUPs whose configuration was taken"),
            sighup_rejected: counter("sighup_rejected", "SIGHUPs whose configuration was refused"),
            registry,
        };
        let r = &figures.registry;
        let all: [Box<dyn prometheus::core::Collector>; 7] = [
            Box::new(figures.results.clone()),
            Box::new(figures.forwards.clone()),
            Box::new(figures.outstanding.clone()),
            Box::new(figures.discovered.clone()),
            Box::new(figures.ejected.clone()),
            Box::new(figures.sighup_applied.clone()),
            Box::new(figures.sighup_rejected.clone()),
        ];
        all.into_iter().for_each(|c| r.register(c).expect("names registered once"));
        figures
    }

    /// Sets the counts of a class to 0, so that they are told before its first request.
    pub fn class(&self, service: &str) {
        for d in [Disposition::Succeeded, Disposition::Declined, Disposition::Aborted] {
            self.results.with_label_values(&[service, d.label()]);
        }
    }

    /// One request of class `service` ended so.
    pub fn ended(&self, service: &str, disposition: Disposition) {
        self.results.with_label_values(&[service, disposition.label()]).inc();
    }

    /// What one class came to so far.
    pub fn count(&self, service: &str, disposition: Disposition) -> u64 {
        self.results.with_label_values(&[service, disposition.label()]).get()
    }

    /// The text exposition of all.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        // Writing to memory does not fail, and the names are valid.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        String::from_utf8(out).unwrap_or_default()
    }
}
