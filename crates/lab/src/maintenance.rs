//! Motores taken out for work by a fleet under seeded faults: whether the agreed order and the budget hold, and
//! what servicing a whole fleet costs.

use crate::chart;
use crate::takeover::clients::{Ended, Traffic};
use crate::takeover::world::{Shape, World, uid};
use crate::takeover::{Failure, SETTINGS, part};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use standins::engine::Pull;
use standins::link::Weather;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MOTORES: usize = 8;
/// Nothing new may reach a motor later than this after its step was agreed.
const GRACE: Duration = Duration::from_millis(500);
/// A plan that has not come to its end by then has not ended.
const LONGEST: Duration = Duration::from_secs(60);
/// Share of the worth that servicing all motores may cost.
const MOST_LOST: f64 = 0.03;
const SETTINGS_OF_PEERS: &str = "  maintenance {\n    min_motores = 5\n    out_limit   = \"2s\"\n  }\n";

/// What goes wrong during a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Trouble {
    Nothing,
    Kill,
    Cut,
    Silent,
    Pause,
    NeverBack,
    Abort,
}

const TROUBLES: [(Trouble, &str); 7] = [
    (Trouble::Nothing, "none"),
    (Trouble::Kill, "a dispatcher killed and restarted"),
    (Trouble::Cut, "a dispatcher cut from its peers"),
    (Trouble::Silent, "a dispatcher black-holed from its peers"),
    (Trouble::Pause, "a dispatcher paused"),
    (Trouble::NeverBack, "a motor that does not come back"),
    (Trouble::Abort, "an operator aborts"),
];

/// A line of a dispatcher's log on a motor's step.
#[derive(Debug, Clone)]
struct Line {
    who: usize,
    motor: usize,
    step: String,
    at: SystemTime,
}

/// What came of a plan.
#[derive(Debug, Clone)]
struct Outcome {
    trouble: Trouble,
    motores: usize,
    ended: bool,
    late: usize,
    twice: usize,
    over_budget: usize,
    took: Duration,
}

fn work(_: &Pull) -> Duration {
    Duration::from_millis(40)
}

fn shape(dispatchers: usize, settings: &str) -> Shape<'_> {
    let maintenance = SETTINGS_OF_PEERS;
    Shape { dispatchers, with_peers: true, settings, motores: MOTORES, maintenance, work }
}

