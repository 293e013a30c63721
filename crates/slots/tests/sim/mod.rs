//! A fleet in simulated time: dispatchers with this crate's queues, the log that leases slots, and delayed reports.

use fleet::lend::{Command, LeaseTerms as Lending, SlotHolder, Slots};
use fleet::{Holder, StateMachine, incarnation};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slots::{DemandReport, Id, Job, Lent, Micros, Next, Queue, Tenant, Terms, Verdict};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MS: Micros = 1_000;
const STEP: Micros = 5 * MS;
const LOG: Micros = 20 * MS;
const TERM: Micros = 3_000 * MS;
pub const AIM: Micros = 4_000 * MS;
const SETTLED: Micros = 10_000 * MS;
const WINDOW: usize = 5;

/// Parameters of a run.
pub struct World {
    pub seed: u64,
    pub dispatchers: usize,
    pub slots: u16,
    /// Load of each tenant in units of its fair share, and whether all its clients are at one dispatcher.
    pub tenants: Vec<(f64, bool)>,
    /// Delay of reports; `None` if there are no reports.
    pub report_delay: Option<Micros>,
    pub seconds: u64,
}

#[derive(Debug, Default)]
pub struct Figures {
    /// The lowest Jain index of all windows.
    pub jain: f64,
    /// Fraction of slots unused while any request waits.
    pub idle: f64,
    /// The longest and the 99th percentile wait of requests that ran, by tenant.
    pub waits: Vec<(Micros, Micros)>,
    /// Fraction of requests refused, by tenant.
    pub refused: Vec<f64>,
    /// Number of times that more requests ran than there are slots, or more at one dispatcher than were leased to it.
    pub twice: u32,
}

struct Dispatcher {
    queue: Queue,
    me: Holder,
    slot_holder: SlotHolder,
    ticked: Micros,
    asked: Micros,
}

/// By request: tenant, slot time in microseconds, dispatcher, and time of arrival.
type Known = BTreeMap<Id, (usize, u64, usize, Micros)>;

/// Slot seconds by tenant in each second: offered, and served.
type Account = Vec<(Vec<f64>, Vec<f64>)>;

fn jain(account: &[(Vec<f64>, Vec<f64>)], slots: f64) -> f64 {
    let n = account[0].0.len();
    let brought = |t: usize| account.iter().map(|a| a.0[t]).sum::<f64>();
    let served = |t: usize| account.iter().map(|a| a.1[t]).sum::<f64>();
    let wants: Vec<(f64, f64)> = (0..n).map(|t| (1.0, brought(t))).collect();
    let due = slots::split::fill(slots * account.len() as f64, &wants);
    let parts: Vec<f64> = (0..n).filter(|&t| due[t] > 0.0).map(|t| served(t) / due[t]).collect();
    parts.iter().sum::<f64>().powi(2) / (parts.len() as f64 * parts.iter().map(|p| p * p).sum::<f64>())
}

