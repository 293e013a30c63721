//! State behind the operators' address: bans on executors and metrics. Sans-I/O.

pub mod bans;
pub mod metrics;
pub mod shared_bans;

#[cfg(test)]
mod tests;
