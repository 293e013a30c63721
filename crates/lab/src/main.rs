//! Measurements against stand-ins on loopback.
fn main() {}
