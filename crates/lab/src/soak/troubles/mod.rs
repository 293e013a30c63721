//! What goes wrong on a day, one file a kind. Adding one is a file here, a line in [`Kind`], [`ALL`] and [`Kind::strike`].

mod bad_clients;
mod coordinator;
mod crowd;
mod executors;
mod hot_key;
mod pause;
mod signals;

use super::world::World;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A kind of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Three SIGHUPs in a second, one of them with a faulty file.
    Rereads,
    /// SIGHUP and SIGTERM together.
    RereadAndStop,
    /// SIGTERM twice.
    StopTwice,
    /// SIGTERM, and again right after the new process listens.
    StopRightAfterStart,
    /// SIGTERM while executors hang, for longer than every deadline.
    StopWhileExecutorsHang,
    /// SIGKILL without a word.
    Crash,
    /// A process stands still.
    Pause,
    /// A process stands still again and again, in the middle of signals.
    PausesAndRereads,
    /// Executors hang.
    ExecutorsHang,
    /// An executor dies, and another has its address.
    ExecutorReplaced,
    /// An executor drains and goes.
    ExecutorDrains,
    /// The coordinator is silent or away.
    Coordinator,
    /// Idle clients fill the descriptors.
    Crowd,
    /// A crowd during a restart.
    CrowdAndStop,
    /// Clients that do nothing of use.
    BadClients,
    /// More requests of one key than its client may write.
    HotKey,
}

/// All kinds.
pub const ALL: [Kind; 16] = [
    Kind::Rereads,
    Kind::RereadAndStop,
    Kind::StopTwice,
    Kind::StopRightAfterStart,
    Kind::StopWhileExecutorsHang,
    Kind::Crash,
    Kind::Pause,
    Kind::PausesAndRereads,
    Kind::ExecutorsHang,
    Kind::ExecutorReplaced,
    Kind::ExecutorDrains,
    Kind::Coordinator,
    Kind::Crowd,
    Kind::CrowdAndStop,
    Kind::BadClients,
    Kind::HotKey,
];

impl Kind {
    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Rereads => "rereads",
            Kind::RereadAndStop => "reread_and_stop",
            Kind::StopTwice => "stop_twice",
            Kind::StopRightAfterStart => "stop_right_after_start",
            Kind::StopWhileExecutorsHang => "stop_while_executors_hang",
            Kind::Crash => "crash",
            Kind::Pause => "pause",
            Kind::PausesAndRereads => "pauses_and_rereads",
            Kind::ExecutorsHang => "executors_hang",
            Kind::ExecutorReplaced => "executor_replaced",
            Kind::ExecutorDrains => "executor_drains",
            Kind::Coordinator => "coordinator",
            Kind::Crowd => "crowd",
            Kind::CrowdAndStop => "crowd_and_stop",
            Kind::BadClients => "bad_clients",
            Kind::HotKey => "hot_key",
        }
    }

    /// Strikes, and is over when this returns.
    pub fn strike(self, world: &World, seed: u64) {
        let rng = &mut StdRng::seed_from_u64(seed);
        match self {
            Kind::Rereads => signals::rereads(world, rng),
            Kind::RereadAndStop => signals::stop(world, rng, &["HUP", "TERM"]),
            Kind::StopTwice => signals::stop(world, rng, &["TERM", "TERM"]),
            Kind::StopRightAfterStart => signals::stop_right_after_start(world, rng),
            Kind::StopWhileExecutorsHang => signals::stop_while_executors_hang(world, rng),
            Kind::Crash => signals::crash(world, rng),
            Kind::Pause => pause::once(world, rng),
            Kind::PausesAndRereads => pause::with_rereads(world, rng),
            Kind::ExecutorsHang => executors::hang(world, rng),
            Kind::ExecutorReplaced => executors::replaced(world, rng),
            Kind::ExecutorDrains => executors::drains(world, rng),
            Kind::Coordinator => coordinator::away(world, rng),
            Kind::Crowd => crowd::comes(world, rng),
            Kind::CrowdAndStop => crowd::comes_during_a_stop(world, rng),
            Kind::BadClients => bad_clients::come(world, rng),
            Kind::HotKey => hot_key::asks(world, rng),
        }
    }
}
