//! Fleets in virtual time, under faults drawn from a seed.

mod faults;
mod policy;
mod storm;
mod trouble;
mod world;
