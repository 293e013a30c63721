//! Three dispatchers that keep a record of work in hand. While a load runs, another client sends the id of that open
//! request (`ask`) with a different statement.

use crate::standins::*;
use std::io;
use std::sync::Arc;
use std::thread;

/// How long a load runs.
const LOAD_MS: u64 = 4_000;

fn peers_file(me: usize, addresses: &[std::net::SocketAddr]) -> String {
    let names = ["sala-a", "sala-b", "sala-c"];
    let blocks: String = names
        .iter()
        .zip(addresses)
        .map(|(name, address)| format!("  peer \"{name}\" {{\n    address = \"{address}\"\n  }}\n"))
        .collect();
    format!("peers {{\n  me = \"{}\"\n  listen = \"{}\"\n{blocks}}}\n", names[me], addresses[me])
}

fn load(ask: &str, rid: &str, key: &str, statement: &str) -> String {
    format!(
        "/* method=carga-noche,rid={rid},ask={ask},budget=20000,est=5000,space=96,obj={key} */ {statement}"
    )
}

pub fn case(recorder: &Recorder, folder: &Folder) -> io::Result<i32> {
    let seen = Arc::new(Seen::default());
    let work = Arc::new(|pull: &Pull| if pull.fields.contains("carga") { LOAD_MS } else { 100 });
    let executors: Vec<Executor> = (0..4)
        .map(|n| Executor::start(&format!("m-0000000{}", n + 1), recorder, &seen, work.clone()))
        .collect::<io::Result<_>>()?;
    let entries: Vec<String> = executors.iter().map(|e| e.entry("up", "sala-norte")).collect();
    let coordinator = Coordinator::start(recorder, "c", 1, 0)?;
    let peers: Vec<_> = (0..3).map(|_| free_address()).collect::<io::Result<_>>()?;
    let mut fleet = Vec::new();
    for me in 0..3 {
        let (name, listen) = (format!("n{}", me + 1), free_address()?);
        let (config_file, hcl) = (folder.file(&format!("{name}.json")), folder.file(&format!("{name}.hcl")));
        std::fs::write(&config_file, config(&name, listen, coordinator.address, &entries, &settings(3)))?;
        std::fs::write(&hcl, peers_file(me, &peers))?;
        let extra = [("OTTERCROFT_SETTINGS", hcl.display().to_string())];
        fleet.push(Dispatcher::start(&name, listen, &config_file, folder, &extra)?);
    }
    for dispatcher in &mut fleet {
        dispatcher.wait_ready()?;
    }
    sleep_ms(3_000);

    // The first client's load, at the first dispatcher.
    let ask = new_id();
    let (first_rid, first_statement) =
        (new_id(), format!("INSERT INTO ventas_17.resultados SELECT * FROM staging.noche_{ask}"));
    let mut first = Client::connect(fleet[0].listen)?;
    first.send(&load(&ask, &first_rid, "7f3a9c21e0b4d655", &first_statement))?;
    recorder.note(format!("client 1: rid {first_rid}, ask {ask}: {first_statement}"));
    let first = thread::spawn(move || first.reply());
    for _ in 0..40 {
        sleep_ms(50);
        if seen.pulls.lock().is_ok_and(|pulls| pulls.iter().any(|p| p.rid == first_rid)) {
            break;
        }
    }

    // Another client's load, with a statement and a key of its own: at the same dispatcher, and at another one.
    let mut others = Vec::new();
    for n in 0..2 {
        let (rid, own_ask) = (new_id(), if trouble() { ask.clone() } else { new_id() });
        let statement = format!("INSERT INTO ventas_{}.reservas SELECT * FROM staging.dia_{rid}", 30 + n);
        let mut client = Client::connect(fleet[n].listen)?;
        client.send(&load(&own_ask, &rid, &new_id(), &statement))?;
        recorder.note(format!("client {}: rid {rid}, ask {own_ask}: {statement}", n + 2));
        others.push((n + 2, statement, thread::spawn(move || client.reply())));
    }
    recorder.note(format!("client 1: {}", first.join().map_or_else(|_| "?".into(), |r| r.to_string())));

    let mut foreign = 0;
    for (n, statement, waiting) in others {
        let Ok(reply) = waiting.join() else { return Ok(COULD_NOT_RUN) };
        let reached = seen.pulls.lock().is_ok_and(|pulls| pulls.iter().any(|p| p.statement == statement));
        recorder.note(format!("client {n}: {reply}; its statement reached an executor: {reached}"));
        foreign += usize::from(matches!(reply, Reply::Served(_)) && !reached);
    }
    let text = format!("{foreign} requests were served with rows that no executor made for them");
    recorder.note(&text);
    println!("{text}; none may be");
    Ok(if foreign > 0 { BROKEN } else { HELD })
}
