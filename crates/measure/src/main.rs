//! Measures the system: `cargo measure NAME`.

fn main() {}
