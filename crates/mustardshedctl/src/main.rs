//! Laid out in ARCHITECTURE.

fn main() {}
