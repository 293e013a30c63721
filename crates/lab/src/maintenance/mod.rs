//! Executors taken out for work by a fleet under seeded faults: whether the agreed order and the budget hold, and
//! what servicing a whole fleet costs.

mod machines;
mod plan;

use crate::fleet::clients::{Ended, Load, Traffic};
use crate::fleet::lanes::{Task, beside};
use crate::fleet::world::{Shape, World, uid};
use crate::fleet::{Failure, SETTINGS, curves, part};
use machines::{Machines, read};
use plan::{Outcome, TROUBLES, plan};
use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::executor::Pull;
use std::fmt::Write as _;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const EXECUTORS: usize = 8;
/// Nothing new may reach an executor later than this after its step was agreed.
const GRACE: Duration = Duration::from_millis(500);
/// A plan that has not come to its end by then has not ended.
const LONGEST: Duration = Duration::from_secs(60);
/// Share of the worth that servicing all executors may cost.
const MOST_LOST: f64 = 0.03;
const SETTINGS_OF_PEERS: &str = "  maintenance {\n    min_motores = 5\n    out_limit   = \"2s\"\n  }\n";

fn work(_: &Pull) -> Duration {
    Duration::from_millis(40)
}

fn shape(dispatchers: usize, settings: &str) -> Shape<'_> {
    let in_peers = SETTINGS_OF_PEERS;
    Shape { dispatchers, settings, executors: EXECUTORS, in_peers, work, ..Shape::default() }
}

fn settings() -> String {
    // Executors are warm after a second, so that a plan takes seconds.
    SETTINGS.replace(r#""rampTime":10"#, r#""rampTime":1"#)
}

fn lane(task: &Task, seed: u64) -> Result<Vec<Outcome>, Failure> {
    let dispatchers = task.dispatchers;
    let mut world = World::start(&task.program, &task.folder, &shape(dispatchers, &settings()))?;
    world.settled(&mut |_, _| ());
    let load = Load::new(8 * dispatchers as u32, Duration::from_millis(60), 5);
    let traffic = Traffic::start(&world.doors, load);
    thread::sleep(Duration::from_millis(500));
    let seeds = task.numbers.iter().map(|p| seed + u64::from(*p) * 977);
    let outcomes = seeds.map(|s| plan(&mut world, s)).collect();
    traffic.stop();
    world.end();
    outcomes
}

/// The share of requests that were served within a time, with all executors serviced meanwhile or with none.
fn worth(program: &Path, folder: &Path, serviced: bool, span: Duration) -> Result<(f64, f64), Failure> {
    let world = World::start(program, folder, &shape(3, &settings()))?;
    world.settled(&mut |_, _| ());
    let traffic = Traffic::start(&world.doors, Load::new(24, Duration::from_millis(60), 6));
    thread::sleep(Duration::from_millis(500));
    let (begun, mut lines, mut machines) = (Instant::now(), Vec::new(), Machines::default());
    let mut rng = StdRng::seed_from_u64(1);
    if serviced {
        let ids: Vec<String> = (0..EXECUTORS).map(uid).collect();
        world.call(0, &format!("DRAIN PLAN {}", ids.join(",")));
    }
    let mut took = Duration::ZERO;
    while begun.elapsed() < span {
        let new = read(&world, &mut lines);
        machines.step(&world, &new, None, &mut rng);
        let done = world.call(0, "DRAIN STATUS").matches(" done").count();
        if serviced && done == EXECUTORS && took == Duration::ZERO {
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

fn table(all: &[Outcome]) -> String {
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
            sum(&|o| o.executors),
            sum(&|o| o.late),
            sum(&|o| o.twice),
            sum(&|o| o.over_budget),
            sum(&|o| usize::from(!o.ended))
        );
    }
    text
}

/// The whole measurement; whether all aims were met.
pub fn prove(
    program: &Path,
    results: &Path,
    plans: u32,
    lanes: u32,
    seed: u64,
    slice: bool,
) -> Result<bool, Failure> {
    let (plans, lanes) = if slice { (4, 2) } else { (plans, lanes.max(1)) };
    let folder = std::env::temp_dir().join(format!("ottercroft-maintenance-{}", std::process::id()));
    let all: Vec<Outcome> =
        beside(program, &folder, lanes, plans, move |t| lane(t, seed))?.into_iter().flatten().collect();
    let span = Duration::from_secs(if slice { 3 } else { 30 });
    let calm = worth(program, &folder.join("calm"), false, span)?;
    let busy = worth(program, &folder.join("busy"), true, span)?;
    let _ = std::fs::remove_dir_all(&folder);
    let lost = 1.0 - busy.0 / calm.0.max(1e-9);
    let sum = |of: &dyn Fn(&Outcome) -> usize| all.iter().map(of).sum::<usize>();
    let (late, twice, over) = (sum(&|o| o.late), sum(&|o| o.twice), sum(&|o| o.over_budget));
    let open = sum(&|o| usize::from(!o.ended));
    let mut took: Vec<f64> = all.iter().map(|o| o.took.as_secs_f64() / o.executors as f64).collect();
    took.sort_by(f64::total_cmp);
    if !slice {
        std::fs::create_dir_all(results)?;
        std::fs::write(results.join("plans.md"), table(&all))?;
        let line = [("seconds a motor", &took[..])];
        curves(&results.join("plans.svg"), "Time a motor takes in a plan", "plans", &line)?;
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
