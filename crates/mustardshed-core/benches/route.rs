//! Decision time per request against the number of backend servers.

fn main() {}
