//! The dispatcher: reads its configuration and serves until SIGTERM.

use ottercroft::config::Config;
use ottercroft::net::Node;
use std::process::ExitCode;

fn run() -> Result<(), Box<dyn std::error::Error>> {
    Node::new(Config::load(|name| std::env::var(name).ok())?)?.run()?;
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
