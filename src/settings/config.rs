//! The configuration of one dispatcher: the file that `ROUTER_CONFIG` names, and the variables beside it.

use crate::codec::coordinator::Known;
use crate::settings::{self, Env, env::absent};
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
    #[serde(default, deserialize_with = "absent")]
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers, in hex; new with each start.
    #[serde(default, deserialize_with = "absent")]
    pub seed: String,
    /// What it may use.
    #[serde(default, deserialize_with = "absent")]
    pub limits: Limits,
    /// Where the coordinator is.
    pub coordinator: SocketAddr,
    /// The coordinator's events so far.
    #[serde(default, deserialize_with = "absent")]
    pub known: Known,
    /// The settings, as the simulator gives them too.
    pub settings: Env,
    /// The operators' second address: `host:port`, or a port on the client address's host.
    #[serde(default)]
    operator: Option<serde_json::Value>,
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
        let config: Config = settings::body("config", text).map_err(|e| ConfigError(e.to_string()))?;
        let memory = config.limits.memory_mb;
        if !(memory.is_finite() && memory >= 0.0) {
            return Err(ConfigError(format!("config: field limits.memory_mb: {memory} is out of range")));
        }
        config.settings.checked().map_err(|e| ConfigError(e.to_string()))?;
        Ok(config)
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
        if let Some(operator) = var("ROUTER_OPERATOR") {
            config.operator = Some(serde_json::Value::String(operator));
        }
        config.operator().map_err(|e| ConfigError(format!("ROUTER_OPERATOR or operator: {e}")))?;
        Ok(config)
    }

    /// Where the operators' address listens, if anywhere. An error tells what can't be read.
    pub fn operator(&self) -> Result<Option<SocketAddr>, String> {
        let text = match &self.operator {
            None | Some(serde_json::Value::Null) => return Ok(None),
            Some(serde_json::Value::String(s)) if s.trim().is_empty() => return Ok(None),
            Some(serde_json::Value::String(s)) => s.trim().to_string(),
            Some(serde_json::Value::Number(n)) => n.to_string(),
            Some(other) => return Err(format!("{other}: neither an address nor a port")),
        };
        if let Ok(address) = text.parse::<SocketAddr>() {
            return Ok(Some(address));
        }
        let port = text.strip_prefix(':').unwrap_or(&text);
        match port.parse::<u16>() {
            Ok(port) => Ok(Some(SocketAddr::new(self.listen.ip(), port))),
            Err(_) => Err(format!("{text:?}: neither an address nor a port")),
        }
    }

    /// The seed as a number; text that is not hex still makes one.
    pub fn seed(&self) -> u64 {
        let hashed = || self.seed.bytes().fold(0, |h: u64, b| h.rotate_left(7) ^ u64::from(b));
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| hashed())
    }
}
