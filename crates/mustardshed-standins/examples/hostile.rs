//! Sends malformed and hostile inputs to an entry's ports and reports what it did with each.

use std::{collections, net, process::ExitCode};

use futures_util::{StreamExt, stream};
use mustardshed_standins::hostile::{self, sender};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

mod flags {
    use std::net;

    type Address = net::SocketAddr;

    xflags::xflags! {
        /// Sends malformed and hostile inputs to an entry's ports.
        cmd hostile {
            /// `IP:PORT` towards callers.
            required --http addr: Address
            /// `IP:PORT` towards peers.
            optional --peer addr: Address
            /// A client account's key.
            required --key key: String
            /// Inputs for each port, 200 by default.
            optional --count count: usize
            /// Seed, 1 by default.
            optional --seed seed: u64
        }
    }
}

/// Inputs sent at once.
const CONCURRENCY: usize = 32;

type Tally = collections::BTreeMap<(&'static str, sender::Reaction), usize>;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Hostile::from_env_or_exit();
    let count = flags.count.unwrap_or(200);
    let mut rng = Pcg64Mcg::seed_from_u64(flags.seed.unwrap_or(1));
    let inputs = hostile::http::inputs(&mut rng, &flags.key, count);
    let mut faults = report("callers", &inputs, &run(flags.http, &inputs).await);
    if let Some(peer) = flags.peer {
        let inputs = hostile::peer::inputs(&mut rng, count);
        faults += report("peers", &inputs, &run(peer, &inputs).await);
    }
    println!("{faults} inputs were not turned away as they should be");
    ExitCode::from(u8::from(faults > 0))
}

async fn run(addr: net::SocketAddr, inputs: &[hostile::Input]) -> Tally {
    let reactions = stream::iter(inputs)
        .map(|input| async move { (input.name, sender::send(addr, input).await) })
        .buffer_unordered(CONCURRENCY);
    reactions
        .fold(Tally::new(), |mut tally, seen| async move {
            *tally.entry(seen).or_default() += 1;
            tally
        })
        .await
}

fn report(port: &str, inputs: &[hostile::Input], tally: &Tally) -> usize {
    let mut faults = 0;
    for ((name, reaction), count) in tally {
        let http = inputs.iter().any(|input| input.name == *name && input.http);
        let good = turned_away(http, *reaction);
        let mark = if good { "ok  " } else { "FAIL" };
        println!("{mark} {port}: {name}: {reaction:?} x {count}");
        if !good {
            faults += count;
        }
    }
    faults
}

const fn turned_away(http: bool, reaction: sender::Reaction) -> bool {
    match reaction {
        sender::Reaction::Status(status) => status >= 400 && status < 500,
        sender::Reaction::Closed => !http,
        sender::Reaction::Hung | sender::Reaction::Unreachable => false,
    }
}
