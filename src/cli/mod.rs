//! The command line: runs the server and checks its configuration.

pub mod lists;
pub mod policy;

use crate::api::Settings;
use crate::logging::Log;
use crate::membership::check::Catalog;
use crate::net::DispatcherServer;
use crate::net::control_plane::ControlMember;
use crate::net::signals::Signals;
use crate::settings::Names;
use crate::settings::config::{Config, ConfigError};
use crate::settings::hcl::Fault;
use crate::settings::options::{LogFormat, Options, Role};
use clap::{Args, Parser, Subcommand};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const EXIT_CODES: &str = "Exit codes:
  0  success; no faults; no difference
  1  the input has faults or differs; a dispatcher rejected a call, or could not start or serve
  2  the command could not run: wrong arguments, an unreadable file, or an unreachable dispatcher";

/// A dispatcher in front of analytic query executors.
///
/// Without a command it serves. ROUTER_CONFIG names the platform's JSON file (ROUTER_LISTEN, ROUTER_NAME and
/// ROUTER_OPERATOR override its keys; `operator` is the operators' address, see docs/oncall.md), and
/// --settings names ottercroft's own HCL file for optional features such as executor lists from files.
#[derive(Debug, Parser)]
#[command(name = "ottercroft", version, after_help = EXIT_CODES)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    common: Common,
}

/// Arguments common to all commands.
#[derive(Debug, Args)]
pub struct Common {
    /// ottercroft's own settings, in HCL
    #[arg(long, global = true, env = "OTTERCROFT_SETTINGS", value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Format of log lines; overrides the settings
    #[arg(long, global = true, env = "OTTERCROFT_LOG_FORMAT", value_name = "FORMAT")]
    log_format: Option<LogFormat>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until SIGTERM (the default)
    Serve,
    /// Check a configuration, ottercroft's own settings and the executor lists they name, and report all faults
    Check {
        /// The platform's JSON file
        #[arg(env = "ROUTER_CONFIG")]
        config: Option<PathBuf>,
        /// Write the findings as JSON, for scripts
        #[arg(long)]
        json: bool,
    },
    /// Check, show, compare, seal and accept executor lists
    #[command(subcommand)]
    Lists(lists::Command),
    /// Check, compare and propose the policy shared by a fleet, and show its status
    #[command(subcommand)]
    Policy(policy::Command),
}

/// The result of a command, which determines the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No faults and no difference.
    Success,
    /// The checked input has faults or differs.
    FaultsFound,
    /// The command could not be carried out.
    Failed,
}

impl From<Outcome> for ExitCode {
    fn from(v: Outcome) -> ExitCode {
        ExitCode::from(match v {
            Outcome::Success => 0,
            Outcome::FaultsFound => 1,
            Outcome::Failed => 2,
        })
    }
}

/// Runs the program with the arguments of the process.
pub fn run() -> ExitCode {
    let cli = Cli::parse();
    let mut out = io::stdout().lock();
    let done = match cli.command {
        None | Some(Command::Serve) => return serve(&cli.common),
        Some(Command::Check { config, json }) => check(&mut out, config.as_deref(), &cli.common, json),
        Some(Command::Lists(command)) => lists::run(&mut out, command, &cli.common),
        Some(Command::Policy(command)) => policy::run(&mut out, command),
    };
    match done {
        Ok(verdict) => verdict.into(),
        // The reader of the output closed the pipe early.
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ottercroft: {e}");
            Outcome::Failed.into()
        }
    }
}

