//! The dispatcher: reads its configuration and serves until SIGTERM; at SIGHUP it reads it again.

use ottercroft::config::{Config, ConfigError};
use ottercroft::net::Node;
use ottercroft::net::signals::Signals;
use std::process::ExitCode;

fn run() -> Result<(), Box<dyn std::error::Error>> {
    // Before all else: the default for SIGHUP would end a program that is just starting.
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    let load: fn() -> Result<Config, ConfigError> = || Config::load(|name| std::env::var(name).ok());
    Node::new(load()?, signals, load)?.run()?;
    Ok(())
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_micros()
        .init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{}", e.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
