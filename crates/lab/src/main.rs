//! Measurements of the dispatcher against stand-ins on loopback. Each keeps tables and a chart under
//! `results/`, prints its figures in one last line, and ends with 1 if an aim is missed.

mod chart;
mod daemon;
mod fleet;
mod lost;
mod maintenance;
mod motor_lists;
mod policy;
mod retry_storms;
mod scale;
mod soak;
mod takeover;
mod traffic;

use clap::{Parser, Subcommand};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

/// Measurements of the dispatcher against stand-ins on loopback
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// The dispatcher that is measured
    #[arg(long, global = true, default_value = "target/release/ottercroft")]
    program: PathBuf,
    /// Where tables and charts go
    #[arg(long, global = true, default_value = "results")]
    results: PathBuf,
}

#[derive(Subcommand)]
enum Command {
    /// Swap executor lists under traffic, in every way that files change
    MotorLists {
        /// Swaps in the long run
        #[arg(long, default_value_t = 5_000)]
        swaps: u32,
        /// For random choices
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// A short run for CI: nothing is kept
        #[arg(long)]
        slice: bool,
    },
    /// Executors taken out for work by a fleet under faults, in an order that it settles
    Maintenance {
        /// Plans, each with a trouble of its own
        #[arg(long, default_value_t = 500)]
        plans: u32,
        /// Fleets beside each other
        #[arg(long, default_value_t = 4)]
        lanes: u32,
        /// For the troubles
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// A short run for CI: nothing is kept
        #[arg(long)]
        slice: bool,
    },
    /// Dispatchers of one fleet under faults: what becomes of the work that they had in hand
    Takeover {
        /// Episodes, each with faults of its own
        #[arg(long, default_value_t = 1_000)]
        runs: u32,
        /// Fleets beside each other
        #[arg(long, default_value_t = 4)]
        lanes: u32,
        /// For the faults
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// A short run for CI: nothing is kept
        #[arg(long)]
        slice: bool,
    },
    /// A policy that a fleet switches at one time, with faults in the middle of switches
    Policy {
        /// Switches, each with a trouble of its own
        #[arg(long, default_value_t = 1_000)]
        runs: u32,
        /// Fleets beside each other
        #[arg(long, default_value_t = 4)]
        lanes: u32,
        /// For the troubles
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// A short run for CI: nothing is kept
        #[arg(long)]
        slice: bool,
    },
    /// Requests lost in large fleets: long lists, little processor time, clients that leave at every point
    Lost {
        /// A short run for CI: nothing is kept
        #[arg(long)]
        slice: bool,
        /// For clients
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// Only the runs of so many dispatchers; nothing is kept
        #[arg(long)]
        dispatchers: Option<usize>,
    },
    /// What lists, connections and a control group of 1,600 dispatchers cost, and how changes fare under faults
    Scale {
        /// A short run for CI: nothing is kept
        #[arg(long)]
        slice: bool,
        /// Only this part: list, connections, control, changes, regions, faults
        #[arg(long)]
        part: Option<scale::Part>,
    },
    /// Made-up days of whole dispatchers with several troubles at once, judged by the rules alone
    Soak {
        /// The first day's seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many days, on the seeds from there on
        #[arg(long, default_value_t = 50, conflicts_with = "day")]
        seeds: u64,
        /// Only the day of this seed, with its logs kept
        #[arg(long)]
        day: Option<u64>,
        /// Days beside each other
        #[arg(long, default_value_t = 4)]
        lanes: usize,
        /// A short run for CI: nothing is kept
        #[arg(long)]
        slice: bool,
        /// A list of known failures: days that it names are printed and passed over
        #[arg(long, conflicts_with = "day")]
        known_red: Option<PathBuf>,
    },
    /// Compare the figures of a page with the kept tables that they are made of, or write them anew
    Capacity {
        /// The page
        #[arg(long, default_value = "docs/CAPACITY.md")]
        page: PathBuf,
        /// Write the figures
        #[arg(long)]
        write: bool,
    },
    /// Many followers of a control group in one process, without traffic; told what to do over standard input
    #[command(hide = true)]
    Hollow(scale::HollowArgs),
    /// An outage of all executors under many clients, with the storm module and without it
    RetryStorms {
        /// Clients
        #[arg(long, default_value_t = 1_000)]
        clients: u64,
        /// Length of the outage, in seconds
        #[arg(long, default_value_t = 30)]
        outage: u64,
    },
}

fn plain(e: fleet::Failure) -> Box<dyn Error> {
    e
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        Command::MotorLists { swaps, seed, slice } => {
            motor_lists::prove(&cli.program, &cli.results.join("motor-lists"), swaps, seed, slice)
        }
        Command::Maintenance { plans, lanes, seed, slice } => {
            let results = cli.results.join("maintenance");
            maintenance::prove(&cli.program, &results, plans, lanes, seed, slice).map_err(plain)
        }
        Command::Takeover { runs, lanes, seed, slice } => {
            let results = cli.results.join("takeover");
            takeover::prove(&cli.program, &results, runs, lanes, seed, slice).map_err(plain)
        }
        Command::Policy { runs, lanes, seed, slice } => {
            let results = cli.results.join("policy");
            policy::prove(&cli.program, &results, runs, lanes, seed, slice).map_err(plain)
        }
        Command::Lost { slice, seed, dispatchers } => {
            let mut sizes = lost::sizes(slice);
            sizes.retain(|size| dispatchers.is_none_or(|n| size.dispatchers == n));
            let kept = (!slice && dispatchers.is_none()).then(|| cli.results.join("lost"));
            lost::prove(&cli.program, kept.as_deref(), seed, &sizes).map_err(plain)
        }
        Command::Soak { seed, seeds, day, lanes, slice, known_red } => {
            let seeds = day.map_or_else(|| (seed..seed.saturating_add(seeds)).collect(), |d| vec![d]);
            let kept = (!slice && day.is_none()).then(|| cli.results.join("soak"));
            let logs = day.map(|_| cli.results.join("soak"));
            let days = soak::Days { seeds, lanes, logs, known_red };
            soak::prove(&cli.program, kept.as_deref(), &days).map_err(plain)
        }
        Command::Scale { slice, part } => {
            scale::prove(&cli.program, &cli.results.join("scale"), slice, part).map_err(plain)
        }
        Command::Capacity { page, write } => {
            scale::check_page(&cli.results.join("scale"), &page, write).map_err(plain)
        }
        Command::Hollow(arguments) => scale::hollow(&arguments).map(|()| true).map_err(plain),
        Command::RetryStorms { clients, outage } => {
            retry_storms::prove(&cli.program, &cli.results.join("retry-storms"), clients, outage)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("lab: {e}");
            ExitCode::from(2)
        }
    }
}
