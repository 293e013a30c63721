//! Simulated fleets in virtual time, under seeded random faults.

mod faults;
mod policy;
mod storm;
mod trouble;
mod world;