fn settings() -> String {
    // Motores are warm after a second, so that a plan takes seconds.
    SETTINGS.replace(r#""rampTime":10"#, r#""rampTime":1"#)
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Plays the machines' part: whoever is handed over goes, and comes back some time later unless it is to stay.
struct Machines {
    /// When those that are away come back.
    away: BTreeMap<usize, Option<Instant>>,
}

impl Machines {
    fn step(&mut self, world: &World, lines: &[Line], stays: Option<usize>, rng: &mut StdRng) {
        for l in lines.iter().filter(|l| l.step.starts_with("out")) {
            self.away.entry(l.motor).or_insert_with(|| {
                world.list(l.motor, "draining", 0);
                let back = Instant::now() + Duration::from_millis(rng.random_range(100..500));
                (stays != Some(l.motor)).then_some(back)
            });
        }
        let due: Vec<usize> = self
            .away
            .iter()
            .filter(|(_, t)| t.is_some_and(|t| t <= Instant::now()))
            .map(|(m, _)| *m)
            .collect();
        for motor in due {
            world.list(motor, "up", now_ms());
            self.away.remove(&motor);
        }
    }
}

fn read(world: &World, all: &mut Vec<Line>) -> Vec<Line> {
    let mut new = Vec::new();
    world.read_logs(&mut |who, e| {
        if e.message() == "maintenance" {
            let motor =
                u64::from_str_radix(e.text("motor").trim_start_matches("s-"), 16).unwrap_or(1) as usize - 1;
            new.push(Line { who, motor, step: e.text("step").into(), at: e.at });
        }
    });
    all.extend(new.iter().cloned());
    new
}

/// One plan, from the call until it has ended.
fn plan(world: &mut World, seed: u64) -> Result<Outcome, Failure> {
    let failed = |e: Box<dyn Error>| -> Failure { e.to_string().into() };
    let mut rng = StdRng::seed_from_u64(seed);
    let trouble = if rng.random_bool(0.25) { Trouble::Nothing } else { TROUBLES[rng.random_range(1..7)].0 };
    let mut motores: Vec<usize> = (0..MOTORES).collect();
    motores.shuffle(&mut rng);
    motores.truncate(rng.random_range(1..4));
    let who = rng.random_range(0..world.len());
    let other = (who + 1) % world.len();
    let stays = (trouble == Trouble::NeverBack).then_some(motores[0]);
    let (begun, mut lines, mut machines) = (Instant::now(), Vec::new(), Machines { away: BTreeMap::new() });
    read(world, &mut Vec::new());
    let ids: Vec<String> = motores.iter().map(|m| uid(*m)).collect();
    let asked = world.call(other, &format!("DRAIN PLAN {}", ids.join(",")));
    if !asked.starts_with("+OK") {
        return Err(format!("not planned: {asked}").into());
    }
    let strikes = begun + Duration::from_millis(rng.random_range(0..2_500));
    let heals = strikes + Duration::from_millis(rng.random_range(400..2_500));
    let (mut struck, mut healed, mut restarted) = (false, false, None);
    let mut ended = false;
    while begun.elapsed() < LONGEST && !(ended && healed) {
        let new = read(world, &mut lines);
        machines.step(world, &new, stays, &mut rng);
        if !struck && Instant::now() >= strikes {
            struck = true;
            match trouble {
                Trouble::Kill => drop(world.kill(who)),
                Trouble::Cut => world.peers(who, Weather::Cut, false),
                Trouble::Silent => world.peers(who, Weather::Silent, false),
                Trouble::Pause => world.pause(who, true),
                Trouble::Abort => drop(world.call(other, "DRAIN ABORT")),
                Trouble::Nothing | Trouble::NeverBack => {}
            }
        }
        if struck && !healed && Instant::now() >= heals {
            healed = true;
            match trouble {
                Trouble::Kill => {
                    restarted = Some(who);
                    world.restart(who).map_err(failed)?;
                }
                Trouble::Cut | Trouble::Silent => world.peers(who, Weather::Clear, false),
                Trouble::Pause => world.pause(who, false),
                _ => {}
            }
        }
        if let Some(motor) = stays
            && lines.iter().any(|l| l.motor == motor && l.step.starts_with("failed"))
            && machines.away.get(&motor) == Some(&None)
        {
            // A person has mended it.
            machines.away.insert(motor, Some(Instant::now()));
            world.call(other, &format!("DRAIN MEND {}", uid(motor)));
        }
        let status = world.call(other, "DRAIN STATUS");
        let over = |id: &String| {
            let step = status.lines().find_map(|l| l.strip_prefix(id.as_str())).unwrap_or(" waits");
            [" done", " aborted", " failed"].iter().any(|w| step.starts_with(w))
        };
        let mending = stays.is_some_and(|m| status.contains(&format!("{} failed", uid(m))));
        ended = status.starts_with("+OK") && ids.iter().all(over) && !mending;
        thread::sleep(Duration::from_millis(20));
    }
    let took = begun.elapsed();
    // All have seen the end before the next plan.
    thread::sleep(Duration::from_millis(600));
    read(world, &mut lines);
    for motor in std::mem::take(&mut machines.away).into_keys() {
        world.list(motor, "up", now_ms());
    }
    let first = |motor: usize, steps: &[&str]| {
        let fits = |l: &&Line| l.motor == motor && steps.iter().any(|s| l.step.starts_with(s));
        lines.iter().filter(fits).map(|l| l.at).min()
    };
    let mut spans: Vec<(SystemTime, SystemTime)> = Vec::new();
    let (mut late, mut twice) = (0, 0);
    for &motor in &motores {
        let Some(agreed) = first(motor, &["drains"]) else { continue };
        let end = first(motor, &["warms", "aborted"]).unwrap_or_else(SystemTime::now);
        late += world.engines[motor].pulls().iter().filter(|p| p.at > agreed + GRACE && p.at < end).count();
        spans.push((agreed, first(motor, &["done", "aborted"]).unwrap_or_else(SystemTime::now)));
        for d in (0..world.len()).filter(|d| Some(*d) != restarted) {
            let times = lines
                .iter()
                .filter(|l| l.who == d && l.motor == motor && l.step.starts_with("drains"))
                .count();
            twice += usize::from(times > 1);
        }
    }
    spans.sort();
    let over_budget = spans.windows(2).filter(|w| w[1].0 < w[0].1).count();
    Ok(Outcome { trouble, motores: motores.len(), ended, late, twice, over_budget, took })
}

fn lane(program: &Path, folder: &Path, dispatchers: usize, seeds: &[u64]) -> Result<Vec<Outcome>, Failure> {
    let failed = |e: Box<dyn Error>| -> Failure { e.to_string().into() };
    let mut world = World::start(program, folder, &shape(dispatchers, &settings())).map_err(failed)?;
    world.settled(&mut |_, _| ());
    let traffic = Traffic::start(&world.doors, 8 * dispatchers as u32, Duration::from_millis(60), 5, true);
    thread::sleep(Duration::from_millis(500));
    let outcomes = seeds.iter().map(|s| plan(&mut world, *s)).collect();
    traffic.stop();
    world.end();
    outcomes
}

/// The share of requests that were served within a time, with all motores serviced meanwhile or with none.
fn worth(program: &Path, folder: &Path, serviced: bool, span: Duration) -> Result<(f64, f64), Failure> {
    let failed = |e: Box<dyn Error>| -> Failure { e.to_string().into() };
    let world = World::start(program, folder, &shape(3, &settings())).map_err(failed)?;
    world.settled(&mut |_, _| ());
    let traffic = Traffic::start(&world.doors, 24, Duration::from_millis(60), 6, true);
    thread::sleep(Duration::from_millis(500));
    let (begun, mut lines, mut machines) = (Instant::now(), Vec::new(), Machines { away: BTreeMap::new() });
    let mut rng = StdRng::seed_from_u64(1);
    if serviced {
        let ids: Vec<String> = (0..MOTORES).map(uid).collect();
        world.call(0, &format!("DRAIN PLAN {}", ids.join(",")));
    }
    let mut took = Duration::ZERO;
    while begun.elapsed() < span {
        let new = read(&world, &mut lines);
        machines.step(&world, &new, None, &mut rng);
        let done = world.call(0, "DRAIN STATUS").matches(" done").count();
        if serviced && done == MOTORES && took == Duration::ZERO {
            took = begun.elapsed();
        }
        thread::sleep(Duration::from_millis(20));
    }
    let accounts = traffic.stop();
    // Worth is an answer in time: half a second for work of 40 ms.
    let good =
        accounts.iter().filter(|a| a.end == Some(Ended::Served) && a.took < Duration::from_millis(500));
    let per_s = good.count() as f64 / span.as_secs_f64();
    world.end();
    Ok((per_s, took.as_secs_f64()))
}

/// The whole measurement; whether all aims were met.
pub fn prove(
    program: &Path,
    results: &Path,
    plans: u32,
    lanes: u32,
    seed: u64,
    slice: bool,
) -> Result<bool, Box<dyn Error>> {
    let (plans, lanes) = if slice { (4, 2) } else { (plans, lanes.max(1)) };
    let folder = std::env::temp_dir().join(format!("ottercroft-maintenance-{}", std::process::id()));
    let started: Vec<_> = (0..lanes)
        .map(|n| {
            let dispatchers = if n % 2 == 0 { 3 } else { 5 };
            let seeds: Vec<u64> =
                (0..plans).filter(|p| p % lanes == n).map(|p| seed + u64::from(p) * 977).collect();
            let (program, folder): (PathBuf, PathBuf) = (program.into(), folder.join(n.to_string()));
            thread::spawn(move || lane(&program, &folder, dispatchers, &seeds))
        })
        .collect();
    let mut all = Vec::new();
    for l in started {
        all.extend(l.join().map_err(|_| "a lane ended in a panic")?.map_err(|e| e.to_string())?);
    }
    let span = Duration::from_secs(if slice { 3 } else { 30 });
    let calm = worth(program, &folder.join("calm"), false, span).map_err(|e| e.to_string())?;
    let busy = worth(program, &folder.join("busy"), true, span).map_err(|e| e.to_string())?;
    let _ = std::fs::remove_dir_all(&folder);
    let lost = 1.0 - busy.0 / calm.0.max(1e-9);
    let sum = |of: &dyn Fn(&Outcome) -> usize| all.iter().map(of).sum::<usize>();
    let (late, twice, over) = (sum(&|o| o.late), sum(&|o| o.twice), sum(&|o| o.over_budget));
    let open = sum(&|o| usize::from(!o.ended));
    let mut took: Vec<f64> = all.iter().map(|o| o.took.as_secs_f64() / o.motores as f64).collect();
    took.sort_by(f64::total_cmp);
    if !slice {
        std::fs::create_dir_all(results)?;
        let mut text = String::from(
            "| trouble | plans | motores | late sends | steps twice | over budget | not ended |\n| --- | --- | --- | --- | --- | --- | --- |\n",
        );
        for (trouble, name) in TROUBLES {
            let of: Vec<&Outcome> = all.iter().filter(|o| o.trouble == trouble).collect();
            let sum = |f: &dyn Fn(&Outcome) -> usize| of.iter().map(|o| f(o)).sum::<usize>();
            let _ = writeln!(
                text,
                "| {name} | {} | {} | {} | {} | {} | {} |",
                of.len(),
                sum(&|o| o.motores),
                sum(&|o| o.late),
                sum(&|o| o.twice),
                sum(&|o| o.over_budget),
                sum(&|o| usize::from(!o.ended))
            );
        }
        std::fs::write(results.join("plans.md"), text)?;
        let steps = took.iter().enumerate();
        let points = steps.map(|(i, t)| ((i + 1) as f64 / took.len() as f64 * 100.0, *t)).collect();
        let line = [("seconds a motor".to_string(), points)];
        chart::lines(
            &results.join("plans.svg"),
            "Time a motor takes in a plan",
            ["% of plans", "seconds"],
            &line,
        )?;
    }
    let kept = late == 0 && twice == 0 && over == 0 && open == 0;
    let cheap = slice || lost < MOST_LOST;
    println!(
        "maintenance: plans={} seed={seed} late_sends={late} steps_twice={twice} over_budget={over} not_ended={open} \
         motor_p50_s={:.1} motor_p99_s={:.1} calm_per_s={:.0} serviced_per_s={:.0} lost={:.3} all_serviced_s={:.0} \
         kept={kept} cheap={cheap}",
        all.len(),
        part(&took, 0.5),
        part(&took, 0.99),
        calm.0,
        busy.0,
        lost,
        busy.1,
    );
    for o in all.iter().filter(|o| o.late + o.twice + o.over_budget > 0 || !o.ended).take(20) {
        eprintln!("  {o:?}");
    }
    Ok(kept && cheap)
}
