//! The operators' address, beside its line codec: the bans on executors and the figures. Sans-I/O.

pub mod bans;
pub mod figures;

#[cfg(test)]
mod tests;