pub fn run(w: &World) -> Figures {
    let mut rng = Pcg64Mcg::seed_from_u64(w.seed);
    let mut draw = move || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let n = w.dispatchers;
    let mut record = Slots::default();
    let alive: BTreeSet<Holder> =
        (0..n).map(|d| Holder { incarnation: incarnation(d as u8 + 1, 1), term: 1 }).collect();
    record.apply(
        Command::SetTerms(Lending { total: w.slots, term: TERM, max_request_duration: 5_000 * MS }),
        &alive,
    );
    let mut all: Vec<Dispatcher> = (alive.iter().enumerate())
        .map(|(d, &me)| {
            let slot_holder = SlotHolder::new(me, TERM, 1_000 * MS, 20 * MS);
            Dispatcher {
                queue: Queue::new(Terms::default(), d as u64 + 1),
                me,
                slot_holder,
                ticked: 0,
                asked: 0,
            }
        })
        .collect();
    let mut log: VecDeque<(Micros, Command)> = VecDeque::new();
    let mut mail: VecDeque<(Micros, usize, DemandReport)> = VecDeque::new();
    let (mut known, mut ends): (Known, BTreeSet<(Micros, Id)>) = (BTreeMap::new(), BTreeSet::new());
    let mut account: Account = Vec::new();
    let (mut idle, mut counted, mut next_id, mut twice) = (0.0, 0.0, 0, 0);
    let k = w.tenants.len();
    let (mut waits, mut offered, mut refused) = (vec![Vec::new(); k], vec![0.0; k], vec![0.0; k]);
    let share = f64::from(w.slots) / k as f64;
    let mut now = 1_000_000 * MS;
    let mut came = vec![now; k];
    let (began, end) = (now, now + w.seconds * 1_000 * MS);
    while now < end {
        if (now - began) % (1_000 * MS) == 0 {
            record.sweep(now);
            account.push((vec![0.0; k], vec![0.0; k]));
        }
        while log.front().is_some_and(|(at, _)| *at <= now) {
            let (_, command) = log.pop_front().unwrap();
            record.apply(command, &alive);
        }
        while mail.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, from, report) = mail.pop_front().unwrap();
            let to = all.iter_mut().enumerate().filter(|(d, _)| *d != from);
            to.for_each(|(_, d)| d.queue.handle_report(now, from as u8 + 1, report.clone()));
        }
        let (mut touched, mut started) = (vec![false; n], Vec::new());
        while ends.first().is_some_and(|(at, _)| *at <= now) {
            let (_, id) = ends.pop_first().unwrap();
            let (_, work, d, _) = known.remove(&id).unwrap();
            all[d].queue.finished(now, id, work as f64 / 1e6);
            touched[d] = true;
        }
        for (t, (load, one)) in w.tenants.iter().enumerate() {
            // Mean slot time of half a second.
            while came[t] <= now {
                came[t] += (-(1.0 - draw()).ln() * 0.5e6 / (load * share)) as Micros + 1;
                let d = if *one { t % n } else { (draw() * n as f64) as usize };
                let work = (0.2 + 0.6 * draw()) * 1e6;
                next_id += 1;
                let cost_s = work / 1e6 * (0.5 + 1.5 * draw());
                let job = Job {
                    id: next_id,
                    tenant: t as Tenant,
                    key: None,
                    cost_s,
                    threads: 1,
                    aim: now + AIM,
                    deadline: now + 3 * AIM,
                };
                known.insert(next_id, (t, work as u64, d, now));
                account.last_mut().unwrap().0[t] += work / 1e6;
                offered[t] += 1.0;
                match all[d].queue.offer(now, job) {
                    Verdict::Run => started.push(next_id),
                    Verdict::Wait => {}
                    Verdict::Refuse { .. } => {
                        known.remove(&next_id);
                        refused[t] += 1.0;
                    }
                }
            }
        }
        for (d, x) in all.iter_mut().enumerate() {
            let mine = u32::from(x.slot_holder.usable(now, &record));
            let lent = Lent { mine, total: u32::from(w.slots), peers: n as u32 };
            x.queue.set_slots(now, lent);
            if touched[d] || x.queue.idle() > 0 && x.queue.waiting() > 0 || now >= x.ticked + 100 * MS {
                x.ticked = now;
                for next in x.queue.tick(now) {
                    match next {
                        Next::Run(id) => started.push(id),
                        Next::Refuse(id, _) => refused[known.remove(&id).unwrap().0] += 1.0,
                    }
                }
            }
            if now >= x.asked + 25 * MS {
                x.asked = now;
                let want = x.queue.want(now);
                let asks = x.slot_holder.next_command(
                    now,
                    &record,
                    x.queue.running() as u16,
                    want.firm as u16,
                    want.most as u16,
                );
                // Slots given back are not used from here on.
                x.queue.set_slots(now, Lent { mine: u32::from(x.slot_holder.usable(now, &record)), ..lent });
                log.extend(asks.map(|c| (now + LOG, c)));
            }
            // Each dispatcher reports four times a second, at different times.
            if let Some(late) = w.report_delay
                && (now / STEP + d as u64 * 7) % 50 == 0
            {
                mail.push_back((now + late, d, x.queue.report(now)));
            }
            twice += u32::from(x.queue.running() > u32::from(record.held_and_recalled(x.me).0));
        }
        for id in started {
            let (t, work, _, came) = known[&id];
            ends.insert((now + work, id));
            waits[t].push(now - came);
        }
        let running = ends.len() as f64;
        twice += u32::from(running > f64::from(w.slots));
        ends.iter().for_each(|(_, id)| account.last_mut().unwrap().1[known[id].0] += STEP as f64 / 1e6);
        if now >= began + SETTLED && all.iter().any(|d| d.queue.waiting() > 0) {
            idle += f64::from(w.slots) - running;
            counted += f64::from(w.slots);
        }
        now += STEP;
    }
    let settled = &account[(SETTLED / MS / 1_000) as usize..];
    let least = settled.windows(WINDOW).map(|a| jain(a, f64::from(w.slots))).fold(1.0, f64::min);
    let of = |mut v: Vec<Micros>| {
        v.sort();
        (v.last().copied().unwrap_or(0), v.get(v.len() * 99 / 100).copied().unwrap_or(0))
    };
    let refused = refused.iter().zip(&offered).map(|(r, o): (&f64, &f64)| r / o.max(1.0)).collect();
    Figures {
        jain: least,
        idle: idle / f64::max(counted, 1.0),
        waits: waits.into_iter().map(of).collect(),
        refused,
        twice,
    }
}
