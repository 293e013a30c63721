use super::*;
use crate::settings::Env;

mod ends;
mod fleet;
mod held;
mod intake;
mod policy;

const SETTINGS: &str = r#"{"balancers":1,"kinds":["k"],"domain":{"kindCores":[8],"parallelism":[1]},
    "permissions":{"cancel":true,"maxAttempts":3},
    "requestClasses":[{"name":"load","promise":5,"hardLimit":20,"effect":"non_idempotent","keepOrder":true}],
    "rules":{"stopSendingWithin":2,"coldFrom":0.3,"rampTime":10,"fall":2,"fallMultiple":3}}"#;
const BUDGET: Micros = 4_000_000;

fn member(executor: ExecutorId, standing: Standing) -> Member {
    let (zone, kind, cell, size) = (0, 0, 0, 1.0);
    Member { executor, zone, kind, cell, standing, size, started: None, weight: None }
}

fn dispatch() -> Dispatch<()> {
    let env: Env = serde_json::from_str(SETTINGS).unwrap();
    let mut d = Dispatch::new(env.settings().unwrap().0, 2, 7).unwrap();
    d.members(1_000, News::Restored, &[member(5, Standing::Up)]);
    d
}

fn request(id: u64, budget: Micros) -> Request {
    Request {
        id,
        ask: None,
        class: 0,
        tenant: None,
        key: None,
        told: budget,
        budget,
        thread_seconds: None,
        memory_mb: None,
        group: 0,
        repeated: false,
        held_back: false,
    }
}

fn pick(d: &mut Dispatch<()>, now: Micros, id: u64) -> Vec<Order<()>> {
    d.pick(now, &request(id, BUDGET)).unwrap()
}

fn answers(orders: &[Order<()>]) -> Vec<&Answer<()>> {
    orders.iter().filter_map(|o| if let Order::Answer(_, a) = o { Some(a) } else { None }).collect()
}
