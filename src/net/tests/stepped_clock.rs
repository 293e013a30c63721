//! The wall clock is stepped while a dispatcher serves, and while it ends: spans are of real time.

use super::*;
use crate::clock::tests::SteppedWall;

const SECOND: i64 = 1_000_000;
const STEPS: [i64; 4] = [5 * SECOND, -5 * SECOND, 3_600 * SECOND, -3_600 * SECOND];

/// Longer than anything here takes, far shorter than a step of an hour.
const SOON: Duration = Duration::from_secs(4);

// A step forward ended every request that was open, a step back kept those that hang open for as long.
#[test]
fn requests_keep_their_time() {
    let wall = SteppedWall::new();
    for (rid, step) in (1..).zip(STEPS) {
        let mut dispatcher = RunningDispatcher::start(Duration::from_millis(400), &Quiet::default(), || ());
        let mut client = Client::asks(dispatcher.address, &request("read", rid, 8_000));
        while dispatcher.run_count(rid) == 0 {
            std::thread::yield_now();
        }
        wall.step(step);
        assert!(is_result(&client.got(), rid), "step of {step}");
        // One that can't be answered in time has its answer in time all the same.
        let mut hangs = Client::asks(dispatcher.address, &request("read", rid + 100, 300));
        let begun = Instant::now();
        assert!(matches!(hangs.got(), Got::Error(1203, _)));
        assert!(begun.elapsed() < SOON, "{:?} after a step of {step}", begun.elapsed());
        dispatcher.terminate();
        dispatcher.join();
    }
}

// The time limits of a shutdown followed the wall clock: a step forward ended a load that had time left, and a step back
// kept the process longer than the platform waits.
#[test]
fn a_drain_takes_its_time() {
    let wall = SteppedWall::new();
    for (rid, step) in (1..).zip(STEPS) {
        let mut dispatcher = RunningDispatcher::start(Duration::from_millis(900), &Quiet::default(), || ());
        let mut client = Client::asks(dispatcher.address, &request("load", rid, 8_000));
        while dispatcher.run_count(rid) == 0 {
            std::thread::yield_now();
        }
        let begun = Instant::now();
        dispatcher.terminate();
        wall.step(step);
        assert!(is_result(&client.got(), rid), "step of {step}");
        drop(client);
        dispatcher.join();
        assert!(begun.elapsed() < SOON, "{:?} after a step of {step}", begun.elapsed());
    }
}
