//! Settings for stories in which nothing is sent that the story does not ask for.

/// Settings with a class of each effect, `read`, `load` and `keyed`, and without probes, second copies, priorities
/// and cold executors.
#[derive(Debug, Clone, PartialEq)]
pub struct Quiet {
    /// How long a connection may take to come up, in seconds.
    pub dial_timeout: f64,
    /// Which executors drop each other's repeats of `keyed`.
    pub group: &'static str,
    /// For how long they do, in seconds.
    pub dedup_window: f64,
    /// Further attempts allowed in every span.
    pub free_resends: f64,
    /// Further attempts allowed for each request of the span.
    pub further_ratio: f64,
    /// The span, in seconds.
    pub ratio_span: f64,
    /// The longest that a client of any class waits, in seconds.
    pub hard_limit: f64,
}

impl Default for Quiet {
    fn default() -> Quiet {
        Quiet {
            dial_timeout: 5.0,
            group: "all",
            dedup_window: 60.0,
            free_resends: 1000.0,
            further_ratio: 1.0,
            ratio_span: 10.0,
            hard_limit: 20.0,
        }
    }
}

impl Quiet {
    /// As the configuration holds them.
    pub fn json(&self) -> String {
        let Quiet { dial_timeout, group, dedup_window, free_resends, further_ratio, ratio_span, hard_limit } =
            self;
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"name":"{name}","promise":5.0,"hardLimit":{hard_limit},"effect":"{effect}","group":"{group}","dedupWindow":{dedup_window}}}"#
            )
        };
        let classes =
            [class("read", "read_like"), class("load", "non_idempotent"), class("keyed", "idempotency_key")];
        format!(
            r#"{{"areas":["a"],"balancers":1,"kinds":["k"],"zone":"a","domain":{{"kindCores":[8],"memoryByKindMb":[16384],"parallelism":[1,1,1]}},"permissions":{{"cancel":true,"maxAttempts":3,"mayDuplicate":false,"probes":false,"retryAfter":true,"maxRetryAfter":1.0,"dialTimeout":{dial_timeout}}},"report":{{"how":"off"}},"requestClasses":[{}],"rules":{{"stopSendingWithin":2,"coldFrom":1.0,"rampTime":0,"fall":0,"fallMultiple":3,"freeResends":{free_resends},"furtherRatio":{further_ratio},"ratioSpan":{ratio_span}}}}}"#,
            classes.join(",")
        )
    }
}
