//! The plain service's stand-in as a process.

use std::{io, net, time};

use mustardshed_standins::{
    delay,
    service::{self, call_pattern, settings},
};

type Address = net::SocketAddr;
type Pattern = call_pattern::CallPattern;
type Delay = delay::Flag;

#[tokio::main]
async fn main() -> io::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on; port 0 picks a free one.
        required --listen address: Address
        /// Name of the service.
        required --name name: String
        /// Data centre in which the service stands.
        required --data-centre name: String
        /// Calls that may not be repeated, as METHOD /path.
        repeated --non-repeatable call: Pattern
        /// Time that a call takes on a warm service, in milliseconds; 5 if absent.
        optional --work-ms ms: u64
        /// Calls at once, at most; 1024 if absent.
        optional --max-running calls: usize
        /// Calls at once that a cold service bears; 2 if absent.
        optional --cold-limit calls: usize
        /// Finished calls after which a cold service is warm; 10 if absent.
        optional --warm-after calls: u64
        /// Start cold.
        optional --start-cold
        /// One-way delay to an entry, as VM=MICROSECONDS.
        repeated --delay delay: Delay
    };
    let mut settings = settings::Settings::new(flags.name, flags.data_centre)
        .non_repeatable(flags.non_repeatable)
        .delays(flags.delay.into())
        .start_cold(flags.start_cold);
    if let Some(ms) = flags.work_ms {
        settings = settings.work(time::Duration::from_millis(ms));
    }
    if let Some(calls) = flags.max_running {
        settings = settings.max_running(calls);
    }
    if let Some(calls) = flags.cold_limit {
        settings = settings.cold_limit(calls);
    }
    if let Some(calls) = flags.warm_after {
        settings = settings.warm_after(calls);
    }
    service::bind(flags.listen, settings).await?.run().await
}
