//! What a request's client means to do, drawn before it asks.

use crate::soak::plan::Class;
use crate::soak::records::Answer;
use crate::soak::world::World;
use rand::Rng;
use rand::rngs::StdRng;
use standins::scripted::Got;
use std::time::Duration;

/// A client that leaves of its own will does so within this time.
const LEAVES_WITHIN_MS: u64 = 400;
/// Requests with hardly any time left: one in so many, with at most so many milliseconds.
const SLIVERS: u32 = 25;
const SLIVER_MS: u64 = 20;
/// One in so many writes its request in pieces.
const SLOW_WRITERS: u32 = 30;
/// Keys that loads are of.
const KEYS: u64 = 6;

/// What a client does once it has written its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// Waits for its answer.
    Waits,
    /// Closes its connection after a while.
    Closes(Duration),
    /// Ends its half of it.
    HalfCloses(Duration),
    /// Sends a KILL on another connection.
    Kills(Duration),
}

/// What a request's client is to do, drawn before it is written.
pub struct Intent {
    /// The request's id.
    pub rid: u64,
    /// Its class.
    pub class: Class,
    /// Its key, if its class keeps an order.
    pub key: Option<u64>,
    /// How long the client waits.
    pub budget: Duration,
    /// What the client does meanwhile.
    pub manner: Manner,
    /// Whether it writes the request in pieces.
    pub slowly: bool,
}

impl Intent {
    /// Draws one.
    pub fn draw(world: &World, rng: &mut StdRng) -> Intent {
        let class = world.plan.classes[rng.random_range(0..world.plan.classes.len())].clone();
        let sliver = rng.random_ratio(1, SLIVERS);
        let budget =
            if sliver { Duration::from_millis(rng.random_range(1..=SLIVER_MS)) } else { class.deadline };
        let after = Duration::from_millis(rng.random_range(0..LEAVES_WITHIN_MS));
        let manner = match rng.random_range(0..20) {
            0 => Manner::Closes(after),
            1 => Manner::HalfCloses(after),
            2 => Manner::Kills(after),
            _ => Manner::Waits,
        };
        let key = class.once.then(|| rng.random_range(0..KEYS));
        Intent { rid: world.rid(), class, key, budget, manner, slowly: rng.random_ratio(1, SLOW_WRITERS) }
    }

    /// The statement to write.
    pub fn statement(&self) -> String {
        statement(&self.class, self.rid, self.key, self.budget)
    }
}

/// The statement of a request; its rows tell whose they are, as it holds the id.
pub fn statement(class: &Class, rid: u64, key: Option<u64>, budget: Duration) -> String {
    let (name, budget, work) = (class.name, budget.as_millis().max(1), class.work.as_millis());
    let key = key.map_or(String::new(), |key| format!(",obj={key:016x}"));
    let token = if name == "keyed" { format!(",token=t{rid:x}") } else { String::new() };
    format!(
        "/* method={name},rid={rid:016x},budget={budget},est={work}.0,space=9{key}{token} */ SELECT a FROM sales_7.t WHERE b = 'r{rid:016x}'"
    )
}

/// An answer, if it was one.
pub fn answer(got: &Got, rid: u64) -> Option<Answer> {
    match got {
        Got::Rows(rows) => {
            let own =
                rows.len() == 2 && rows[1].get(1).is_some_and(|cell| cell.contains(&format!("r{rid:016x}")));
            Some(Answer::Rows { own })
        }
        Got::Error(1040 | 1203 | 1226, text) => Some(Answer::Refused { told: text.contains("backoff=") }),
        Got::Error(..) => Some(Answer::Failed),
        Got::Ok | Got::Closed => None,
    }
}
