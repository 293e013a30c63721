//! Many followers in one process: the follower's real code and a real connection each, and no clients.
//!
//! Over standard input it is told `report`, and answers with one line of JSON on what it has seen since the last one.

use super::hollow_follower::HollowFollower;
use crate::fleet::Failure;
use clap::Args;
use ottercroft::api::{Micros, Settings};
use ottercroft::net::event_loop::poll::{Key, Poll};
use ottercroft::settings::Names;
use ottercroft::settings::config::Config;
use ottercroft::settings::options::Options;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How a process of hollow followers is started.
#[derive(Debug, Args)]
pub struct HollowArgs {
    /// Our settings, with a control block
    #[arg(long)]
    settings: PathBuf,
    /// The platform's configuration, which policies are checked against
    #[arg(long)]
    config: PathBuf,
    /// How many
    #[arg(long)]
    followers: usize,
    /// For their draws
    #[arg(long)]
    seed: u64,
    /// How often each is asked by what it admits, in milliseconds; 0 for never
    #[arg(long, default_value_t = 20)]
    sample_ms: u64,
}

/// The Unix clock in microseconds, which all processes of one machine share.
pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}

/// What all followers of the process saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// When each follower first acted by a policy, by its number.
    pub in_force: BTreeMap<u64, Vec<Micros>>,
    /// The first and the last time that any admitted by a policy, by its number.
    pub admitted: BTreeMap<u64, [Micros; 2]>,
}

impl Seen {
    /// A follower would admit by this number now.
    pub fn admits(&mut self, number: u64, at: Micros) {
        let span = self.admitted.entry(number).or_insert([at, at]);
        span[0] = span[0].min(at);
        span[1] = span[1].max(at);
    }
}

struct Process {
    poll: Poll,
    followers: Vec<HollowFollower>,
    by_key: HashMap<Key, usize>,
    due: BTreeSet<(Micros, usize)>,
    due_of: Vec<Micros>,
    key_of: Vec<Option<Key>>,
    base: Settings,
    names: Names,
    seen: Seen,
}

impl Process {
    /// Lets one follower do what is due or came, and keeps when it is next due.
    fn turn(&mut self, index: usize, ready: bool) {
        let Some(follower) = self.followers.get_mut(index) else { return };
        follower.turn(ready, &self.poll, &self.base, &self.names, &mut self.seen);
        self.due.remove(&(self.due_of[index], index));
        self.due_of[index] = follower.next_due();
        self.due.insert((self.due_of[index], index));
        let key = follower.key();
        if key != self.key_of[index] {
            if let Some(old) = self.key_of[index] {
                self.by_key.remove(&old);
            }
            self.key_of[index] = key;
            self.by_key.extend(key.map(|k| (k, index)));
        }
    }

    fn report(&mut self) -> String {
        let at = now();
        let leased = self.followers.iter().filter(|f| f.holds(at)).count();
        let bytes = self.followers.iter().fold([0; 2], |sum, f| {
            let [bytes_in, bytes_out] = f.bytes();
            [sum[0] + bytes_in, sum[1] + bytes_out]
        });
        let tally = |of: fn(&HollowFollower) -> u64| self.followers.iter().map(of).sum::<u64>();
        let seen = std::mem::take(&mut self.seen);
        let line = json!({
            "followers": self.followers.len(),
            "leased": leased,
            "numbers": self.followers.iter().map(HollowFollower::number).collect::<BTreeSet<u64>>(),
            "bytes_in": bytes[0],
            "bytes_out": bytes[1],
            "snapshots": tally(|f| f.tally().snapshots),
            "dials": tally(|f| f.tally().dials),
            "gaps": tally(|f| f.tally().gaps),
            "in_force": seen.in_force,
            "admitted": seen.admitted,
        });
        line.to_string()
    }
}

/// Runs until standard input ends.
pub fn run(arguments: &HollowArgs) -> Result<(), Failure> {
    let options = Options::load(&arguments.settings).map_err(|f| format!("settings: {}", f[0]))?;
    let control = options.control.ok_or("settings: no control block")?;
    let config = Config::parse(&std::fs::read_to_string(&arguments.config)?).map_err(|e| e.to_string())?;
    let (base, names) = config.settings.settings().map_err(|e| e.to_string())?;
    let poll = Poll::new()?;
    let (mut told, mut tell) = UnixStream::pair()?;
    told.set_nonblocking(true)?;
    let told_key = poll.add(&told, false)?;
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if tell.write_all(&[line.len() as u8]).is_err() {
                break;
            }
        }
    });
    let count = arguments.followers;
    let follower = |n: usize| HollowFollower::new(&control, arguments.seed + n as u64, now());
    let mut process = Process {
        poll,
        followers: (0..count).map(follower).collect(),
        by_key: HashMap::new(),
        due: (0..count).map(|n| (0, n)).collect(),
        due_of: vec![0; count],
        key_of: vec![None; count],
        base,
        names,
        seen: Seen::default(),
    };
    let sample = arguments.sample_ms * 1_000;
    let mut sample_at = now();
    let mut events = polling::Events::new();
    loop {
        let at = now();
        let next = process.due.first().map_or(at + 1_000_000, |(t, _)| *t);
        let next = if sample > 0 { next.min(sample_at) } else { next };
        process.poll.wait(&mut events, Duration::from_micros(next.saturating_sub(at)))?;
        for event in events.iter() {
            if event.key == told_key {
                let mut bytes = [0; 64];
                match told.read(&mut bytes) {
                    Ok(0) => return Ok(()),
                    Ok(n) => (0..n).for_each(|_| println!("{}", process.report())),
                    Err(_) => {}
                }
            } else if let Some(index) = process.by_key.get(&event.key).copied() {
                process.turn(index, true);
            }
        }
        let woke = now();
        while let Some((_, index)) = process.due.first().copied().filter(|(t, _)| *t <= woke) {
            process.turn(index, false);
        }
        if sample > 0 && sample_at <= woke {
            sample_at = woke + sample;
            let Process { followers, seen, .. } = &mut process;
            followers.iter().for_each(|f| f.sample(seen));
        }
    }
}
