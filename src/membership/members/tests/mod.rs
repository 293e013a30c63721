use super::*;
use crate::membership::list::{DesiredState, Executor, ListFile};
use std::net::SocketAddr;

mod drains;
mod guard;
mod precedence;
mod sequences;

const S: Micros = 1_000_000;

fn settings(precedence: &[&str]) -> MembersSettings {
    MembersSettings {
        precedence: precedence.iter().map(|n| (*n).to_string()).collect(),
        guard: Guard { max_loss: 1.0, ..Guard::default() },
        drain_limit: Duration::from_secs(60),
        cores: [("k".to_string(), 8.0)].into(),
        without: BTreeSet::new(),
    }
}

/// An executor in short form: uid, port, weight, whether it is up.
type Line = (u8, u16, f64, bool);

fn file(name: &str, generation: Option<u64>, zone: &str, lines: &[Line]) -> ListFile {
    let executor = |(uid, port, weight, up): &Line| {
        Arc::new(Executor {
            uid: format!("e{uid}").into(),
            zone: zone.into(),
            address: SocketAddr::from(([10, 0, 0, 1], *port)),
            kind: "k".into(),
            weight: *weight,
            state: if *up { DesiredState::Up } else { DesiredState::Draining },
        })
    };
    let executors: Vec<_> = lines.iter().map(executor).collect();
    let digest = crate::membership::list::digest(generation, &executors);
    let places = vec![Default::default(); executors.len()];
    ListFile { name: name.into(), generation, executors, places, seal: None, confirm: None, digest }
}

fn list(generation: Option<u64>, lines: &[Line]) -> List {
    List::new(vec![file("f", generation, "a", lines)])
}

fn fed(uid: u8, port: u16, state: State) -> Target {
    let endpoint = Some(SocketAddr::from(([10, 0, 0, 1], port)));
    let (uid, az, model) = (format!("e{uid}"), "a".to_string(), "k".to_string());
    Target { uid, endpoint, az, model, pod_group: 0, state, capacity_hint: None, boot_ms: 0, weight: None }
}

fn states(m: &Members) -> Vec<(String, State)> {
    m.in_force().into_iter().map(|t| (t.uid, t.state)).collect()
}

fn up(uids: &[&str]) -> Vec<(String, State)> {
    uids.iter().map(|u| ((*u).to_string(), State::Up)).collect()
}

fn changes(effects: &[Effect]) -> Vec<(&str, State)> {
    let targets = effects.iter().filter_map(|a| if let Effect::Update(t) = a { Some(t) } else { None });
    targets.flatten().map(|t| (t.uid.as_str(), t.state)).collect()
}
