use super::*;
use crate::settings::Env;

mod admission_policy;
mod completion;
mod endpoints;
mod held_requests;
mod never_sent;
mod submission;

const SETTINGS: &str = r#"{"balancers":1,"kinds":["k"],"domain":{"kindCores":[8],"parallelism":[1]},
    "permissions":{"cancel":true,"maxAttempts":3},
    "requestClasses":[{"name":"load","promise":5,"hardLimit":20,"effect":"non_idempotent","keepOrder":true}],
    "rules":{"stopSendingWithin":2,"coldFrom":0.3,"rampTime":10,"fall":2,"fallMultiple":3}}"#;
const BUDGET: Micros = 4_000_000;

fn listed(executor: ExecutorId, state: ExecutorState) -> ListedExecutor {
    let (zone, kind, cell, size) = (0, 0, 0, 1.0);
    ListedExecutor { executor, zone, kind, cell, state, size, started: None, weight: None }
}

fn dispatch() -> Dispatch<()> {
    let env: Env = serde_json::from_str(SETTINGS).unwrap();
    let mut d = Dispatch::new(env.settings().unwrap().0, 2, 7).unwrap();
    d.apply_watch_event(1_000, WatchEvent::Restored, &[listed(5, ExecutorState::Up)]);
    d
}

fn request(id: u64, budget: Micros) -> Request {
    Request {
        id,
        client_request_id: None,
        class: 0,
        tenant: None,
        key: None,
        client_timeout: budget,
        time_budget: budget,
        estimated_thread_seconds: None,
        estimated_memory_mb: None,
        table_group: 0,
        is_client_retry: false,
        held_by_client: false,
    }
}

fn submit(d: &mut Dispatch<()>, now: Micros, id: u64) -> Vec<Command<()>> {
    d.submit(now, &request(id, BUDGET)).unwrap()
}

fn answers(commands: &[Command<()>]) -> Vec<&Answer<()>> {
    commands.iter().filter_map(|o| if let Command::Answer(_, a) = o { Some(a) } else { None }).collect()
}
