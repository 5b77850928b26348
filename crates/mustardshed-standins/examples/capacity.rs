//! Measures the control plane's cost per entry at several sizes of the fleet and fits slopes.

use std::time;

use mustardshed_standins::capacity::{self, cost, world};

fn main() {
    let flags = xflags::parse_or_exit! {
        /// Entries, separated by commas; 8,32,96 by default
        optional --entries counts: String
        /// Backend servers for each 10 entries, 21 by default
        optional --servers-per-ten count: usize
        /// Data centres, 6 by default
        optional --data-centres count: usize
        /// Requests per second at each entry, 18.25 by default
        optional --rate rate: f64
        /// Virtual seconds of the measurement, 20 by default
        optional --seconds count: u64
        /// Seed, 1 by default
        optional --seed seed: u64
        /// Also print the cost of each message and call
        optional --parts
    };
    let counts = flags.entries.unwrap_or_else(|| "8,32,96".to_owned());
    println!("entries servers msgs/s bytes/s cpu_ms/s memory_bytes credits/s");
    for entries in counts
        .split(',')
        .filter_map(|text| text.trim().parse().ok())
    {
        let size = capacity::Size {
            entries,
            servers: entries * flags.servers_per_ten.unwrap_or(21) / 10,
            data_centres: flags.data_centres.unwrap_or(6),
            requests_per_second: flags.rate.unwrap_or(18.25),
            duration: time::Duration::from_secs(flags.seconds.unwrap_or(20)),
        };
        let cost = world::measure(size, flags.seed.unwrap_or(1));
        print(&size, &cost);
        if flags.parts {
            print_parts(&cost);
        }
    }
}

fn print(size: &capacity::Size, cost: &cost::Cost) {
    println!(
        "{} {} {:.1} {:.0} {:.3} {:.0} {:.2}",
        size.entries,
        size.servers,
        cost.messages_per_second,
        cost.bytes_per_second,
        cost.cpu_ms_per_second,
        cost.memory_bytes,
        cost.credits_per_second,
    );
}

fn print_parts(cost: &cost::Cost) {
    for (name, rate) in &cost.parts {
        println!(
            "  {name}: {:.2}/s {:.0} bytes/s {:.3} cpu_ms/s",
            rate.count, rate.bytes, rate.cpu_ms
        );
    }
}
