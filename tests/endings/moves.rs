//! A change of the coordinator while the old one still sends events.

use super::*;
use std::io::Read;

// SIGHUP names a coordinator that is not reachable yet, and the old one announces a drain afterwards. The old
// connection used to be dropped on the signal, leaving the dispatcher without updates until the new one was
// up. It must be followed until then.
#[test]
fn the_old_coordinator_is_followed_until_the_new_one_sends_an_event() {
    let executors = [0; 2].map(|_| Executor::new());
    let (old, new) = (Coordinator::new(), Refusing::new());
    let known = [("e1", executors[0].address), ("e2", executors[1].address)];
    let launch = launch(&Quiet::default());
    let mut d = launch.serving(&launch.config(old.address, &known));
    let (mut watch, _) = old.accept();
    let config = d.config.replace(&format!("\"{}\"", old.address), &format!("\"{}\"", new.address));
    std::fs::write(&d.file, config).unwrap();
    d.signal("HUP");
    d.logs("configuration reloaded");
    writeln!(watch, "{}", event(2, false, &[target("e1", executors[0].address, "draining")])).unwrap();
    d.logs("executor listed anew executor=\"e1\" state=Draining");
    let mut client = Client::asks(d.address, &long_request("load", 1));
    let mut peer = executors[1].accept();
    let pull = expect_pull(&mut peer, 1);
    peer.page(&pull, "OK pages=1", ROW);
    assert_served(&mut client, ROW);
    let new = new.coordinator();
    let (mut feed, asked) = new.accept();
    assert_eq!(asked, "follow 2\n", "events of the old coordinator are kept");
    writeln!(feed, "2").unwrap();
    assert_eq!(watch.read(&mut [0]).unwrap(), 0, "the old watch is closed then");
}
