//! Renders a plan as the JSON text that the platform would write.

use crate::plan::{Class, Idempotency, Plan, Reach};
use ottercroft::api::{self, Settings};
use ottercroft::settings::{Env, Names};
use serde::Serialize;
use serde_json::json;

impl Plan {
    pub fn class_name(&self, i: usize) -> String {
        format!("{}-{i}", self.word)
    }

    pub fn zone_name(&self, i: usize) -> String {
        format!("{} z{i}", self.word)
    }

    pub fn kind_name(&self, i: usize) -> String {
        format!("k{i}{}", self.word)
    }

    pub fn tenant_name(&self, i: usize) -> String {
        format!("t{i} {}", self.word)
    }

    /// The text of an object. The seed determines the order of keys and whether null values are omitted.
    fn object(&self, mut all: Vec<(&str, String)>) -> String {
        let n = all.len();
        all.rotate_left((self.seed % n as u64) as usize);
        if self.seed % 2 == 0 {
            all.retain(|(_, v)| v != "null");
        }
        if self.seed % 3 == 0 {
            all.push(("keyOfLater", text(json!({"x": [1, null]}))));
        }
        let fields: Vec<String> = all.iter().map(|(k, v)| format!("{k:?}:{v}")).collect();
        format!("{{{}}}", fields.join(","))
    }

    fn class(&self, i: usize, c: &Class) -> String {
        let names = |l: &Option<Vec<usize>>, f: &dyn Fn(usize) -> String| {
            l.as_ref().map(|l| l.iter().map(|i| f(*i)).collect::<Vec<_>>())
        };
        let (idempotency, group) = match c.idempotency {
            Idempotency::ReadLike => ("read_like", None),
            Idempotency::NonIdempotent => ("non_idempotent", None),
            // The default group may be omitted.
            Idempotency::Key(Reach::All) => ("idempotency_key", (self.seed % 2 == 0).then_some("all")),
            Idempotency::Key(Reach::Zone) => ("idempotency_key", Some("zone")),
            Idempotency::Key(Reach::Cell) => ("idempotency_key", Some("cell")),
        };
        self.object(vec![
            ("name", text(self.class_name(i))),
            ("effect", text(idempotency)),
            ("group", text(group)),
            ("dedupWindow", text(matches!(c.idempotency, Idempotency::Key(_)).then(|| secs(c.window)))),
            ("keepOrder", text(c.keep_order.then_some(true))),
            ("promise", seconds(c.promise)),
            ("hardLimit", seconds(c.limit)),
            ("areasOnly", text(names(&c.zones, &|i| self.zone_name(i)))),
            ("boundTo", text(names(&c.kinds, &|i| self.kind_name(i)))),
            ("credit", text(c.priority_weight.map(|w| w[0]))),
            ("lateWorth", text(c.priority_weight.map(|w| w[1]))),
            ("aimStretch", text(c.priority_weight.map(|w| w[2]))),
            ("streamed", text(false)),
        ])
    }

    fn domain(&self) -> String {
        if !self.domain {
            return text(self.notes.map(|n| json!({"progressPace": n as f64 / 1e6})));
        }
        let of = |f: &dyn Fn(&Class) -> bool| text(self.classes.iter().map(f).collect::<Vec<_>>());
        self.object(vec![
            ("classLoad", of(&|c| c.loads)),
            ("yieldsToLoads", of(&|c| c.yields)),
            ("parallelism", text(self.classes.iter().map(|c| c.threads).collect::<Vec<_>>())),
            ("kindCores", text(vec![4; self.kinds])),
            ("memoryByKindMb", text(vec![8192.0; self.kinds])),
            ("memoryHeeded", text(self.seed % 5 != 0)),
            ("takesPriority", text(self.seed % 7 != 0)),
            ("grantCap", text(0.5)),
            ("onShortage", text(["queue", "trim", "swap"][(self.seed % 3) as usize])),
            ("progressPace", text(self.notes.map(secs))),
            ("tellsCost", text(self.seed % 2 == 0)),
        ])
    }

