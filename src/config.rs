//! The configuration of one dispatcher: the file that `ROUTER_CONFIG` names, and the variables beside it.

use crate::coordinator::Known;
use crate::settings::{self, Env};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// A configuration that can't be used, told in one line.
#[derive(Debug)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}

/// What a dispatcher is told at its start; unknown keys are skipped.
#[derive(Deserialize)]
pub struct Config {
    /// Its name, the same after a restart.
    #[serde(default)]
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers, in hex; new with each start.
    #[serde(default)]
    pub seed: String,
    /// What it may use.
    #[serde(default)]
    pub limits: Limits,
    /// Where the coordinator is.
    pub coordinator: SocketAddr,
    /// The coordinator's events so far.
    #[serde(default)]
    pub known: Known,
    /// The settings, as the simulator gives them too.
    pub settings: Env,
}

/// What a dispatcher may use.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory.
    pub memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192.0 }
    }
}

impl Config {
    /// Reads a configuration from JSON; an error names the field.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        settings::body("config", text).map_err(|e| ConfigError(e.to_string()))
    }

    /// Reads what the environment names. `var` looks a variable up.
    pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = var("ROUTER_CONFIG").ok_or_else(|| ConfigError("ROUTER_CONFIG is not set".into()))?;
        let text = std::fs::read_to_string(&path).map_err(|e| ConfigError(format!("{path}: {e}")))?;
        let mut config = Config::parse(&text)?;
        if let Some(listen) = var("ROUTER_LISTEN") {
            config.listen =
                listen.parse().map_err(|e| ConfigError(format!("ROUTER_LISTEN: {listen:?}: {e}")))?;
        }
        config.name = var("ROUTER_NAME").unwrap_or(config.name);
        Ok(config)
    }

    /// The seed as a number; text that is not hex still makes one.
    pub fn seed(&self) -> u64 {
        let hashed = || self.seed.bytes().fold(0, |h: u64, b| h.rotate_left(7) ^ u64::from(b));
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| hashed())
    }
}
