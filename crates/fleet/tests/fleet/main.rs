//! Simulated fleets in virtual time, under seeded random faults.

mod faults;
mod policy;
mod random_faults;
mod storm;
mod world;