fn serve(common: &Common) -> ExitCode {
    // Handlers are installed first: the default action of SIGHUP would terminate a process that is still starting.
    let signals = Signals::new().map_err(|e| format!("signals: {e}"));
    let options = options(common);
    let told = options.as_ref().ok().and_then(|o| o.log_format);
    let mut log = Log::start(common.log_format.or(told).unwrap_or_default());
    let served = || -> Result<(), String> {
        let options = options.map_err(|faults| {
            let all: Vec<String> = faults.iter().map(Fault::to_string).collect();
            format!("settings: {}", all.join("; "))
        })?;
        let load: fn() -> Result<Config, ConfigError> = || Config::load(|name| std::env::var(name).ok());
        let config = load().map_err(|e| e.to_string())?;
        if let Some(control) = options.control.as_ref().filter(|c| c.role == Role::Member) {
            let mut member = ControlMember::new(config, control, signals?).map_err(|e| e.to_string())?;
            member.report_dropped_lines(log.dropped_lines());
            return member.run().map_err(|e| e.to_string());
        }
        let mut server = DispatcherServer::new(config, options, signals?, load).map_err(|e| e.to_string())?;
        server.report_dropped_lines(log.dropped_lines());
        let outcome = server.run().map_err(|e| e.to_string());
        log.limit_flush_time(server.time_until_kill());
        outcome
    };
    match served() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{}", e.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn options(common: &Common) -> Result<Options, Vec<Fault>> {
    let named = common.settings.as_deref().filter(|p| !p.as_os_str().is_empty());
    named.map_or_else(|| Ok(Options::default()), Options::load)
}

/// The zones and kinds that a configuration defines.
fn catalog(config: &Path) -> Result<Catalog, Fault> {
    platform(config).map(|(settings, names)| Catalog::from_settings(&settings, &names))
}

/// The settings of a configuration with the names defined in it.
fn platform(config: &Path) -> Result<(Settings, Names), Fault> {
    let name = config.display().to_string();
    let text = std::fs::read_to_string(config).map_err(|e| Fault::of_file(&name, e))?;
    let config = Config::parse(&text).map_err(|e| Fault::of_file(&name, e))?;
    let (settings, names) = config.settings.settings().map_err(|e| Fault::of_file(&name, e))?;
    crate::api::check(&settings).map_err(|e| Fault::of_file(&name, e))?;
    Ok((settings, names))
}

/// Writes faults, one per line or as a JSON object, and returns the resulting verdict.
fn report_faults(out: &mut dyn Write, faults: &[Fault], json: bool, fine: &str) -> io::Result<Outcome> {
    if json {
        writeln!(out, "{}", serde_json::json!({"ok": faults.is_empty(), "faults": faults}))?;
    } else {
        faults.iter().try_for_each(|f| writeln!(out, "{f}"))?;
        match faults.len() {
            0 => writeln!(out, "{fine}")?,
            n => writeln!(out, "{n} faults")?,
        }
    }
    Ok(if faults.is_empty() { Outcome::Success } else { Outcome::FaultsFound })
}

fn check(out: &mut dyn Write, config: Option<&Path>, common: &Common, json: bool) -> io::Result<Outcome> {
    let Some(config) = config else {
        return Err(io::Error::other("no configuration named, and ROUTER_CONFIG is not set"));
    };
    for file in std::iter::once(config).chain(common.settings.as_deref()) {
        std::fs::metadata(file).map_err(|e| io::Error::other(format!("{}: {e}", file.display())))?;
    }
    let mut faults = Vec::new();
    let catalog = catalog(config).map_err(|f| faults.push(f)).ok();
    match options(common) {
        Err(wrong) => faults.extend(wrong),
        Ok(Options { lists: Some(l), .. }) => {
            if !l.without.is_empty() {
                let file = common.settings.as_deref().unwrap_or(config).display().to_string();
                let what = "motor_lists.test_only disables safeguards; it is for tests only";
                faults.push(Fault::of_file(&file, what));
            }
            let rules = crate::membership::watcher::Rules::new(&l, catalog);
            for source in &l.sources {
                let judged = crate::membership::watcher::validate(&source.path, &rules);
                faults.extend(judged.map_or_else(|all| all, |(_, all)| all));
            }
        }
        Ok(_) => {}
    }
    report_faults(out, &faults, json, "in order")
}
