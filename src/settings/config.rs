//! The configuration of one dispatcher: the file named by `ROUTER_CONFIG` and the environment variables that override it.

use crate::codec::coordinator::Known;
use crate::settings::{self, Env, env::absent};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// An invalid configuration, described in one line.
#[derive(Debug)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}

/// The configuration of a dispatcher at start; unknown keys are ignored.
#[derive(Deserialize)]
pub struct Config {
    /// The dispatcher's name, stable across restarts.
    #[serde(default, deserialize_with = "absent")]
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Seed of the random number generator, in hex; new at every start.
    #[serde(default, deserialize_with = "absent")]
    pub seed: String,
    /// Resource limits.
    #[serde(default, deserialize_with = "absent")]
    pub limits: Limits,
    /// Address of the coordinator.
    pub coordinator: SocketAddr,
    /// The coordinator's events known at start.
    #[serde(default, deserialize_with = "absent")]
    pub known: Known,
    /// The settings, in the same form as the simulator passes them.
    pub settings: Env,
    /// The operators' address: `host:port`, or a port on the host of the client address.
    #[serde(default)]
    operator: Option<serde_json::Value>,
}

/// Resource limits of a dispatcher.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory, in MB.
    pub memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: 192.0 }
    }
}

impl Config {
    /// Parses a configuration from JSON; an error names the field.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let config: Config = settings::body("config", text).map_err(|e| ConfigError(e.to_string()))?;
        let memory = config.limits.memory_mb;
        if !(memory.is_finite() && memory >= 0.0) {
            return Err(ConfigError(format!("config: field limits.memory_mb: {memory} is out of range")));
        }
        config.settings.checked().map_err(|e| ConfigError(e.to_string()))?;
        Ok(config)
    }

    /// Loads the configuration from the file and variables of the environment. `var` looks up a variable.
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

    /// The operators' address, if configured. The error describes the invalid value.
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

    /// The seed as a number; text that is not hex is hashed.
    pub fn seed(&self) -> u64 {
        let hashed = || self.seed.bytes().fold(0, |h: u64, b| h.rotate_left(7) ^ u64::from(b));
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| hashed())
    }
}
