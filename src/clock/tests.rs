use super::*;
use std::sync::atomic::{AtomicI64, Ordering};

const HOUR: i64 = 3_600_000_000;
const SECOND: i64 = 1_000_000;

/// Total offset by which tests have stepped this process's wall clock, in microseconds.
static STEPPED: AtomicI64 = AtomicI64::new(0);

pub(super) fn stepped(unix: Micros) -> Micros {
    unix.saturating_add_signed(STEPPED.load(Ordering::SeqCst))
}

/// Steps the wall clock and restores it on drop. The offset is global to the process, so only one instance
/// exists at a time.
pub(crate) struct SteppedWall {
    _one: std::sync::MutexGuard<'static, ()>,
}

impl SteppedWall {
    pub(crate) fn new() -> SteppedWall {
        static ONE: std::sync::Mutex<()> = std::sync::Mutex::new(());
        SteppedWall { _one: ONE.lock().unwrap_or_else(std::sync::PoisonError::into_inner) }
    }

    pub(crate) fn step(&self, by: i64) {
        STEPPED.fetch_add(by, Ordering::SeqCst);
    }
}

impl Drop for SteppedWall {
    fn drop(&mut self) {
        STEPPED.store(0, Ordering::SeqCst);
    }
}

const STEPS: [i64; 4] = [5 * SECOND, -5 * SECOND, HOUR, -HOUR];

// The clock used to be the wall clock, only prevented from going backwards: a step back froze it for an hour,
// and a step forward expired every request at once.
#[test]
fn the_clock_does_not_follow_steps_of_the_wall_clock() {
    let wall = SteppedWall::new();
    let mut clock = Clock::default();
    for step in STEPS {
        let (before, start) = (clock.now(), Instant::now());
        wall.step(step);
        std::thread::sleep(std::time::Duration::from_millis(20));
        let (spent, real) = (clock.now() - before, start.elapsed().as_micros() as Micros);
        assert!(spent >= 20_000 && spent <= real + 1_000, "{spent} us counted of {real}, step {step}");
    }
}

#[test]
fn start_times_convert_alike_before_and_after_a_step() {
    let (now, started) = (10_000 * SECOND as Micros, 9_997 * SECOND as Micros);
    for step in STEPS {
        let mut wall = WallClock::default();
        wall.observe(now, now);
        let after = now + 1_000;
        wall.observe(after, after.saturating_add_signed(step));
        // Reported by a machine that read its clock before the step, then by one that read it after.
        assert_eq!(wall.to_monotonic(after, started), started, "before a step of {step}");
        let reported = started.saturating_add_signed(step);
        assert_eq!(wall.to_monotonic(after, reported), started, "after a step of {step}");
    }
}

#[test]
fn a_future_start_time_is_clamped_to_now() {
    let mut wall = WallClock::default();
    wall.observe(1_000, 5_000);
    assert_eq!(wall.to_monotonic(2_000, 6_000 + 3_600_000_000), 2_000);
}

#[test]
fn a_start_time_reported_again_after_a_step_is_unchanged() {
    let (mut starts, mut wall) = (ExecutorStartTimes::default(), WallClock::default());
    let now = 10_000_000_000;
    wall.observe(now, now);
    let started = starts.started_at("e1", 9_999_000, now, &wall);
    assert_eq!(started, Some(9_999_000_000));
    wall.observe(now + 1, now - HOUR as Micros);
    assert_eq!(starts.started_at("e1", 9_999_000, now + 2, &wall), started);
    assert_eq!(starts.started_at("e1", 0, now, &wall), None);
    assert!(starts.is_empty());
}