    /// The settings as JSON text.
    pub fn json(&self) -> String {
        let classes: Vec<String> = self.classes.iter().enumerate().map(|(i, c)| self.class(i, c)).collect();
        let list = |n: usize, f: &dyn Fn(usize) -> String| text((0..n).map(f).collect::<Vec<_>>());
        let tenant = |i| json!({"name": self.tenant_name(i), "quotaPerS": 3.0 * i as f64, "fraction": 0.2});
        let costs = self.price.map(|p| json!({"crossZone": p, "probe": p, "handshake": p}));
        let b = self.budget.as_ref();
        let report = ["inline", "on_probe", "off"].get(usize::from(self.reports));
        let rules = self.object(vec![
            ("answerSlack", seconds(self.slack)),
            ("stopSendingWithin", seconds(self.drain)),
            ("coldFrom", text(0.3)),
            ("rampTime", text(5.0)),
            ("fall", text(1.0)),
            ("fallMultiple", text(3.0)),
            ("keyQuiet", text(self.key_quiet.map(secs))),
            ("freeResends", text(b.and_then(|b| b.free))),
            ("furtherRatio", text(b.and_then(|b| b.ratio))),
            ("ratioSpan", text(b.map(|b| secs(b.span)))),
        ]);
        let permissions = self.object(vec![
            ("cancel", text(self.cancel)),
            ("mayDuplicate", text(self.copies)),
            ("probes", text(self.probes)),
            ("retryAfter", text(self.retry_after)),
            ("maxRetryAfter", text(self.retry_after.map(|_| 1.5))),
            ("maxAttempts", text(self.max_attempts)),
        ]);
        self.object(vec![
            ("requestClasses", format!("[{}]", classes.join(","))),
            ("areas", list(self.zones, &|i| self.zone_name(i))),
            ("zone", text(self.zone_name(self.seed as usize % self.zones))),
            ("kinds", list(self.kinds, &|i| self.kind_name(i))),
            ("parties", text((0..self.tenants).map(tenant).collect::<Vec<_>>())),
            ("discovery", text(["push", "ask"].get((self.seed % 3) as usize))),
            ("balancers", text(self.dispatchers)),
            ("costs", text(costs)),
            ("domain", self.domain()),
            ("permissions", permissions),
            ("report", text(report.map(|how| json!({"how": how})))),
            ("rules", rules),
            ("overShareWorth", text(self.price)),
            ("step", text(self.price.map(|_| 0.005))),
        ])
    }

    /// The settings as read by the program, compared with the plan.
    pub fn settings(&self) -> (Settings, Names) {
        let text = self.json();
        let env: Env =
            ottercroft::settings::body("settings", &text).unwrap_or_else(|e| panic!("{e}: {text}"));
        env.transport().unwrap_or_else(|e| panic!("{e}: {text}"));
        let (s, names) = env.settings().unwrap_or_else(|e| panic!("{e}: {text}"));
        for (i, c) in self.classes.iter().enumerate() {
            let read = &s.classes[names.classes[&self.class_name(i)]];
            let window = c.window;
            let idempotency = match c.idempotency {
                Idempotency::ReadLike => api::Idempotency::Idempotent,
                Idempotency::NonIdempotent => api::Idempotency::NotIdempotent,
                Idempotency::Key(Reach::All) => {
                    api::Idempotency::IdempotencyKey { scope: api::KeyScope::All, window }
                }
                Idempotency::Key(Reach::Zone) => {
                    api::Idempotency::IdempotencyKey { scope: api::KeyScope::Zone, window }
                }
                Idempotency::Key(Reach::Cell) => {
                    api::Idempotency::IdempotencyKey { scope: api::KeyScope::Cell, window }
                }
            };
            assert_eq!(read.idempotency, idempotency, "{text}");
            assert_eq!(
                (read.latency_objective, read.client_timeout, read.keep_order),
                (c.promise, c.limit, c.keep_order)
            );
            assert_eq!((&read.only_zones, &read.only_kinds), (&c.zones, &c.kinds));
        }
        (s, names)
    }
}

fn secs(us: u64) -> f64 {
    us as f64 / 1e6
}

fn seconds(us: u64) -> String {
    text(secs(us))
}

fn text(value: impl Serialize) -> String {
    serde_json::to_string(&value).unwrap()
}
