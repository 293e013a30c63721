//! Wall clock steps while a dispatcher serves and shuts down: durations are measured in real time.

use super::*;
use crate::clock::tests::SteppedWall;

const SECOND: i64 = 1_000_000;
const STEPS: [i64; 4] = [5 * SECOND, -5 * SECOND, 3_600 * SECOND, -3_600 * SECOND];

/// Longer than any operation here takes, and far shorter than a step of an hour.
const SOON: Duration = Duration::from_secs(4);

// A step forward used to expire every open request, and a step back extended hanging requests by the same
// time.
#[test]
fn request_deadlines_ignore_wall_clock_steps() {
    let wall = SteppedWall::new();
    for (rid, step) in (1..).zip(STEPS) {
        let mut dispatcher = RunningDispatcher::start(Duration::from_millis(400), &Quiet::default(), || ());
        let mut client = Client::asks(dispatcher.address, &request("read", rid, 8_000));
        while dispatcher.run_count(rid) == 0 {
            std::thread::yield_now();
        }
        wall.step(step);
        assert!(is_result(&client.got(), rid), "step of {step}");
        // A request that cannot be served in time is still answered by its deadline.
        let mut hangs = Client::asks(dispatcher.address, &request("read", rid + 100, 300));
        let start = Instant::now();
        assert!(matches!(hangs.got(), Got::Error(1203, _)));
        assert!(start.elapsed() < SOON, "{:?} after a step of {step}", start.elapsed());
        dispatcher.terminate();
        dispatcher.join();
    }
}

// The time limits of the shutdown used to follow the wall clock: a step forward ended a load that had time
// left, and a step back kept the process running longer than the platform waits.
#[test]
fn the_shutdown_ignores_wall_clock_steps() {
    let wall = SteppedWall::new();
    for (rid, step) in (1..).zip(STEPS) {
        let mut dispatcher = RunningDispatcher::start(Duration::from_millis(900), &Quiet::default(), || ());
        let mut client = Client::asks(dispatcher.address, &request("load", rid, 8_000));
        while dispatcher.run_count(rid) == 0 {
            std::thread::yield_now();
        }
        let start = Instant::now();
        dispatcher.terminate();
        wall.step(step);
        assert!(is_result(&client.got(), rid), "step of {step}");
        drop(client);
        dispatcher.join();
        assert!(start.elapsed() < SOON, "{:?} after a step of {step}", start.elapsed());
    }
}
