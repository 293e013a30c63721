//! A day's processes: dispatchers that are stopped, killed and started again, executors, and the coordinator between them.
//!
//! - `processes`: those of dispatchers.
//! - `machines`: executors, and what the list says of them.

mod machines;
mod processes;

use super::plan::Plan;
use super::records::{Attempt, Incarnation, Moment, Process, Records, Standstill};
use crate::fleet::Failure;
use standins::executor::{Executor, Pull};
use standins::feed::Feed;
use standins::link::Link;
use standins::scripted::{Dispatcher, Launch, Reserved};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What dispatchers log: what the operators' log has, and the way of each request.
const LOG: &str = "info,ottercroft::net::clients::request_intake=debug,ottercroft::dispatch=debug";
/// An executor that hangs takes longer than any deadline.
const HANGS: Duration = Duration::from_secs(60);

pub(super) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Log lines of one process, with the moment in which each was read.
type Log = Arc<Mutex<Lines>>;
/// Lines and their moments.
pub type Lines = Vec<(Moment, String)>;

/// One dispatcher's place: an address, and the process that has it now.
struct Place {
    reserved: Reserved,
    running: Mutex<Option<Dispatcher>>,
    incarnation: AtomicUsize,
    /// The process to signal; 0 while there is none.
    pid: AtomicU32,
}

/// An executor's place on the list.
struct Machine {
    executor: Arc<Executor>,
    uid: String,
    hangs: Arc<AtomicBool>,
    /// What the list says of it.
    state: &'static str,
    boot_ms: u64,
}

/// A day's processes, and what was noted of them.
pub struct World {
    /// The day.
    pub plan: Plan,
    /// What was noted.
    pub records: Mutex<Records>,
    /// Nothing new is begun any more.
    pub over: AtomicBool,
    begun: (Instant, SystemTime),
    launch: Launch,
    places: Vec<Place>,
    machines: Mutex<Vec<Machine>>,
    feed: Feed,
    feed_link: Link,
    deaf_until: Mutex<Moment>,
    logs: Mutex<Vec<(Process, Log)>>,
    next_rid: AtomicU32,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

fn entry(uid: &str, at: SocketAddr, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"a","model":"k","pod_group":0,"state":"{state}","capacity_hint":1,"boot_ms":{boot_ms}}}"#
    )
}

/// How long a request takes at an executor: by its class, and its id.
fn work(plan: &Plan, pull: &Pull, hangs: &AtomicBool) -> Duration {
    if hangs.load(Ordering::SeqCst) {
        return HANGS;
    }
    let id = u64::from_str_radix(&pull.id, 16).unwrap_or(0);
    let class = plan.classes.iter().find(|c| c.name == pull.class());
    let part = 0.5 + (id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / f64::from(1 << 24);
    class.map_or(Duration::ZERO, |c| c.work.mul_f64(part))
}

impl World {
    /// Starts all of a day.
    pub fn start(plan: &Plan, program: &Path, folder: &Path) -> Result<World, Failure> {
        let feed = Feed::at("127.0.0.1:0", 1)?;
        let feed_link = Link::new()?;
        feed_link.leads_to(feed.address);
        let mut launch = Launch::new(program, folder);
        launch.settings = plan.settings();
        launch.sockets = plan.sockets;
        launch.log = Some(LOG.into());
        let records = Records { drain_grace: plan.drain_grace, sockets: plan.sockets, ..Records::default() };
        let mut world = World {
            plan: plan.clone(),
            records: Mutex::new(records),
            over: AtomicBool::new(false),
            begun: (Instant::now(), SystemTime::now()),
            launch,
            places: Vec::new(),
            machines: Mutex::default(),
            feed,
            feed_link,
            deaf_until: Mutex::default(),
            logs: Mutex::default(),
            next_rid: AtomicU32::new(1),
        };
        for n in 0..plan.executors {
            world.new_machine(format!("s-{n:08x}"), "127.0.0.1:0")?;
        }
        for _ in 0..plan.dispatchers {
            let reserved = Reserved::new()?;
            let (running, incarnation, pid) = (Mutex::new(None), AtomicUsize::new(0), AtomicU32::new(0));
            world.places.push(Place { reserved, running, incarnation, pid });
        }
        (0..plan.dispatchers).for_each(|d| world.run(d, &mut lock(&world.places[d].running)));
        Ok(world)
    }

    /// The moment now.
    pub fn now(&self) -> Moment {
        self.begun.0.elapsed()
    }

    /// The same moment of an executor's note.
    pub fn moment(&self, at: SystemTime) -> Moment {
        at.duration_since(self.begun.1).unwrap_or_default()
    }

    /// A request id of its own.
    pub fn rid(&self) -> u64 {
        (self.plan.seed + 1) << 32 | u64::from(self.next_rid.fetch_add(1, Ordering::Relaxed))
    }

    /// Where a dispatcher listens, and which process that is now.
    pub fn dispatcher(&self, d: usize) -> (SocketAddr, Process) {
        let place = &self.places[d];
        (
            place.reserved.address,
            Process { dispatcher: d, incarnation: place.incarnation.load(Ordering::SeqCst) },
        )
    }

    fn new_machine(&self, uid: String, at: &str) -> Result<usize, Failure> {
        let (plan, hangs) = (self.plan.clone(), Arc::new(AtomicBool::new(false)));
        let flag = hangs.clone();
        let executor = Arc::new(Executor::at(at, false, move |pull| work(&plan, pull, &flag))?);
        let mut machines = lock(&self.machines);
        machines.push(Machine { executor, uid, hangs, state: "up", boot_ms: 0 });
        Ok(machines.len() - 1)
    }

    fn with_incarnation(&self, process: Process, what: impl FnOnce(&mut Incarnation)) {
        if let Some(incarnation) = lock(&self.records).incarnations.iter_mut().find(|l| l.process == process)
        {
            what(incarnation);
        }
    }

    /// Notes that a dispatcher stands still from a moment until now.
    pub fn stood_still(&self, dispatcher: Option<usize>, from: Moment) {
        let until = self.now();
        lock(&self.records).standstills.push(Standstill { dispatcher, from, until });
    }

    /// Ends all, and gives what was noted and the logs.
    pub fn end(self) -> (Records, Vec<(Process, Lines)>) {
        thread::scope(|scope| {
            for d in 0..self.places.len() {
                let world = &self;
                scope.spawn(move || world.stop(d, &["TERM"], Duration::ZERO, Duration::ZERO));
            }
        });
        let mut attempts = Vec::new();
        for (n, machine) in lock(&self.machines).iter().enumerate() {
            for pull in machine.executor.pulls() {
                let wait = pull.fields.split(',').find_map(|f| f.strip_prefix("ms=")?.parse().ok());
                attempts.push(Attempt {
                    rid: u64::from_str_radix(&pull.id, 16).unwrap_or(0),
                    executor: n,
                    at: self.moment(pull.at),
                    wait: Duration::from_millis(wait.unwrap_or(0)),
                    ended: pull.answered.or(pull.ended).map(|t| self.moment(t)),
                });
            }
        }
        attempts.sort_by_key(|a| a.at);
        let logs = std::mem::take(&mut *lock(&self.logs));
        let logs = logs.into_iter().map(|(p, log)| (p, lock(&log).clone())).collect();
        let records = std::mem::take(&mut *lock(&self.records));
        (Records { attempts, ..records }, logs)
    }
}
