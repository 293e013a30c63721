//! The coordinator's list while the coordinator sends nothing to the new process.

use super::*;
use standins::feed::Feed;

/// Waits until a process holds back so many executors.
fn await_ejected(process: &Process, executors: usize) {
    let figure = format!("dispatcher_ejected {executors}\n");
    awaited(&figure, || process.call("DUMP").contains(&figure));
}

// The new process begins with the list of the unchanged configuration. While the coordinator was down, it sent work to an
// executor that the old process knew to drain.
#[test]
fn a_drain_that_the_old_process_was_told_holds_at_a_new_one_without_coordinator() {
    let deployment = Deployment::new(3);
    let [e1, e2] = [0, 1].map(|n| deployment.executors[n].address);
    let (feed, unreachable) = (Feed::at("127.0.0.1:0", 1).unwrap(), Refusing::new());
    let coordinator = deployment.coordinator.address.to_string();
    let config = deployment.config("127.0.0.1:0");
    let old = Process::start(&config.replace(&coordinator, &feed.address.to_string()));
    feed.tell(false, &[target("e1", e1, "draining")]);
    await_ejected(&old, 1);
    let config = deployment.config(&old.dispatcher.address.to_string());
    let new = Process::start(&config.replace(&coordinator, &unreachable.address.to_string()));
    await_ejected(&new, 1);
    // What the old process is told afterwards holds as well.
    feed.tell(false, &[target("e2", e2, "draining")]);
    await_ejected(&new, 2);
    // The new process's own coordinator counts from its first line on. Its events are those after the configuration.
    let (mut own_feed, asked) = unreachable.coordinator().accept();
    assert_eq!(asked, "follow 1\n");
    let events = [
        event(2, false, &[target("e1", e1, "draining")]),
        event(3, false, &[target("e2", e2, "draining")]),
        event(4, false, &[target("e1", e1, "up")]),
    ];
    writeln!(own_feed, "{}", events.join("\n")).unwrap();
    await_ejected(&new, 1);
}

// A new process that starts from another list must not take the old one's: event numbers can't be compared.
#[test]
fn a_process_that_starts_from_another_list_keeps_it() {
    let deployment = Deployment::new(2);
    let e1 = deployment.executors[0].address;
    let verbose = Launch { log: Some("info,ottercroft::net::siblings=debug".into()), ..launch() };
    let mut old = Process::start_with(&verbose, &deployment.config("127.0.0.1:0"));
    let (mut feed, _) = deployment.coordinator.accept();
    writeln!(feed, "{}", event(2, false, &[target("e1", e1, "draining")])).unwrap();
    await_ejected(&old, 1);
    let config = deployment.config(&old.dispatcher.address.to_string());
    let new = Process::start(&config.replace(r#""capacity_hint":1"#, r#""capacity_hint":2"#));
    old.dispatcher.logs("no list for a process that started from another one");
    assert!(new.call("DUMP").contains("dispatcher_ejected 0\n"));
}
